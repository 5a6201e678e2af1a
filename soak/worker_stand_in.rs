use {
    super::{
        StoreStandIn,
        link_proxy::LinkProxy,
        recorder::{Arrival, Recorder, RoleOrder},
        worker_fault::WorkerFault,
        worker_response::{
            WorkerResponse, events, full_response, header, rejection, stamped_response,
            truncated_response,
        },
        worker_run::WorkerRun,
    },
    bytes::Bytes,
    http::{HeaderMap, HeaderValue, Method, Request},
    http_body_util::{BodyExt, StreamBody},
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::TokioIo,
    serde_json::{Value, json},
    std::{
        collections::HashSet,
        io,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{net::TcpListener, sync::watch, time::sleep},
};

/// Time that a service call takes.
const CALL_TIME: Duration = Duration::from_millis(15);

/// Time that a prefill on a prefill engine takes.
const PREFILL_TIME: Duration = Duration::from_millis(30);

/// Requests that a worker runs at once; further ones are rejected.
const SLOTS: usize = 24;

/// Pause between two checks whether an engine goes on with its streams.
const PAUSE_POLL: Duration = Duration::from_millis(20);

/// Time that an engine takes to change its role.
const ROLE_SWITCH_TIME: Duration = Duration::from_millis(1_500);

/// Time after a worker registered itself as draining within which it may still get requests.
pub const DRAIN_TIME: Duration = Duration::from_secs(2);

/// Time for which a worker that is full asks for no further requests.
const PAUSE_TIME: Duration = Duration::from_millis(1_500);

/// Time after a crash until the worker's entry expires in the store.
const EXPIRY_TIME: Duration = Duration::from_millis(1_500);

/// A stand-in for an engine or a service: it registers itself in the store, serves requests over
/// HTTP and records what it runs. Clones share one worker.
#[derive(Clone, Debug)]
pub struct WorkerStandIn {
    /// Index of the worker; its instances are named `w{number}-{generation}`.
    pub number: usize,
    /// Service that it belongs to: `ledger` or `models`.
    pub service: &'static str,
    /// Pause before each event of a stream.
    event_time: Duration,
    link: Arc<LinkProxy>,
    store: StoreStandIn,
    recorder: Recorder,
    exported: ExportedHandles,
    state: Arc<Mutex<State>>,
    generation: watch::Sender<u64>,
}

/// Handles of prefilled prompts, of all engines, that no decode engine has fetched yet.
pub type ExportedHandles = Arc<Mutex<HashSet<String>>>;

#[derive(Debug)]
struct State {
    instance: String,
    role: Option<&'static str>,
    fault: WorkerFault,
    running: usize,
    /// Number of role changes that this instance has accepted; an order may state the number
    /// it expects.
    orders: u64,
    switching: bool,
    up: bool,
    draining: bool,
    /// Number of handles exported so far, over all instances.
    exports: u64,
}

impl WorkerStandIn {
    /// Starts a worker of `service` on a free loopback port and registers it. An engine has a
    /// `role`, and pauses for `event_time` before each event of a stream; a service has `None`.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start(
        number: usize,
        service: &'static str,
        role: Option<&'static str>,
        event_time: Duration,
        store: &StoreStandIn,
        recorder: &Recorder,
        exported: &ExportedHandles,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let link = LinkProxy::start(listener.local_addr()?).await?;
        let worker = Self {
            number,
            service,
            event_time,
            link: Arc::new(link),
            store: store.clone(),
            recorder: recorder.clone(),
            exported: Arc::clone(exported),
            state: Arc::new(Mutex::new(State {
                instance: format!("w{number}-0"),
                role,
                fault: WorkerFault::None,
                running: 0,
                orders: 0,
                switching: false,
                up: true,
                draining: false,
                exports: 0,
            })),
            generation: watch::channel(0).0,
        };
        let serving = worker.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let worker = serving.clone();
                if !worker.state().up {
                    continue;
                }
                tokio::spawn(async move {
                    let mut generation = worker.generation.subscribe();
                    let current = *generation.borrow();
                    let service = service_fn(|request| worker.respond(request));
                    let serve =
                        http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                    tokio::select! {
                        // A connection error ends the runs on it, which the recorder sees.
                        _ = serve => {}
                        _ = generation.wait_for(|now| *now != current) => {}
                    }
                });
            }
        });
        worker.register();
        Ok(worker)
    }

    /// Returns how often it has ended, and how often its link was reset.
    pub fn breaks(&self) -> (u64, u64) {
        (*self.generation.borrow(), self.link.resets())
    }

    /// The proxy through which daemons reach it.
    pub fn link(&self) -> &LinkProxy {
        &self.link
    }

    /// Sets the fault; `WorkerFault::None` ends it.
    pub fn set_fault(&self, fault: WorkerFault) {
        self.state().fault = fault;
    }

    /// Drops all connections, and starts again as a new instance after `time`. The entry expires in
    /// between.
    pub async fn crash(&self, time: Duration) {
        self.shut_down();
        let expiry = EXPIRY_TIME.min(time);
        sleep(expiry).await;
        self.deregister();
        sleep(time.saturating_sub(expiry)).await;
        self.restart();
    }

    /// Drains, deregisters and stops, and starts again as a new instance after `time`.
    pub async fn drain(&self, time: Duration) {
        let instance = self.state().instance.clone();
        self.state().draining = true;
        self.register();
        let now = self.recorder.now();
        self.recorder.history().drains.insert(instance, now);
        sleep(DRAIN_TIME + Duration::from_secs(1)).await;
        self.deregister();
        sleep(Duration::from_secs(1)).await;
        self.shut_down();
        sleep(time).await;
        self.restart();
    }

    /// Removes the entry from the store, as when it expires; `register` restores it.
    pub fn deregister(&self) {
        let instance = self.state().instance.clone();
        self.store.remove("servers", &instance);
    }

    /// Returns the name of the instance that runs, or that ran last.
    pub fn instance(&self) -> String {
        self.state().instance.clone()
    }

    /// Writes the entry to the store; does nothing while the worker is stopped.
    pub fn register(&self) {
        let state = self.state();
        if !state.up {
            return;
        }
        let state_name = if state.draining { "draining" } else { "ready" };
        let mut entry = json!({
            "Service": self.service, "Address": self.link.address().to_string(),
            "Zone": "zone-a", "Version": "v1", "Slots": SLOTS, "State": state_name,
            "ColdRemainingMs": 0, "Sequence": 1,
        });
        if let Some(role) = state.role {
            entry["Stage"] = json!(role);
        }
        self.store.put("servers", &state.instance, &entry);
    }

    fn shut_down(&self) {
        self.state().up = false;
        self.generation.send_modify(|generation| *generation += 1);
    }

    fn restart(&self) {
        let life = *self.generation.borrow();
        let mut state = self.state();
        state.instance = format!("w{}-{life}", self.number);
        state.up = true;
        state.draining = false;
        state.orders = 0;
        state.switching = false;
        drop(state);
        self.register();
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Responds to a request; the response echoes its id, and says whether the worker leaves.
    async fn respond(&self, request: Request<Incoming>) -> io::Result<WorkerResponse> {
        let id = request.headers().get("request-id").cloned();
        let leaving = self.state().draining;
        let mut response = self.handle(request).await?;
        let headers = response.headers_mut();
        if let Some(id) = id {
            headers.insert("request-id", id);
        }
        if leaving {
            headers.insert("server-leaving", HeaderValue::from_static("1"));
        }
        Ok(response)
    }

    async fn handle(&self, request: Request<Incoming>) -> io::Result<WorkerResponse> {
        let (parts, body) = request.into_parts();
        let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
        let head = &parts.headers;
        let instance = self.state().instance.clone();
        let expected = header(head, "expect-instance");
        if !expected.is_empty() && expected != instance {
            return Ok(rejection(421));
        }
        match (&parts.method, parts.uri.path()) {
            (_, "/v1/report") => Ok(self.load_report()),
            (_, "/v1/order") => Ok(self.accept_order(&body, &instance)),
            (_, "/v1/hold-take") => Ok(rejection(503)),
            (_, "/health") => Ok(full_response(200, "", "ok")),
            (&Method::DELETE, path) => {
                let handle = path.rsplit('/').next().unwrap_or_default();
                self.remove_handle(handle);
                Ok(full_response(200, "", ""))
            }
            _ if self.state().role.is_some() => self.serve_engine(head, &instance).await,
            _ => self.serve_call(head, &instance).await,
        }
    }

    /// Serves a request to a service that is not an engine.
    async fn serve_call(&self, head: &HeaderMap, instance: &str) -> io::Result<WorkerResponse> {
        let id = header(head, "request-id");
        self.record_arrival(&id, instance);
        let Some((_slot, fault)) = self.acquire_slot() else {
            return Ok(self.turn_away(&id, instance));
        };
        let run = self.record_run(&id, instance);
        sleep(fault.scale(CALL_TIME)).await;
        run.end(fault.run_end());
        let stamp = format!("{instance}.{id}");
        match fault {
            WorkerFault::Failing => Ok(full_response(500, &stamp, "failed")),
            WorkerFault::Mute => Err(io::ErrorKind::ConnectionReset.into()),
            WorkerFault::Garbled => Ok(truncated_response(&stamp)),
            _ => Ok(full_response(200, &stamp, &format!("done {id}"))),
        }
    }

    /// Serves a prefill or generates a stream of events.
    async fn serve_engine(&self, head: &HeaderMap, instance: &str) -> io::Result<WorkerResponse> {
        let id = header(head, "request-id");
        let is_prefill = header(head, "stage") == "prefill";
        if !is_prefill {
            self.record_arrival(&id, instance);
        }
        let has_role = self.state().role == Some(if is_prefill { "prefill" } else { "decode" });
        if !has_role {
            return Ok(rejection(421));
        }
        let from = header(head, "kv-from");
        if let Some((_, handle)) = from.split_once('/')
            && !self.remove_handle(handle)
        {
            return Ok(rejection(503));
        }
        let Some((slot, fault)) = self.acquire_slot() else {
            return Ok(self.turn_away(&id, instance));
        };
        if is_prefill {
            sleep(fault.scale(PREFILL_TIME)).await;
            return Ok(self.export_handle(instance));
        }
        let run = self.record_run(&id, instance);
        let stamp = format!("{instance}.{id}");
        let single = match fault {
            WorkerFault::Failing => Some(Ok(full_response(500, &stamp, "failed"))),
            WorkerFault::Mute => Some(Err(io::ErrorKind::ConnectionReset.into())),
            WorkerFault::Garbled => Some(Ok(truncated_response(&stamp))),
            _ => None,
        };
        if let Some(response) = single {
            run.end(fault.run_end());
            return response;
        }
        let last: u64 = header(head, "last-event-id").parse().unwrap_or(0);
        let pause = fault.scale(self.event_time);
        let worker = self.clone();
        let ready = move || worker.clone().wait_unpaused();
        let events = events(id, last, pause, (run, slot), ready);
        let body = BodyExt::boxed_unsync(StreamBody::new(events));
        Ok(stamped_response(200, &stamp, "text/event-stream", body))
    }

    async fn wait_unpaused(self) {
        while self.state().fault == WorkerFault::Pausing {
            sleep(PAUSE_POLL).await;
        }
    }

    fn record_run(&self, id: &str, instance: &str) -> WorkerRun {
        WorkerRun::new(self.recorder.record_run(id, instance), self)
    }

    fn record_arrival(&self, id: &str, instance: &str) {
        self.recorder.record_arrival(Arrival {
            service: self.service,
            worker: instance.to_owned(),
            request: id.to_owned(),
            at: self.recorder.now(),
            faulty_link: self.link.is_faulty(),
        });
    }

    /// Refuses the request `id`, and asks for no further ones for `PAUSE_TIME`.
    fn turn_away(&self, id: &str, instance: &str) -> WorkerResponse {
        if !self.link.is_faulty() {
            self.recorder.record_pause(instance, id, PAUSE_TIME);
        }
        let mut response = rejection(503);
        let seconds = PAUSE_TIME.as_secs_f64().to_string();
        if let Ok(seconds) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert("retry-after", seconds);
        }
        response
    }

    /// Changes the role, unless the worker has stopped or restarted since `instance` got the order;
    /// returns whether it did.
    fn switch_role(&self, instance: &str, role: &'static str) -> bool {
        let mut state = self.state();
        let is_current = state.instance == instance && state.up;
        if is_current {
            state.role = Some(role);
            state.switching = false;
        }
        is_current
    }

    /// Acquires a slot and returns it with the current fault; `None` if all slots are taken.
    fn acquire_slot(&self) -> Option<(Slot, WorkerFault)> {
        let mut state = self.state();
        if state.running >= SLOTS || state.fault == WorkerFault::Full {
            return None;
        }
        state.running += 1;
        Some((Slot(Arc::clone(&self.state)), state.fault))
    }

    fn export_handle(&self, instance: &str) -> WorkerResponse {
        let handle = {
            let mut state = self.state();
            state.exports += 1;
            format!("{instance}-{}", state.exports)
        };
        let mut exported = self.exported.lock().unwrap_or_else(PoisonError::into_inner);
        exported.insert(handle.clone());
        let body = json!({ "KvHandle": handle, "Tokens": 100, "Version": 1 });
        full_response(200, "", &body.to_string())
    }

    /// Removes an exported handle; returns whether it existed.
    fn remove_handle(&self, handle: &str) -> bool {
        let mut exported = self.exported.lock().unwrap_or_else(PoisonError::into_inner);
        exported.remove(handle)
    }

    fn load_report(&self) -> WorkerResponse {
        let state = self.state();
        let body = json!({
            "Stage": state.role, "Busy": state.switching, "Sequence": state.orders,
            "Waiting": 0, "Running": state.running, "KvUsed": 0, "KvTotal": 90_000,
        });
        full_response(200, "", &body.to_string())
    }

    /// Handles a role order; a change of role takes effect after `ROLE_SWITCH_TIME`.
    fn accept_order(&self, body: &Bytes, instance: &str) -> WorkerResponse {
        let order: Value = serde_json::from_slice(body).unwrap_or_default();
        let role = match order["Stage"].as_str() {
            Some("prefill") => "prefill",
            Some("decode") => "decode",
            _ => return rejection(400),
        };
        let holder = order["Holder"].as_str().unwrap_or_default().to_owned();
        let at = self.recorder.now();
        self.recorder.history().orders.push(RoleOrder {
            worker: instance.to_owned(),
            holder,
            at,
        });
        let mut state = self.state();
        let expected = order["Expect"].as_u64();
        if state.switching || expected.is_some_and(|expected| expected != state.orders) {
            return rejection(409);
        }
        if state.role == Some(role) {
            return full_response(200, "", "");
        }
        state.orders += 1;
        state.switching = true;
        drop(state);
        let worker = self.clone();
        let instance = instance.to_owned();
        tokio::spawn(async move {
            sleep(ROLE_SWITCH_TIME).await;
            if worker.switch_role(&instance, role) {
                worker.register();
            }
        });
        full_response(202, "", "")
    }
}

/// A slot of a worker, released when dropped.
struct Slot(Arc<Mutex<State>>);

impl Drop for Slot {
    fn drop(&mut self) {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        state.running = state.running.saturating_sub(1);
    }
}
