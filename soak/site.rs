use {
    super::{
        SoakError, StoreStandIn,
        caller::{Caller, ROUTE_TIME},
        daemon_process::DaemonProcess,
        link_proxy::LinkProxy,
        operator_config,
        soak_run::SoakPlan,
        witness::Witness,
        worker_answer::EVENTS,
        worker_stand_in::{Caches, WorkerStandIn},
    },
    serde_json::{Value, json},
    std::path::Path,
    tokio::{sync::watch, task::JoinSet},
};

/// Bytes of a body at most.
const BODY_BYTES: u64 = 64 * 1024;

/// Workers that serve calls.
const SERVICES: usize = 3;

/// Engines; a third of them read prompts at the start.
const ENGINES: usize = 6;

/// Everything that takes part in a soak.
#[derive(Debug)]
pub struct Site {
    /// The store.
    pub store: StoreStandIn,
    /// Workers of every kind.
    pub workers: Vec<WorkerStandIn>,
    /// Daemons.
    pub daemons: Vec<DaemonProcess>,
    /// Link of each daemon to the store.
    pub links: Vec<LinkProxy>,
    /// Who notes what is seen.
    pub witness: Witness,
    callers: JoinSet<()>,
    stop: watch::Sender<bool>,
}

impl Site {
    /// Starts what `plan` says; the daemons' files are in `folder`.
    pub async fn start(folder: &Path, plan: &SoakPlan) -> Result<Self, SoakError> {
        let store = StoreStandIn::start().await?;
        let witness = Witness::default();
        let caches = Caches::default();
        let mut workers = Vec::new();
        for number in 0..SERVICES + ENGINES {
            let (service, role) = match number {
                0..SERVICES => ("ledger", None),
                _ if number % 3 == 0 => ("models", Some("prefill")),
                _ => ("models", Some("decode")),
            };
            let worker = WorkerStandIn::start(number, service, role, &store, &witness, &caches);
            workers.push(worker.await?);
        }
        let mut site = Self {
            store,
            workers,
            daemons: Vec::new(),
            links: Vec::new(),
            witness,
            callers: JoinSet::new(),
            stop: watch::channel(false).0,
        };
        site.configure(1, false);
        for number in 0..plan.daemons {
            let link = LinkProxy::start(site.store.address()).await?;
            let name = format!("front-{number}");
            let daemon = DaemonProcess::prepare(folder, &name, link.address())?;
            daemon.start().await?;
            site.daemons.push(daemon);
            site.links.push(link);
        }
        for daemon in &site.daemons {
            daemon.wait_ready().await?;
        }
        site.call(plan);
        Ok(site)
    }

    /// Writes the configuration `version`, with or without a route more.
    pub fn configure(&self, version: u64, more: bool) {
        let mut routes = vec![
            route("read", "/read/", "safe", "ledger"),
            route("order", "/order/", "unsafe", "ledger"),
            route("stream", "/stream/", "stream", "models"),
        ];
        if more {
            routes.push(route("more", "/more/", "safe", "ledger"));
        }
        let config = operator_config(version, &routes, BODY_BYTES);
        self.store.put("config", "main", &config);
    }

    /// Starts the callers.
    fn call(&mut self, plan: &SoakPlan) {
        for (place, daemon) in self.daemons.iter().enumerate() {
            for number in 0..plan.callers {
                let caller = Caller {
                    number: place * plan.callers + number,
                    daemon: daemon.name.clone(),
                    address: daemon.callers,
                    witness: self.witness.clone(),
                    stop: self.stop.subscribe(),
                };
                self.callers.spawn(caller.run(plan.seed));
            }
        }
    }

    /// Stops the callers, and waits until their last requests have ended.
    pub async fn hush(&mut self) {
        self.stop.send_replace(true);
        while self.callers.join_next().await.is_some() {}
    }
}

fn route(name: &str, prefix: &str, kind: &str, service: &str) -> Value {
    json!({
        "Name": name, "Hostname": "a.example", "PathPrefix": prefix, "Kind": kind,
        "TimeoutMs": ROUTE_TIME.as_millis() as u64, "TargetLatencyMs": 500, "Priority": 1,
        "Service": service, "MaxAttempts": if kind == "unsafe" { 1 } else { 3 },
        "Resumable": kind == "stream", "TargetGapMs": EVENTS * 20,
    })
}
