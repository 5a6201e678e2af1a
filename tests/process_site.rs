//! A site of processes on loopback: daemons, fakes of the platform, engines and services, and the
//! command line.

use {
    super::process::{LIMIT, PAUSE, Process},
    lentillead::{
        board::{FleetStatus, HostState, Role, Status},
        emulator::{Caller, Ending, LoadItem, Observation, Profile, Site, Verdict, Workload},
        fake::{EngineObserved, EngineSettings, ServiceObserved, ServiceSettings},
    },
    reqwest::Client,
    rustix::process::Signal,
    serde::{Serialize, de::DeserializeOwned},
    serde_json::{Value, json},
    std::{
        collections::BTreeMap,
        fs::write,
        process::{Command, Output},
        sync::{Arc, Mutex},
        time::Duration,
    },
    tempfile::TempDir,
    tokio::{
        task::{JoinHandle, JoinSet},
        time::{Instant, sleep, sleep_until},
    },
};

/// Profile whose sheet and load the tests use.
pub const PROFILE: Profile = Profile::Kovacsreti;

/// Bearer key of the operator listeners.
pub const OPERATOR_KEY: &str = "operator-key-of-the-tests";

/// Number of engines per role.
const ENGINES: usize = 2;

/// Factor on the times of the fake engines.
const SCALE: f64 = 0.3;

/// Caller addresses of the daemons that the load balancer uses.
type Balancer = Arc<Mutex<Vec<String>>>;

/// A running daemon and the path of its settings.
pub struct DaemonProcess {
    pub process: Process,
    pub settings: String,
}

impl DaemonProcess {
    /// Address of the listener `callers`, `operators` or `peers`.
    pub fn address(&self, listener: &str) -> String {
        let address = self.process.announcement["kvs"][listener].as_str();
        address.expect("the daemon logs its addresses").to_owned()
    }
}

/// A running site; dropping it kills its processes.
pub struct ProcessSite {
    pub client: Client,
    pub platform: Process,
    pub engines: Vec<Process>,
    pub services: Vec<Process>,
    /// Running daemons, the oldest first.
    pub daemons: Vec<DaemonProcess>,
    folder: TempDir,
    started: usize,
    balancer: Balancer,
    /// Lines appended to the settings of each daemon.
    extra: &'static str,
}

impl ProcessSite {
    /// Starts the fakes and `daemons` daemons, submits the example sheet and waits until the site
    /// is ready. `extra` is appended to the settings of each daemon.
    pub async fn start(daemons: usize, extra: &'static str) -> Self {
        let folder = TempDir::new().unwrap();
        let mut site = Self {
            client: Client::builder().no_proxy().build().unwrap(),
            platform: Process::start(&["fake", "platform"], "address"),
            engines: Vec::new(),
            services: Vec::new(),
            daemons: Vec::new(),
            folder,
            started: 0,
            balancer: Arc::default(),
            extra,
        };
        site.start_endpoints().await;
        for _ in 0..daemons {
            site.add_daemon().await;
        }
        let sheet = format!("examples/{}/sheet.csv", PROFILE.name());
        let output = site.submit(&sheet);
        assert!(output.status.success(), "{output:?}");
        site.wait_ready().await;
        site
    }

    /// Runs `sheet submit --wait` against the first daemon with the sheet at the path `sheet`.
    pub fn submit(&self, sheet: &str) -> Output {
        let daemon = &self.daemons[0];
        Command::new(env!("CARGO_BIN_EXE_lentillead"))
            .args(["sheet", "submit", "--wait", "--settings", &daemon.settings])
            .args(["--daemon", &daemon.address("operators"), sheet])
            .output()
            .unwrap()
    }

    /// Writes a file into the folder of the site and returns its path.
    pub fn file<B>(&self, name: &str, text: B) -> String
    where
        B: AsRef<[u8]>,
    {
        let path = self.folder.path().join(name);
        write(&path, text).unwrap();
        path.to_string_lossy().into_owned()
    }

    /// Starts a daemon, adds it to the platform's host list and to the load balancer.
    pub async fn add_daemon(&mut self) {
        self.start_daemon();
        let number = self.daemons.len() - 1;
        let peers = self.daemons[number].address("peers");
        let name = format!("entry-{}", self.started);
        self.add_host(&name, "daemon", "", &peers).await;
    }

