use {
    super::{SiteDaemon, SiteOptions},
    crate::{
        board::{HostState, Role},
        border::{Limits, Settings, SettingsBuilder},
        control::Submission,
        daemon::DaemonError,
        fake::{
            EngineObserved, EngineSettings, FakeEngine, FakePlatform, FakeService,
            PlatformSettings, ServiceObserved, ServiceSettings,
        },
        port::HostEntry,
    },
    std::{collections::BTreeMap, io, net::SocketAddr, time::Duration},
    thiserror::Error,
    tokio::time::{Instant, sleep},
};

/// Key that operators present to the daemons.
const OPERATOR_KEY: &str = "operator-key";

/// Availability zones of an emulated site; hosts are assigned to them in turn.
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// Time limit for every daemon to know all other daemons, an owner for each endpoint, and the
/// sheet.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval at which the state of the daemons and the engines is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Fake engines, services and platform together with real daemons, in one process over loopback.
#[derive(Debug)]
pub struct Site {
    /// Options that the site was started with.
    pub options: SiteOptions,
    /// Fake platform.
    pub platform: FakePlatform,
    /// Fake engines: first those for prefill, then those for decode.
    pub engines: Vec<FakeEngine>,
    /// Fake services.
    pub services: Vec<FakeService>,
    /// Daemons; a slot is empty after the daemon has stopped or crashed.
    pub daemons: Vec<Option<SiteDaemon>>,
}

