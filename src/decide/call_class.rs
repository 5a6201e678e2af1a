/// Purpose of a platform call, the most urgent first.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum CallClass {
    /// Claims (idempotency records) of at-most-once requests.
    Claims,
    /// The sheet (routing configuration).
    Sheet,
    /// The list of hosts.
    Hosts,
    /// Leases for orders to engines.
    Orders,
    /// Status of the daemons.
    Status,
}

impl CallClass {
    /// All classes, for the registration of counters.
    pub const ALL: [Self; 5] = [
        Self::Claims,
        Self::Sheet,
        Self::Hosts,
        Self::Orders,
        Self::Status,
    ];

    /// Returns the value of the metric label.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Claims => "claims",
            Self::Sheet => "sheet",
            Self::Hosts => "hosts",
            Self::Orders => "orders",
            Self::Status => "status",
        }
    }

    /// Returns how many calls of a rate limit with bursts of up to `burst` calls this class leaves to
    /// more urgent classes.
    pub fn reserve(self, burst: u32) -> u32 {
        match self {
            Self::Claims => 0,
            Self::Sheet => burst / 8,
            Self::Hosts => burst / 4,
            Self::Orders => burst * 3 / 8,
            Self::Status => burst / 2,
        }
    }
}
