use {
    crate::{
        board::Rule,
        border::read_sheet,
        decide::{SheetFault, sheet_check},
    },
    serde::{Deserialize, Serialize},
    std::str::FromStr,
};

/// One of the users whose load, sheet and endpoints the emulator imitates.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Profile {
    /// Kovácsréti Nagykereskedelmi Árjegyzék: ten summarisers, three order-and-stock services.
    Kovacsreti,
    /// Cymdeithas Trinwyr Anifeiliaid Cymru: eight note summarisers, three booking services.
    TrinCymru,
}

/// One request kind in a profile's load.
#[derive(Clone, Copy, Debug)]
pub struct ProfileKind {
    /// Name of the request kind in the shipped sheet.
    pub kind: &'static str,
    /// Share of the requests, in percent.
    pub percent: u32,
    /// Minimum and maximum number of prompt tokens; none for a service.
    pub prompt_tokens: Option<(u32, u32)>,
    /// Whether requests of the kind carry an idempotency key and run at most once.
    pub at_most_once: bool,
}

impl Profile {
    /// Name on the command line and in traces.
    pub fn name(self) -> &'static str {
        match self {
            Self::Kovacsreti => "kovacsreti",
            Self::TrinCymru => "trin-cymru",
        }
    }

    /// Text of the shipped example sheet, as CSV.
    pub fn sheet(self) -> &'static str {
        match self {
            Self::Kovacsreti => include_str!("../../examples/kovacsreti/sheet.csv"),
            Self::TrinCymru => include_str!("../../examples/trin-cymru/sheet.csv"),
        }
    }

    /// Rules of the shipped example sheet; fails with every fault in it, joined by `; `.
    pub fn rules(self) -> Result<Vec<Rule>, String> {
        let text = |faults: Vec<SheetFault>| {
            let faults: Vec<_> = faults.iter().map(ToString::to_string).collect();
            faults.join("; ")
        };
        let rows = read_sheet(self.sheet().as_bytes()).map_err(text)?;
        sheet_check(&rows, None).map_err(text)
    }

    /// Names of the branches in the shipped example.
    pub fn branches(self) -> &'static [&'static str] {
        match self {
            Self::Kovacsreti => &["kovacsret", "alsofalu"],
            Self::TrinCymru => &["caernarfon", "caerdydd"],
        }
    }

    /// Names of the prefill pool, the decode pool and the service pool in the shipped example.
    pub fn pools(self) -> [&'static str; 3] {
        match self {
            Self::Kovacsreti => ["summary-prefill", "summary-decode", "ledger"],
            Self::TrinCymru => ["note-prefill", "note-decode", "salon"],
        }
    }

    /// Number of prefill engines, decode engines and services in the user's deployment.
    pub fn sizes(self) -> [usize; 3] {
        match self {
            Self::Kovacsreti => [4, 6, 3],
            Self::TrinCymru => [3, 5, 3],
        }
    }

    /// Requests per second that the endpoints serve within the latency targets.
    pub fn rate(self) -> f64 {
        match self {
            Self::Kovacsreti => 15.0,
            Self::TrinCymru => 5.0,
        }
    }

    /// Model, its version and its adapters in the shipped example.
    pub fn model(self) -> (&'static str, &'static str, &'static [&'static str]) {
        match self {
            Self::Kovacsreti => ("arjegyzek-14b", "2026-11", &["alsofalu"]),
            Self::TrinCymru => ("nodiadau-8b", "4", &["cymraeg"]),
        }
    }

    /// Request kinds of the load; their shares add up to 100.
    pub fn kinds(self) -> &'static [ProfileKind] {
        match self {
            Self::Kovacsreti => &KOVACSRETI,
            Self::TrinCymru => &TRIN_CYMRU,
        }
    }
}

impl FromStr for Profile {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        [Self::Kovacsreti, Self::TrinCymru]
            .into_iter()
            .find(|profile| profile.name() == text)
            .ok_or_else(|| format!("unknown profile `{text}`; use `kovacsreti` or `trin-cymru`"))
    }
}

/// Load of `Profile::Kovacsreti`.
const KOVACSRETI: [ProfileKind; 4] = [
    ProfileKind {
        kind: "catalogue-summary",
        percent: 15,
        prompt_tokens: Some((800, 6_000)),
        at_most_once: false,
    },
    ProfileKind {
        kind: "price-summary",
        percent: 35,
        prompt_tokens: Some((100, 1_500)),
        at_most_once: false,
    },
    ProfileKind {
        kind: "order",
        percent: 25,
        prompt_tokens: None,
        at_most_once: true,
    },
    ProfileKind {
        kind: "stock",
        percent: 25,
        prompt_tokens: None,
        at_most_once: false,
    },
];

/// Load of `Profile::TrinCymru`.
const TRIN_CYMRU: [ProfileKind; 4] = [
    ProfileKind {
        kind: "note-summary",
        percent: 50,
        prompt_tokens: Some((1_000, 8_000)),
        at_most_once: false,
    },
    ProfileKind {
        kind: "booking",
        percent: 15,
        prompt_tokens: None,
        at_most_once: true,
    },
    ProfileKind {
        kind: "deposit",
        percent: 10,
        prompt_tokens: None,
        at_most_once: true,
    },
    ProfileKind {
        kind: "diary",
        percent: 25,
        prompt_tokens: None,
        at_most_once: false,
    },
];
