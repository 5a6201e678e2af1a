use {
    super::{
        CallerContext, CallerWork, CompletionResponse, Problem, announce_close,
        caller_request::is_hop_by_hop,
    },
    crate::{
        board::Refusal,
        request::{CompletionEvent, Parts, Progress, Refused, Reply, Shared, TextChunk},
    },
    bytes::Bytes,
    futures_util::stream,
    poem::{Body, Response, http::StatusCode},
    std::io,
    tokio::sync::mpsc,
};

/// Returns a server-sent event stream once the first chunk has arrived.
///
/// `work` lasts until the end of the stream. Fails if the request is refused before its first chunk, so that the refusal gets an HTTP status
/// of its own; a later refusal becomes an event of the stream.
pub(super) async fn stream_response<P>(
    ctx: CallerContext<P>,
    mut events: mpsc::Receiver<CompletionEvent>,
    id: String,
    kind: String,
    work: CallerWork,
) -> Result<Response, Refused>
where
    P: Parts,
{
    let first = match events.recv().await {
        Some(CompletionEvent::TextChunk(chunk)) => chunk,
        Some(CompletionEvent::End(Err(refused))) => return Err(refused),
        Some(CompletionEvent::End(Ok(_))) | None => return Err(no_response()),
    };
    let state = (ctx, events, Some(first), (id, kind, work));
    let body = stream::unfold(state, |(ctx, mut events, first, call)| async move {
        let event = match first {
            Some(chunk) => CompletionEvent::TextChunk(chunk),
            None => events.recv().await?,
        };
        let text = event_text(ctx.shared(), event, &call.0, &call.1);
        Some((
            Ok::<_, io::Error>(Bytes::from(text)),
            (ctx, events, None, call),
        ))
    });
    Ok(Response::builder()
        .content_type("text/event-stream")
        .header("cache-control", "no-store")
        .body(Body::from_bytes_stream(body)))
}

/// Formats an event of the stream and counts the end of the request.
fn event_text<P>(shared: &Shared<P>, event: CompletionEvent, id: &str, kind: &str) -> String
where
    P: Parts,
{
    match event {
        CompletionEvent::TextChunk(chunk) => {
            format!(
                "data: {}\n\n",
                CompletionResponse::new(id, kind, chunk).to_json()
            )
        }
        CompletionEvent::End(Ok(_)) => {
            shared.counters().answered.inc();
            "data: [DONE]\n\n".to_owned()
        }
        CompletionEvent::End(Err(refused)) => {
            shared.counters().count_refusal(refused.reason);
            format!(
                "event: error\ndata: {}\n\n",
                Problem::from(&refused).to_json()
            )
        }
    }
}

/// Waits for the end of the request and returns the complete text in one response.
///
/// Fails if the request is refused.
pub(super) async fn complete_response<P>(
    ctx: CallerContext<P>,
    mut events: mpsc::Receiver<CompletionEvent>,
    id: String,
    kind: String,
) -> Result<Response, Refused>
where
    P: Parts,
{
    let mut finish = None;
    while let Some(event) = events.recv().await {
        match event {
            CompletionEvent::TextChunk(chunk) => finish = chunk.finish.or(finish),
            CompletionEvent::End(result) => {
                let reply = completion_reply(&id, &kind, result?, finish);
                return Ok(respond(ctx.shared(), reply));
            }
        }
    }
    Err(no_response())
}

/// Builds the reply with the complete text of a completion.
pub(super) fn completion_reply(
    id: &str,
    kind: &str,
    progress: Progress,
    finish: Option<String>,
) -> Reply {
    let chunk = TextChunk {
        index: 0,
        count: progress.tokens,
        text: progress.text,
        finish,
    };
    let body = CompletionResponse::new(id, kind, chunk).to_json();
    let headers = vec![("content-type".to_owned(), "application/json".to_owned())];
    Reply {
        status: StatusCode::OK.as_u16(),
        headers,
        body: Bytes::from(body),
        replayed: false,
    }
}

/// Converts a reply to an HTTP response without hop-by-hop headers, and counts it as answered.
pub(super) fn respond<P>(shared: &Shared<P>, reply: Reply) -> Response
where
    P: Parts,
{
    shared.counters().answered.inc();
    let status = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = Response::builder().status(status);
    let headers = reply
        .headers
        .iter()
        .filter(|(name, _)| !is_hop_by_hop(name));
    for (name, value) in headers {
        response = response.header(name.as_str(), value.as_str());
    }
    if reply.replayed {
        response = response.header("idempotent-replayed", "true");
    }
    response.body(reply.body)
}

/// Converts a refusal to an HTTP response, and counts it by its reason.
///
/// The response announces the end of the connection if the request may not have been read to its end.
pub(super) fn refuse<P>(shared: &Shared<P>, refused: &Refused) -> Response
where
    P: Parts,
{
    shared.counters().count_refusal(refused.reason);
    let mut response = Problem::from(refused).into_response();
    if refused.reason.leaves_body_unread() {
        announce_close(response.headers_mut());
    }
    response
}

/// Refusal for a request whose events ended without a result.
fn no_response() -> Refused {
    Refused::unknown(
        Refusal::OutcomeUnknown,
        "the request ended without a response; send it again",
    )
}
