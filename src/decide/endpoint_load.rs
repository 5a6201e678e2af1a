use {
    super::{Place, ServiceFit, Standing},
    crate::{board::Role, key::EndpointKey},
    std::time::Duration,
};

/// Prompts that a prefill endpoint is given at once; the others wait in lines, where any endpoint
/// that falls idle can take them.
const PREFILL_DEPTH: u32 = 1;

/// KV caches that may wait for their handover or travel over one endpoint's link at once.
///
/// A result is evicted within a second: few transfers at a useful rate arrive, many do not.
const HANDOVER_SLOTS: u32 = 4;

/// What an owner knows of one of its endpoints.
#[derive(Clone, Copy, Debug)]
pub struct EndpointLoad {
    /// Endpoint.
    pub endpoint: EndpointKey,
    /// What it does.
    pub role: Role,
    /// Pieces or slots not granted.
    pub free: u32,
    /// Attempts that hold a grant.
    pub running: u32,
    /// Prompts granted and not yet computed.
    pub computing: u32,
    /// Prompts computed and not yet handed over.
    pub exporting: u32,
    /// Predicted time until the granted prompts are computed.
    pub backlog: Duration,
    /// Tokens of the prompt in question believed to be in the prefix cache.
    pub cached: u32,
    /// Whether the endpoint takes work.
    pub standing: Standing,
    /// Learned service time.
    pub fit: ServiceFit,
}

impl EndpointLoad {
    /// Returns the place for a prompt of `prompt` tokens, or nothing if no work is taken now.
    pub fn place(&self, prompt: u32) -> Option<Place> {
        if !self.is_open() {
            return None;
        }
        let uncached = prompt.saturating_sub(self.cached).max(1);
        let unit = match self.role {
            Role::Prefill => self.fit.predict(f64::from(uncached)) / uncached,
            Role::Decode => self.fit.predict(f64::from(self.running + 1)),
            Role::Service => self.fit.predict(1.0),
        };
        Some(Place {
            endpoint: self.endpoint,
            free: self.free,
            running: self.running,
            backlog: self.backlog,
            cached: self.cached,
            unit,
            probe: self.standing == Standing::Probe,
        })
    }

    /// Whether the endpoint takes work.
    fn is_open(&self) -> bool {
        let standing = match self.standing {
            Standing::In => true,
            Standing::Out => false,
            Standing::Probe => self.running == 0,
        };
        let prefill = self.role == Role::Prefill;
        let full = self.computing >= PREFILL_DEPTH || self.exporting >= HANDOVER_SLOTS;
        standing && !(prefill && full)
    }
}
