use {
    super::endpoint_wire::{RefusalBody, RefusalBodyRan},
    crate::port::EngineError,
    reqwest::{Error, Response},
    serde::de::DeserializeOwned,
};

/// Status of a refusal whose body states that the attempt did not run.
pub const REFUSED_STATUS: u16 = 429;

/// Status of an import whose KV cache is gone.
pub const CACHE_GONE_STATUS: u16 = 410;

/// Status of a resume of an attempt that the engine does not know.
pub const UNKNOWN_ATTEMPT_STATUS: u16 = 404;

/// Reason in the body of an import whose KV cache is gone.
pub const CACHE_GONE_REASON: &str = "cache-gone";

/// Reason in the body of a resume of an unknown attempt.
pub const UNKNOWN_ATTEMPT_REASON: &str = "unknown-attempt";

/// Turns a failed call: only a connection that was never made proves that nothing ran.
pub(super) fn call_error(error: Error) -> EngineError {
    let connect = error.is_connect() || error.is_builder();
    let text = error.without_url().to_string();
    if connect {
        return EngineError::Unsent(text);
    }
    EngineError::Broken(text)
}

/// Turns a failure after the head of the answer was read.
pub(super) fn body_error(error: Error) -> EngineError {
    EngineError::Broken(error.without_url().to_string())
}

/// Reads a JSON answer.
pub(super) async fn read<T>(response: Response) -> Result<T, EngineError>
where
    T: DeserializeOwned,
{
    response.json().await.map_err(body_error)
}

/// Turns an answer other than 2xx; a status without the matching body proves nothing.
pub(super) async fn refusal(response: Response) -> EngineError {
    let status = response.status().as_u16();
    let Ok(body) = response.json::<RefusalBody>().await else {
        return EngineError::Broken(format!("status {status} without a refusal body"));
    };
    stated(status, body)
}

fn stated(status: u16, body: RefusalBody) -> EngineError {
    let not_run = body.ran == RefusalBodyRan::No;
    match (status, body.reason.as_str()) {
        (CACHE_GONE_STATUS, CACHE_GONE_REASON) if not_run => EngineError::CacheEvicted,
        (UNKNOWN_ATTEMPT_STATUS, UNKNOWN_ATTEMPT_REASON) => EngineError::UnknownAttempt,
        (REFUSED_STATUS, _) if not_run => EngineError::Refused(body.reason),
        _ => EngineError::Broken(format!("status {status}, reason {}", body.reason)),
    }
}
