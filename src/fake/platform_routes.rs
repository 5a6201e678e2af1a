use {
    super::{
        Outage, PlatformControl, PlatformObserved,
        platform::PlatformCore,
        platform_state::{Condition, WriteOutcome},
    },
    crate::{
        border::MAX_OBJECT_BYTES,
        port::{HostEntry, Object, ObjectName},
    },
    poem::{
        Body, EndpointExt, IntoEndpoint, IntoResponse, Request, Response, Route, get, handler,
        http::{
            StatusCode,
            header::{ETAG, IF_MATCH, IF_NONE_MATCH},
        },
        post,
        web::{Data, Json, Path, Query},
    },
    serde::Deserialize,
    std::{sync::Arc, time::Duration},
    tokio::time::{sleep, timeout},
};

/// Body of the response to a call during an outage.
const DOWN_TEXT: &str = "the platform is down";
/// Body of the response to a write that is too large.
const TOO_LARGE_TEXT: &str = "an object holds at most 1,000,000 bytes";

type State<'a> = Data<&'a Arc<PlatformCore>>;

/// Query of a list: the prefix of the names.
#[derive(Deserialize)]
struct ListQuery {
    #[serde(default)]
    prefix: String,
}

/// Query of a read; with `after` it is a watch that waits `wait_ms` for a greater version.
#[derive(Deserialize)]
struct WatchQuery {
    after: Option<u64>,
    #[serde(default)]
    wait_ms: u64,
}

/// Returns the HTTP routes of the fake platform.
pub(super) fn routes(shared: Arc<PlatformCore>) -> impl IntoEndpoint {
    Route::new()
        .at("/objects", get(list))
        .at("/objects/*name", get(read).put(write))
        .at("/hosts", get(hosts))
        .at("/fake/control", post(control))
        .at("/fake/observed", get(observed))
        .data(shared)
}

#[handler]
async fn read(
    Data(state): State<'_>,
    Path(name): Path<String>,
    Query(query): Query<WatchQuery>,
) -> Result<Response, Refusal> {
    let watch = query.after.is_some();
    let count = |calls: &mut PlatformObserved| {
        if watch {
            calls.watches += 1;
        } else {
            calls.reads += 1;
        }
    };
    admit(state, count).await?;
    let Some(after) = query.after else {
        let found = state.lock().read(&name);
        return Ok(found.map_or_else(|| StatusCode::NOT_FOUND.into(), object));
    };
    let wait = Duration::from_millis(query.wait_ms);
    let found = timeout(wait, wait_newer(state, &name, after)).await;
    match found {
        Ok(Some(found)) => Ok(object(found)),
        Ok(None) => Err(refuse(StatusCode::SERVICE_UNAVAILABLE, DOWN_TEXT)),
        Err(_) => Ok(StatusCode::NOT_MODIFIED.into()),
    }
}

#[handler]
async fn write(
    Data(state): State<'_>,
    Path(name): Path<String>,
    request: &Request,
    body: Body,
) -> Result<Response, Refusal> {
    let condition = condition(request)?;
    let body = body.into_bytes_limit(MAX_OBJECT_BYTES).await;
    let body = body.or(Err(refuse(StatusCode::PAYLOAD_TOO_LARGE, TOO_LARGE_TEXT)))?;
    let count = |calls: &mut PlatformObserved| match condition {
        Condition::Absent => calls.creates += 1,
        Condition::Version(_) => calls.updates += 1,
    };
    admit(state, count).await?;
    let outcome = state.lock().write(&name, condition, body);
    state.notify();
    match (outcome, condition) {
        (WriteOutcome::Done(version), Condition::Absent) => {
            Ok(version_response(StatusCode::CREATED, version))
        }
        (WriteOutcome::Done(version), Condition::Version(_)) => {
            Ok(version_response(StatusCode::OK, version))
        }
        (WriteOutcome::Conflict(current), _) => {
            Ok(version_response(StatusCode::PRECONDITION_FAILED, current))
        }
        (WriteOutcome::Lost, _) => {
            Err(refuse(StatusCode::GATEWAY_TIMEOUT, "the response was lost"))
        }
    }
}

