use {
    super::{
        SoakError,
        caller::connect,
        daemon_process::GRACE_S,
        fault::{Fault, FaultKind, Reach},
        finding::{Finding, Rule},
        link_proxy::LinkFault,
        site::Site,
        store_stand_in::StoreFault,
        witness::TroubleGuard,
        worker_fault::WorkerFault,
    },
    bytes::Bytes,
    http::Request,
    http_body_util::Empty,
    rustix::process::Signal,
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

/// Daemons, unless told otherwise.
pub const DAEMONS: usize = 4;

/// Callers of each daemon, unless told otherwise.
pub const CALLERS: usize = 6;

/// Time before the first fault.
const CALM_TIME: Duration = Duration::from_secs(3);

/// Time from the end of all faults until requests must be served again.
const RECOVER_TIME: Duration = Duration::from_secs(5);

/// Time for which requests are judged in the end.
const END_TIME: Duration = Duration::from_secs(4);

/// Time within which a change of the routes is in force.
const APPLY_TIME: Duration = Duration::from_secs(2);

/// Pause between the signals of one series.
const SIGNAL_PAUSE: Duration = Duration::from_millis(300);

/// Time beyond its grace time that a daemon may take to be gone.
const STOP_SLACK: Duration = Duration::from_millis(500);

/// Pause between two looks at the processes.
const LOOK_TIME: Duration = Duration::from_millis(200);

/// One soak.
#[derive(Clone, Debug)]
pub struct SoakRun {
    site: Arc<Site>,
    found: Arc<Mutex<Vec<Finding>>>,
    version: Arc<AtomicU64>,
}

/// What to soak.
#[derive(Clone, Debug)]
pub struct SoakPlan {
    /// Seed of faults and callers.
    pub seed: u64,
    /// Daemons.
    pub daemons: usize,
    /// Callers of each daemon.
    pub callers: usize,
    /// Faults.
    pub faults: Vec<Fault>,
}

/// What a soak showed.
#[derive(Debug)]
pub struct SoakReport {
    /// Promises that were broken.
    pub found: Vec<Finding>,
    /// Requests that were sent.
    pub asked: usize,
    /// Requests that were answered well.
    pub served: usize,
}

impl SoakPlan {
    /// The plan of `seed`, with `count` faults that begin within `time`; others may be set.
    pub fn new(seed: u64, time: Duration, count: usize) -> Self {
        Self {
            seed,
            daemons: DAEMONS,
            callers: CALLERS,
            faults: Fault::plan(seed, count, CALM_TIME, CALM_TIME + time),
        }
    }

    /// Plays the plan, with the files of the daemons in `folder`.
    pub async fn play(&self, folder: &Path) -> Result<SoakReport, SoakError> {
        fs::create_dir_all(folder)?;
        let site = Site::start(folder, self).await?;
        let run = SoakRun {
            site: Arc::new(site),
            found: Arc::default(),
            version: Arc::new(AtomicU64::new(1)),
        };
        let start = run.site.witness.now();
        let mut faults = JoinSet::new();
        for fault in &self.faults {
            faults.spawn(run.clone().strike(fault.clone(), start));
        }
        let watching = tokio::spawn(run.clone().watch());
        while faults.join_next().await.is_some() {}
        sleep(RECOVER_TIME).await;
        let calm = run.site.witness.now();
        sleep(END_TIME).await;
        watching.abort();
        // The aborted task holds the site until it has been joined.
        let _ = watching.await;
        let mut site = Arc::try_unwrap(run.site)
            .map_err(|_site| std::io::Error::other("a task of the soak still holds the site"))?;
        site.hush().await;
        let seen = site.witness.seen().clone();
        let mut found = run
            .found
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        found.extend(Finding::all(&seen, calm));
        let answers = seen.asks.values().filter_map(|ask| ask.answer.as_ref());
        let served = answers.filter(|answer| answer.status == Some(200) && answer.whole);
        Ok(SoakReport {
            found,
            asked: seen.asks.len(),
            served: served.count(),
        })
    }
}

impl SoakRun {
    fn note(&self, rule: Rule, detail: String) {
        let mut found = self.found.lock().unwrap_or_else(PoisonError::into_inner);
        found.push(Finding::new(rule, detail));
    }

    /// Looks for processes that ended by themselves.
    async fn watch(self) {
        let mut told = vec![false; self.site.daemons.len()];
        loop {
            sleep(LOOK_TIME).await;
            for (daemon, told) in self.site.daemons.iter().zip(&mut told) {
                if !*told && daemon.has_failed() {
                    *told = true;
                    self.note(Rule::Ended, format!("{} ended by itself", daemon.name));
                }
            }
        }
    }

    /// Lets one fault happen, and sees to its end.
    async fn strike(self, fault: Fault, start: Duration) {
        sleep((start + fault.at).saturating_sub(self.site.witness.now())).await;
        let _trouble = self.trouble(&fault);
        if let Err(e) = self.act(&fault).await {
            eprintln!("soak: fault {} could not be ended: {e}", fault.number);
        }
    }

    /// Notes whom a fault frees from bounds of time, until it has ended.
    fn trouble(&self, fault: &Fault) -> Option<TroubleGuard> {
        let planned = matches!(fault.kind, FaultKind::Stop(_));
        let daemon = match fault.reach() {
            Reach::Nobody => return None,
            Reach::Everyone => None,
            Reach::Daemon(number) => {
                let daemons = &self.site.daemons;
                Some(daemons[number % daemons.len()].name.clone())
            }
        };
        Some(self.site.witness.trouble(daemon, planned))
    }

    async fn act(&self, fault: &Fault) -> Result<(), SoakError> {
        let site = &self.site;
        let daemon = |number: usize| &site.daemons[number % site.daemons.len()];
        let store_link = |number: usize| &site.links[number % site.links.len()];
        let worker = |number: usize| &site.workers[number % site.workers.len()];
        match fault.kind {
            FaultKind::Kill(number) => {
                let _turn = daemon(number).turn().await;
                daemon(number).signal(Signal::KILL);
                daemon(number).ended(fault.time).await;
                sleep(fault.time).await;
                daemon(number).start().await?;
                daemon(number).wait_ready().await?;
            }
            FaultKind::Stop(number) => self.stop(number, fault.time).await?,
            FaultKind::Freeze(number) => {
                daemon(number).signal(Signal::STOP);
                sleep(fault.time).await;
                daemon(number).signal(Signal::CONT);
            }
            FaultKind::Reload(number) => daemon(number).signal(Signal::HUP),
            FaultKind::StoreLink(number, state) => {
                store_link(number).set_fault(state);
                sleep(fault.time).await;
                store_link(number).set_fault(LinkFault::None);
            }
            FaultKind::StoreReset(number) => store_link(number).reset(),
            FaultKind::Store(state) => {
                site.store.set_fault(state);
                sleep(fault.time).await;
                site.store.set_fault(StoreFault::None);
            }
            FaultKind::Compact => site.store.compact(),
            FaultKind::WorkerLink(number, state) => {
                worker(number).link().set_fault(state);
                sleep(fault.time).await;
                worker(number).link().set_fault(LinkFault::None);
            }
            FaultKind::WorkerReset(number) => worker(number).link().reset(),
            FaultKind::Worker(number, state) => {
                worker(number).set_fault(state);
                sleep(fault.time).await;
                worker(number).set_fault(WorkerFault::None);
            }
            FaultKind::Crash(number) => worker(number).crash(fault.time).await,
            FaultKind::Leave(number) => worker(number).leave(fault.time).await,
            FaultKind::Lapse(number) => {
                worker(number).deregister();
                sleep(fault.time).await;
                worker(number).register();
            }
            FaultKind::Configure => self.configure().await,
        }
        Ok(())
    }

    /// Tells a daemon to stop, more than once, and starts it again.
    async fn stop(&self, number: usize, time: Duration) -> Result<(), SoakError> {
        let daemon = &self.site.daemons[number % self.site.daemons.len()];
        let _turn = daemon.turn().await;
        let from = self.site.witness.now();
        for _ in 0..3 {
            daemon.signal(Signal::TERM);
            sleep(SIGNAL_PAUSE).await;
        }
        let grace = Duration::from_secs(GRACE_S) + STOP_SLACK;
        if !daemon.ended(grace).await {
            let now = self.site.witness.now();
            let sound = self
                .site
                .witness
                .seen()
                .undisturbed(&daemon.name, from, now);
            if sound {
                self.note(Rule::Slow, format!("{} did not stop in time", daemon.name));
            }
            daemon.signal(Signal::KILL);
            daemon.ended(grace).await;
        }
        sleep(time).await;
        daemon.start().await?;
        daemon.wait_ready().await
    }

    /// Adds a route and takes it away again, and asks every daemon for it each time.
    async fn configure(&self) {
        for more in [true, false] {
            let version = self.version.fetch_add(1, Ordering::Relaxed) + 1;
            self.site.configure(version, more);
            sleep(APPLY_TIME).await;
            if self.version.load(Ordering::Relaxed) != version {
                // Another change has come in between.
                return;
            }
            let from = self.site.witness.now();
            for daemon in &self.site.daemons {
                let status = probe(daemon.callers).await;
                let now = self.site.witness.now();
                let held = self.site.witness.seen().in_touch(
                    &daemon.name,
                    from.saturating_sub(APPLY_TIME),
                    now,
                );
                let known = status.is_some_and(|status| status != 404);
                let current = self.version.load(Ordering::Relaxed) == version;
                if held && current && status.is_some() && known != more {
                    let detail = format!("{} answers {status:?} by an old version", daemon.name);
                    self.note(Rule::Config, detail);
                }
            }
        }
    }
}

/// Status of the route that is not always there.
async fn probe(address: std::net::SocketAddr) -> Option<u16> {
    let mut sender = connect(address).await?;
    let request = Request::builder()
        .uri("/more/")
        .header("host", "a.example")
        .header("request-id", "probe")
        .header("deadline-ms", "1000")
        .body(Empty::<Bytes>::new());
    let answer = sender.send_request(request.ok()?).await.ok()?;
    Some(answer.status().as_u16())
}
