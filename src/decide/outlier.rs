use {crate::board::Tick, std::time::Duration};

/// Number of consecutive failures that eject an endpoint.
const FAILURE_LIMIT: u32 = 3;

/// Duration of the first ejection; it doubles with each failed probe.
pub const FIRST_EJECTION: Duration = Duration::from_secs(2);

/// Longest ejection, and so the longest time between two probes.
const MAX_EJECTION: Duration = Duration::from_mins(1);

/// Outlier detection for one endpoint: ejects it after repeated failures and readmits it after a
/// successful probe.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outlier {
    /// Failures since the last success or ejection.
    failures: u32,
    /// Ejections since the last successful probe.
    ejections: u32,
    /// End of the current ejection, when a probe is due.
    until: Option<Tick>,
}

/// Whether an endpoint accepts work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Standing {
    /// Accepts work.
    Accepting,
    /// Ejected: accepts no work.
    Ejected,
    /// Accepts a single request as a probe; its result ends or extends the ejection.
    Probe,
}

impl Outlier {
    /// Records a failure; during an ejection only that of a probe counts.
    pub fn fail(&mut self, now: Tick) {
        let is_probe = self.until.is_some_and(|until| until <= now);
        if self.until.is_some() && !is_probe {
            return;
        }
        self.failures += 1;
        if self.failures < FAILURE_LIMIT && !is_probe {
            return;
        }
        let ejection = FIRST_EJECTION * 2_u32.saturating_pow(self.ejections);
        self.until = Some(now + ejection.min(MAX_EJECTION));
        self.ejections += 1;
        self.failures = 0;
    }

    /// Records a success; it ends an ejection only once the probe is due, since an earlier success
    /// belongs to a request that was started before the ejection.
    pub fn succeed(&mut self, now: Tick) {
        match self.until {
            Some(until) if until > now => {}
            Some(_) => *self = Self::default(),
            None => self.failures = 0,
        }
    }

    /// Returns whether the endpoint accepts work at `now`.
    pub fn standing(&self, now: Tick) -> Standing {
        match self.until {
            None => Standing::Accepting,
            Some(until) if until > now => Standing::Ejected,
            Some(_) => Standing::Probe,
        }
    }

    /// Returns when the next probe is due; `None` if the endpoint is not ejected.
    pub fn probe_due(&self) -> Option<Tick> {
        self.until
    }
}
