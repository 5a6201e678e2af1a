use {
    super::Profile,
    crate::border::{Limits, Timing},
    std::time::Duration,
};

/// Number of daemons in a fast site.
pub(super) const FAST_DAEMONS: usize = 3;

/// Factor on all times of the fakes in a fast site.
const FAST_SCALE: f64 = 0.05;

/// Time limit of a request to a fast site.
const FAST_REQUEST_TIME: Duration = Duration::from_secs(4);

/// Size and speed of an emulated site.
#[derive(Clone, Copy, Debug)]
pub struct SiteOptions {
    /// Profile that gives the sheet and the endpoints.
    pub profile: Profile,
    /// Number of daemons.
    pub daemons: usize,
    /// Factor on all times of the fakes; below 1 they run faster than real time.
    pub scale: f64,
    /// Seed of the fakes.
    pub seed: u64,
    /// Word in a prompt that crashes the engine which runs it; empty for none.
    pub poison: &'static str,
    /// Intervals and timeouts of the daemons.
    pub timing: Timing,
    /// Time limit of a request.
    pub request_time: Duration,
}

impl SiteOptions {
    /// Options for a site of `profile` with 2 daemons and unscaled times.
    pub fn new(profile: Profile) -> Self {
        Self {
            profile,
            daemons: 2,
            scale: 1.0,
            seed: 0,
            poison: "",
            timing: Timing::default(),
            request_time: Limits::default().request_time,
        }
    }

    /// Options for a site of `profile` with 3 daemons and all times shortened, for fault schedules.
    pub fn fast(profile: Profile) -> Self {
        Self {
            daemons: FAST_DAEMONS,
            scale: FAST_SCALE,
            timing: fast_timing(),
            request_time: FAST_REQUEST_TIME,
            ..Self::new(profile)
        }
    }
}

/// Intervals and timeouts of the daemons in a fast site.
fn fast_timing() -> Timing {
    Timing {
        heartbeat: Duration::from_millis(50),
        suspect: Duration::from_millis(300),
        dead: Duration::from_secs(1),
        load: Duration::from_millis(20),
        digest: Duration::from_millis(50),
        hosts: Duration::from_millis(200),
        sheet: Duration::from_millis(500),
        progress: Duration::from_millis(300),
        peer: Duration::from_millis(500),
        ..Timing::default()
    }
}
