use {
    crate::{
        board::{Role, Tick},
        decide::ServiceFit,
    },
    std::collections::HashSet,
};

/// What the owner has learned of one endpoint; it is lost with the ownership.
#[derive(Debug)]
pub(super) struct EndpointView {
    /// Learned service time.
    pub(super) fit: ServiceFit,
    /// Prefixes believed to be cached.
    pub(super) cache: HashSet<u64>,
    /// When the last grant ended.
    pub(super) ended: Tick,
}

impl EndpointView {
    /// Starts with nothing learned.
    pub(super) fn new(role: Role, now: Tick) -> Self {
        let fit = match role {
            Role::Prefill => ServiceFit::prefill(),
            Role::Decode => ServiceFit::decode(),
            Role::Service => ServiceFit::service(),
        };
        Self {
            fit,
            cache: HashSet::new(),
            ended: now,
        }
    }

    /// Returns the prompt tokens that the cache is believed to cover.
    ///
    /// `prefixes` lists hashes of ever longer prefixes, so that the last one found tells the share
    /// of the prompt that is cached.
    pub(super) fn cached(&self, prefixes: &[u64], prompt: u32) -> u32 {
        let found = prefixes
            .iter()
            .rposition(|prefix| self.cache.contains(prefix));
        let blocks = found.map_or(0, |index| index + 1);
        let share = blocks as f64 / prefixes.len().max(1) as f64;
        (f64::from(prompt) * share) as u32
    }
}
