use {
    crate::port::{CacheEvent, CacheEvents},
    lru::LruCache,
    std::{collections::VecDeque, num::NonZeroUsize},
    tokio::time::{Duration, Instant},
};

/// Number of events that the log keeps; older ones are dropped.
const MAX_EVENTS: usize = 4_096;

/// Prefix cache with LRU eviction and a log of its changes.
#[derive(Debug)]
pub(super) struct PrefixCache {
    blocks: LruCache<u64, ()>,
    events: VecDeque<(Instant, CacheEvent)>,
    /// Sequence number of the last event.
    last: u64,
}

impl PrefixCache {
    /// Creates an empty cache for `blocks` blocks, at least 1.
    pub(super) fn new(blocks: usize) -> Self {
        let size = NonZeroUsize::new(blocks).unwrap_or(NonZeroUsize::MIN);
        Self {
            blocks: LruCache::new(size),
            events: VecDeque::new(),
            last: 0,
        }
    }

    /// Returns the number of leading blocks of `prefixes` that are cached.
    pub(super) fn hits(&self, prefixes: &[u64]) -> usize {
        prefixes
            .iter()
            .take_while(|prefix| self.blocks.contains(prefix))
            .count()
    }

    /// Stores all blocks, the longest prefix first, so that it is evicted before the shorter ones
    /// that it extends. `is_lost` draws whether an event is left out of the log.
    pub(super) fn store<F>(&mut self, prefixes: &[u64], now: Instant, mut is_lost: F)
    where
        F: FnMut() -> bool,
    {
        for prefix in prefixes.iter().rev() {
            match self.blocks.push(*prefix, ()) {
                Some((old, ())) if old == *prefix => {}
                Some((old, ())) => {
                    self.publish(old, false, now, is_lost());
                    self.publish(*prefix, true, now, is_lost());
                }
                None => self.publish(*prefix, true, now, is_lost()),
            }
        }
    }

    /// Returns the events after the sequence number `after` that are older than `delay`.
    ///
    /// Returns the complete contents if `after` is 0 or greater than the last sequence number.
    pub(super) fn read(&self, after: u64, delay: Duration) -> CacheEvents {
        if after == 0 || after > self.last {
            return self.contents();
        }
        let now = Instant::now();
        let events = self
            .events
            .iter()
            .filter(|(at, event)| now >= *at + delay && event.sequence > after)
            .map(|(_, event)| event.clone())
            .collect::<Vec<_>>();
        CacheEvents {
            last: events.last().map_or(after, |event| event.sequence),
            events,
            full: false,
        }
    }

    /// Returns the complete contents as events.
    fn contents(&self) -> CacheEvents {
        let event = |(prefix, ()): (&u64, &())| CacheEvent {
            sequence: self.last,
            prefix: *prefix,
            stored: true,
        };
        CacheEvents {
            last: self.last,
            events: self.blocks.iter().map(event).collect(),
            full: true,
        }
    }

    /// Appends an event to the log; if `lost`, only uses up its sequence number.
    fn publish(&mut self, prefix: u64, stored: bool, now: Instant, lost: bool) {
        self.last += 1;
        if lost {
            return;
        }
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        let event = CacheEvent {
            sequence: self.last,
            prefix,
            stored,
        };
        self.events.push_back((now, event));
    }
}
