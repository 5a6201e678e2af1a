use {
    super::{
        SoakError,
        caller::connect,
        daemon_process::{Exit, GRACE_S, RETRY_SLACK},
        fault::{Fault, FaultKind, FaultScope},
        finding::{Finding, Guarantee},
        link_proxy::LinkFault,
        recorder::DisturbanceGuard,
        site::Site,
        store_stand_in::StoreFault,
        worker_fault::WorkerFault,
        worker_stand_in::WorkerStandIn,
    },
    bytes::Bytes,
    http::Request,
    http_body_util::Empty,
    rustix::process::Signal,
    serde_json::Value,
    std::{
        fs,
        path::Path,
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{task::JoinSet, time::sleep},
};

/// Default number of daemons.
pub const DAEMONS: usize = 4;

/// Default number of callers per daemon.
pub const CALLERS: usize = 6;

/// Default pause of an engine before each event of a stream.
pub const EVENT_TIME: Duration = Duration::from_millis(40);

/// Time from the start of the traffic until the first fault may begin.
const WARM_UP_TIME: Duration = Duration::from_secs(3);

/// Time from the end of the last fault until requests must be served again.
const RECOVERY_TIME: Duration = Duration::from_secs(5);

/// Time after the recovery in which requests must be served.
const FINAL_TIME: Duration = Duration::from_secs(4);

/// Time within which a change of the routes must take effect.
const APPLY_TIME: Duration = Duration::from_secs(2);

/// Time for which a store is away before it comes back from a copy.
const AWAY_TIME: Duration = Duration::from_millis(400);

/// Time after which the operator and the workers write again what a store has lost.
const REWRITE_TIME: Duration = Duration::from_millis(500);

/// Time after that in which entries of workers that have ended expire.
const EXPIRY_TIME: Duration = Duration::from_secs(3);

/// Pause between repeated stop signals.
const SIGNAL_PAUSE: Duration = Duration::from_millis(300);

/// Time by which a daemon may exceed its grace time when it stops.
const STOP_SLACK: Duration = Duration::from_millis(500);

/// Pause between two checks for exited processes.
const POLL_PAUSE: Duration = Duration::from_millis(200);

/// A running soak; clones share its site and findings.
#[derive(Clone, Debug)]
pub struct SoakRun {
    site: Arc<Site>,
    found: Arc<Mutex<Vec<Finding>>>,
    /// Version of the configuration that was written last.
    version: Arc<AtomicU64>,
}

/// What a soak runs: its size and its faults.
#[derive(Clone, Debug)]
pub struct SoakPlan {
    /// Seed of the faults and of the callers' requests.
    pub seed: u64,
    /// Number of daemons.
    pub daemons: usize,
    /// Number of callers per daemon.
    pub callers: usize,
    /// Retries that all daemons together may make beyond the retry ratio.
    pub retry_slack: u64,
    /// Pause of an engine before each event of a stream.
    pub event_time: Duration,
    /// Faults to inject, in the order of their start times.
    pub faults: Vec<Fault>,
}

/// The result of a soak.
#[derive(Debug)]
pub struct SoakReport {
    /// Violations of the guarantees.
    pub found: Vec<Finding>,
    /// Number of requests that callers sent.
    pub requests: usize,
    /// Number of requests with a complete response of status 200.
    pub served: usize,
}

impl SoakPlan {
    /// Creates the plan of `seed` with `count` faults, which begin within `time` after the warm-up
    /// of 3 s, and the default numbers of daemons and callers.
    pub fn new(seed: u64, time: Duration, count: usize) -> Self {
        Self {
            seed,
            daemons: DAEMONS,
            callers: CALLERS,
            retry_slack: RETRY_SLACK,
            event_time: EVENT_TIME,
            faults: Fault::plan(seed, count, WARM_UP_TIME, WARM_UP_TIME + time),
        }
    }

    /// Adds `pauses` pauses of engines, and rolling stops of all daemons, to the faults of a plan
    /// that was created for the same `time`: `rounds` times, `together` daemons at a time.
    pub fn add_series(&mut self, time: Duration, pauses: usize, rounds: usize, together: usize) {
        let (start, end) = (WARM_UP_TIME, WARM_UP_TIME + time);
        let faults = &mut self.faults;
        faults.extend(Fault::pauses(self.seed, pauses, start, end));
        let stops = Fault::rolling_stops(self.daemons, rounds, together, start, end);
        faults.extend(stops);
        Fault::order(faults);
    }

    /// Runs the plan, with the daemons' settings and logs in `folder`.
    ///
    /// # Errors
    ///
    /// Fails if a file, socket or process operation fails, or a daemon is not ready in time at the
    /// start.
    pub async fn run(&self, folder: &Path) -> Result<SoakReport, SoakError> {
        fs::create_dir_all(folder)?;
        let site = Site::start(folder, self).await?;
        let run = SoakRun {
            site: Arc::new(site),
            found: Arc::default(),
            version: Arc::new(AtomicU64::new(1)),
        };
        let start = run.site.recorder.now();
        let mut faults = JoinSet::new();
        for fault in &self.faults {
            faults.spawn(run.clone().inject(fault.clone(), start));
        }
        let watcher = tokio::spawn(run.clone().watch_processes());
        while faults.join_next().await.is_some() {}
        sleep(RECOVERY_TIME).await;
        let settled = run.site.recorder.now();
        sleep(FINAL_TIME).await;
        watcher.abort();
        // The aborted task owns a reference to the site until it has been joined.
        let _ = watcher.await;
        let mut site = Arc::try_unwrap(run.site).map_err(|_site| {
            std::io::Error::other(
                "a task of the soak still owns the site; this is a fault of the soak",
            )
        })?;
        site.stop_callers().await;
        let history = site.recorder.history().clone();
        let mut found = run
            .found
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        found.extend(Finding::all(&history, settled, self.retry_slack));
        let responses = history
            .requests
            .values()
            .filter_map(|request| request.response.as_ref());
        let served = responses.filter(|response| response.status == Some(200) && response.complete);
        Ok(SoakReport {
            found,
            requests: history.requests.len(),
            served: served.count(),
        })
    }
}

impl SoakRun {
    fn report(&self, guarantee: Guarantee, detail: String) {
        let mut found = self.found.lock().unwrap_or_else(PoisonError::into_inner);
        found.push(Finding::new(guarantee, detail));
    }

    /// Reports, once, each daemon whose process exits while no fault waits for its exit.
    async fn watch_processes(self) {
        let mut reported = vec![false; self.site.daemons.len()];
        loop {
            sleep(POLL_PAUSE).await;
            for (daemon, reported) in self.site.daemons.iter().zip(&mut reported) {
                if !*reported && daemon.has_exited() {
                    *reported = true;
                    self.report(Guarantee::Ended, format!("{} ended by itself", daemon.name));
                }
            }
        }
    }

    /// Injects one fault at its time and waits until it has ended.
    async fn inject(self, fault: Fault, start: Duration) {
        sleep((start + fault.at).saturating_sub(self.site.recorder.now())).await;
        let _disturbance = self.record_disturbance(&fault);
        if let Err(e) = self.apply(&fault).await {
            eprintln!(
                "soak: fault {} was not injected or ended completely: {e}",
                fault.number
            );
        }
    }

    /// Records the disturbance by a fault, which lasts until the guard is dropped; `None` if the
    /// fault disturbs no daemon.
    fn record_disturbance(&self, fault: &Fault) -> Option<DisturbanceGuard> {
        let planned = matches!(fault.kind, FaultKind::Stop(_));
        let stopped = planned || matches!(fault.kind, FaultKind::Kill(_) | FaultKind::Freeze(_));
        let daemon = match fault.scope() {
            FaultScope::None => return None,
            FaultScope::All => None,
            FaultScope::Daemon(number) => {
                let daemons = &self.site.daemons;
                Some(daemons[number % daemons.len()].name.clone())
            }
        };
        Some(
            self.site
                .recorder
                .record_disturbance(daemon, planned, stopped),
        )
    }

    async fn apply(&self, fault: &Fault) -> Result<(), SoakError> {
        let site = &self.site;
        let daemon = |number: usize| &site.daemons[number % site.daemons.len()];
        let store_link = |number: usize| &site.links[number % site.links.len()];
        let worker = |number: usize| &site.workers[number % site.workers.len()];
        match fault.kind {
            FaultKind::Kill(number) => {
                let _permit = daemon(number).lock_lifecycle().await;
                daemon(number).signal(Signal::KILL);
                daemon(number).wait_exit(fault.duration).await;
                sleep(fault.duration).await;
                daemon(number).start().await?;
                daemon(number).wait_ready().await?;
            }
            FaultKind::Stop(number) => self.stop(number, fault.duration).await?,
            FaultKind::Freeze(number) => {
                daemon(number).signal(Signal::STOP);
                sleep(fault.duration).await;
                daemon(number).signal(Signal::CONT);
            }
            FaultKind::Reload(number) => daemon(number).signal(Signal::HUP),
            FaultKind::StoreLink(number, link_fault) => {
                store_link(number).set_fault(link_fault);
                sleep(fault.duration).await;
                store_link(number).set_fault(LinkFault::None);
            }
            FaultKind::StoreReset(number) => store_link(number).reset(),
            FaultKind::Store(store_fault) => {
                site.store.set_fault(store_fault);
                sleep(fault.duration).await;
                site.store.set_fault(StoreFault::None);
            }
            FaultKind::Compact => site.store.compact(),
            FaultKind::Restore => self.restore(fault.duration).await,
            FaultKind::WorkerLink(number, link_fault) => {
                worker(number).link().set_fault(link_fault);
                sleep(fault.duration).await;
                worker(number).link().set_fault(LinkFault::None);
            }
            FaultKind::WorkerReset(number) => worker(number).link().reset(),
            FaultKind::Worker(number, worker_fault) => {
                worker(number).set_fault(worker_fault);
                sleep(fault.duration).await;
                worker(number).set_fault(WorkerFault::None);
            }
            FaultKind::Crash(number) => worker(number).crash(fault.duration).await,
            FaultKind::Leave(number) => worker(number).drain(fault.duration).await,
            FaultKind::Lapse(number) => {
                worker(number).deregister();
                sleep(fault.duration).await;
                worker(number).register();
            }
            FaultKind::Configure => self.configure().await,
        }
        Ok(())
    }

    /// Lets the store come back from a copy that is `age` old. The operator and the workers then write
    /// again what is lost, and entries of workers that have ended since the copy expire.
    async fn restore(&self, age: Duration) {
        let store = &self.site.store;
        let copy = store.copy();
        sleep(age).await;
        let config = store.contents("config", "main");
        store.set_fault(StoreFault::Down);
        sleep(AWAY_TIME).await;
        store.restore(copy);
        store.set_fault(StoreFault::None);
        sleep(REWRITE_TIME).await;
        let version = |config: &Value| config["Version"].as_u64();
        if let Some(config) = config
            && version(&config) > store.contents("config", "main").as_ref().and_then(version)
        {
            store.put("config", "main", &config);
        }
        for worker in &self.site.workers {
            worker.register();
        }
        sleep(EXPIRY_TIME).await;
        let live = self.site.workers.iter().map(WorkerStandIn::instance);
        let live: Vec<_> = live.collect();
        for name in store.names("servers") {
            if !live.contains(&name) {
                store.remove("servers", &name);
            }
        }
    }

    /// Stops a daemon with three SIGTERMs and starts it again after `time`. A daemon that exceeds its
    /// grace time is killed, and reported unless an unplanned fault disturbed it.
    async fn stop(&self, number: usize, time: Duration) -> Result<(), SoakError> {
        let daemon = &self.site.daemons[number % self.site.daemons.len()];
        let _permit = daemon.lock_lifecycle().await;
        let from = self.site.recorder.now();
        self.site.recorder.record_stop(&daemon.name);
        for _ in 0..3 {
            daemon.signal(Signal::TERM);
            sleep(SIGNAL_PAUSE).await;
        }
        let grace = Duration::from_secs(GRACE_S) + STOP_SLACK;
        match daemon.wait_exit(grace).await {
            Some(Exit::Orderly) => {}
            Some(Exit::Failed(status)) => {
                let detail = format!("{} ended in a planned stop: {status}", daemon.name);
                self.report(Guarantee::Ended, detail);
            }
            None => {
                let now = self.site.recorder.now();
                let must_stop =
                    self.site
                        .recorder
                        .history()
                        .is_free_of_unplanned(&daemon.name, from, now);
                if must_stop {
                    self.report(
                        Guarantee::Slow,
                        format!("{} did not stop in time", daemon.name),
                    );
                }
                daemon.signal(Signal::KILL);
                daemon.wait_exit(grace).await;
            }
        }
        sleep(time).await;
        daemon.start().await?;
        daemon.wait_ready().await
    }

    /// Adds a route and removes it again; checks 2 s after each change that every daemon
    /// has applied it.
    async fn configure(&self) {
        for with_route in [true, false] {
            let version = self.version.fetch_add(1, Ordering::Relaxed) + 1;
            self.site.configure(version, with_route);
            sleep(APPLY_TIME).await;
            if self.version.load(Ordering::Relaxed) != version {
                // A concurrent fault has changed the configuration again.
                return;
            }
            let from = self.site.recorder.now();
            for daemon in &self.site.daemons {
                let status = probe(daemon.callers).await;
                let now = self.site.recorder.now();
                let must_apply = self.site.recorder.history().is_undisturbed(
                    &daemon.name,
                    from.saturating_sub(APPLY_TIME),
                    now,
                );
                let known = status.is_some_and(|status| status != 404);
                let current = self.version.load(Ordering::Relaxed) == version;
                if must_apply && current && status.is_some() && known != with_route {
                    let detail = format!("{} answers {status:?} by an old version", daemon.name);
                    self.report(Guarantee::Config, detail);
                }
            }
        }
    }
}

/// Status of a request to the route that `configure` adds and removes; `None` without a response.
async fn probe(address: std::net::SocketAddr) -> Option<u16> {
    let mut sender = connect(address).await?;
    let request = Request::builder()
        .uri("/more/")
        .header("host", "a.example")
        .header("request-id", "probe")
        .header("deadline-ms", "1000")
        .body(Empty::<Bytes>::new());
    let response = sender.send_request(request.ok()?).await.ok()?;
    Some(response.status().as_u16())
}
