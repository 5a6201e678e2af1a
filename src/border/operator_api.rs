use {
    super::{Operator, OperatorProblem, SHEET_BYTES_MAX, read_sheet, write_sheet},
    crate::{
        board::{FleetStatus, Secret},
        control::{Submission, fleet_status},
        decide::{rule_text, sheet_check, sheet_diff, status_of},
        port::{Clock, Peer, Platform},
    },
    poem::{
        Body, Request, Response,
        error::ReadBodyError,
        http::{HeaderMap, Method, StatusCode, header::AUTHORIZATION},
    },
    prometheus_client::encoding::text::encode,
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::collections::BTreeSet,
    subtle::ConstantTimeEq,
    tokio::time::timeout,
};

/// Content type of metrics.
const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
/// Header that carries the revision of a sheet.
pub const REVISION_HEADER: &str = "lentillead-revision";

type Answer = Result<Response, OperatorProblem>;

/// Query of `PUT /v1/sheet`.
#[derive(Deserialize)]
struct SubmitQuery {
    base: u64,
    change: String,
    author: String,
}

/// Query of `GET /v1/sheet`.
#[derive(Deserialize)]
struct ShowQuery {
    revision: Option<u64>,
}

/// Query of `GET /v1/sheet/diff`.
#[derive(Deserialize)]
struct DiffQuery {
    from: u64,
    to: u64,
}

/// Query of `GET /v1/status`.
#[derive(Deserialize)]
struct StatusQuery {
    #[serde(default)]
    own: bool,
}

/// Answers one request of an operator.
pub(super) async fn answer<S, P, C>(operator: &Operator<S, P, C>, request: Request) -> Response
where
    S: Platform,
    P: Peer,
    C: Clock,
{
    match route(operator, request).await {
        Ok(response) => response,
        Err(problem) => problem.into_response(),
    }
}

async fn route<S, P, C>(operator: &Operator<S, P, C>, request: Request) -> Answer
where
    S: Platform,
    P: Peer,
    C: Clock,
{
    check_headers(request.headers(), operator.limits.header_bytes)?;
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    match (method, path.as_str()) {
        (Method::GET, "/healthz") => return Ok(text(StatusCode::OK, "live\n")),
        (Method::GET, "/readyz") => return Ok(ready(operator)),
        (Method::GET, "/metrics") => return metrics(operator),
        _ => check_key(request.headers(), &operator.key)?,
    }
    match (request.method(), path.as_str()) {
        (&Method::PUT, "/v1/sheet") => submit(operator, request).await,
        (&Method::GET, "/v1/sheet") => show(operator, query(&request)?).await,
        (&Method::GET, "/v1/sheet/history") => json(&operator.store.history().await?),
        (&Method::GET, "/v1/sheet/diff") => diff(operator, query(&request)?).await,
        (&Method::GET, "/v1/status") => status(operator, query(&request)?).await,
        (&Method::POST, "/v1/drain") => Ok(drain(operator)),
        (method, path) => Err(OperatorProblem::new(
            StatusCode::NOT_FOUND,
            "no-such-call",
            format!("there is no {method} {path}; see docs/OPERATIONS.md"),
        )),
    }
}

async fn submit<S, P, C>(operator: &Operator<S, P, C>, mut request: Request) -> Answer
where
    S: Platform,
    C: Clock,
{
    let query = query::<SubmitQuery>(&request)?;
    let limit = SHEET_BYTES_MAX.min(operator.limits.body_bytes as usize);
    let body = request.take_body().into_bytes_limit(limit);
    let body = timeout(operator.limits.body_time, body)
        .await
        .map_err(|_elapsed| slow_body())?
        .map_err(|error| unread_body(&error, limit))?;
    let rows = read_sheet(&body)?;
    let branches = operator.board.branches.load();
    let known = branches.iter().map(|(_, branch)| branch.name.clone());
    let rules = sheet_check(&rows, Some(&known.collect::<BTreeSet<_>>()))?;
    let submission = Submission {
        base: query.base,
        rules,
        change: query.change,
        author: query.author,
        time: operator.clock.unix_ms(),
        known_revision: operator.board.sheet.load().revision,
    };
    json(&operator.store.submit(submission).await?)
}

async fn show<S, P, C>(operator: &Operator<S, P, C>, query: ShowQuery) -> Answer
where
    S: Platform,
{
    let sheet = operator.board.sheet.snapshot();
    let (revision, rows) = match query.revision {
        Some(revision) if revision != sheet.revision => {
            let rules = operator.store.at(revision).await?;
            let rows = rules.values().flatten().map(rule_text).collect::<Vec<_>>();
            (revision, rows)
        }
        _ => (
            sheet.revision,
            sheet.rules.values().map(rule_text).collect(),
        ),
    };
    let body = write_sheet(rows).map_err(|error| internal(&error.to_string()))?;
    Ok(Response::builder()
        .content_type("text/csv; charset=utf-8")
        .header(REVISION_HEADER, revision)
        .body(body))
}

