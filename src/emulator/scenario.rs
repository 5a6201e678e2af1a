use {
    super::{Outcomes, TraceFault, TraceLine},
    crate::fake::{EngineControl, Fault, FaultKind},
    std::str::FromStr,
};

/// Least share of model requests that meet both targets, from the targets "for 95 in 100".
const MET: f64 = 0.95;

/// Greatest share of wasted prefill at 90% of the capacity.
const WASTED: f64 = 0.01;

/// Loss of goodput allowed beyond the capacity lost.
const FAILING_LOSS: f64 = 0.02;

/// Time of a stall: longer than a KV cache is kept.
const STALL_MS: u64 = 3_000;

/// One shipped scenario.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scenario {
    /// The same load all the time.
    Steady,
    /// Twice the load in the middle third.
    MorningBurst,
    /// A slow rise and fall, with callers that go away.
    Evening,
    /// Prompts from the longest half of the profile's.
    LongHistories,
    /// Nine prompts in ten share one long prefix.
    HotPrefix,
    /// A decode endpoint dies and refuses everything from a third of the trace on.
    FailingEndpoint,
    /// Every transfer from the first prefill endpoint stalls from a third of the trace on.
    StalledLink,
}

impl Scenario {
    /// Every scenario.
    pub const ALL: [Self; 7] = [
        Self::Steady,
        Self::MorningBurst,
        Self::Evening,
        Self::LongHistories,
        Self::HotPrefix,
        Self::FailingEndpoint,
        Self::StalledLink,
    ];

    /// Name on the command line and of the file.
    pub fn name(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::MorningBurst => "morning-burst",
            Self::Evening => "evening",
            Self::LongHistories => "long-histories",
            Self::HotPrefix => "hot-prefix",
            Self::FailingEndpoint => "failing-endpoint",
            Self::StalledLink => "stalled-link",
        }
    }

    /// Offered load as a share of the capacity, where nothing else is asked for.
    pub fn load(self) -> f64 {
        match self {
            Self::MorningBurst | Self::LongHistories => 0.7,
            _ => 0.9,
        }
    }

    /// Factor on the load at `part` of the trace, from 0 to 1.
    pub(super) fn shape(self, part: f64) -> f64 {
        match self {
            Self::MorningBurst if (1.0 / 3.0..2.0 / 3.0).contains(&part) => 2.0,
            Self::Evening => 0.4 + 0.6 * (part * std::f64::consts::PI).sin(),
            _ => 1.0,
        }
    }

    /// Share of the callers that go away early.
    pub(super) fn leaving(self) -> f64 {
        if self == Self::Evening { 0.1 } else { 0.0 }
    }

    /// Greatest factor of `shape`.
    pub(super) fn peak(self) -> f64 {
        if self == Self::MorningBurst { 2.0 } else { 1.0 }
    }

    /// Stated outcomes at `load` with `decodes` decode endpoints.
    pub(super) fn outcomes(self, load: f64, decodes: usize) -> Outcomes {
        let calm = Outcomes {
            met: Some(MET),
            answered: Some(1.0),
            wasted: Some(WASTED),
        };
        let left = 1.0 - 1.0 / decodes as f64 - FAILING_LOSS;
        match self {
            Self::MorningBurst => Outcomes {
                met: None,
                wasted: None,
                ..calm
            },
            Self::FailingEndpoint => Outcomes {
                met: Some(MET * left),
                wasted: None,
                ..calm
            },
            Self::StalledLink => Outcomes {
                wasted: None,
                ..calm
            },
            _ if load > 0.9 => Outcomes::default(),
            _ => calm,
        }
    }

    /// Faults of a trace of `length_ms` with `prefills` prefill endpoints.
    pub(super) fn faults(self, length_ms: u64, prefills: usize) -> Vec<TraceLine> {
        let engine = |number, control| {
            TraceLine::Engine(TraceFault {
                at_ms: length_ms / 3,
                number,
                control,
            })
        };
        match self {
            Self::FailingEndpoint => vec![engine(
                prefills + 1,
                EngineControl {
                    faults: vec![Fault::chance(FaultKind::Refuse, 1.0)],
                    die: true,
                    ..EngineControl::default()
                },
            )],
            Self::StalledLink => vec![engine(
                1,
                EngineControl {
                    faults: vec![Fault::chance(FaultKind::StallTransfer, 1.0).lasting(STALL_MS)],
                    ..EngineControl::default()
                },
            )],
            _ => Vec::new(),
        }
    }
}

impl FromStr for Scenario {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let found = Self::ALL.into_iter().find(|one| one.name() == text);
        found.ok_or_else(|| {
            let names = Self::ALL.map(Self::name).join(", ");
            format!("`{text}` is no scenario; use one of {names}")
        })
    }
}
