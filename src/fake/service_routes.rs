use {
    super::{
        FaultKind, ServiceControl, ServiceObserved, ServiceRun,
        endpoint_response::{broken, not_run},
        service::{ServiceCore, ServiceState},
    },
    crate::border::REFUSED_STATUS,
    poem::{
        EndpointExt, IntoEndpoint, IntoResponse, Request, Response, Route, get, handler,
        http::StatusCode,
        post,
        web::{Data, Json},
    },
    serde_json::json,
    std::{future::pending, sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// Header that identifies a call that must run at most once.
const KEY_HEADER: &str = "idempotency-key";

/// What happens to a call.
struct Fate {
    refused: bool,
    dies: bool,
    lost: bool,
    time: Duration,
}

/// Returns the HTTP service of the plain service's stand-in.
pub(super) fn routes(core: Arc<ServiceCore>) -> impl IntoEndpoint {
    Route::new()
        .at("/fake/control", post(control))
        .at("/fake/observed", get(observed))
        .at("/*path", call)
        .data(core)
}

#[handler]
async fn call(Data(core): Data<&Arc<ServiceCore>>, request: &Request, body: String) -> Response {
    let fate = fate(core);
    if fate.refused {
        return not_run(REFUSED_STATUS, "fault");
    }
    let run = ServiceRun {
        method: request.method().to_string(),
        path: request.uri().to_string(),
        body,
    };
    let key = request.header(KEY_HEADER);
    let count = record(&mut core.lock(), key, &run);
    sleep(fate.time).await;
    if fate.dies {
        core.die();
        return pending().await;
    }
    if fate.lost {
        return broken();
    }
    let answer = json!({
        "method": run.method,
        "path": run.path,
        "body": run.body,
        "run": count,
    });
    Json(answer).into_response()
}

fn fate(core: &ServiceCore) -> Fate {
    let mut state = core.lock();
    let slow = state.faults.draw(FaultKind::Slow);
    let slow = slow.map_or(0, |fault| fault.ms);
    let refused = state.faults.draw(FaultKind::Refuse).is_some();
    state.observed.refused += u64::from(refused);
    Fate {
        refused,
        dies: !refused && state.faults.draw(FaultKind::Die).is_some(),
        lost: !refused && state.faults.draw(FaultKind::LoseAnswer).is_some(),
        time: core.settings.scaled_ms(core.settings.latency_ms + slow),
    }
}

/// Records a run and returns how often its key has run.
fn record(state: &mut ServiceState, key: Option<&str>, run: &ServiceRun) -> u64 {
    let Some(key) = key else {
        state.observed.keyless += 1;
        return 1;
    };
    let runs = state.observed.runs.entry(key.to_owned()).or_default();
    runs.push(run.clone());
    runs.len() as u64
}

#[handler]
fn control(Data(core): Data<&Arc<ServiceCore>>, Json(control): Json<ServiceControl>) -> StatusCode {
    core.control(&control);
    StatusCode::NO_CONTENT
}

#[handler]
fn observed(Data(core): Data<&Arc<ServiceCore>>) -> Json<ServiceObserved> {
    Json(core.lock().observed.clone())
}
