use {crate::board::Tick, std::time::Duration};

/// Failures in a row that take an endpoint out.
const STRIKES: u32 = 3;

/// Time that an endpoint is out for the first time; it doubles with each failed probe.
pub const FIRST_OUT: Duration = Duration::from_secs(2);

/// Longest time between two probes.
const LAST_OUT: Duration = Duration::from_mins(1);

/// Failure record of one endpoint: ejects it after repeated failures and lets it back in after a
/// probe that succeeded.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outlier {
    strikes: u32,
    ejections: u32,
    until: Option<Tick>,
}

/// Whether an endpoint takes work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Standing {
    /// Takes work.
    In,
    /// Takes no work.
    Out,
    /// Takes one request, whose end decides.
    Probe,
}

impl Outlier {
    /// Records a failure.
    pub fn fail(&mut self, now: Tick) {
        let probed = self.until.is_some_and(|until| until <= now);
        if self.until.is_some() && !probed {
            return;
        }
        self.strikes += 1;
        if self.strikes < STRIKES && !probed {
            return;
        }
        let out = FIRST_OUT * 2_u32.saturating_pow(self.ejections);
        self.until = Some(now + out.min(LAST_OUT));
        self.ejections += 1;
        self.strikes = 0;
    }

    /// Records a success; one that was started before the ejection does not end it.
    pub fn succeed(&mut self, now: Tick) {
        match self.until {
            Some(until) if until > now => {}
            Some(_) => *self = Self::default(),
            None => self.strikes = 0,
        }
    }

    /// Whether the endpoint takes work at `now`.
    pub fn standing(&self, now: Tick) -> Standing {
        match self.until {
            None => Standing::In,
            Some(until) if until > now => Standing::Out,
            Some(_) => Standing::Probe,
        }
    }

    /// When the next probe is due.
    pub fn probe_due(&self) -> Option<Tick> {
        self.until
    }
}
