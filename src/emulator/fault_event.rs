use {
    crate::fake::{Fault, FaultKind, Outage, PlatformControl},
    rand::{RngExt, rngs::StdRng},
    serde::Serialize,
    std::time::Duration,
};

/// A fault and when it begins.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FaultEvent {
    /// Time from the start of the load.
    pub at: Duration,
    /// What happens.
    pub action: FaultAction,
}

/// What a fault schedule does to a site.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultAction {
    /// An engine does something wrong.
    Engine {
        /// Index in `Site::engines`.
        number: usize,
        /// What it does.
        fault: Fault,
    },
    /// An engine dies and comes back.
    EngineDies(usize),
    /// A service does something wrong.
    Service {
        /// Index in `Site::services`.
        number: usize,
        /// What it does.
        fault: Fault,
    },
    /// The platform does something wrong.
    Platform(PlatformControl),
    /// A daemon ends without warning.
    Crash(usize),
    /// A daemon that has crashed is started again.
    Start(usize),
}

/// Faults of an engine that a schedule draws from.
const ENGINE_FAULTS: [FaultKind; 12] = [
    FaultKind::Refuse,
    FaultKind::Die,
    FaultKind::StallTransfer,
    FaultKind::StallTokens,
    FaultKind::Truncate,
    FaultKind::Break,
    FaultKind::Repeat,
    FaultKind::Cross,
    FaultKind::Late,
    FaultKind::Slow,
    FaultKind::LoseAnswer,
    FaultKind::LoseCancel,
];

/// Faults of a service that a schedule draws from.
const SERVICE_FAULTS: [FaultKind; 4] = [
    FaultKind::Refuse,
    FaultKind::Die,
    FaultKind::Slow,
    FaultKind::LoseAnswer,
];

/// Longest stall or delay in milliseconds, before the scaling of the stand-ins.
const STALL_MS: u64 = 40_000;

/// Longest outage of the platform in milliseconds.
const OUTAGE_MS: u64 = 800;

/// Tokens of an answer after which a fault may strike.
const AFTER_TOKENS: u32 = 40;

impl FaultAction {
    /// Draws a fault of a site with so many engines and services.
    pub(super) fn draw(rng: &mut StdRng, engines: usize, services: usize) -> Self {
        match rng.random_range(0..20) {
            0..10 => Self::Engine {
                number: rng.random_range(0..engines),
                fault: fault(rng, &ENGINE_FAULTS),
            },
            10..12 => Self::EngineDies(rng.random_range(0..engines)),
            12..16 => Self::Service {
                number: rng.random_range(0..services),
                fault: fault(rng, &SERVICE_FAULTS),
            },
            _ => Self::Platform(platform(rng)),
        }
    }
}

/// Draws a fault of the next few calls, or of any call with some probability.
fn fault(rng: &mut StdRng, kinds: &[FaultKind]) -> Fault {
    let kind = kinds[rng.random_range(0..kinds.len())];
    let fault = if rng.random_bool(0.7) || kind == FaultKind::Die {
        Fault::next(kind, rng.random_range(1..5))
    } else {
        Fault::chance(kind, rng.random_range(0.05..0.5))
    };
    let ms = rng.random_range(0..STALL_MS);
    fault.lasting(ms).after(rng.random_range(0..AFTER_TOKENS))
}

fn platform(rng: &mut StdRng) -> PlatformControl {
    let none = PlatformControl::default();
    let outages = [Outage::Refuse, Outage::Error, Outage::Hang];
    let outage = outages[rng.random_range(0..outages.len())];
    match rng.random_range(0..6) {
        0..2 => PlatformControl {
            outage: Some(outage),
            outage_ms: Some(rng.random_range(50..OUTAGE_MS)),
            ..none
        },
        2 => PlatformControl {
            lose_next: Some(rng.random_range(1..4)),
            ..none
        },
        3 => PlatformControl {
            lose_share: Some(rng.random_range(0.1..0.6)),
            ..none
        },
        4 => PlatformControl {
            stale_share: Some(rng.random_range(0.1..0.9)),
            ..none
        },
        _ => PlatformControl {
            delay_ms: Some(rng.random_range(1..200)),
            ..none
        },
    }
}
