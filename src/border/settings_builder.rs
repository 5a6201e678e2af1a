use {
    super::{
        Claims, Keys, Limits, Listen, LogSettings, OrderLimits, PlatformSettings, Settings, Timing,
        settings::LogLevel,
    },
    crate::board::{Branch, Secret},
    std::net::{IpAddr, Ipv4Addr, SocketAddr},
};

/// Queue size of each branch in bytes.
const DEFAULT_QUEUE_BYTES: u64 = 64 << 20;

/// Builds settings in code, for tests and stand-ins.
///
/// Unless set otherwise, the daemon listens on free ports of the loopback address, logs warnings to
/// standard error and uses fixed keys. The settings are not validated.
#[derive(Clone, Debug)]
pub struct SettingsBuilder {
    settings: Settings,
}

impl SettingsBuilder {
    /// Starts from the defaults for the host `host` in availability zone `zone`, with the platform
    /// at `platform`, `ip:port`.
    pub fn new(host: &str, zone: &str, platform: &str) -> Self {
        let loopback = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
        let settings = Settings {
            host: host.to_owned(),
            zone: zone.to_owned(),
            listen: Listen {
                callers: loopback,
                operators: loopback,
                peers: loopback,
            },
            advertise: None,
            seeds: Vec::new(),
            platform: PlatformSettings {
                address: platform.to_owned(),
                ..PlatformSettings::default()
            },
            keys: Keys {
                operators: Secret("operator-key".to_owned()),
                peers: Secret("peer-key".to_owned()),
            },
            branches: Vec::new(),
            limits: Limits::default(),
            timing: Timing::default(),
            claims: Claims::default(),
            orders: OrderLimits::default(),
            log: LogSettings {
                level: LogLevel::Warn,
                file: None,
            },
        };
        Self { settings }
    }

    /// Sets the addresses to listen on.
    #[must_use]
    pub fn listen(mut self, listen: Listen) -> Self {
        self.settings.listen = listen;
        self
    }

    /// Sets the addresses of peer listeners that are used while the platform's host list names no
    /// daemon.
    #[must_use]
    pub fn seeds(mut self, seeds: Vec<SocketAddr>) -> Self {
        self.settings.seeds = seeds;
        self
    }

    /// Sets the keys of the operator and peer listeners.
    #[must_use]
    pub fn keys(mut self, operators: &str, peers: &str) -> Self {
        self.settings.keys = Keys {
            operators: Secret(operators.to_owned()),
            peers: Secret(peers.to_owned()),
        };
        self
    }

    /// Adds the branch `name`, whose callers present `key`.
    #[must_use]
    pub fn branch(mut self, name: &str, key: &str) -> Self {
        self.settings.branches.push(Branch {
            name: name.to_owned(),
            secret: Secret(key.to_owned()),
            queue_bytes: DEFAULT_QUEUE_BYTES,
        });
        self
    }

    /// Sets the limits on what callers and operators may send.
    #[must_use]
    pub fn limits(mut self, limits: Limits) -> Self {
        self.settings.limits = limits;
        self
    }

    /// Sets the intervals and time-outs.
    #[must_use]
    pub fn timing(mut self, timing: Timing) -> Self {
        self.settings.timing = timing;
        self
    }

    /// Sets the limits on orders to engines.
    #[must_use]
    pub fn orders(mut self, orders: OrderLimits) -> Self {
        self.settings.orders = orders;
        self
    }

    /// Sets the handling of claims.
    #[must_use]
    pub fn claims(mut self, claims: Claims) -> Self {
        self.settings.claims = claims;
        self
    }

    /// Sets the level and destination of the log.
    #[must_use]
    pub fn log(mut self, log: LogSettings) -> Self {
        self.settings.log = log;
        self
    }

    /// Returns the settings.
    pub fn build(self) -> Settings {
        self.settings
    }
}
