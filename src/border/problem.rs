use {
    crate::{
        board::Refusal,
        request::{Ran, Refused},
    },
    poem::{Response, http::StatusCode},
    serde::Serialize,
};

/// Problem details with which a request of a caller is refused, `application/problem+json`
/// (RFC 9457).
#[derive(Clone, Debug, Serialize)]
pub struct Problem {
    /// Always `about:blank`: only the status and `reason` are defined.
    pub r#type: String,
    /// HTTP status code.
    pub status: u16,
    /// Reason as a fixed word, which is also the label of the counter of refusals.
    pub reason: String,
    /// Whether the request ran: `no` or `unknown`.
    pub ran: String,
    /// Suggested wait before a retry, in seconds, at least 1.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after: Option<u64>,
    /// What failed and what to do about it, for people.
    pub detail: String,
}

impl From<&Refused> for Problem {
    fn from(refused: &Refused) -> Self {
        let ran = match refused.ran {
            Ran::No => "no",
            Ran::Unknown => "unknown",
        };
        Self {
            r#type: "about:blank".to_owned(),
            status: status(refused.reason).as_u16(),
            reason: refused.reason.as_str().to_owned(),
            ran: ran.to_owned(),
            retry_after: refused.retry_after.map(|wait| wait.as_secs().max(1)),
            detail: refused.detail.clone(),
        }
    }
}

impl Problem {
    /// Converts the problem to an HTTP response with its status.
    pub fn into_response(self) -> Response {
        let status = StatusCode::from_u16(self.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let mut response = Response::builder()
            .status(status)
            .content_type("application/problem+json");
        if let Some(wait) = self.retry_after {
            response = response.header("retry-after", wait);
        }
        response.body(self.to_json())
    }

    /// Returns the problem as JSON text.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}

/// Returns the HTTP status of a refusal.
fn status(reason: Refusal) -> StatusCode {
    match reason {
        Refusal::UnknownBranch
        | Refusal::AccessKeyMissing
        | Refusal::AccessKeyMalformed
        | Refusal::AccessKeyUnknown => StatusCode::UNAUTHORIZED,
        Refusal::UnknownKind => StatusCode::NOT_FOUND,
        Refusal::BadRequest | Refusal::KeyMissing => StatusCode::BAD_REQUEST,
        Refusal::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        Refusal::KeyReused | Refusal::CrashSuspect => StatusCode::UNPROCESSABLE_ENTITY,
        Refusal::QueueFull | Refusal::QuotaExceeded => StatusCode::TOO_MANY_REQUESTS,
        Refusal::InProgress => StatusCode::CONFLICT,
        Refusal::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
        Refusal::OutcomeUnknown | Refusal::Truncated => StatusCode::BAD_GATEWAY,
        Refusal::NoEndpoint
        | Refusal::EndpointRefused
        | Refusal::ClaimUnavailable
        | Refusal::RetryBudget
        | Refusal::NotReady
        | Refusal::Stopping
        | Refusal::CallerMemory => StatusCode::SERVICE_UNAVAILABLE,
    }
}
