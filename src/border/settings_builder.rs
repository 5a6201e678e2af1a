use {
    super::{
        Claims, Keys, Limits, Listen, LogSettings, OrderLimits, PlatformSettings, Settings, Timing,
        settings::LogLevel,
    },
    crate::board::{Branch, Secret},
    std::net::{IpAddr, Ipv4Addr, SocketAddr},
};

const QUEUE_BYTES: u64 = 64 << 20;

/// Builds settings in code, with free ports on loopback unless told otherwise.
#[derive(Clone, Debug)]
pub struct SettingsBuilder {
    settings: Settings,
}

impl SettingsBuilder {
    /// Starts from the defaults for `host` in `zone` with the platform at `platform`.
    pub fn new(host: &str, zone: &str, platform: &str) -> Self {
        let free = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
        let settings = Settings {
            host: host.to_owned(),
            zone: zone.to_owned(),
            listen: Listen {
                callers: free,
                operators: free,
                peers: free,
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

    /// Sets the peer listeners that are asked while the platform has named none.
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

    /// Adds a branch.
    #[must_use]
    pub fn branch(mut self, name: &str, key: &str) -> Self {
        self.settings.branches.push(Branch {
            name: name.to_owned(),
            secret: Secret(key.to_owned()),
            queue_bytes: QUEUE_BYTES,
        });
        self
    }

    /// Sets the limits.
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

    /// Sets the bounds of orders to engines.
    #[must_use]
    pub fn orders(mut self, orders: OrderLimits) -> Self {
        self.settings.orders = orders;
        self
    }

    /// Sets the claims.
    #[must_use]
    pub fn claims(mut self, claims: Claims) -> Self {
        self.settings.claims = claims;
        self
    }

    /// Sets the logs.
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
