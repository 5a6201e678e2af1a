use {
    super::DaemonError,
    crate::{
        board::Blackboard,
        border::{
            BudgetedPlatform, CallCounters, EngineClient, PeerClient, PeerTraffic, PlatformClient,
            ServiceClient, Settings, http_client,
        },
        key::name_hash,
        port::{Clock, MonoClock},
    },
    prometheus_client::{metrics::counter::Counter, registry::Registry},
    rand::{SeedableRng, rngs::SmallRng},
    std::time::Duration,
};

/// Time to connect to an endpoint.
const CONNECT_TIME: Duration = Duration::from_secs(1);

/// The platform as the daemon calls it, within its budget.
pub type DaemonPlatform = BudgetedPlatform<PlatformClient, MonoClock>;

/// What the controllers and the path of a request are built on.
#[derive(Clone, Debug)]
pub struct Base {
    /// Settings.
    pub settings: Settings,
    /// The blackboard.
    pub board: Blackboard,
    /// Clock.
    pub clock: MonoClock,
    /// Start time in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Model engines.
    pub engine: EngineClient,
    /// Plain services.
    pub service: ServiceClient,
    /// Other daemons.
    pub peer: PeerClient,
    /// Traffic with other daemons.
    pub traffic: PeerTraffic,
    /// The platform.
    pub platform: DaemonPlatform,
}

impl Base {
    /// Creates the clients; `stray` counts chunks that were dropped.
    pub fn new(
        settings: &Settings,
        board: Blackboard,
        stray: Counter,
        registry: &mut Registry,
    ) -> Result<Self, DaemonError> {
        let clock = MonoClock::start();
        let incarnation = clock.unix_ms();
        let traffic = PeerTraffic::new(registry);
        let client = http_client(CONNECT_TIME)?;
        let seed = name_hash(&settings.host) ^ incarnation;
        Ok(Self {
            settings: settings.clone(),
            board,
            clock,
            incarnation,
            engine: EngineClient::new(client.clone(), stray),
            service: ServiceClient::new(client),
            peer: PeerClient::new(&settings.keys.peers, seed, traffic.clone())?,
            traffic,
            platform: platform(settings, clock, registry)?,
        })
    }

    /// Seed of what is drawn at random for `purpose`.
    pub fn seed(&self, purpose: &str) -> u64 {
        name_hash(&self.settings.host) ^ self.incarnation ^ name_hash(purpose)
    }

    /// Generator of what is drawn at random for `purpose`.
    pub fn rng(&self, purpose: &str) -> SmallRng {
        SmallRng::seed_from_u64(self.seed(purpose))
    }
}

fn platform(
    settings: &Settings,
    clock: MonoClock,
    registry: &mut Registry,
) -> Result<DaemonPlatform, DaemonError> {
    let base = format!("http://{}", settings.platform.address);
    let client = PlatformClient::new(&base, settings.platform.timeout)?;
    let calls = settings.platform.calls;
    let counters = CallCounters::new(registry, calls);
    Ok(BudgetedPlatform::new(client, clock, calls, counters))
}
