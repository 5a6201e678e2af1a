use {
    super::{Outcomes, TraceFault, TraceLine},
    crate::fake::{EngineControl, Fault, FaultKind},
    std::str::FromStr,
};

/// Minimum share of the model requests that meet both latency targets; the targets are stated "for
/// 95 in 100".
const MIN_MET_RATIO: f64 = 0.95;

/// Maximum share of wasted prefill tokens at 90% of the capacity.
const MAX_WASTED_RATIO: f64 = 0.01;

/// Share of the goodput that may be lost in addition to the share of the lost capacity.
const MAX_EXTRA_LOSS_RATIO: f64 = 0.02;

/// Duration of a stalled transfer: longer than an engine keeps a KV cache.
const STALL_MS: u64 = 3_000;

/// Scenario of a shipped trace.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scenario {
    /// Constant load.
    Steady,
    /// Twice the load in the middle third.
    MorningBurst,
    /// A slow rise and fall of the load, with callers that disconnect early.
    Evening,
    /// Prompts from the longer half of the profile's range.
    LongHistories,
    /// 9 prompts in 10 share one long prefix.
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

    /// Name on the command line and in the file name of the trace.
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

    /// Default offered load as a share of the capacity.
    pub fn load(self) -> f64 {
        match self {
            Self::MorningBurst | Self::LongHistories => 0.7,
            _ => 0.9,
        }
    }

    /// Factor on the offered load at `progress` through the trace, from 0 to 1.
    pub(super) fn load_factor(self, progress: f64) -> f64 {
        match self {
            Self::MorningBurst if (1.0 / 3.0..2.0 / 3.0).contains(&progress) => 2.0,
            Self::Evening => 0.4 + 0.6 * (progress * std::f64::consts::PI).sin(),
            _ => 1.0,
        }
    }

    /// Share of the callers that disconnect early, from 0 to 1.
    pub(super) fn disconnect_ratio(self) -> f64 {
        if self == Self::Evening { 0.1 } else { 0.0 }
    }

    /// Maximum of `load_factor`.
    pub(super) fn peak_factor(self) -> f64 {
        if self == Self::MorningBurst { 2.0 } else { 1.0 }
    }

    /// Expected outcomes at the offered `load` with `decodes` decode endpoints.
    pub(super) fn outcomes(self, load: f64, decodes: usize) -> Outcomes {
        let within_capacity = Outcomes {
            met: Some(MIN_MET_RATIO),
            answered: Some(1.0),
            wasted: Some(MAX_WASTED_RATIO),
        };
        let remaining = 1.0 - 1.0 / decodes as f64 - MAX_EXTRA_LOSS_RATIO;
        match self {
            Self::MorningBurst => Outcomes {
                met: None,
                wasted: None,
                ..within_capacity
            },
            Self::FailingEndpoint => Outcomes {
                met: Some(MIN_MET_RATIO * remaining),
                wasted: None,
                ..within_capacity
            },
            Self::StalledLink => Outcomes {
                wasted: None,
                ..within_capacity
            },
            _ if load > 0.9 => Outcomes::default(),
            _ => within_capacity,
        }
    }

    /// Faults of a trace of `length_ms` with `prefills` prefill endpoints; they begin at one third
    /// of the trace.
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
        let found = Self::ALL
            .into_iter()
            .find(|scenario| scenario.name() == text);
        found.ok_or_else(|| {
            let names = Self::ALL.map(Self::name).join(", ");
            format!("unknown scenario `{text}`; use one of {names}")
        })
    }
}
