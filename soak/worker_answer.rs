use {
    bytes::Bytes,
    futures_util::stream::{self, BoxStream, StreamExt},
    http::{HeaderMap, HeaderValue, Response},
    http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody},
    hyper::body::Frame,
    std::{io, time::Duration},
    tokio::time::sleep,
};

/// Events of each stream.
pub const EVENTS: u64 = 12;

/// Answer of a worker.
pub type Answer = Response<UnsyncBoxBody<Bytes, io::Error>>;

/// Event `number` of the stream that answers request `id`.
pub fn event(id: &str, number: u64) -> String {
    format!("id: {number}\ndata: {id} {number}\n\n")
}

/// The events after `last`; `held` is dropped with them.
pub fn events<H>(
    id: String,
    last: u64,
    pause: Duration,
    held: H,
) -> BoxStream<'static, io::Result<Frame<Bytes>>>
where
    H: Send + 'static,
{
    let start = (last + 1, held);
    stream::unfold(start, move |(number, held)| {
        let id = id.clone();
        async move {
            if number > EVENTS {
                return None;
            }
            sleep(pause).await;
            let frame = Frame::data(Bytes::from(event(&id, number)));
            Some((Ok(frame), (number + 1, held)))
        }
    })
    .boxed()
}

/// Value of a header, empty without one.
pub fn text(head: &HeaderMap, name: &str) -> String {
    let value = head.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

fn body(text: &str) -> UnsyncBoxBody<Bytes, io::Error> {
    let body = Full::new(Bytes::from(text.to_owned()));
    body.map_err(|never| match never {}).boxed_unsync()
}

/// A whole answer; one with a stamp is signed.
pub fn whole(status: u16, stamp: &str, told: &str) -> Answer {
    signed(status, stamp, "application/json", body(told))
}

/// An answer with this body; one with a stamp is signed.
pub fn signed(
    status: u16,
    stamp: &str,
    kind: &str,
    body: UnsyncBoxBody<Bytes, io::Error>,
) -> Answer {
    let mut answer = Response::builder()
        .status(status)
        .header("content-type", kind);
    if let Some((_, id)) = stamp.split_once('.') {
        answer = answer
            .header("server-stamp", stamp)
            .header("request-id", id);
    }
    // The parts are all valid; a mistake here would show as an unsigned answer.
    answer.body(body).unwrap_or_default()
}

/// A success that announces more than it holds, and so is cut.
pub fn garbled(stamp: &str) -> Answer {
    let cut = stream::iter([
        Ok(Frame::data(Bytes::from_static(b"id: 1\nda"))),
        Err(io::ErrorKind::ConnectionReset.into()),
    ]);
    signed(
        200,
        stamp,
        "application/json",
        BodyExt::boxed_unsync(StreamBody::new(cut)),
    )
}

/// A rejection that says that nothing was run.
pub fn refused(status: u16) -> Answer {
    let mut answer = whole(status, "", "");
    answer
        .headers_mut()
        .insert("not-run", HeaderValue::from_static("1"));
    answer
}
