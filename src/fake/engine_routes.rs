use {
    super::{
        EngineControl, EngineObserved, FaultKind,
        endpoint_response::{broken, not_run, problem},
        engine_core::EngineCore,
        engine_run::{End, Progress, RunKey},
        engine_stream::events,
        engine_transfer::{export, import},
    },
    crate::{
        border::{
            CACHE_EVICTED_REASON, CACHE_EVICTED_STATUS, REFUSED_STATUS, UNKNOWN_ATTEMPT_REASON,
            UNKNOWN_ATTEMPT_STATUS,
            endpoint_wire::{
                CancelRequest, CompletionRequest, KvTransferParams, PrefillReply, RefusalBodyRan,
            },
        },
        decide::count_tokens,
        port::{CacheEvents, Description, LoadReport, Order},
    },
    poem::{
        Body, EndpointExt, IntoEndpoint, IntoResponse, Response, Route, get, handler,
        http::StatusCode,
        post,
        web::{Data, Json, Path, Query},
    },
    serde::Deserialize,
    std::{future::pending, sync::Arc},
    tokio::sync::watch,
};

type Core<'a> = Data<&'a Arc<EngineCore>>;

/// Query of a resumed stream: the index of the first token to send.
#[derive(Deserialize)]
struct ResumeQuery {
    from: u32,
}

/// Query of the cache events: the sequence number of the last event received.
#[derive(Deserialize)]
struct EventsQuery {
    #[serde(default)]
    after: u64,
}

/// Returns the HTTP routes of the fake engine.
pub(super) fn routes(core: Arc<EngineCore>) -> impl IntoEndpoint {
    Route::new()
        .at("/v1/completions", post(complete))
        .at("/v1/completions/:attempt", get(resume))
        .at("/v1/kv/:handle", get(read_cache))
        .at("/v1/cancel", post(cancel))
        .at("/v1/describe", get(describe))
        .at("/v1/load", get(load))
        .at("/v1/events", get(cache_events))
        .at("/v1/orders", post(order))
        .at("/fake/control", post(control))
        .at("/fake/observed", get(observed))
        .data(core)
}

#[handler]
async fn complete(Data(core): Core<'_>, Json(request): Json<CompletionRequest>) -> Response {
    let admitted = core.lock().admit(&request);
    let key = match admitted {
        Ok(key) => key,
        Err(reason) => return not_run(REFUSED_STATUS, reason),
    };
    let Some(progress) = core.subscribe(key) else {
        return broken();
    };
    core.work.notify_one();
    if !request.stream {
        return prefill_response(core, &request, key, progress).await;
    }
    match request.kv_transfer_params.filter(|kv| kv.do_remote_prefill) {
        Some(kv) => import_response(core, key, kv, progress).await,
        None => stream(core, key, progress, 0),
    }
}

/// Waits until an attempt is ready or has ended.
///
/// Never returns if the engine died: the server drops the connection once its listener is closed.
async fn wait_ready(progress: &mut watch::Receiver<Progress>) -> Progress {
    let reached = progress.wait_for(|p| p.ready || p.end.is_some()).await;
    match reached.map(|progress| *progress) {
        Ok(progress) if progress.end != Some(End::Died) => progress,
        Ok(_) | Err(_) => pending().await,
    }
}

/// Responds to a prefill once its KV cache is computed.
async fn prefill_response(
    core: &EngineCore,
    request: &CompletionRequest,
    key: RunKey,
    mut progress: watch::Receiver<Progress>,
) -> Response {
    let ready = wait_ready(&mut progress).await.ready;
    let cached = core.lock().runs.get(key).map(|run| run.observed.cached);
    let (true, Some(cached)) = (ready, cached) else {
        return problem(500, RefusalBodyRan::Unknown, End::Cancelled.as_str());
    };
    let settings = core.lock().settings.clone();
    let expiry = settings.scaled_ms(settings.expiry_ms);
    let reply = PrefillReply {
        id: request.attempt.clone(),
        kv_transfer_params: KvTransferParams {
            cached_tokens: Some(cached),
            do_remote_decode: false,
            do_remote_prefill: true,
            expires_ms: u64::try_from(expiry.as_millis()).ok(),
            remote_address: Some(core.address.clone()),
            remote_handle: Some(request.attempt.clone()),
            remote_tokens: Some(count_tokens(&request.prompt)),
        },
    };
    Json(reply).into_response()
}

/// Responds to a decode with import once the import has started.
async fn import_response(
    core: &Arc<EngineCore>,
    key: RunKey,
    kv: KvTransferParams,
    mut progress: watch::Receiver<Progress>,
) -> Response {
    tokio::spawn(import(Arc::clone(core), key, kv));
    let started = wait_ready(&mut progress).await;
    if !started.ready && started.end == Some(End::CacheGone) {
        return not_run(CACHE_EVICTED_STATUS, CACHE_EVICTED_REASON);
    }
    stream(core, key, progress, 0)
}

/// Responds with the tokens of an attempt from `index` on.
fn stream(
    core: &Arc<EngineCore>,
    key: RunKey,
    progress: watch::Receiver<Progress>,
    index: u32,
) -> Response {
    events(core, key, progress, index).unwrap_or_else(broken)
}

#[handler]
fn resume(
    Data(core): Core<'_>,
    Path(attempt): Path<String>,
    Query(query): Query<ResumeQuery>,
) -> Response {
    let subscribed = core.lock().subscribe(&attempt);
    match subscribed {
        Some((key, progress)) => stream(core, key, progress, query.from),
        None => problem(
            UNKNOWN_ATTEMPT_STATUS,
            RefusalBodyRan::Unknown,
            UNKNOWN_ATTEMPT_REASON,
        ),
    }
}

#[handler]
fn read_cache(Data(core): Core<'_>, Path(handle): Path<String>) -> Response {
    match export(core, &handle) {
        Some(parts) => Response::builder().body(Body::from_bytes_stream(parts)),
        None => not_run(CACHE_EVICTED_STATUS, CACHE_EVICTED_REASON),
    }
}

#[handler]
fn cancel(Data(core): Core<'_>, Json(request): Json<CancelRequest>) -> Response {
    let mut state = core.lock();
    if state.faults.draw(FaultKind::LoseCancel).is_some() {
        return broken();
    }
    state.cancel(&request.attempt);
    if state.faults.draw(FaultKind::LoseAnswer).is_some() {
        return broken();
    }
    StatusCode::NO_CONTENT.into()
}

#[handler]
fn describe(Data(core): Core<'_>) -> Json<Description> {
    Json(core.lock().description())
}

#[handler]
fn load(Data(core): Core<'_>) -> Json<LoadReport> {
    Json(core.lock().load())
}

#[handler]
fn cache_events(Data(core): Core<'_>, Query(query): Query<EventsQuery>) -> Json<CacheEvents> {
    Json(core.lock().events(query.after))
}

#[handler]
fn order(Data(core): Core<'_>, Json(order): Json<Order>) -> Response {
    let applied = core.lock().order(order);
    match applied {
        Ok(description) => Json(description).into_response(),
        Err(reason) => not_run(REFUSED_STATUS, reason),
    }
}

#[handler]
fn control(Data(core): Core<'_>, Json(control): Json<EngineControl>) -> StatusCode {
    core.control(&control);
    StatusCode::NO_CONTENT
}

#[handler]
fn observed(Data(core): Core<'_>) -> Json<EngineObserved> {
    Json(core.lock().observed())
}
