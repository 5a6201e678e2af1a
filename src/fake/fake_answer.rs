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
    breaking(once(ready(Err(error))))
}

/// An answer whose connection breaks when `parts` fail.
///
/// The length is never reached: without one the server ends a failed body as if it were whole.
pub(super) fn breaking<S>(parts: S) -> Response
where
    S: Stream<Item = io::Result<Bytes>> + Send + 'static,
{
    Response::builder()
        .header(CONTENT_LENGTH, u32::MAX)
        .body(Body::from_bytes_stream(parts))
}
