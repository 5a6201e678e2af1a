use {
    super::{
        bounded_body::{BoundedBodyError, bounded_body},
        endpoint_wire::{RefusalBody, RefusalBodyRan},
    },
    crate::port::EngineError,
    reqwest::{Error, Response},
    serde::de::DeserializeOwned,
};

/// Largest reply of an engine to a request of our own, in bytes; descriptions of caches are the longest.
const MAX_REPLY_BYTES: usize = 4 << 20;

/// HTTP status of a refusal whose body states that the attempt did not run.
pub const REFUSED_STATUS: u16 = 429;

/// HTTP status of an import whose KV cache was evicted.
pub const CACHE_EVICTED_STATUS: u16 = 410;

/// HTTP status of a resume of an attempt that the engine does not know.
pub const UNKNOWN_ATTEMPT_STATUS: u16 = 404;

/// Reason in the refusal of an import whose KV cache was evicted.
pub const CACHE_EVICTED_REASON: &str = "cache-gone";

/// Reason in the refusal of a resume of an attempt that the engine does not know.
pub const UNKNOWN_ATTEMPT_REASON: &str = "unknown-attempt";

/// Converts the error of a call without a response.
///
/// Only a connection that was never opened proves that nothing ran; any other error becomes
/// `EngineError::Broken`.
pub(super) fn call_error(error: Error) -> EngineError {
    let unsent = error.is_connect() || error.is_builder();
    let text = error.without_url().to_string();
    if unsent {
        return EngineError::Unsent(text);
    }
    EngineError::Broken(text)
}

/// Converts an error that occurred after the head of the response was read.
pub(super) fn body_error(error: BoundedBodyError) -> EngineError {
    let text = match error {
        BoundedBodyError::Broken(error) => error.without_url().to_string(),
        error @ (BoundedBodyError::TooLong(_) | BoundedBodyError::NoMemory) => error.to_string(),
    };
    EngineError::Broken(text)
}

/// Reads the JSON body of a response; fails with `EngineError::Broken` if it breaks off or is
/// malformed.
pub(super) async fn read_json<T>(response: Response) -> Result<T, EngineError>
where
    T: DeserializeOwned,
{
    let body = bounded_body(response, MAX_REPLY_BYTES).await;
    let body = body.map_err(body_error)?;
    serde_json::from_slice(&body).map_err(|e| EngineError::Broken(e.to_string()))
}

/// Converts a response with a status other than 2xx.
///
/// A status without the matching body does not prove that the attempt did not run.
pub(super) async fn refusal_error(response: Response) -> EngineError {
    let status = response.status().as_u16();
    let Ok(body) = read_json::<RefusalBody>(response).await else {
        return EngineError::Broken(format!("status {status} without a refusal body"));
    };
    stated_error(status, body)
}

/// Converts a refusal body whose status matches what it states.
fn stated_error(status: u16, body: RefusalBody) -> EngineError {
    let not_run = body.ran == RefusalBodyRan::No;
    match (status, body.reason.as_str()) {
        (CACHE_EVICTED_STATUS, CACHE_EVICTED_REASON) if not_run => EngineError::CacheEvicted,
        (UNKNOWN_ATTEMPT_STATUS, UNKNOWN_ATTEMPT_REASON) => EngineError::UnknownAttempt,
        (REFUSED_STATUS, _) if not_run => EngineError::Refused(body.reason),
        _ => EngineError::Broken(format!("status {status}, reason {}", body.reason)),
    }
}
