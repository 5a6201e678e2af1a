use {
    crate::{
        board::{Role, Tick},
        decide::{BLOCK_TOKENS, Outlier, ServiceFit},
        key::AttemptId,
        port::CacheEvents,
    },
    std::{
        collections::{HashMap, HashSet},
        time::Duration,
    },
};

/// Longest time that a new owner waits for the endpoint's first load report before it grants.
pub(super) const FIRST_REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// Most prefixes remembered for one endpoint.
const MAX_CACHED_PREFIXES: usize = 16_384;

/// What the owner has observed of one endpoint; it is dropped when the ownership ends.
#[derive(Debug)]
pub(super) struct EndpointView {
    /// Start time of the endpoint as last reported, in milliseconds since the Unix epoch; 0 before
    /// the first report.
    pub(super) incarnation: u64,
    /// Service time estimated from finished grants.
    pub(super) fit: ServiceFit,
    /// Record of failures, which ejects the endpoint and decides on probes.
    pub(super) outlier: Outlier,
    /// Whether the last load report says that the endpoint is draining.
    pub(super) draining: bool,
    /// Whether a load report has arrived since this host became the owner.
    pub(super) reported: bool,
    /// When this host became the owner.
    pub(super) owned_since: Tick,
    /// When the endpoint last finished computing a prompt, or a grant ended before its prompt was
    /// computed; at first the start of the ownership. The service time of a prompt that was granted
    /// earlier counts from here, since the endpoint computes one prompt after the other.
    pub(super) prefill_ended: Tick,
    /// Attempts that the endpoint holds without a grant, with the time of the first report.
    pub(super) ungranted: HashMap<AttemptId, Tick>,
    /// Attempts whose grant ended recently, with the time of the end; a report may still list them.
    pub(super) ended_attempts: HashMap<AttemptId, Tick>,
    /// Hashes of the prefixes believed to be in the endpoint's cache.
    cache: HashSet<u64>,
}

impl EndpointView {
    /// Creates the view of an endpoint that this host owns from `now` on.
    pub(super) fn new(role: Role, now: Tick) -> Self {
        let fit = match role {
            Role::Prefill => ServiceFit::prefill(),
            Role::Decode => ServiceFit::decode(),
            Role::Service => ServiceFit::service(),
        };
        Self {
            incarnation: 0,
            fit,
            outlier: Outlier::default(),
            draining: false,
            reported: false,
            owned_since: now,
            prefill_ended: now,
            ungranted: HashMap::new(),
            ended_attempts: HashMap::new(),
            cache: HashSet::new(),
        }
    }

    /// Returns whether the endpoint may be granted: it has reported its load, or the first report
    /// is overdue.
    pub(super) fn is_ready(&self, now: Tick) -> bool {
        self.reported || now >= self.owned_since + FIRST_REPORT_TIMEOUT
    }

    /// Returns when the endpoint next becomes available for grants: at the deadline of its first
    /// report or at its next probe; `None` if nothing is pending.
    pub(super) fn next_due(&self, now: Tick) -> Option<Tick> {
        if !self.is_ready(now) {
            return Some(self.owned_since + FIRST_REPORT_TIMEOUT);
        }
        self.outlier.probe_due().filter(|due| *due > now)
    }

    /// Returns the prompt tokens that the cache is believed to cover.
    ///
    /// `prefixes` lists the hashes of ever longer prefixes, a block of tokens apart.
    pub(super) fn cached_tokens(&self, prefixes: &[u64], prompt: u32) -> u32 {
        let longest = prefixes
            .iter()
            .rposition(|prefix| self.cache.contains(prefix));
        let blocks = longest.map_or(0, |index| index as u32 + 1);
        prompt.min(blocks * BLOCK_TOKENS)
    }

    /// Applies cache events; a full list replaces what was known.
    pub(super) fn apply_events(&mut self, events: &CacheEvents) {
        if events.full {
            self.cache.clear();
        }
        for event in &events.events {
            if !event.stored {
                self.cache.remove(&event.prefix);
            } else if self.cache.len() < MAX_CACHED_PREFIXES {
                self.cache.insert(event.prefix);
            }
        }
    }

    /// Assumes prefixes to be cached before the endpoint has reported them.
    pub(super) fn assume_cached(&mut self, prefixes: &[u64]) {
        let room = MAX_CACHED_PREFIXES.saturating_sub(self.cache.len());
        self.cache.extend(prefixes.iter().take(room));
    }

    /// Clears what a restart of the endpoint has made invalid.
    pub(super) fn restart(&mut self, incarnation: u64) {
        self.incarnation = incarnation;
        self.cache.clear();
        self.ungranted.clear();
        self.ended_attempts.clear();
    }
}
