use {
    super::{
        StoreStandIn,
        link_proxy::LinkProxy,
        witness::{Order, Witness},
        worker_answer::{Answer, events, garbled, refused, signed, text, whole},
        worker_fault::WorkerFault,
    },
    bytes::Bytes,
    http::{HeaderMap, Method, Request},
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

/// Time between two events.
const EVENT_TIME: Duration = Duration::from_millis(40);

/// Time that a call takes.
const CALL_TIME: Duration = Duration::from_millis(15);

/// Time that a prompt takes to be read apart.
const READ_TIME: Duration = Duration::from_millis(30);

/// Requests at once.
const SLOTS: usize = 24;

/// Time that an engine is out while it changes what it does.
const SWITCH_TIME: Duration = Duration::from_millis(1_500);

/// Time for which a worker serves on after its leaving was told.
pub const DRAIN_TIME: Duration = Duration::from_secs(2);

/// Heartbeats of silence after which a worker's entry goes.
const LAPSE_TIME: Duration = Duration::from_millis(1_500);

/// One worker, which registers itself and notes what it runs.
#[derive(Clone, Debug)]
pub struct WorkerStandIn {
    /// Number among the workers.
    pub number: usize,
    /// Service.
    pub service: &'static str,
    link: Arc<LinkProxy>,
    store: StoreStandIn,
    witness: Witness,
    caches: Caches,
    state: Arc<Mutex<State>>,
    alive: watch::Sender<u64>,
}

/// Prompts that were read apart and have not been taken, of every engine.
pub type Caches = Arc<Mutex<HashSet<String>>>;

#[derive(Debug)]
struct State {
    instance: String,
    role: Option<&'static str>,
    fault: WorkerFault,
    running: usize,
    orders: u64,
    busy: bool,
    up: bool,
    leaving: bool,
    made: u64,
}

impl WorkerStandIn {
    /// Starts a worker of `service`; an engine has a `role`.
    pub async fn start(
        number: usize,
        service: &'static str,
        role: Option<&'static str>,
        store: &StoreStandIn,
        witness: &Witness,
        caches: &Caches,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let link = LinkProxy::start(listener.local_addr()?).await?;
        let worker = Self {
            number,
            service,
            link: Arc::new(link),
            store: store.clone(),
            witness: witness.clone(),
            caches: Arc::clone(caches),
            state: Arc::new(Mutex::new(State {
                instance: format!("w{number}-0"),
                role,
                fault: WorkerFault::None,
                running: 0,
                orders: 0,
                busy: false,
                up: true,
                leaving: false,
                made: 0,
            })),
            alive: watch::channel(0).0,
        };
        let serving = worker.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let worker = serving.clone();
                if !worker.state().up {
                    continue;
                }
                tokio::spawn(async move {
                    let mut alive = worker.alive.subscribe();
                    let life = *alive.borrow();
                    let answer = service_fn(|request| worker.answer(request));
                    let serve =
                        http1::Builder::new().serve_connection(TokioIo::new(stream), answer);
                    tokio::select! {
                        // A connection that breaks is seen by the witness through its runs.
                        _ = serve => {}
                        _ = alive.wait_for(|now| *now != life) => {}
                    }
                });
            }
        });
        worker.register();
        Ok(worker)
    }

    /// The link that daemons reach it through.
    pub fn link(&self) -> &LinkProxy {
        &self.link
    }

    /// Goes wrong, or right again.
    pub fn set_fault(&self, fault: WorkerFault) {
        self.state().fault = fault;
    }

    /// Breaks off everything, and comes back as another instance after `time`.
    pub async fn crash(&self, time: Duration) {
        self.stop();
        let lapse = LAPSE_TIME.min(time);
        sleep(lapse).await;
        self.deregister();
        sleep(time.saturating_sub(lapse)).await;
        self.begin();
    }

    /// Leaves as planned, and comes back as another instance after `time`.
    pub async fn leave(&self, time: Duration) {
        let instance = self.state().instance.clone();
        self.state().leaving = true;
        self.register();
        let now = self.witness.now();
        self.witness.seen().leaving.insert(instance, now);
        sleep(DRAIN_TIME + Duration::from_secs(1)).await;
        self.deregister();
        sleep(Duration::from_secs(1)).await;
        self.stop();
        sleep(time).await;
        self.begin();
    }

    /// Takes the entry out of the store, as when it lapses; `register` brings it back.
    pub fn deregister(&self) {
        let instance = self.state().instance.clone();
        self.store.remove("servers", &instance);
    }

    /// Writes the entry, if the worker lives.
    pub fn register(&self) {
        let state = self.state();
        if !state.up {
            return;
        }
        let word = if state.leaving { "draining" } else { "ready" };
        let mut entry = json!({
            "Service": self.service, "Address": self.link.address().to_string(),
            "Zone": "zone-a", "Version": "v1", "Slots": SLOTS, "State": word,
            "ColdRemainingMs": 0, "Sequence": 1,
        });
        if let Some(role) = state.role {
            entry["Stage"] = json!(role);
        }
        self.store.put("servers", &state.instance, &entry);
    }

    fn stop(&self) {
        self.state().up = false;
        self.alive.send_modify(|life| *life += 1);
    }

    fn begin(&self) {
        let life = *self.alive.borrow();
        let mut state = self.state();
        state.instance = format!("w{}-{life}", self.number);
        state.up = true;
        state.leaving = false;
        state.orders = 0;
        state.busy = false;
        drop(state);
        self.register();
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn answer(&self, request: Request<Incoming>) -> io::Result<Answer> {
        let (parts, body) = request.into_parts();
        let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
        let head = &parts.headers;
        let instance = self.state().instance.clone();
        let expected = text(head, "expect-instance");
        if !expected.is_empty() && expected != instance {
            return Ok(refused(421));
        }
        match (&parts.method, parts.uri.path()) {
            (_, "/v1/report") => Ok(self.report()),
            (_, "/v1/order") => Ok(self.order(&body, &instance)),
            (_, "/v1/hold-take") => Ok(refused(503)),
            (_, "/health") => Ok(whole(200, "", "ok")),
            (&Method::DELETE, path) => {
                let handle = path.rsplit('/').next().unwrap_or_default();
                self.take_cache(handle);
                Ok(whole(200, "", ""))
            }
            _ if self.state().role.is_some() => self.generate(head, &instance).await,
            _ => self.call(head, &instance).await,
        }
    }

    /// Runs a call of the service.
    async fn call(&self, head: &HeaderMap, instance: &str) -> io::Result<Answer> {
        let id = text(head, "request-id");
        self.witness.arrived(self.service, &id);
        let Some((_slot, fault)) = self.slot() else {
            return Ok(refused(503));
        };
        let _run = self.witness.run(&id, instance);
        sleep(fault.pace(CALL_TIME)).await;
        let stamp = format!("{instance}.{id}");
        match fault {
            WorkerFault::Failing => Ok(whole(500, &stamp, "failed")),
            WorkerFault::Mute => Err(io::ErrorKind::ConnectionReset.into()),
            WorkerFault::Garbled => Ok(garbled(&stamp)),
            _ => Ok(whole(200, &stamp, &format!("done {id}"))),
        }
    }

    /// Reads a prompt, or generates a stream.
    async fn generate(&self, head: &HeaderMap, instance: &str) -> io::Result<Answer> {
        let id = text(head, "request-id");
        let reads = text(head, "stage") == "prefill";
        if !reads {
            self.witness.arrived(self.service, &id);
        }
        let fits = self.state().role == Some(if reads { "prefill" } else { "decode" });
        if !fits {
            return Ok(refused(421));
        }
        let from = text(head, "kv-from");
        if let Some((_, handle)) = from.split_once('/')
            && !self.take_cache(handle)
        {
            return Ok(refused(503));
        }
        let Some((slot, fault)) = self.slot() else {
            return Ok(refused(503));
        };
        if reads {
            sleep(fault.pace(READ_TIME)).await;
            return Ok(self.keep_cache(instance));
        }
        let run = self.witness.run(&id, instance);
        let stamp = format!("{instance}.{id}");
        match fault {
            WorkerFault::Failing => return Ok(whole(500, &stamp, "failed")),
            WorkerFault::Mute => return Err(io::ErrorKind::ConnectionReset.into()),
            WorkerFault::Garbled => return Ok(garbled(&stamp)),
            _ => {}
        }
        let last: u64 = text(head, "last-event-id").parse().unwrap_or(0);
        let pause = fault.pace(EVENT_TIME);
        let events = events(id, last, pause, (run, slot));
        let body = BodyExt::boxed_unsync(StreamBody::new(events));
        Ok(signed(200, &stamp, "text/event-stream", body))
    }

    /// Takes up another role, unless it has been started anew since.
    fn switch(&self, instance: &str, role: &'static str) -> bool {
        let mut state = self.state();
        let same = state.instance == instance && state.up;
        if same {
            state.role = Some(role);
            state.busy = false;
        }
        same
    }

    /// Takes a slot, unless every one is taken.
    fn slot(&self) -> Option<(Slot, WorkerFault)> {
        let mut state = self.state();
        if state.running >= SLOTS || state.fault == WorkerFault::Full {
            return None;
        }
        state.running += 1;
        Some((Slot(Arc::clone(&self.state)), state.fault))
    }

    fn keep_cache(&self, instance: &str) -> Answer {
        let handle = {
            let mut state = self.state();
            state.made += 1;
            format!("{instance}-{}", state.made)
        };
        let mut caches = self.caches.lock().unwrap_or_else(PoisonError::into_inner);
        caches.insert(handle.clone());
        let body = json!({ "KvHandle": handle, "Tokens": 100, "Version": 1 });
        whole(200, "", &body.to_string())
    }

    fn take_cache(&self, handle: &str) -> bool {
        let mut caches = self.caches.lock().unwrap_or_else(PoisonError::into_inner);
        caches.remove(handle)
    }

    fn report(&self) -> Answer {
        let state = self.state();
        let body = json!({
            "Stage": state.role, "Busy": state.busy, "Sequence": state.orders,
            "Waiting": 0, "Running": state.running, "KvUsed": 0, "KvTotal": 90_000,
        });
        whole(200, "", &body.to_string())
    }

    /// Carries an order for another role out after a time.
    fn order(&self, body: &Bytes, instance: &str) -> Answer {
        let order: Value = serde_json::from_slice(body).unwrap_or_default();
        let wanted = match order["Stage"].as_str() {
            Some("prefill") => "prefill",
            Some("decode") => "decode",
            _ => return refused(400),
        };
        let holder = order["Holder"].as_str().unwrap_or_default().to_owned();
        let at = self.witness.now();
        self.witness.seen().orders.push(Order {
            worker: instance.to_owned(),
            holder,
            at,
        });
        let mut state = self.state();
        let expected = order["Expect"].as_u64();
        if state.busy || expected.is_some_and(|expected| expected != state.orders) {
            return refused(409);
        }
        if state.role == Some(wanted) {
            return whole(200, "", "");
        }
        state.orders += 1;
        state.busy = true;
        drop(state);
        let worker = self.clone();
        let instance = instance.to_owned();
        tokio::spawn(async move {
            sleep(SWITCH_TIME).await;
            if worker.switch(&instance, wanted) {
                worker.register();
            }
        });
        whole(202, "", "")
    }
}

/// A slot of a worker; dropping it frees it.
struct Slot(Arc<Mutex<State>>);

impl Drop for Slot {
    fn drop(&mut self) {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        state.running = state.running.saturating_sub(1);
    }
}
