use {
    crate::port::{CacheEvent, CacheEvents},
    lru::LruCache,
    std::{collections::VecDeque, num::NonZeroUsize},
    tokio::time::{Duration, Instant},
};

/// Events kept for readers; who is further behind reads the whole contents.
const EVENTS_MAX: usize = 4_096;

/// Prefix cache of limited size with the log of its changes.
#[derive(Debug)]
pub(super) struct PrefixCache {
    blocks: LruCache<u64, ()>,
    events: VecDeque<(Instant, CacheEvent)>,
    last: u64,
}

impl PrefixCache {
    pub(super) fn new(blocks: usize) -> Self {
        let size = NonZeroUsize::new(blocks).unwrap_or(NonZeroUsize::MIN);
        Self {
            blocks: LruCache::new(size),
            events: VecDeque::new(),
            last: 0,
        }
    }

    /// Number of leading blocks of `prefixes` that are cached.
    pub(super) fn hits(&self, prefixes: &[u64]) -> usize {
        prefixes
            .iter()
            .take_while(|prefix| self.blocks.contains(prefix))
            .count()
    }

    /// Stores all blocks; long prefixes come to be evicted before the short ones they extend.
    pub(super) fn store<L>(&mut self, prefixes: &[u64], now: Instant, mut lose: L)
    where
        L: FnMut() -> bool,
    {
        for prefix in prefixes.iter().rev() {
            match self.blocks.push(*prefix, ()) {
                Some((old, ())) if old == *prefix => {}
                Some((old, ())) => {
                    self.publish(old, false, now, lose());
                    self.publish(*prefix, true, now, lose());
                }
                None => self.publish(*prefix, true, now, lose()),
            }
        }
    }

    /// Events after `after` that are older than `delay`.
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

    fn publish(&mut self, prefix: u64, stored: bool, now: Instant, lost: bool) {
        self.last += 1;
        if lost {
            return;
        }
        if self.events.len() == EVENTS_MAX {
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
