use {
    crate::border::endpoint_wire::{RefusalBody, RefusalBodyRan},
    futures_util::stream::once,
    poem::{Body, Response, http::StatusCode},
    std::{future::ready, io},
};

/// Media type of refusals.
const PROBLEM: &str = "application/problem+json";

/// A refusal that states that nothing ran.
pub(super) fn not_run(status: u16, reason: &str) -> Response {
    problem(status, RefusalBodyRan::No, reason)
}

/// An answer other than 2xx that states nothing about a run.
pub(super) fn problem(status: u16, ran: RefusalBodyRan, reason: &str) -> Response {
    let body = RefusalBody {
        ran,
        reason: reason.to_owned(),
    };
    let text = serde_json::to_string(&body).unwrap_or_default();
    Response::builder()
        .status(StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR))
        .content_type(PROBLEM)
        .body(text)
}

/// An answer that breaks the connection.
pub(super) fn broken() -> Response {
    let error = io::Error::other("connection broken");
    let body = once(ready(Err::<Vec<u8>, _>(error)));
    Response::builder()
        .status(StatusCode::INTERNAL_SERVER_ERROR)
        .body(Body::from_bytes_stream(body))
}
