use {
    super::Profile,
    crate::border::{Limits, Timing},
    std::time::Duration,
};

/// Daemons of a fast site.
pub(super) const DAEMONS: usize = 3;

/// Factor on all times of the stand-ins of a fast site.
const FAST_SCALE: f64 = 0.05;

/// Longest time that a request to a fast site may take.
const FAST_TIME: Duration = Duration::from_secs(4);

/// Size and speed of an emulated site.
#[derive(Clone, Copy, Debug)]
pub struct SiteOptions {
    /// Whose sheet and endpoints.
    pub profile: Profile,
    /// Daemons.
    pub daemons: usize,
    /// Factor on all times of the stand-ins, below 1 to run faster.
    pub scale: f64,
    /// Seed of the stand-ins.
    pub seed: u64,
    /// Word in a prompt that kills an engine; none if empty.
    pub poison: &'static str,
    /// Intervals and time-outs of the daemons.
    pub timing: Timing,
    /// Longest time that a request may take.
    pub request_time: Duration,
}

impl SiteOptions {
    /// A site of `profile` with two daemons at full speed.
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
    /// A site of `profile` with three daemons and all times shortened, for schedules of faults.
    pub fn fast(profile: Profile) -> Self {
        Self {
            daemons: DAEMONS,
            scale: FAST_SCALE,
            timing: fast_timing(),
            request_time: FAST_TIME,
            ..Self::new(profile)
        }
    }
}

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
