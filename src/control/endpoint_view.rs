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

/// Time that a new owner waits for the endpoint's first load report before it grants.
pub(super) const FIRST_REPORT: Duration = Duration::from_millis(500);

/// Prefixes remembered for one endpoint.
const CACHE_MAX: usize = 16_384;

/// What the owner has learned of one endpoint; it is lost with the ownership.
#[derive(Debug)]
pub(super) struct EndpointView {
    /// Start time of the endpoint as last reported, in milliseconds since the Unix epoch.
    pub(super) incarnation: u64,
    /// Learned service time.
    pub(super) fit: ServiceFit,
    /// Failure record.
    pub(super) outlier: Outlier,
    /// Whether the endpoint has announced in a load report that it leaves.
    pub(super) leaving: bool,
    /// Whether a load report has been taken in.
    pub(super) reported: bool,
    /// When this host became the owner.
    pub(super) since: Tick,
    /// When the last grant ended, or its prompt had been computed.
    pub(super) ended: Tick,
    /// Attempts that the endpoint holds without a grant, with the time of the first sight.
    pub(super) strangers: HashMap<AttemptId, Tick>,
    /// Attempts whose grant has ended lately; a report may still list them.
    pub(super) past: HashMap<AttemptId, Tick>,
    /// Prefixes believed to be cached.
    cache: HashSet<u64>,
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
            incarnation: 0,
            fit,
            outlier: Outlier::default(),
            leaving: false,
            reported: false,
            since: now,
            ended: now,
            strangers: HashMap::new(),
            past: HashMap::new(),
            cache: HashSet::new(),
        }
    }

    /// Whether what the endpoint holds is known well enough to grant more.
    pub(super) fn is_ready(&self, now: Tick) -> bool {
        self.reported || now >= self.since + FIRST_REPORT
    }

    /// When waiting asks may be granted here that may not be granted now.
    pub(super) fn next_due(&self, now: Tick) -> Option<Tick> {
        if !self.is_ready(now) {
            return Some(self.since + FIRST_REPORT);
        }
        self.outlier.probe_due().filter(|due| *due > now)
    }

    /// Returns the prompt tokens that the cache is believed to cover.
    ///
    /// `prefixes` lists the hashes of ever longer prefixes, a block of tokens apart.
    pub(super) fn cached(&self, prefixes: &[u64], prompt: u32) -> u32 {
        let found = prefixes
            .iter()
            .rposition(|prefix| self.cache.contains(prefix));
        let blocks = found.map_or(0, |index| index as u32 + 1);
        prompt.min(blocks * BLOCK_TOKENS)
    }

    /// Takes in cache events.
    pub(super) fn take_events(&mut self, events: &CacheEvents) {
        if events.full {
            self.cache.clear();
        }
        for event in &events.events {
            if !event.stored {
                self.cache.remove(&event.prefix);
            } else if self.cache.len() < CACHE_MAX {
                self.cache.insert(event.prefix);
            }
        }
    }

    /// Assumes prefixes to be cached before the endpoint has told so.
    pub(super) fn expect(&mut self, prefixes: &[u64]) {
        let room = CACHE_MAX.saturating_sub(self.cache.len());
        self.cache.extend(prefixes.iter().take(room));
    }

    /// Forgets what a restart of the endpoint has made void.
    pub(super) fn restart(&mut self, incarnation: u64) {
        self.incarnation = incarnation;
        self.cache.clear();
        self.strangers.clear();
        self.past.clear();
    }
}
