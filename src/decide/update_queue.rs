use {crate::key::HostKey, slotmap::SecondaryMap, std::collections::BTreeSet};

/// Hosts whose recent state changes are still to be disseminated, those with the fewest sends first.
///
/// Each entry is sent a bounded number of times, which bounds the cost of disseminating one
/// change (SWIM, section 4.1).
#[derive(Clone, Debug, Default)]
pub struct UpdateQueue {
    order: BTreeSet<Entry>,
    entries: SecondaryMap<HostKey, Entry>,
    sequence: u64,
}

/// A host in the queue; entries with equally many sends are ordered by their age.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Entry {
    sends: u32,
    sequence: u64,
    host: HostKey,
}

impl UpdateQueue {
    /// Adds `host`; if it is in the queue already, its sends are counted from 0 again.
    pub fn push(&mut self, host: HostKey) {
        self.remove(host);
        self.sequence += 1;
        self.add(Entry {
            sends: 0,
            sequence: self.sequence,
            host,
        });
    }

    /// Removes `host` from the queue.
    pub fn remove(&mut self, host: HostKey) {
        if let Some(entry) = self.entries.remove(host) {
            self.order.remove(&entry);
        }
    }

    /// Returns up to `count` hosts whose state is to be sent and counts a send for each; those with
    /// `limit` sends leave the queue.
    pub fn take(&mut self, count: usize, limit: u32) -> Vec<HostKey> {
        let batch: Vec<Entry> = self.order.iter().take(count).copied().collect();
        for entry in &batch {
            self.remove(entry.host);
            let sends = entry.sends + 1;
            if sends < limit {
                self.add(Entry { sends, ..*entry });
            }
        }
        batch.into_iter().map(|entry| entry.host).collect()
    }

    /// Returns the number of hosts in the queue.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    fn add(&mut self, entry: Entry) {
        self.order.insert(entry);
        self.entries.insert(entry.host, entry);
    }
}
