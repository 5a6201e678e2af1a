use {
    super::{GrantOption, ServiceFit, Standing},
    crate::{board::Role, key::EndpointKey},
    std::time::Duration,
};

/// Prompts granted and not yet computed that a prefill endpoint may hold; the others wait in queues,
/// from which any endpoint that becomes idle can take them.
const MAX_COMPUTING: u32 = 1;

/// KV caches that may wait for their handover or be in transfer at one endpoint at once.
///
/// An engine evicts a KV cache that is not handed over within a second. A few transfers that share
/// the link finish in that time, many do not.
const MAX_HANDOVERS: u32 = 4;

/// Load of an endpoint as its owner knows it, for one request.
#[derive(Clone, Copy, Debug)]
pub struct EndpointLoad {
    /// Key of the endpoint.
    pub endpoint: EndpointKey,
    /// Kind of work that it runs.
    pub role: Role,
    /// Pieces of a prefill or decode endpoint, or slots of a service, that are not granted.
    pub free: u32,
    /// Attempts that hold a grant.
    pub running: u32,
    /// Prompts that are granted and not yet computed.
    pub computing: u32,
    /// Prompts that are computed and not yet handed over.
    pub exporting: u32,
    /// Predicted time until the granted prompts are computed.
    pub backlog: Duration,
    /// Tokens of the request's prompt that are believed to be in the prefix cache.
    pub cached: u32,
    /// Whether the endpoint is ejected after failures.
    pub standing: Standing,
    /// Service time fitted to measured samples.
    pub service_fit: ServiceFit,
}

impl EndpointLoad {
    /// Returns the endpoint as an option for a prompt of `prompt` tokens, or `None` if it accepts no
    /// work now.
    pub fn grant_option(&self, prompt: u32) -> Option<GrantOption> {
        if !self.accepts_work() {
            return None;
        }
        let uncached = prompt.saturating_sub(self.cached).max(1);
        let unit_time = match self.role {
            Role::Prefill => self.service_fit.predict(f64::from(uncached)) / uncached,
            Role::Decode => self.service_fit.predict(f64::from(self.running + 1)),
            Role::Service => self.service_fit.predict(1.0),
        };
        Some(GrantOption {
            endpoint: self.endpoint,
            free: self.free,
            running: self.running,
            backlog: self.backlog,
            cached: self.cached,
            unit_time,
            probe: self.standing == Standing::Probe,
        })
    }

    /// Whether the endpoint accepts work now.
    fn accepts_work(&self) -> bool {
        let standing = match self.standing {
            Standing::Accepting => true,
            Standing::Ejected => false,
            Standing::Probe => self.running == 0,
        };
        let prefill = self.role == Role::Prefill;
        let full = self.computing >= MAX_COMPUTING || self.exporting >= MAX_HANDOVERS;
        standing && !(prefill && full)
    }
}
