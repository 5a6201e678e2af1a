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

/// Outcome drawn for a call: the faults that hit it and its duration.
struct Outcome {
    refused: bool,
    dies: bool,
    lost: bool,
    time: Duration,
}

/// Returns the HTTP routes of the fake service.
pub(super) fn routes(core: Arc<ServiceCore>) -> impl IntoEndpoint {
    Route::new()
        .at("/fake/control", post(control))
        .at("/fake/observed", get(observed))
        .at("/*path", call)
        .data(core)
}

#[handler]
async fn call(Data(core): Data<&Arc<ServiceCore>>, request: &Request, body: String) -> Response {
    let outcome = draw_outcome(core);
    if outcome.refused {
        return not_run(REFUSED_STATUS, "fault");
    }
    let run = ServiceRun {
        method: request.method().to_string(),
        path: request.uri().to_string(),
        body,
    };
    let key = request.header(KEY_HEADER);
    let count = record(&mut core.lock(), key, &run);
    sleep(outcome.time).await;
    if outcome.dies {
        core.die();
        return pending().await;
    }
    if outcome.lost {
        return broken();
    }
    let response = json!({
        "method": run.method,
        "path": run.path,
        "body": run.body,
        "run": count,
    });
    Json(response).into_response()
}

/// Draws the faults that hit a call; a refused call draws no other fault but `Slow`.
fn draw_outcome(core: &ServiceCore) -> Outcome {
    let mut state = core.lock();
    let delay_ms = state.faults.draw(FaultKind::Slow);
    let delay_ms = delay_ms.map_or(0, |fault| fault.ms);
    let refused = state.faults.draw(FaultKind::Refuse).is_some();
    state.observed.refused += u64::from(refused);
    Outcome {
        refused,
        dies: !refused && state.faults.draw(FaultKind::Die).is_some(),
        lost: !refused && state.faults.draw(FaultKind::LoseAnswer).is_some(),
        time: core.settings.scaled_ms(core.settings.latency_ms + delay_ms),
    }
}

/// Records a call that runs and returns how often its key has run; 1 for a call without a key.
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