    /// Starts a daemon and adds it to the load balancer, but not to the platform's host list.
    pub fn start_daemon(&mut self) {
        self.started += 1;
        let platform = address(&self.platform);
        let branch = |name: &&str| format!("{{name: {name}, key: {}}}", Site::branch_key(name));
        let branches: Vec<_> = PROFILE.branches().iter().map(branch).collect();
        let text = format!(
            "host: entry-{}\nzone: zone-a\nplatform: {{address: \"{platform}\"}}\n\
             listen: {{callers: \"127.0.0.1:0\", operators: \"127.0.0.1:0\", peers: \"127.0.0.1:0\"}}\n\
             keys: {{operators: {OPERATOR_KEY}, peers: peer-key-of-the-tests}}\n\
             branches: [{}]\n{}",
            self.started,
            branches.join(", "),
            self.extra,
        );
        let settings = self.file(&format!("entry-{}.yaml", self.started), text);
        let process = Process::start(&["serve", "--settings", &settings], "serving");
        let daemon = DaemonProcess { process, settings };
        self.balancer
            .lock()
            .unwrap()
            .push(daemon.address("callers"));
        self.daemons.push(daemon);
    }

    /// Removes a daemon from the load balancer and from the site; its process keeps running.
    pub fn remove_daemon(&mut self, number: usize) -> DaemonProcess {
        let daemon = self.daemons.remove(number);
        let callers = daemon.address("callers");
        self.balancer.lock().unwrap().retain(|one| *one != callers);
        daemon
    }

    /// Stops a daemon with SIGTERM and returns its exit status. The load balancer uses it until it
    /// is no longer ready.
    pub async fn stop_daemon(&mut self, number: usize) -> Option<i32> {
        let operators = self.daemons[number].address("operators");
        self.daemons[number].process.signal(Signal::TERM);
        until("the daemon is not ready", async || {
            !self.is_ready(&operators).await
        })
        .await;
        let mut daemon = self.remove_daemon(number);
        daemon.process.wait_exit().await
    }

    /// Sends a control request to the fake platform.
    pub async fn control_platform(&self, body: Value) {
        self.control_process(&self.platform, body).await;
    }

    /// Sends a control request to a fake.
    pub async fn control_process(&self, fake: &Process, body: Value) {
        let url = format!("http://{}/fake/control", address(fake));
        let response = self.client.post(url).json(&body).send().await.unwrap();
        assert!(response.status().is_success(), "{response:?}");
    }

    /// Status that a daemon reports of itself; `None` if it does not respond.
    pub async fn status(&self, number: usize) -> Option<Status> {
        let operators = self.daemons[number].address("operators");
        let url = format!("http://{operators}/v1/status?own=true");
        let request = self.client.get(url).bearer_auth(OPERATOR_KEY);
        let text = request.send().await.ok()?.text().await.ok()?;
        let fleet: FleetStatus = serde_json::from_str(&text).ok()?;
        fleet.daemons.into_iter().next()
    }

    /// What each engine observed, in the order of `engines`.
    pub async fn engines_seen(&self) -> Vec<EngineObserved> {
        self.observed(&self.engines).await
    }

    /// What each service observed, in the order of `services`.
    pub async fn services_seen(&self) -> Vec<ServiceObserved> {
        self.observed(&self.services).await
    }

    /// Waits until no engine holds memory; returns the time that it took.
    pub async fn wait_memory_free(&self) -> Duration {
        let start = Instant::now();
        until("memory is free", async || {
            self.engines_seen().await.iter().all(|seen| seen.used == 0)
        })
        .await;
        start.elapsed()
    }

    /// Waits until an engine has generated tokens and holds memory.
    pub async fn wait_generating(&self) {
        until("an engine generates", async || {
            let seen = self.engines_seen().await;
            let tokens = |seen: &EngineObserved| seen.totals.generated > 0 && seen.used > 0;
            seen.iter().any(tokens)
        })
        .await;
    }

    /// Waits until every daemon knows all daemons and endpoints, and each endpoint has an owner.
    pub async fn wait_ready(&self) {
        until("the site is ready", async || {
            let mut owned = 0;
            for number in 0..self.daemons.len() {
                let Some(status) = self.status(number).await else {
                    return false;
                };
                let alive = status.members.iter();
                let alive = alive.filter(|member| member.state == HostState::Alive);
                let known: u32 = status.pools.iter().map(|pool| pool.endpoints).sum();
                if alive.count() != self.daemons.len()
                    || known as usize != self.count_endpoints()
                    || status.revision == 0
                {
                    return false;
                }
                owned += status.owned as usize;
            }
            owned == self.count_endpoints()
        })
        .await;
    }

    /// Starts a load of `requests` requests through the load balancer, `rate` per second.
    pub fn start_load(&self, requests: u32, rate: f64) -> JoinHandle<Vec<Observation>> {
        let items = items(requests, rate);
        let balancer = Arc::clone(&self.balancer);
        let client = self.client.clone();
        tokio::spawn(async move {
            let start = Instant::now();
            let mut running = JoinSet::new();
            for (item, number) in items.into_iter().zip(0..) {
                let balancer = Arc::clone(&balancer);
                let caller = Caller::new(client.clone(), LIMIT);
                running.spawn(async move {
                    sleep_until(start + item.at).await;
                    send(&caller, &balancer, number, &item).await
                });
            }
            running.join_all().await
        })
    }

