use {
    crate::fake::{Fault, FaultKind, Outage, PlatformControl},
    rand::{RngExt, rngs::StdRng},
    serde::Serialize,
    std::time::Duration,
};

/// A fault and the time at which it is injected.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FaultEvent {
    /// Time since the start of the load.
    pub at: Duration,
    /// Fault to inject.
    pub action: FaultAction,
}

/// Fault that a schedule injects into a site.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultAction {
    /// Activates a fault of an engine.
    Engine {
        /// Index in `Site::engines`.
        number: usize,
        /// Fault to activate.
        fault: Fault,
    },
    /// Kills the engine at this index in `Site::engines`; it restarts by itself.
    EngineDies(usize),
    /// Activates a fault of a service.
    Service {
        /// Index in `Site::services`.
        number: usize,
        /// Fault to activate.
        fault: Fault,
    },
    /// Changes the faults of the platform.
    Platform(PlatformControl),
    /// Crashes the daemon at this index in `Site::daemons`: it ends without any cleanup.
    Crash(usize),
    /// Starts the daemon at this index again; no effect if it is running.
    Start(usize),
}

/// Engine faults that a schedule draws from.
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

/// Service faults that a schedule draws from.
const SERVICE_FAULTS: [FaultKind; 4] = [
    FaultKind::Refuse,
    FaultKind::Die,
    FaultKind::Slow,
    FaultKind::LoseAnswer,
];

/// Upper bound (exclusive) of a stall or delay, before it is multiplied by the site's time scale.
const MAX_STALL_MS: u64 = 40_000;

/// Upper bound (exclusive) of a platform outage.
const MAX_OUTAGE_MS: u64 = 800;

/// Upper bound (exclusive) of the tokens that an engine generates before a fault takes effect.
const MAX_AFTER_TOKENS: u32 = 40;

impl FaultAction {
    /// Draws a fault for a site with `engines` engines and `services` services.
    pub(super) fn draw(rng: &mut StdRng, engines: usize, services: usize) -> Self {
        match rng.random_range(0..20) {
            0..10 => Self::Engine {
                number: rng.random_range(0..engines),
                fault: draw_fault(rng, &ENGINE_FAULTS),
            },
            10..12 => Self::EngineDies(rng.random_range(0..engines)),
            12..16 => Self::Service {
                number: rng.random_range(0..services),
                fault: draw_fault(rng, &SERVICE_FAULTS),
            },
            _ => Self::Platform(draw_platform(rng)),
        }
    }
}

/// Draws a fault that affects the next 1 to 4 calls, or each call with a drawn probability.
fn draw_fault(rng: &mut StdRng, kinds: &[FaultKind]) -> Fault {
    let kind = kinds[rng.random_range(0..kinds.len())];
    let fault = if rng.random_bool(0.7) || kind == FaultKind::Die {
        Fault::next(kind, rng.random_range(1..5))
    } else {
        Fault::chance(kind, rng.random_range(0.05..0.5))
    };
    let ms = rng.random_range(0..MAX_STALL_MS);
    fault
        .lasting(ms)
        .after(rng.random_range(0..MAX_AFTER_TOKENS))
}

/// Draws an outage, lost or stale responses, or a delay of the platform.
fn draw_platform(rng: &mut StdRng) -> PlatformControl {
    let unchanged = PlatformControl::default();
    let outages = [Outage::Refuse, Outage::Error, Outage::Hang];
    let outage = outages[rng.random_range(0..outages.len())];
    match rng.random_range(0..6) {
        0..2 => PlatformControl {
            outage: Some(outage),
            outage_ms: Some(rng.random_range(50..MAX_OUTAGE_MS)),
            ..unchanged
        },
        2 => PlatformControl {
            lose_next: Some(rng.random_range(1..4)),
            ..unchanged
        },
        3 => PlatformControl {
            lose_share: Some(rng.random_range(0.1..0.6)),
            ..unchanged
        },
        4 => PlatformControl {
            stale_share: Some(rng.random_range(0.1..0.9)),
            ..unchanged
        },
        _ => PlatformControl {
            delay_ms: Some(rng.random_range(1..200)),
            ..unchanged
        },
    }
}