/// Reason why a site did not start or did not become ready again.
#[derive(Debug, Error)]
pub enum SiteError {
    /// A fake endpoint, the fake platform or a daemon's runtime did not start.
    #[error("failed to start a fake endpoint, the fake platform or a daemon's runtime: {0}")]
    Fake(#[from] io::Error),
    /// A daemon did not start.
    #[error("failed to start a daemon: {0}")]
    Daemon(#[from] DaemonError),
    /// The shipped sheet is invalid or a daemon rejected it; holds the reason.
    #[error("the shipped sheet was rejected: {0}")]
    Sheet(String),
    /// The daemons were not ready within the time limit; holds what a daemon lacked.
    #[error("the daemons were not ready within {READY_TIMEOUT:?}: {0}")]
    NotReady(String),
}

impl Site {
    /// Starts the fakes and the daemons, and returns when the shipped sheet is in force on every
    /// daemon.
    ///
    /// Fails if a fake or a daemon does not start, the sheet is rejected, or the daemons are not
    /// ready within the time limit.
    pub async fn start(options: SiteOptions) -> Result<Self, SiteError> {
        let platform = FakePlatform::start(PlatformSettings::default()).await?;
        let mut site = Self {
            options,
            platform,
            engines: Vec::new(),
            services: Vec::new(),
            daemons: Vec::new(),
        };
        site.start_engines().await?;
        site.start_services().await?;
        for _ in 0..options.daemons {
            site.add_daemon().await?;
        }
        site.submit_sheet().await?;
        site.wait_ready().await?;
        Ok(site)
    }

    /// Addresses of the caller listeners of the running daemons.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.daemons
            .iter()
            .flatten()
            .map(|daemon| daemon.addresses().callers)
            .collect()
    }

    /// API key of a branch in an emulated site.
    pub fn branch_key(branch: &str) -> String {
        format!("key-of-branch-{branch}")
    }

    /// Starts one more daemon and adds it to the platform's host list. Fails if it does not start.
    pub async fn add_daemon(&mut self) -> Result<(), SiteError> {
        self.daemons.push(None);
        self.start_daemon(self.daemons.len() - 1).await
    }

    /// Starts the daemon in the empty slot `number`, with a new incarnation, and adds it to the
    /// platform's host list. Fails if it does not start.
    pub async fn start_daemon(&mut self, number: usize) -> Result<(), SiteError> {
        let settings = self.settings(number);
        let (name, zone) = (settings.host.clone(), settings.zone.clone());
        let daemon = SiteDaemon::start(settings).await?;
        self.platform.add_host(HostEntry {
            name,
            role: "daemon".to_owned(),
            address: daemon.addresses().peers.to_string(),
            zone,
            pool: String::new(),
            leaving: false,
        });
        self.daemons[number] = Some(daemon);
        Ok(())
    }

    /// Ends the daemon in slot `number` without any cleanup; it stays on the platform's host list.
    pub fn crash_daemon(&mut self, number: usize) {
        self.daemons[number] = None;
    }

    /// Returns what each engine has recorded, in the order of `engines`.
    pub fn observe_engines(&self) -> Vec<EngineObserved> {
        self.engines.iter().map(FakeEngine::observed).collect()
    }

    /// Returns what each service has recorded, in the order of `services`.
    pub fn observe_services(&self) -> Vec<ServiceObserved> {
        self.services.iter().map(FakeService::observed).collect()
    }

    /// Waits until no engine holds memory and returns the time that it took; none if one still does
    /// after `limit`.
    pub async fn wait_memory_free(&self, limit: Duration) -> Option<Duration> {
        let start = Instant::now();
        while start.elapsed() < limit {
            if self
                .engines
                .iter()
                .all(|engine| engine.observed().used == 0)
            {
                return Some(start.elapsed());
            }
            sleep(POLL_INTERVAL).await;
        }
        None
    }

    /// Settings of the daemon in slot `number`; the running daemons are the first that it contacts.
    fn settings(&self, number: usize) -> Settings {
        let platform = self.platform.address().to_string();
        let zone = ZONES[number % ZONES.len()];
        let builder = SettingsBuilder::new(&format!("entry-{}", number + 1), zone, &platform);
        let branches = self.options.profile.branches().iter();
        let peers = self
            .daemons
            .iter()
            .flatten()
            .map(|daemon| daemon.addresses().peers);
        // The port of a daemon that crashed may go to a daemon of another site, which must not answer
        // the calls meant for the first one.
        let peer_key = format!("peers of the site at {platform}");
        let builder = builder.keys(OPERATOR_KEY, &peer_key).seeds(peers.collect());
        let builder = branches.fold(builder, |builder, branch| {
            builder.branch(branch, &Self::branch_key(branch))
        });
        let limits = Limits {
            request_time: self.options.request_time,
            ..Limits::default()
        };
        builder.timing(self.options.timing).limits(limits).build()
    }

    async fn start_engines(&mut self) -> Result<(), SiteError> {
        let [prefills, decodes, _] = self.options.profile.sizes();
        let [prefill, decode, _] = self.options.profile.pools();
        for number in 0..prefills + decodes {
            let (role, pool) = if number < prefills {
                (Role::Prefill, prefill)
            } else {
                (Role::Decode, decode)
            };
            let engine = FakeEngine::start(self.engine_settings(role, number)).await?;
            let address = engine.address().to_string();
            self.list_host(
                &format!("engine-{}", number + 1),
                pool,
                role,
                &address,
                number,
            );
            self.engines.push(engine);
        }
        Ok(())
    }

    fn engine_settings(&self, role: Role, number: usize) -> EngineSettings {
        let (model, version, adapters) = self.options.profile.model();
        EngineSettings::builder(role)
            .models(BTreeMap::from([(model.to_owned(), version.to_owned())]))
            .adapters(
                adapters
                    .iter()
                    .map(|adapter| (*adapter).to_owned())
                    .collect(),
            )
            .poison(self.options.poison)
            .scale(self.options.scale)
            .seed(self.options.seed ^ number as u64)
            .build()
    }

    async fn start_services(&mut self) -> Result<(), SiteError> {
        let [_, _, count] = self.options.profile.sizes();
        let [_, _, pool] = self.options.profile.pools();
        for number in 0..count {
            let settings = ServiceSettings::builder()
                .scale(self.options.scale)
                .seed(self.options.seed ^ number as u64)
                .build();
            let service = FakeService::start(settings).await?;
            let address = service.address().to_string();
            self.list_host(
                &format!("service-{}", number + 1),
                pool,
                Role::Service,
                &address,
                number,
            );
            self.services.push(service);
        }
        Ok(())
    }

    /// Adds an endpoint to the platform's host list.
    fn list_host(&self, name: &str, pool: &str, role: Role, address: &str, number: usize) {
        let role = match role {
            Role::Prefill => "prefill",
            Role::Decode => "decode",
            Role::Service => "service",
        };
        self.platform.add_host(HostEntry {
            name: name.to_owned(),
            role: role.to_owned(),
            address: address.to_owned(),
            zone: ZONES[number % ZONES.len()].to_owned(),
            pool: pool.to_owned(),
            leaving: false,
        });
    }

    /// Submits the shipped sheet through the first running daemon, if there is one.
    async fn submit_sheet(&self) -> Result<(), SiteError> {
        let rules = self.options.profile.rules().map_err(SiteError::Sheet)?;
        let submission = Submission {
            base: 0,
            rules,
            change: "shipped-example".to_owned(),
            author: "emulator".to_owned(),
            time: 0,
            known_revision: 0,
        };
        let Some(daemon) = self.daemons.iter().flatten().next() else {
            return Ok(());
        };
        let accepted = daemon.control().store.submit(submission).await;
        accepted
            .map(drop)
            .map_err(|error| SiteError::Sheet(error.to_string()))
    }

    /// Waits until every running daemon has the sheet, knows all running daemons as alive and knows
    /// an owner for every endpoint. Fails with `NotReady` after the time limit.
    pub async fn wait_ready(&self) -> Result<(), SiteError> {
        let start = Instant::now();
        loop {
            let Some(gap) = self.readiness_gap() else {
                return Ok(());
            };
            if start.elapsed() > READY_TIMEOUT {
                return Err(SiteError::NotReady(gap));
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Describes what the first daemon that is not ready has and needs; none if all are ready.
    fn readiness_gap(&self) -> Option<String> {
        let endpoints = self.engines.len() + self.services.len();
        let running = self.daemons.iter().flatten().count();
        self.daemons.iter().flatten().find_map(|daemon| {
            let board = daemon.board();
            let members = board.members.load();
            let alive = members
                .hosts
                .iter()
                .filter(|(_, host)| host.state == HostState::Alive)
                .count();
            let owned = board.owners.load().by_endpoint.len();
            let sheet = board.sheet.load().revision;
            let not_ready = alive < running || owned < endpoints || sheet == 0;
            not_ready.then(|| {
                format!("{alive} of {running} hosts, {owned} of {endpoints} owners, sheet {sheet}")
            })
        })
    }
}
