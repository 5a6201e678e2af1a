/// What a platform call is made for, the most urgent first.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum CallClass {
    /// Claims of at-most-once requests.
    Claims,
    /// The sheet.
    Sheet,
    /// The host list.
    Hosts,
    /// Leases of orders to engines.
    Orders,
    /// Status.
    Status,
}

impl CallClass {
    /// Every class, for registration of counters.
    pub const ALL: [Self; 5] = [
        Self::Claims,
        Self::Sheet,
        Self::Hosts,
        Self::Orders,
        Self::Status,
    ];

    /// The label of the counters.
    pub fn word(self) -> &'static str {
        match self {
            Self::Claims => "claims",
            Self::Sheet => "sheet",
            Self::Hosts => "hosts",
            Self::Orders => "orders",
            Self::Status => "status",
        }
    }

    /// Part of a budget of `burst` calls that this class leaves to the more urgent ones.
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
