use {
    super::{
        SoakError, StoreStandIn,
        caller::{CALL_TIMEOUT, Caller, STREAM_TIMEOUT},
        daemon_process::DaemonProcess,
        link_proxy::LinkProxy,
        operator_config,
        recorder::Recorder,
        soak_run::SoakPlan,
        worker_response::EVENTS,
        worker_stand_in::{ExportedHandles, WorkerStandIn},
    },
    serde_json::{Value, json},
    std::path::Path,
    tokio::{sync::watch, task::JoinSet},
};

/// Limit on a request body, in bytes.
const BODY_BYTES: u64 = 64 * 1024;

/// Number of service workers.
pub const SERVICES: usize = 3;

/// Number of engines; a third of them start as prefill engines.
pub const ENGINES: usize = 6;

/// All participants of a soak.
#[derive(Debug)]
pub struct Site {
    /// Store of the platform.
    pub store: StoreStandIn,
    /// Services, then engines.
    pub workers: Vec<WorkerStandIn>,
    /// Daemon processes.
    pub daemons: Vec<DaemonProcess>,
    /// Link of each daemon to the store, in the order of `daemons`.
    pub links: Vec<LinkProxy>,
    /// Records what callers and workers observe.
    pub recorder: Recorder,
    callers: JoinSet<()>,
    stop: watch::Sender<bool>,
}

impl Site {
    /// Starts the participants that `plan` asks for, waits until every daemon is ready, and then
    /// starts the callers. The daemons' settings and logs go to `folder`.
    ///
    /// # Errors
    ///
    /// Fails if a file, socket or process operation fails, or a daemon is not ready in time.
    pub async fn start(folder: &Path, plan: &SoakPlan) -> Result<Self, SoakError> {
        let store = StoreStandIn::start().await?;
        let recorder = Recorder::default();
        let exported = ExportedHandles::default();
        let mut workers = Vec::new();
        for number in 0..SERVICES + ENGINES {
            let (service, role) = match number {
                0..SERVICES => ("ledger", None),
                _ if number % 3 == 0 => ("models", Some("prefill")),
                _ => ("models", Some("decode")),
            };
            let worker = WorkerStandIn::start(
                number,
                service,
                role,
                plan.event_time,
                &store,
                &recorder,
                &exported,
            );
            workers.push(worker.await?);
        }
        let mut site = Self {
            store,
            workers,
            daemons: Vec::new(),
            links: Vec::new(),
            recorder,
            callers: JoinSet::new(),
            stop: watch::channel(false).0,
        };
        site.configure(1, false);
        for number in 0..plan.daemons {
            let link = LinkProxy::start(site.store.address()).await?;
            let name = format!("front-{number}");
            let daemon = DaemonProcess::prepare(folder, &name, link.address(), plan.retry_slack)?;
            daemon.start().await?;
            site.daemons.push(daemon);
            site.links.push(link);
        }
        for daemon in &site.daemons {
            daemon.wait_ready().await?;
        }
        site.start_callers(plan);
        Ok(site)
    }

    /// Writes version `version` of the configuration to the store; `extra` adds the route `/more/`.
    pub fn configure(&self, version: u64, extra: bool) {
        let mut routes = vec![
            route("read", "/read/", "safe", "ledger"),
            route("order", "/order/", "unsafe", "ledger"),
            route("stream", "/stream/", "stream", "models"),
        ];
        if extra {
            routes.push(route("more", "/more/", "safe", "ledger"));
        }
        let config = operator_config(version, &routes, BODY_BYTES);
        self.store.put("config", "main", &config);
    }

    /// Starts the callers of every daemon.
    fn start_callers(&mut self, plan: &SoakPlan) {
        for (index, daemon) in self.daemons.iter().enumerate() {
            for number in 0..plan.callers {
                let caller = Caller {
                    number: index * plan.callers + number,
                    daemon: daemon.name.clone(),
                    address: daemon.callers,
                    recorder: self.recorder.clone(),
                    stop: self.stop.subscribe(),
                };
                self.callers.spawn(caller.run(plan.seed));
            }
        }
    }

    /// Stops the callers and waits until their last requests have ended.
    pub async fn stop_callers(&mut self) {
        self.stop.send_replace(true);
        while self.callers.join_next().await.is_some() {}
    }
}

fn route(name: &str, prefix: &str, kind: &str, service: &str) -> Value {
    let timeout = if kind == "stream" {
        STREAM_TIMEOUT
    } else {
        CALL_TIMEOUT
    };
    json!({
        "Name": name, "Hostname": "a.example", "PathPrefix": prefix, "Kind": kind,
        "TimeoutMs": timeout.as_millis() as u64, "TargetLatencyMs": 500, "Priority": 1,
        "Service": service, "MaxAttempts": if kind == "unsafe" { 1 } else { 3 },
        "Resumable": kind == "stream", "TargetGapMs": EVENTS * 20,
    })
}
