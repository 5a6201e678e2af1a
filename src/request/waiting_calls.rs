use {
    crate::{
        board::Tick,
        decide::{Rank, Waiting, rank},
    },
    arc_swap::ArcSwap,
    std::sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

/// Calls of this daemon that wait for room in one pool of plain services.
#[derive(Debug, Default)]
pub struct WaitingCalls {
    calls: ArcSwap<Vec<WaitingCall>>,
    joined: AtomicU64,
}

/// A call that waits, and its number in the order of joining.
#[derive(Clone, Copy, Debug)]
struct WaitingCall {
    number: u64,
    waiting: Waiting,
}

/// Place of a call among those that wait, until it is dropped.
#[derive(Debug)]
pub struct WaitingPlace {
    calls: Arc<WaitingCalls>,
    number: u64,
}

impl WaitingCalls {
    /// Returns how many waiting calls go before `waiting`; `place` is its own if it has joined.
    pub fn ahead(&self, waiting: &Waiting, place: Option<&WaitingPlace>, now: Tick) -> usize {
        let calls = self.calls.load();
        if calls.is_empty() {
            return 0;
        }
        let number = place.map_or(u64::MAX, |place| place.number);
        let order =
            |number: u64, waiting: &Waiting| -> (Rank, u64) { (rank(waiting, now), number) };
        let own = order(number, waiting);
        let goes_first =
            |call: &&WaitingCall| call.number != number && order(call.number, &call.waiting) < own;
        calls.iter().filter(goes_first).count()
    }

    /// Adds a call to those that wait.
    pub fn join(calls: &Arc<Self>, waiting: Waiting) -> WaitingPlace {
        let number = calls.joined.fetch_add(1, Ordering::Relaxed);
        calls.calls.rcu(|old| {
            let mut next = Vec::clone(old);
            next.push(WaitingCall { number, waiting });
            next
        });
        WaitingPlace {
            calls: Arc::clone(calls),
            number,
        }
    }
}

impl Drop for WaitingPlace {
    fn drop(&mut self) {
        self.calls.calls.rcu(|old| {
            let mut next = Vec::clone(old);
            next.retain(|call| call.number != self.number);
            next
        });
    }
}
