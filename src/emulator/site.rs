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

/// Availability zones of an emulated site.
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// Time that daemons have to know each other, the endpoints and the sheet.
const READY_TIME: Duration = Duration::from_secs(30);

/// Pause between looks at whether the daemons are ready.
const READY_PAUSE: Duration = Duration::from_millis(20);

/// Engines, services, the platform and daemons in one process, over loopback.
#[derive(Debug)]
pub struct Site {
    /// Options.
    pub options: SiteOptions,
    /// The platform.
    pub platform: FakePlatform,
    /// Prefill engines, then decode engines.
    pub engines: Vec<FakeEngine>,
    /// Plain services.
    pub services: Vec<FakeService>,
    /// Daemons; a slot is empty after the daemon has stopped or crashed.
    pub daemons: Vec<Option<SiteDaemon>>,
}

/// Why a site did not start.
#[derive(Debug, Error)]
pub enum SiteError {
    /// A stand-in or a runtime could not be started.
    #[error("a stand-in or a runtime could not be started: {0}")]
    Fake(#[from] io::Error),
    /// A daemon could not be started.
    #[error("a daemon could not be started: {0}")]
    Daemon(#[from] DaemonError),
    /// The shipped sheet was not accepted.
    #[error("the shipped sheet was not accepted: {0}")]
    Sheet(String),
    /// The daemons were not ready in time.
    #[error("the daemons were not ready within {READY_TIME:?}: {0}")]
    NotReady(String),
}

impl Site {
    /// Starts everything and returns when the shipped sheet is in force on every daemon.
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
        site.submit().await?;
        site.ready().await?;
        Ok(site)
    }

    /// Addresses of the running daemons' caller listeners.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.daemons
            .iter()
            .flatten()
            .map(|daemon| daemon.addresses().callers)
            .collect()
    }

    /// Key of a branch.
    pub fn branch_key(branch: &str) -> String {
        format!("key-of-branch-{branch}")
    }

    /// Starts one more daemon and lists it at the platform.
    pub async fn add_daemon(&mut self) -> Result<(), SiteError> {
        self.daemons.push(None);
        self.start_daemon(self.daemons.len() - 1).await
    }

    /// Starts the daemon in an empty slot, with a new incarnation, and lists it at the platform.
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

    /// Ends a daemon without warning; the host list goes on showing it.
    pub fn crash_daemon(&mut self, number: usize) {
        self.daemons[number] = None;
    }

    /// What the engines saw.
    pub fn engines_seen(&self) -> Vec<EngineObserved> {
        self.engines.iter().map(FakeEngine::observed).collect()
    }

    /// What the services saw.
    pub fn services_seen(&self) -> Vec<ServiceObserved> {
        self.services.iter().map(FakeService::observed).collect()
    }

    /// Waits up to `limit` until no engine holds memory; returns the time that it took.
    pub async fn memory_free(&self, limit: Duration) -> Option<Duration> {
        let start = Instant::now();
        while start.elapsed() < limit {
            if self
                .engines
                .iter()
                .all(|engine| engine.observed().used == 0)
            {
                return Some(start.elapsed());
            }
            sleep(READY_PAUSE).await;
        }
        None
    }

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
        let builder = builder.seeds(peers.collect());
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
            self.list(
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
            self.list(
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

    fn list(&self, name: &str, pool: &str, role: Role, address: &str, number: usize) {
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

    async fn submit(&self) -> Result<(), SiteError> {
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

    /// Waits until every daemon has the sheet, all members and an owner for every endpoint.
    pub async fn ready(&self) -> Result<(), SiteError> {
        let start = Instant::now();
        loop {
            let Some(missing) = self.missing() else {
                return Ok(());
            };
            if start.elapsed() > READY_TIME {
                return Err(SiteError::NotReady(missing));
            }
            sleep(READY_PAUSE).await;
        }
    }

    /// What a daemon still lacks.
    fn missing(&self) -> Option<String> {
        let endpoints = self.engines.len() + self.services.len();
        let running = self.daemons.iter().flatten().count();
        self.daemons.iter().flatten().find_map(|daemon| {
            let board = daemon.board();
            let members = board.members.load();
            let alive = members
                .hosts
                .iter()
                .filter(|(_, h)| h.state == HostState::Alive)
                .count();
            let owned = board.owners.load().by_endpoint.len();
            let sheet = board.sheet.load().revision;
            let lacks = alive < running || owned < endpoints || sheet == 0;
            lacks.then(|| {
                format!("{alive} of {running} hosts, {owned} of {endpoints} owners, sheet {sheet}")
            })
        })
    }
}
