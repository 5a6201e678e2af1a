use {
    super::DaemonError,
    crate::{
        board::Blackboard,
        border::{
            BudgetedPlatform, CallCounters, CallerMemory, EngineClient, PeerClient, PeerTraffic,
            PlatformClient, ResponseMemory, ServiceClient, Settings, http_client,
        },
        key::name_hash,
        port::{Clock, MonoClock},
    },
    prometheus_client::{metrics::counter::Counter, registry::Registry},
    rand::{SeedableRng, rngs::SmallRng},
    std::time::Duration,
};

/// Time within which a connection to an endpoint must be established.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Client of the platform that keeps the daemon within its budget of platform calls.
pub type DaemonPlatform = BudgetedPlatform<PlatformClient, MonoClock>;

/// Settings, blackboard, clock and clients that the controllers and the request path share.
#[derive(Clone, Debug)]
pub struct DaemonContext {
    /// Checked settings of the daemon.
    pub settings: Settings,
    /// Blackboard through which controllers and requests share state.
    pub board: Blackboard,
    /// Monotonic clock, started together with the daemon.
    pub clock: MonoClock,
    /// Start time in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Client of the model engines.
    pub engine: EngineClient,
    /// Client of the plain services.
    pub service: ServiceClient,
    /// Client of the other daemons.
    pub peer: PeerClient,
    /// Counters of the traffic with other daemons.
    pub traffic: PeerTraffic,
    /// Client of the platform, within the call budget.
    pub platform: DaemonPlatform,
    /// Account of what is held for callers.
    pub memory: CallerMemory,
}

impl DaemonContext {
    /// Creates the clients and registers their metrics in `registry`; `stray` counts the chunks of
    /// engine responses that were dropped.
    ///
    /// # Errors
    ///
    /// Fails if the client of the endpoints, of the peers or of the platform cannot be created.
    pub fn new(
        settings: &Settings,
        board: Blackboard,
        stray: Counter,
        registry: &mut Registry,
    ) -> Result<Self, DaemonError> {
        let clock = MonoClock::start();
        let incarnation = clock.unix_ms();
        let traffic = PeerTraffic::new(registry);
        let client = http_client(CONNECT_TIMEOUT)?;
        let bounds = settings.limits.caller_bounds();
        let seed = name_hash(&settings.host) ^ incarnation;
        Ok(Self {
            settings: settings.clone(),
            board,
            clock,
            incarnation,
            engine: EngineClient::new(client.clone(), stray),
            service: ServiceClient::new(client).memory(ResponseMemory::new(bounds.response_bytes)),
            peer: PeerClient::new(&settings.keys.peers, seed, traffic.clone())?,
            traffic,
            platform: platform(settings, clock, registry)?,
            memory: CallerMemory::new(bounds, registry),
        })
    }

    /// Seed for the random numbers of `purpose`; it differs by host and by start of the daemon.
    pub fn seed(&self, purpose: &str) -> u64 {
        name_hash(&self.settings.host) ^ self.incarnation ^ name_hash(purpose)
    }

    /// Random number generator for `purpose`, seeded with [`Self::seed`].
    pub fn rng(&self, purpose: &str) -> SmallRng {
        SmallRng::seed_from_u64(self.seed(purpose))
    }
}

fn platform(
    settings: &Settings,
    clock: MonoClock,
    registry: &mut Registry,
) -> Result<DaemonPlatform, DaemonError> {
    let base_url = format!("http://{}", settings.platform.address);
    let client = PlatformClient::new(&base_url, settings.platform.timeout)?;
    let calls = settings.platform.calls;
    let counters = CallCounters::new(registry, calls);
    Ok(BudgetedPlatform::new(client, clock, calls, counters))
}
