use {
    crate::border::endpoint_wire::{RefusalBody, RefusalBodyRan},
    bytes::Bytes,
    futures_util::{Stream, stream::once},
    poem::{
        Body, Response,
        http::{StatusCode, header::CONTENT_LENGTH},
    },
    std::{future::ready, io},
};

/// Media type of error responses.
const PROBLEM_TYPE: &str = "application/problem+json";

/// Returns a refusal that states that the request did not run.
pub(super) fn not_run(status: u16, reason: &str) -> Response {
    problem(status, RefusalBodyRan::No, reason)
}

/// Returns an error response that states whether the request ran, and the reason.
pub(super) fn problem(status: u16, ran: RefusalBodyRan, reason: &str) -> Response {
    let body = RefusalBody {
        ran,
        reason: reason.to_owned(),
    };
    let text = serde_json::to_string(&body).unwrap_or_default();
    Response::builder()
        .status(StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR))
        .content_type(PROBLEM_TYPE)
        .body(text)
}

/// Returns a response that breaks the connection before its body.
pub(super) fn broken() -> Response {
    let error = io::Error::other("fault injected: connection broken");
    breaking(once(ready(Err(error))))
}

/// Returns a response whose connection breaks when `parts` fail.
///
/// It states a length that the body never reaches: without one the server would end a failed body
/// as if it were complete.
pub(super) fn breaking<S>(parts: S) -> Response
where
    S: Stream<Item = io::Result<Bytes>> + Send + 'static,
{
    Response::builder()
        .header(CONTENT_LENGTH, u32::MAX)
        .body(Body::from_bytes_stream(parts))
}
