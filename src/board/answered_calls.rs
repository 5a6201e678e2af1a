use {
    super::Tick,
    crate::key::CauseKey,
    std::{
        sync::atomic::{AtomicU64, Ordering},
        time::Duration,
    },
};

/// Number of slots; calls that share one overwrite each other.
const SLOTS: usize = 1 << 12;

/// Time for which an answer is recent.
const RECENT_TIME: Duration = Duration::from_mins(1);

/// Bits of a slot that hold the second of the answer; the others hold a part of the key.
const SECOND_BITS: u32 = 24;

/// Largest value of those bits.
const SECOND_MASK: u64 = (1 << SECOND_BITS) - 1;

/// Calls that were answered lately, by their fingerprints, in a fixed number of atomic slots.
///
/// It may forget an answer, but reports none that was not given, save for two fingerprints that agree in
/// 52 bits.
#[derive(Debug)]
pub struct AnsweredCalls {
    slots: Box<[AtomicU64]>,
}

impl Default for AnsweredCalls {
    fn default() -> Self {
        Self {
            slots: (0..SLOTS).map(|_| AtomicU64::new(0)).collect(),
        }
    }
}

impl AnsweredCalls {
    /// Records an answer to a call with the fingerprint `key`.
    pub fn record(&self, key: CauseKey, now: Tick) {
        self.slot(key)
            .store(tag(key) | second(now), Ordering::Relaxed);
    }

    /// Returns whether a call with the fingerprint `key` was answered within the last minute.
    pub fn is_recent(&self, key: CauseKey, now: Tick) -> bool {
        let value = self.slot(key).load(Ordering::Relaxed);
        let age = second(now).wrapping_sub(value) & SECOND_MASK;
        value != 0 && value & !SECOND_MASK == tag(key) && age <= RECENT_TIME.as_secs()
    }

    fn slot(&self, key: CauseKey) -> &AtomicU64 {
        &self.slots[key.0 as usize % SLOTS]
    }
}

/// Returns the part of `key` that a slot holds; the slot's index holds the lowest bits.
fn tag(key: CauseKey) -> u64 {
    key.0 & !SECOND_MASK
}

/// Returns the second of `now`, from 1 on, in the bits of a slot that hold it.
fn second(now: Tick) -> u64 {
    (now.since(Tick::default()).as_secs() + 1) & SECOND_MASK
}
