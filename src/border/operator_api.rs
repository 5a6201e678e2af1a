use {
    super::{
        MAX_SHEET_BYTES, OperatorContext, OperatorProblem, announce_close, read_sheet, write_sheet,
    },
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

/// Content type of `GET /metrics`.
const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
/// Header that carries the revision of a sheet.
pub const REVISION_HEADER: &str = "lentillead-revision";

/// Response to an operator, or the problem that refuses the request.
type ApiResult = Result<Response, OperatorProblem>;

/// Query of `PUT /v1/sheet`.
#[derive(Deserialize)]
struct SubmitQuery {
    /// Revision that the sheet was made from.
    base: u64,
    /// Identifier of the change, which makes a repeated request harmless.
    change: String,
    /// Who submits the sheet.
    author: String,
}

/// Query of `GET /v1/sheet`.
#[derive(Deserialize)]
struct ShowQuery {
    /// Revision to return; the one in force if absent.
    revision: Option<u64>,
}

/// Query of `GET /v1/sheet/diff`.
#[derive(Deserialize)]
struct DiffQuery {
    /// Revision whose rules are the old ones.
    from: u64,
    /// Revision whose rules are the new ones.
    to: u64,
}

/// Query of `GET /v1/status`.
#[derive(Deserialize)]
struct StatusQuery {
    /// Whether to report this daemon only, without calls to others.
    #[serde(default)]
    own: bool,
}

/// Handles one request of an operator.
pub(super) async fn handle<S, P, C>(ctx: &OperatorContext<S, P, C>, request: Request) -> Response
where
    S: Platform,
    P: Peer,
    C: Clock,
{
    match route(ctx, request).await {
        Ok(response) => response,
        Err(problem) => {
            let is_unread = problem.status == StatusCode::PAYLOAD_TOO_LARGE;
            let mut response = problem.into_response();
            if is_unread {
                announce_close(response.headers_mut());
            }
            response
        }
    }
}

/// Checks the headers and the key, and dispatches a request by method and path.
///
/// Health and metrics need no key.
async fn route<S, P, C>(ctx: &OperatorContext<S, P, C>, request: Request) -> ApiResult
where
    S: Platform,
    P: Peer,
    C: Clock,
{
    check_headers(request.headers(), ctx.limits.header_bytes)?;
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    match (method, path.as_str()) {
        (Method::GET, "/healthz") => return Ok(text(StatusCode::OK, "live\n")),
        (Method::GET, "/readyz") => return Ok(ready(ctx)),
        (Method::GET, "/metrics") => return metrics(ctx),
        _ => check_key(request.headers(), &ctx.key)?,
    }
    match (request.method(), path.as_str()) {
        (&Method::PUT, "/v1/sheet") => submit(ctx, request).await,
        (&Method::GET, "/v1/sheet") => show(ctx, query(&request)?).await,
        (&Method::GET, "/v1/sheet/history") => json(&ctx.store.history().await?),
        (&Method::GET, "/v1/sheet/diff") => diff(ctx, query(&request)?).await,
        (&Method::GET, "/v1/status") => status(ctx, query(&request)?).await,
        (&Method::POST, "/v1/drain") => Ok(drain(ctx)),
        (method, path) => Err(OperatorProblem::new(
            StatusCode::NOT_FOUND,
            "no-such-call",
            format!("there is no {method} {path}; see docs/OPERATIONS.md"),
        )),
    }
}

/// Checks the sheet in the body and submits it as a new revision.
async fn submit<S, P, C>(ctx: &OperatorContext<S, P, C>, mut request: Request) -> ApiResult
where
    S: Platform,
    C: Clock,
{
    let query = query::<SubmitQuery>(&request)?;
    let limit = MAX_SHEET_BYTES.min(ctx.limits.body_bytes as usize);
    let body = request.take_body().into_bytes_limit(limit);
    let body = timeout(ctx.limits.body_time, body)
        .await
        .map_err(|_elapsed| body_timeout())?
        .map_err(|error| body_error(&error, limit))?;
    let rows = read_sheet(&body)?;
    let branches = ctx.board.branches.load();
    let known = branches.iter().map(|(_, branch)| branch.name.clone());
    let rules = sheet_check(&rows, Some(&known.collect::<BTreeSet<_>>()))?;
    let submission = Submission {
        base: query.base,
        rules,
        change: query.change,
        author: query.author,
        time: ctx.clock.unix_ms(),
        known_revision: ctx.board.sheet.load().revision,
    };
    json(&ctx.store.submit(submission).await?)
}

/// Returns a revision of the sheet as CSV.
async fn show<S, P, C>(ctx: &OperatorContext<S, P, C>, query: ShowQuery) -> ApiResult
where
    S: Platform,
{
    let sheet = ctx.board.sheet.snapshot();
    let (revision, rows) = match query.revision {
        Some(revision) if revision != sheet.revision => {
            let rules = ctx.store.at(revision).await?;
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

/// Compares two revisions of the sheet.
async fn diff<S, P, C>(ctx: &OperatorContext<S, P, C>, query: DiffQuery) -> ApiResult
where
    S: Platform,
{
    let from = ctx.store.at(query.from).await?;
    let to = ctx.store.at(query.to).await?;
    json(&sheet_diff(&from, &to))
}

/// Reports the status of this daemon or of the fleet.
async fn status<S, P, C>(ctx: &OperatorContext<S, P, C>, query: StatusQuery) -> ApiResult
where
    P: Peer,
{
    let OperatorContext {
        board,
        peer,
        peer_time,
        ..
    } = ctx;
    if query.own {
        return json(&FleetStatus {
            daemons: vec![status_of(board)],
            silent: Vec::new(),
        });
    }
    json(&fleet_status(board, peer, *peer_time).await)
}

/// Starts a planned stop of the daemon.
fn drain<S, P, C>(ctx: &OperatorContext<S, P, C>) -> Response {
    log::info!(
        "an operator requested a planned stop; the daemon stops after the requests in progress"
    );
    ctx.drain.cancel();
    text(
        StatusCode::ACCEPTED,
        "stopping after the requests in progress\n",
    )
}

/// Reports whether the daemon accepts new requests.
fn ready<S, P, C>(ctx: &OperatorContext<S, P, C>) -> Response {
    let health = ctx.board.health.load();
    if health.ready && !health.stopping() {
        return text(StatusCode::OK, "ready\n");
    }
    text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
}

/// Encodes the metrics of the daemon.
fn metrics<S, P, C>(ctx: &OperatorContext<S, P, C>) -> ApiResult {
    let mut body = String::new();
    encode(&mut body, &ctx.registry).map_err(|error| internal(&error.to_string()))?;
    Ok(Response::builder().content_type(METRICS_TYPE).body(body))
}

/// Fails if names and values of all headers exceed `limit` bytes.
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

/// Fails unless the headers present `key` as a bearer token; compares in constant time.
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

/// Parses the query of a request; fails if a parameter is missing or malformed.
fn query<T>(request: &Request) -> Result<T, OperatorProblem>
where
    T: DeserializeOwned,
{
    request.params().map_err(|error| {
        let detail = format!("the query is invalid ({error}); see docs/OPERATIONS.md");
        OperatorProblem::new(StatusCode::BAD_REQUEST, "bad-request", detail)
    })
}

fn body_timeout() -> OperatorProblem {
    let detail = "the body did not arrive in time; send it again";
    OperatorProblem::new(StatusCode::REQUEST_TIMEOUT, "too-slow", detail)
}

fn body_error(error: &ReadBodyError, limit: usize) -> OperatorProblem {
    if matches!(error, ReadBodyError::PayloadTooLarge) {
        let detail = format!("a sheet has at most {limit} bytes; nothing was changed");
        return OperatorProblem::new(StatusCode::PAYLOAD_TOO_LARGE, "too-large", detail);
    }
    let detail = format!("the body could not be read ({error}); nothing was changed");
    OperatorProblem::new(StatusCode::BAD_REQUEST, "bad-request", detail)
}

fn internal(cause: &str) -> OperatorProblem {
    let detail = format!(
        "the response could not be encoded: {cause}; this is a fault of the daemon, please report it"
    );
    OperatorProblem::new(StatusCode::INTERNAL_SERVER_ERROR, "internal", detail)
}

fn json<T>(value: &T) -> ApiResult
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
