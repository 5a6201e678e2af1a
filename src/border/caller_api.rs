use {
    super::{Caller, CompletionBody, CompletionReply, Problem},
    crate::{
        board::{Refusal, Repeat, Route},
        port::ServiceCall,
        request::{
            Admission, Call, CallerGone, Completion, ModelPath, Parts, Piece, Progress, Refused,
            Reply, ServicePath, Shared, Sink, claimed,
        },
    },
    bytes::Bytes,
    futures_util::stream,
    poem::{Body, Request, Response, http::StatusCode},
    std::io,
    tokio::{sync::mpsc, time::timeout},
};

/// Pieces of one answer that wait for a slow caller.
const PIECES_WAITING: usize = 16;

/// Headers that end at this hop and are not passed on.
const HOP_HEADERS: [&str; 10] = [
    "authorization",
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// What a running completion tells the handler.
#[derive(Debug)]
enum Event {
    /// Tokens.
    Piece(Piece),
    /// The end: nothing more follows.
    End(Result<Progress, Refused>),
}

/// Handles `POST /v1/completions`.
pub async fn completions<P>(caller: Caller<P>, request: Request) -> Response
where
    P: Parts,
{
    let shared = caller.shared().clone();
    match complete(caller, request).await {
        Ok(response) => response,
        Err(refused) => refuse(&shared, &refused),
    }
}

/// Handles `/v1/services/{kind}/{path}` with any method.
pub async fn services<P>(caller: Caller<P>, request: Request) -> Response
where
    P: Parts,
{
    let shared = caller.shared().clone();
    match serve(caller, request).await {
        Ok(reply) => respond(&shared, reply),
        Err(refused) => refuse(&shared, &refused),
    }
}

async fn complete<P>(caller: Caller<P>, mut request: Request) -> Result<Response, Refused>
where
    P: Parts,
{
    if request.method() != poem::http::Method::POST {
        return Err(Refused::not_run(
            Refusal::BadRequest,
            "use POST for completions",
        ));
    }
    let branch = caller.branch(request.headers())?;
    let body = read_body(&caller, &mut request).await?;
    let parsed: CompletionBody = serde_json::from_slice(&body).map_err(|error| {
        Refused::not_run(
            Refusal::BadRequest,
            &format!("the body is not a completion: {error}"),
        )
    })?;
    let (call, admission) = caller.accept(branch, &parsed.model, request.headers(), &body)?;
    let ask = Completion {
        call,
        prompt: parsed.prompt,
        max_tokens: parsed.max_tokens.max(1),
    };
    caller.shared().counters().requests.inc();
    if ask.call.rule.repeat == Repeat::AtMostOnce {
        let reply = complete_once(caller.shared(), ask, admission).await?;
        return Ok(respond(caller.shared(), reply));
    }
    let id = ask.call.id.to_string();
    let kind = parsed.model;
    let events = start(caller.shared(), ask, admission);
    if parsed.stream {
        streamed(caller, events, id, kind).await
    } else {
        whole(caller, events, id, kind).await
    }
}

/// Starts a completion; it is cancelled when the receiver is dropped.
fn start<P>(shared: &Shared<P>, ask: Completion, admission: Admission) -> mpsc::Receiver<Event>
where
    P: Parts,
{
    let (sender, receiver) = mpsc::channel(PIECES_WAITING);
    let shared = shared.clone();
    shared.clone().spawn(async move {
        shared.counters().running.inc();
        let mut sink = EventSink(sender.clone());
        tokio::select! {
            result = run(&shared, &ask, &mut sink) => {
                drop(sender.send(Event::End(result)).await);
            }
            () = sender.closed() => {
                shared.counters().abandoned.inc();
            }
        }
        drop(admission);
        shared.counters().running.dec();
    });
    receiver
}

/// Sink that turns pieces into events.
#[derive(Debug)]
struct EventSink(mpsc::Sender<Event>);

impl Sink for EventSink {
    async fn send(&mut self, piece: Piece) -> Result<(), CallerGone> {
        self.0
            .send(Event::Piece(piece))
            .await
            .map_err(|_gone| CallerGone)
    }
}

async fn run<P, K>(shared: &Shared<P>, ask: &Completion, sink: &mut K) -> Result<Progress, Refused>
where
    P: Parts,
    K: Sink,
{
    let path = ModelPath::new(shared, ask).ok_or_else(|| {
        let detail = "the kind is a plain service; call it below /v1/services/";
        Refused::not_run(Refusal::BadRequest, detail)
    })?;
    path.run(sink).await
}

async fn streamed<P>(
    caller: Caller<P>,
    mut events: mpsc::Receiver<Event>,
    id: String,
    kind: String,
) -> Result<Response, Refused>
where
    P: Parts,
{
    let first = match events.recv().await {
        Some(Event::Piece(piece)) => piece,
        Some(Event::End(Err(refused))) => return Err(refused),
        Some(Event::End(Ok(_))) | None => return Err(empty()),
    };
    let state = (caller, events, Some(first), id, kind);
    let body = stream::unfold(state, |(caller, mut events, first, id, kind)| async move {
        let event = match first {
            Some(piece) => Event::Piece(piece),
            None => events.recv().await?,
        };
        let text = event_text(caller.shared(), event, &id, &kind);
        Some((
            Ok::<_, io::Error>(Bytes::from(text)),
            (caller, events, None, id, kind),
        ))
    });
    Ok(Response::builder()
        .content_type("text/event-stream")
        .header("cache-control", "no-store")
        .body(Body::from_bytes_stream(body)))
}

fn event_text<P>(shared: &Shared<P>, event: Event, id: &str, kind: &str) -> String
where
    P: Parts,
{
    match event {
        Event::Piece(piece) => {
            format!(
                "data: {}\n\n",
                CompletionReply::new(id, kind, piece).to_json()
            )
        }
        Event::End(Ok(_)) => {
            shared.counters().answered.inc();
            "data: [DONE]\n\n".to_owned()
        }
        Event::End(Err(refused)) => {
            shared.counters().refuse(refused.reason);
            format!(
                "event: error\ndata: {}\n\n",
                Problem::from(&refused).to_json()
            )
        }
    }
}

async fn whole<P>(
    caller: Caller<P>,
    mut events: mpsc::Receiver<Event>,
    id: String,
    kind: String,
) -> Result<Response, Refused>
where
    P: Parts,
{
    let mut finish = None;
    while let Some(event) = events.recv().await {
        match event {
            Event::Piece(piece) => finish = piece.finish.or(finish),
            Event::End(result) => {
                let reply = completion_reply(&id, &kind, result?, finish);
                return Ok(respond(caller.shared(), reply));
            }
        }
    }
    Err(empty())
}

async fn complete_once<P>(
    shared: &Shared<P>,
    ask: Completion,
    admission: Admission,
) -> Result<Reply, Refused>
where
    P: Parts,
{
    let call = ask.call.clone();
    let inner = shared.clone();
    claimed(shared, &call, move || async move {
        let _admission = admission;
        let mut sink = LastFinish(None);
        let progress = run(&inner, &ask, &mut sink).await?;
        let id = ask.call.id.to_string();
        Ok(completion_reply(&id, &ask.call.rule.kind, progress, sink.0))
    })
    .await
}

/// Sink that keeps only why generation ended; the text is in the progress.
#[derive(Debug)]
struct LastFinish(Option<String>);

impl Sink for LastFinish {
    async fn send(&mut self, piece: Piece) -> Result<(), CallerGone> {
        self.0 = piece.finish.or(self.0.take());
        Ok(())
    }
}

fn completion_reply(id: &str, kind: &str, progress: Progress, finish: Option<String>) -> Reply {
    let piece = Piece {
        index: 0,
        count: progress.tokens,
        text: progress.text,
        finish,
    };
    let body = CompletionReply::new(id, kind, piece).to_json();
    let headers = vec![("content-type".to_owned(), "application/json".to_owned())];
    Reply {
        status: StatusCode::OK.as_u16(),
        headers,
        body: Bytes::from(body),
        replayed: false,
    }
}

async fn serve<P>(caller: Caller<P>, mut request: Request) -> Result<Reply, Refused>
where
    P: Parts,
{
    let branch = caller.branch(request.headers())?;
    let body = read_body(&caller, &mut request).await?;
    let kind: String = request
        .path_params()
        .map_err(|error| {
            Refused::not_run(
                Refusal::BadRequest,
                &format!("the path names no kind: {error}"),
            )
        })
        .map(|(kind, _): (String, String)| kind)?;
    let (call, admission) = caller.accept(branch, &kind, request.headers(), &body)?;
    caller.shared().counters().requests.inc();
    let message = service_call(&request, &kind, body);
    let shared = caller.shared().clone();
    if call.rule.repeat == Repeat::AtMostOnce {
        let inner = call.clone();
        let once = shared.clone();
        return claimed(&shared, &call, move || async move {
            let _admission = admission;
            call_service(&once, &inner, &message).await
        })
        .await;
    }
    let _admission = admission;
    call_service(&shared, &call, &message).await
}

async fn call_service<P>(
    shared: &Shared<P>,
    call: &Call,
    message: &ServiceCall,
) -> Result<Reply, Refused>
where
    P: Parts,
{
    let Route::Service { pool } = &call.rule.route else {
        let detail = "the kind is a model kind; send it to /v1/completions";
        return Err(Refused::not_run(Refusal::BadRequest, detail));
    };
    let reply = ServicePath::new(shared, call, pool, message).run().await?;
    let headers = reply
        .headers
        .into_iter()
        .filter(|(name, _)| !is_hop(name))
        .collect();
    Ok(Reply {
        status: reply.status,
        headers,
        body: reply.body,
        replayed: false,
    })
}

fn service_call(request: &Request, kind: &str, body: Bytes) -> ServiceCall {
    let prefix = format!("/v1/services/{kind}");
    let uri = request.original_uri();
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    let headers = request
        .headers()
        .iter()
        .filter(|(name, _)| !is_hop(name.as_str()));
    ServiceCall {
        method: request.method().to_string(),
        path: path.strip_prefix(&prefix).unwrap_or(path).to_owned(),
        headers: headers
            .filter_map(|(name, value)| Some((name.to_string(), value.to_str().ok()?.to_owned())))
            .collect(),
        body,
    }
}

fn is_hop(name: &str) -> bool {
    HOP_HEADERS.iter().any(|hop| name.eq_ignore_ascii_case(hop))
}

async fn read_body<P>(caller: &Caller<P>, request: &mut Request) -> Result<Bytes, Refused>
where
    P: Parts,
{
    let limits = caller.limits();
    let headers = request
        .headers()
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len());
    if headers.sum::<usize>() as u64 > limits.header_bytes {
        let detail = format!("the headers exceed {} bytes", limits.header_bytes);
        return Err(Refused::not_run(Refusal::TooLarge, &detail));
    }
    let body = request
        .take_body()
        .into_bytes_limit(limits.body_bytes as usize);
    match timeout(limits.body_time, body).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(poem::error::ReadBodyError::PayloadTooLarge)) => {
            let detail = format!("the body exceeds {} bytes", limits.body_bytes);
            Err(Refused::not_run(Refusal::TooLarge, &detail))
        }
        Ok(Err(error)) => {
            let detail = format!("the body could not be read: {error}");
            Err(Refused::not_run(Refusal::BadRequest, &detail))
        }
        Err(_) => {
            let detail = "the body did not arrive in time; send it without pauses";
            Err(Refused::not_run(Refusal::BadRequest, detail))
        }
    }
}

fn respond<P>(shared: &Shared<P>, reply: Reply) -> Response
where
    P: Parts,
{
    shared.counters().answered.inc();
    let status = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = Response::builder().status(status);
    for (name, value) in &reply.headers {
        response = response.header(name.as_str(), value.as_str());
    }
    if reply.replayed {
        response = response.header("idempotent-replayed", "true");
    }
    response.body(reply.body)
}

fn refuse<P>(shared: &Shared<P>, refused: &Refused) -> Response
where
    P: Parts,
{
    shared.counters().refuse(refused.reason);
    Problem::from(refused).into_response()
}

fn empty() -> Refused {
    Refused::unknown(
        Refusal::OutcomeUnknown,
        "the request ended without an answer; send it again",
    )
}