async fn diff<S, P, C>(operator: &Operator<S, P, C>, query: DiffQuery) -> Answer
where
    S: Platform,
{
    let from = operator.store.at(query.from).await?;
    let to = operator.store.at(query.to).await?;
    json(&sheet_diff(&from, &to))
}

async fn status<S, P, C>(operator: &Operator<S, P, C>, query: StatusQuery) -> Answer
where
    P: Peer,
{
    let Operator {
        board,
        peer,
        peer_time,
        ..
    } = operator;
    if query.own {
        return json(&FleetStatus {
            daemons: vec![status_of(board)],
            silent: Vec::new(),
        });
    }
    json(&fleet_status(board, peer, *peer_time).await)
}

fn drain<S, P, C>(operator: &Operator<S, P, C>) -> Response {
    log::info!("an operator asked for a planned stop");
    operator.drain.cancel();
    text(
        StatusCode::ACCEPTED,
        "stopping after the requests in progress\n",
    )
}

fn ready<S, P, C>(operator: &Operator<S, P, C>) -> Response {
    let health = operator.board.health.load();
    if health.ready && !health.stopping() {
        return text(StatusCode::OK, "ready\n");
    }
    text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
}

fn metrics<S, P, C>(operator: &Operator<S, P, C>) -> Answer {
    let mut body = String::new();
    encode(&mut body, &operator.registry).map_err(|error| internal(&error.to_string()))?;
    Ok(Response::builder().content_type(METRICS_TYPE).body(body))
}

fn check_headers(headers: &HeaderMap, limit: u64) -> Result<(), OperatorProblem> {
    let bytes = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum::<usize>();
    if bytes as u64 <= limit {
        return Ok(());
    }
    Err(OperatorProblem::new(
        StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
        "too-large",
        format!("the headers take {bytes} bytes; send at most {limit}"),
    ))
}

fn check_key(headers: &HeaderMap, key: &Secret) -> Result<(), OperatorProblem> {
    let sent = headers
        .get(AUTHORIZATION)
        .map_or(&[][..], |value| value.as_bytes());
    let sent = sent.strip_prefix(b"Bearer ").unwrap_or_default();
    if bool::from(sent.ct_eq(key.0.as_bytes())) {
        return Ok(());
    }
    Err(OperatorProblem::new(
        StatusCode::UNAUTHORIZED,
        "wrong-key",
        "send the operators' key of the daemon's settings as `Authorization: Bearer KEY`",
    ))
}

fn query<T>(request: &Request) -> Result<T, OperatorProblem>
where
    T: DeserializeOwned,
{
    request.params().map_err(|error| {
        let detail = format!("the query is wrong ({error}); see docs/OPERATIONS.md");
        OperatorProblem::new(StatusCode::BAD_REQUEST, "bad-request", detail)
    })
}

fn slow_body() -> OperatorProblem {
    let detail = "the body did not arrive in time; send it again";
    OperatorProblem::new(StatusCode::REQUEST_TIMEOUT, "too-slow", detail)
}

fn unread_body(error: &ReadBodyError, limit: usize) -> OperatorProblem {
    if matches!(error, ReadBodyError::PayloadTooLarge) {
        let detail = format!("a sheet has at most {limit} bytes; nothing was changed");
        return OperatorProblem::new(StatusCode::PAYLOAD_TOO_LARGE, "too-large", detail);
    }
    let detail = format!("the body was not read ({error}); nothing was changed");
    OperatorProblem::new(StatusCode::BAD_REQUEST, "bad-request", detail)
}

fn internal(cause: &str) -> OperatorProblem {
    let detail = format!("the answer could not be written: {cause}; look at the daemon's log");
    OperatorProblem::new(StatusCode::INTERNAL_SERVER_ERROR, "internal", detail)
}

fn json<T>(value: &T) -> Answer
where
    T: Serialize,
{
    let body = serde_json::to_vec(value).map_err(|error| internal(&error.to_string()))?;
    Ok(Response::builder()
        .content_type("application/json")
        .body(body))
}

fn text(status: StatusCode, body: &'static str) -> Response {
    Response::builder()
        .status(status)
        .content_type("text/plain; charset=utf-8")
        .body(Body::from_string(body.to_owned()))
}