    /// Waits until engine memory is free and judges the observations of a load.
    pub async fn judge(&self, seen: &[Observation]) -> Verdict {
        self.wait_memory_free().await;
        let engines = self.engines_seen().await;
        let services = self.services_seen().await;
        Verdict::judge(seen.len() as u32, seen, &engines, &services)
    }

    async fn is_ready(&self, operators: &str) -> bool {
        let url = format!("http://{operators}/readyz");
        let response = self.client.get(url).send().await;
        response.is_ok_and(|response| response.status().is_success())
    }

    async fn observed<T>(&self, fakes: &[Process]) -> Vec<T>
    where
        T: DeserializeOwned,
    {
        let mut all = Vec::new();
        for fake in fakes {
            let url = format!("http://{}/fake/observed", address(fake));
            let response = self.client.get(url).send().await.unwrap();
            all.push(response.json().await.unwrap());
        }
        all
    }

    fn count_endpoints(&self) -> usize {
        self.engines.len() + self.services.len()
    }

    async fn start_endpoints(&mut self) {
        let (model, version, adapters) = PROFILE.model();
        let [prefill, decode, service] = PROFILE.pools();
        for (role, name, pool) in [
            (Role::Prefill, "prefill", prefill),
            (Role::Decode, "decode", decode),
        ] {
            let settings = EngineSettings::builder(role)
                .models(BTreeMap::from([(model.to_owned(), version.to_owned())]))
                .adapters(adapters.iter().map(|one| (*one).to_owned()).collect())
                .scale(SCALE)
                .build();
            for number in 0..ENGINES {
                let name = format!("{name}-{number}");
                let engine = self.start_fake("engine", &name, &settings);
                self.add_host(&name, &name[..name.len() - 2], pool, &address(&engine))
                    .await;
                self.engines.push(engine);
            }
        }
        let settings = ServiceSettings::builder().build();
        let fake = self.start_fake("service", "service-0", &settings);
        self.add_host("service-0", "service", service, &address(&fake))
            .await;
        self.services.push(fake);
    }

    fn start_fake<T>(&self, kind: &str, name: &str, settings: &T) -> Process
    where
        T: Serialize,
    {
        let text = serde_json::to_string(settings).unwrap();
        let path = self.file(&format!("{name}.yaml"), text);
        Process::start(&["fake", kind, "--settings", &path], "address")
    }

    async fn add_host(&self, name: &str, role: &str, pool: &str, address: &str) {
        let host = json!({
            "name": name, "role": role, "address": address, "zone": "zone-a", "pool": pool,
            "leaving": false,
        });
        self.control_platform(json!({ "add_hosts": [host] })).await;
    }
}

/// Requests of a load with a fixed seed, `rate` per second.
pub fn items(requests: u32, rate: f64) -> Vec<LoadItem> {
    let load = Workload {
        profile: PROFILE,
        seed: 7,
        requests,
        rate,
        disconnect_ratio: 0.0,
    };
    load.items()
}

/// Waits until `test` holds; panics with `what` if it does not within `LIMIT`.
pub async fn until<F>(what: &str, mut test: F)
where
    F: AsyncFnMut() -> bool,
{
    let start = Instant::now();
    while !test().await {
        assert!(start.elapsed() < LIMIT, "{what}: not within {LIMIT:?}");
        sleep(PAUSE).await;
    }
}

/// Address that a fake announced at its start.
pub fn address(fake: &Process) -> String {
    fake.announcement["address"].as_str().unwrap().to_owned()
}

/// Sends a request to a daemon, and to the next one, up to ten times, if it refused as not ready or
/// stopping and so did not run the request.
async fn send(caller: &Caller, balancer: &Balancer, number: usize, item: &LoadItem) -> Observation {
    let (model, _, _) = PROFILE.model();
    let key = Site::branch_key(&item.branch);
    let mut attempts = 0;
    loop {
        let address = {
            let addresses = balancer.lock().unwrap();
            addresses[(number + attempts) % addresses.len()].clone()
        };
        let seen = caller.send(&address, &key, model, item).await;
        attempts += 1;
        let not_run = matches!(
            &seen.end,
            Ending::Refused(refused) if ["not-ready", "stopping"].contains(&refused.reason.as_str())
        );
        if !not_run || attempts > 10 {
            return seen;
        }
    }
}
