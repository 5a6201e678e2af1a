use {
    super::{
        Outage, PlatformControl, PlatformObserved,
        platform::Shared,
        platform_state::{Condition, Written},
    },
    crate::{
        border::OBJECT_BYTES_MAX,
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

const DOWN: &str = "the platform is down";
const TOO_LARGE: &str = "an object holds at most 1,000,000 bytes";

type State<'a> = Data<&'a Arc<Shared>>;

#[derive(Deserialize)]
struct ListQuery {
    #[serde(default)]
    prefix: String,
}

#[derive(Deserialize)]
struct WatchQuery {
    after: Option<u64>,
    #[serde(default)]
    wait_ms: u64,
}

/// Returns the stand-in's HTTP service.
pub(super) fn routes(shared: Arc<Shared>) -> impl IntoEndpoint {
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
) -> Result<Response, Refused> {
    let watch = query.after.is_some();
    let count = |seen: &mut PlatformObserved| {
        if watch {
            seen.watches += 1;
        } else {
            seen.reads += 1;
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
        Ok(None) => Err(refuse(StatusCode::SERVICE_UNAVAILABLE, DOWN)),
        Err(_) => Ok(StatusCode::NOT_MODIFIED.into()),
    }
}

#[handler]
async fn write(
    Data(state): State<'_>,
    Path(name): Path<String>,
    request: &Request,
    body: Body,
) -> Result<Response, Refused> {
    let condition = condition(request)?;
    let body = body.into_bytes_limit(OBJECT_BYTES_MAX).await;
    let body = body.or(Err(refuse(StatusCode::PAYLOAD_TOO_LARGE, TOO_LARGE)))?;
    let count = |seen: &mut PlatformObserved| match condition {
        Condition::Absent => seen.creates += 1,
        Condition::Version(_) => seen.updates += 1,
    };
    admit(state, count).await?;
    let written = state.lock().write(&name, condition, body);
    state.wake();
    match (written, condition) {
        (Written::Done(version), Condition::Absent) => Ok(tagged(StatusCode::CREATED, version)),
        (Written::Done(version), Condition::Version(_)) => Ok(tagged(StatusCode::OK, version)),
        (Written::Conflict(current), _) => Ok(tagged(StatusCode::PRECONDITION_FAILED, current)),
        (Written::Lost, _) => Err(refuse(StatusCode::GATEWAY_TIMEOUT, "the answer was lost")),
    }
}

#[handler]
async fn list(
    Data(state): State<'_>,
    Query(query): Query<ListQuery>,
) -> Result<Json<Vec<ObjectName>>, Refused> {
    admit(state, |seen| seen.lists += 1).await?;
    Ok(Json(state.lock().list(&query.prefix)))
}

#[handler]
async fn hosts(Data(state): State<'_>) -> Result<Json<Vec<HostEntry>>, Refused> {
    admit(state, |seen| seen.hosts += 1).await?;
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

/// Counts the call, then delays it or refuses it as the faults say.
async fn admit<F>(state: &Arc<Shared>, count: F) -> Result<(), Refused>
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
        state.until(Outage::Hang, false).await;
    }
    if outage == Outage::None {
        return Ok(());
    }
    state.lock().observed.refused += 1;
    Err(refuse(StatusCode::SERVICE_UNAVAILABLE, DOWN))
}

/// Waits for a version greater than `after`; `None` if an outage begins.
async fn wait_newer(state: &Arc<Shared>, name: &str, after: u64) -> Option<Object> {
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

fn condition(request: &Request) -> Result<Condition, Refused> {
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

fn object(object: Object) -> Response {
    Response::builder()
        .header(ETAG, format!("\"{}\"", object.version))
        .body(object.body)
}

fn tagged(status: StatusCode, version: u64) -> Response {
    Response::builder()
        .status(status)
        .header(ETAG, format!("\"{version}\""))
        .finish()
}

fn refuse(status: StatusCode, text: &'static str) -> Refused {
    Refused { status, text }
}

/// A call that is refused.
#[derive(Debug)]
struct Refused {
    status: StatusCode,
    text: &'static str,
}

impl IntoResponse for Refused {
    fn into_response(self) -> Response {
        Response::builder().status(self.status).body(self.text)
    }
}

impl From<Refused> for poem::Error {
    fn from(refused: Refused) -> Self {
        Self::from_response(refused.into_response())
    }
}
