use {
    crate::{
        board::Rule,
        border::read_sheet,
        decide::{SheetFault, sheet_check},
    },
    serde::{Deserialize, Serialize},
    std::str::FromStr,
};

/// One of the users whose load and sheet the stand-ins imitate.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Profile {
    /// Kovácsréti Nagykereskedelmi Árjegyzék: ten summarisers, three order-and-stock services.
    Kovacsreti,
    /// Cymdeithas Trinwyr Anifeiliaid Cymru: eight note summarisers, three booking services.
    TrinCymru,
}

/// One kind of request in a profile's load.
#[derive(Clone, Copy, Debug)]
pub struct ProfileKind {
    /// Request kind of the shipped sheet.
    pub kind: &'static str,
    /// Share of the requests, in hundredths.
    pub share: u32,
    /// Least and greatest prompt tokens; none for a plain service.
    pub prompt: Option<(u32, u32)>,
    /// Whether the kind runs at most once.
    pub once: bool,
}

impl Profile {
    /// Name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Self::Kovacsreti => "kovacsreti",
            Self::TrinCymru => "trin-cymru",
        }
    }

    /// The shipped example sheet.
    pub fn sheet(self) -> &'static str {
        match self {
            Self::Kovacsreti => include_str!("../../examples/kovacsreti/sheet.csv"),
            Self::TrinCymru => include_str!("../../examples/trin-cymru/sheet.csv"),
        }
    }

    /// Rules of the shipped example sheet, or every fault in it.
    pub fn rules(self) -> Result<Vec<Rule>, String> {
        let text = |faults: Vec<SheetFault>| {
            let faults: Vec<_> = faults.iter().map(ToString::to_string).collect();
            faults.join("; ")
        };
        let rows = read_sheet(self.sheet().as_bytes()).map_err(text)?;
        sheet_check(&rows, None).map_err(text)
    }

    /// Branches of the shipped example.
    pub fn branches(self) -> &'static [&'static str] {
        match self {
            Self::Kovacsreti => &["kovacsret", "alsofalu"],
            Self::TrinCymru => &["caernarfon", "caerdydd"],
        }
    }

    /// Prefill pool, decode pool and service pool of the shipped example.
    pub fn pools(self) -> [&'static str; 3] {
        match self {
            Self::Kovacsreti => ["summary-prefill", "summary-decode", "ledger"],
            Self::TrinCymru => ["note-prefill", "note-decode", "salon"],
        }
    }

    /// Prefill engines, decode engines and services of the user today.
    pub fn sizes(self) -> [usize; 3] {
        match self {
            Self::Kovacsreti => [4, 6, 3],
            Self::TrinCymru => [3, 5, 3],
        }
    }

    /// Requests a second that the endpoints serve within the targets.
    pub fn rate(self) -> f64 {
        match self {
            Self::Kovacsreti => 15.0,
            Self::TrinCymru => 5.0,
        }
    }

    /// Model, version and adapters of the shipped example.
    pub fn model(self) -> (&'static str, &'static str, &'static [&'static str]) {
        match self {
            Self::Kovacsreti => ("arjegyzek-14b", "2026-11", &["alsofalu"]),
            Self::TrinCymru => ("nodiadau-8b", "4", &["cymraeg"]),
        }
    }

    /// Kinds of the load.
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
            .ok_or_else(|| format!("`{text}` is no profile; use `kovacsreti` or `trin-cymru`"))
    }
}

const KOVACSRETI: [ProfileKind; 4] = [
    ProfileKind {
        kind: "catalogue-summary",
        share: 15,
        prompt: Some((800, 6_000)),
        once: false,
    },
    ProfileKind {
        kind: "price-summary",
        share: 35,
        prompt: Some((100, 1_500)),
        once: false,
    },
    ProfileKind {
        kind: "order",
        share: 25,
        prompt: None,
        once: true,
    },
    ProfileKind {
        kind: "stock",
        share: 25,
        prompt: None,
        once: false,
    },
];

const TRIN_CYMRU: [ProfileKind; 4] = [
    ProfileKind {
        kind: "note-summary",
        share: 50,
        prompt: Some((1_000, 8_000)),
        once: false,
    },
    ProfileKind {
        kind: "booking",
        share: 15,
        prompt: None,
        once: true,
    },
    ProfileKind {
        kind: "deposit",
        share: 10,
        prompt: None,
        once: true,
    },
    ProfileKind {
        kind: "diary",
        share: 25,
        prompt: None,
        once: false,
    },
];
