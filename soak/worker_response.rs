use {
    super::{recorder::RunEnd, worker_run::WorkerRun},
    bytes::Bytes,
    futures_util::stream::{self, BoxStream, StreamExt},
    http::{HeaderMap, HeaderValue, Response},
    http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody},
    hyper::body::Frame,
    std::{io, time::Duration},
    tokio::time::sleep,
};

/// Number of events in a complete stream.
pub const EVENTS: u64 = 12;

/// HTTP response of a worker.
pub type WorkerResponse = Response<UnsyncBoxBody<Bytes, io::Error>>;

/// Formats event `number`, counted from 1, of the stream for the request `id`.
pub fn event(id: &str, number: u64) -> String {
    format!("id: {number}\ndata: {id} {number}\n\n")
}

/// Streams the events after event `last`, each after `pause` and no sooner than `ready` completes;
/// keeps `held` until the stream
/// ends or is dropped, and completes its run after the last event.
pub fn events<P, F>(
    id: String,
    last: u64,
    pause: Duration,
    held: (WorkerRun, P),
    ready: impl Fn() -> F + Send + 'static,
) -> BoxStream<'static, io::Result<Frame<Bytes>>>
where
    P: Send + 'static,
    F: Future<Output = ()> + Send + 'static,
{
    let start = (last + 1, held);
    stream::unfold(start, move |(number, held)| {
        let id = id.clone();
        let ready = ready();
        async move {
            if number > EVENTS {
                held.0.end(RunEnd::Complete);
                return None;
            }
            sleep(pause).await;
            ready.await;
            let frame = Frame::data(Bytes::from(event(&id, number)));
            Some((Ok(frame), (number + 1, held)))
        }
    })
    .boxed()
}

/// Value of the header `name`; empty if it is absent or not visible ASCII.
pub fn header(head: &HeaderMap, name: &str) -> String {
    let value = head.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

fn body(text: &str) -> UnsyncBoxBody<Bytes, io::Error> {
    let body = Full::new(Bytes::from(text.to_owned()));
    body.map_err(|never| match never {}).boxed_unsync()
}

/// Builds a response with the body `content`; see `stamped_response` for `stamp`.
pub fn full_response(status: u16, stamp: &str, content: &str) -> WorkerResponse {
    stamped_response(status, stamp, "application/json", body(content))
}

/// Builds a response. `stamp` is `INSTANCE.REQUEST-ID` and sets `server-stamp` and `request-id`; an
/// empty one sets neither.
pub fn stamped_response(
    status: u16,
    stamp: &str,
    content_type: &str,
    body: UnsyncBoxBody<Bytes, io::Error>,
) -> WorkerResponse {
    let mut response = Response::builder()
        .status(status)
        .header("content-type", content_type);
    if let Some((_, id)) = stamp.split_once('.') {
        response = response
            .header("server-stamp", stamp)
            .header("request-id", id);
    }
    // All parts are valid; an error here would show as a response without a stamp.
    response.body(body).unwrap_or_default()
}

/// Builds a response with status 200 whose body is truncated within its first event.
pub fn truncated_response(stamp: &str) -> WorkerResponse {
    let frames = stream::iter([
        Ok(Frame::data(Bytes::from_static(b"id: 1\nda"))),
        Err(io::ErrorKind::ConnectionReset.into()),
    ]);
    stamped_response(
        200,
        stamp,
        "application/json",
        BodyExt::boxed_unsync(StreamBody::new(frames)),
    )
}

/// Builds a response with an empty body whose `not-run` header states that the worker did not run
/// the request.
pub fn rejection(status: u16) -> WorkerResponse {
    let mut response = full_response(status, "", "");
    response
        .headers_mut()
        .insert("not-run", HeaderValue::from_static("1"));
    response
}