#[handler]
async fn list(
    Data(state): State<'_>,
    Query(query): Query<ListQuery>,
) -> Result<Json<Vec<ObjectName>>, Refusal> {
    admit(state, |calls| calls.lists += 1).await?;
    Ok(Json(state.lock().list(&query.prefix)))
}

#[handler]
async fn hosts(Data(state): State<'_>) -> Result<Json<Vec<HostEntry>>, Refusal> {
    admit(state, |calls| calls.hosts += 1).await?;
    Ok(Json(state.lock().hosts()))
}

#[handler]
fn control(Data(state): State<'_>, Json(control): Json<PlatformControl>) -> StatusCode {
    state.control(control);
    StatusCode::NO_CONTENT
}

#[handler]
fn observed(Data(state): State<'_>) -> Json<PlatformObserved> {
    Json(state.lock().observed)
}

/// Counts the call, then delays or refuses it if a fault is in force.
async fn admit<F>(state: &Arc<PlatformCore>, count: F) -> Result<(), Refusal>
where
    F: FnOnce(&mut PlatformObserved),
{
    let faults = {
        let mut locked = state.lock();
        count(&mut locked.observed);
        locked.faults.clone()
    };
    if faults.delay_ms > 0 {
        sleep(Duration::from_millis(faults.delay_ms)).await;
    }
    let outage = faults.outage;
    if outage == Outage::Hang {
        state.wait_outage(Outage::Hang, false).await;
    }
    if outage == Outage::None {
        return Ok(());
    }
    state.lock().observed.refused += 1;
    Err(refuse(StatusCode::SERVICE_UNAVAILABLE, DOWN_TEXT))
}

/// Waits for a version of an object greater than `after`; `None` if an outage begins.
async fn wait_newer(state: &Arc<PlatformCore>, name: &str, after: u64) -> Option<Object> {
    let mut changes = state.subscribe();
    loop {
        let found = {
            let locked = state.lock();
            if locked.faults.outage != Outage::None {
                return None;
            }
            locked.newer(name, after)
        };
        if found.is_some() {
            return found;
        }
        changes.changed().await.ok()?;
    }
}

/// Reads the condition of a write from its headers.
fn condition(request: &Request) -> Result<Condition, Refusal> {
    if request.header(IF_NONE_MATCH) == Some("*") {
        return Ok(Condition::Absent);
    }
    let tag = request
        .header(IF_MATCH)
        .map(|tag| tag.trim_matches('"').parse());
    match tag {
        Some(Ok(version)) => Ok(Condition::Version(version)),
        Some(Err(_)) | None => Err(refuse(
            StatusCode::BAD_REQUEST,
            "send `If-None-Match: *` or `If-Match` with a version",
        )),
    }
}

/// Returns a response with the body of an object and its version as `ETag`.
fn object(object: Object) -> Response {
    Response::builder()
        .header(ETAG, format!("\"{}\"", object.version))
        .body(object.body)
}

/// Returns an empty response with a version as `ETag`.
fn version_response(status: StatusCode, version: u64) -> Response {
    Response::builder()
        .status(status)
        .header(ETAG, format!("\"{version}\""))
        .finish()
}

fn refuse(status: StatusCode, text: &'static str) -> Refusal {
    Refusal { status, text }
}

/// Response to a refused call.
#[derive(Debug)]
struct Refusal {
    status: StatusCode,
    text: &'static str,
}

impl IntoResponse for Refusal {
    fn into_response(self) -> Response {
        Response::builder().status(self.status).body(self.text)
    }
}

impl From<Refusal> for poem::Error {
    fn from(refused: Refusal) -> Self {
        Self::from_response(refused.into_response())
    }
}
