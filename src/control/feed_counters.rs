use {
    crate::port::FeedKind,
    prometheus_client::{
        metrics::{counter::Counter, family::Family},
        registry::Registry,
    },
};

/// Label set of the counter of reads.
type ReadLabels = [(&'static str, &'static str); 2];

/// Counters of the reads of feeds, by feed and source.
#[derive(Clone, Debug)]
pub struct FeedCounters {
    reads: Family<ReadLabels, Counter>,
}

impl FeedCounters {
    /// Creates the counters and registers them with `registry`.
    pub fn new(registry: &mut Registry) -> Self {
        let reads = Family::default();
        registry.register(
            "feed_reads",
            "Reads of feeds of the store, by feed and by who returned the result",
            Family::clone(&reads),
        );
        Self { reads }
    }

    /// Counts a successful read of a feed; `source` is `store` or `daemon`.
    pub(super) fn count(&self, kind: FeedKind, source: &'static str) {
        let labels = [("feed", kind.as_str()), ("source", source)];
        self.reads.get_or_create_owned(&labels).inc();
    }
}
