use {
    crate::{control::SheetStoreError, decide::SheetFault},
    poem::{Response, http::StatusCode},
    serde::{Deserialize, Serialize},
};

/// Problem details with which the operator listener refuses a request, `application/problem+json`
/// (RFC 9457).
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct OperatorProblem {
    /// HTTP status code.
    pub status: u16,
    /// Reason as a fixed word, such as `conflict`.
    pub reason: String,
    /// What failed and what to do about it, for people.
    pub detail: String,
    /// Revision in force; present for a conflict only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<u64>,
    /// Faults of the submitted sheet; empty for any other problem.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<SheetFault>,
}

impl OperatorProblem {
    /// Creates a problem without a revision and without faults.
    pub fn new<D>(status: StatusCode, reason: &str, detail: D) -> Self
    where
        D: Into<String>,
    {
        Self {
            status: status.as_u16(),
            reason: reason.to_owned(),
            detail: detail.into(),
            ..Self::default()
        }
    }

    /// Converts the problem to an HTTP response with its status.
    pub fn into_response(self) -> Response {
        let status = StatusCode::from_u16(self.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let body = serde_json::to_vec(&self).unwrap_or_default();
        Response::builder()
            .status(status)
            .content_type("application/problem+json")
            .body(body)
    }
}

impl From<Vec<SheetFault>> for OperatorProblem {
    fn from(faults: Vec<SheetFault>) -> Self {
        let status = StatusCode::UNPROCESSABLE_ENTITY;
        let detail = "the sheet has faults and nothing was changed; correct each of them";
        Self {
            faults,
            ..Self::new(status, "sheet-faults", detail)
        }
    }
}

impl From<SheetStoreError> for OperatorProblem {
    fn from(error: SheetStoreError) -> Self {
        let (status, reason) = match &error {
            SheetStoreError::Conflict { .. } => (StatusCode::CONFLICT, "conflict"),
            SheetStoreError::ChangeReused(_) => (StatusCode::CONFLICT, "change-reused"),
            SheetStoreError::InvalidChangeId(_) => (StatusCode::BAD_REQUEST, "bad-request"),
            SheetStoreError::Unknown { .. } => (StatusCode::BAD_GATEWAY, "outcome-unknown"),
            SheetStoreError::Platform(_) => (StatusCode::SERVICE_UNAVAILABLE, "store-unavailable"),
            SheetStoreError::TooLarge { .. } => (StatusCode::PAYLOAD_TOO_LARGE, "too-large"),
            SheetStoreError::Format { .. } | SheetStoreError::Damaged { .. } => {
                (StatusCode::BAD_GATEWAY, "store-damaged")
            }
            SheetStoreError::NotKept(_) => (StatusCode::NOT_FOUND, "revision-gone"),
        };
        let revision = match error {
            SheetStoreError::Conflict { current, .. } => Some(current),
            _ => None,
        };
        Self {
            revision,
            ..Self::new(status, reason, error.to_string())
        }
    }
}
