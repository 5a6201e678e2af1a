use {
    super::Tick,
    crate::key::ConnectionKey,
    crossbeam_queue::ArrayQueue,
    futures_util::task::AtomicWaker,
    std::{
        sync::atomic::{AtomicBool, AtomicU32, AtomicU64, AtomicUsize, Ordering},
        task::{Context, Poll},
    },
};

/// Most that a process holds for its callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerBounds {
    /// Open connections.
    pub connections: usize,
    /// Bytes accounted for each of them, with its receive buffer.
    pub connection_bytes: usize,
    /// What the kernel may receive for them.
    pub receive: ReceiveBounds,
    /// Bytes of request bodies.
    pub body_bytes: usize,
    /// Part of `body_bytes` that only small requests use.
    pub reserved_bytes: usize,
    /// Bytes of responses that are kept until they are complete.
    pub response_bytes: usize,
}

/// Most that the kernel receives for connections and the process has not read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReceiveBounds {
    /// Receive buffer of each connection, in bytes.
    pub buffer_bytes: usize,
    /// Connections that wait to be accepted; they receive as well.
    pub queued: usize,
}

impl ReceiveBounds {
    /// Returns the bytes that the connections hold that wait to be accepted.
    pub fn queue_bytes(&self) -> usize {
        self.queued * self.buffer_bytes
    }
}

/// What a connection waits for, as the choice of the one that gives way needs it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionStanding {
    /// The connection.
    pub key: ConnectionKey,
    /// Last time at which the caller sent or read a sizeable part.
    pub progress: Tick,
    /// Time at which the body began that is being received.
    pub body_start: Tick,
    /// Bytes received since then.
    pub body_bytes: usize,
    /// Whether a body is being received.
    pub receiving: bool,
    /// Whether a request is complete and its response is not.
    pub working: bool,
    /// Whether a part of a response waits until the caller has read more.
    pub blocked: bool,
}

/// Account of what a process holds for its callers: connections and bytes of request bodies.
///
/// Connections and requests update it with atomic operations only.
#[derive(Debug)]
pub struct CallerAccount {
    bounds: CallerBounds,
    body_bytes: AtomicUsize,
    slots: Box<[ConnectionSlot]>,
    free: ArrayQueue<u32>,
}

/// State of one connection.
#[derive(Debug, Default)]
struct ConnectionSlot {
    generation: AtomicU32,
    /// Handles of the connection; 0 if the slot is free.
    handles: AtomicU32,
    /// Generation of the connection that has to give way.
    evicted: AtomicU32,
    progress: AtomicU64,
    /// Bytes that moved since `progress`.
    moved: AtomicUsize,
    body_start: AtomicU64,
    /// Bytes received since `body_start`.
    body_bytes: AtomicUsize,
    receiving: AtomicU32,
    working: AtomicU32,
    blocked: AtomicBool,
    waker: AtomicWaker,
}

impl CallerAccount {
    /// Creates an account that holds nothing.
    pub fn new(bounds: CallerBounds) -> Self {
        let count = bounds.connections.max(1);
        let free = ArrayQueue::new(count);
        for index in 0..count as u32 {
            // The queue has room for every slot.
            let _ = free.push(index);
        }
        Self {
            bounds,
            body_bytes: AtomicUsize::new(0),
            slots: (0..count).map(|_| ConnectionSlot::default()).collect(),
            free,
        }
    }

    /// Returns the bounds.
    pub fn bounds(&self) -> &CallerBounds {
        &self.bounds
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.slots.len() - self.free.len()
    }

    /// Returns the bytes of request bodies.
    pub fn body_bytes(&self) -> usize {
        self.body_bytes.load(Ordering::Acquire)
    }

    /// Opens a connection with one handle at `now`; `None` if too many are open.
    pub fn open(&self, now: Tick) -> Option<ConnectionKey> {
        let index = self.free.pop()?;
        let slot = &self.slots[index as usize];
        slot.progress.store(now.0, Ordering::Release);
        slot.moved.store(usize::MAX >> 1, Ordering::Release);
        slot.blocked.store(false, Ordering::Release);
        let generation = slot.generation.fetch_add(1, Ordering::AcqRel) + 1;
        slot.handles.store(1, Ordering::Release);
        Some(ConnectionKey { index, generation })
    }

    /// Adds a handle to the connection `key`; returns whether it is open.
    pub fn join(&self, key: ConnectionKey) -> bool {
        let Some(slot) = self.slots.get(key.index as usize) else {
            return false;
        };
        let joined = slot
            .handles
            .try_update(Ordering::AcqRel, Ordering::Acquire, |handles| {
                (handles > 0).then_some(handles + 1)
            });
        if joined.is_err() {
            return false;
        }
        let open = slot.generation.load(Ordering::Acquire) == key.generation;
        if !open {
            self.leave(key);
        }
        open
    }

    /// Takes back a handle of the connection `key`; returns whether it was the last one, which closes it.
    pub fn leave(&self, key: ConnectionKey) -> bool {
        let slot = &self.slots[key.index as usize];
        let closed = slot.handles.fetch_sub(1, Ordering::AcqRel) == 1;
        if closed {
            slot.waker.take();
            // The queue has room for every slot.
            let _ = self.free.push(key.index);
        }
        closed
    }

    /// Adds `bytes` of a body if the sum stays within `limit`; returns whether it does.
    pub fn charge(&self, bytes: usize, limit: usize) -> bool {
        let charged = self
            .body_bytes
            .try_update(Ordering::AcqRel, Ordering::Acquire, |held| {
                held.checked_add(bytes).filter(|held| *held <= limit)
            });
        charged.is_ok()
    }

    /// Takes `bytes` of a body off the account.
    pub fn release(&self, bytes: usize) {
        self.body_bytes.fetch_sub(bytes, Ordering::AcqRel);
    }

    /// Records that `bytes` moved on the connection `key`; every `step` bytes are progress.
    pub fn moved(&self, key: ConnectionKey, bytes: usize, step: usize, now: Tick) {
        let slot = &self.slots[key.index as usize];
        if slot.moved.fetch_add(bytes, Ordering::AcqRel) + bytes >= step {
            slot.moved.store(0, Ordering::Release);
            slot.progress.store(now.0, Ordering::Release);
        }
    }

    /// Records that the connection `key` received `bytes`.
    pub fn received(&self, key: ConnectionKey, bytes: usize) {
        let slot = &self.slots[key.index as usize];
        slot.body_bytes.fetch_add(bytes, Ordering::AcqRel);
    }

    /// Records that the connection `key` begins to receive a body; returns whether it carries another request.
    pub fn begin_body(&self, key: ConnectionKey, now: Tick) -> bool {
        let slot = &self.slots[key.index as usize];
        slot.progress.store(now.0, Ordering::Release);
        let receiving = slot.receiving.fetch_add(1, Ordering::AcqRel);
        if receiving == 0 {
            slot.body_start.store(now.0, Ordering::Release);
            slot.body_bytes.store(0, Ordering::Release);
        }
        receiving > 0 || slot.working.load(Ordering::Acquire) > 0
    }

    /// Records that the connection `key` receives a body no more.
    pub fn end_body(&self, key: ConnectionKey) {
        let slot = &self.slots[key.index as usize];
        slot.receiving.fetch_sub(1, Ordering::AcqRel);
    }

    /// Records that a response is due on the connection `key`.
    pub fn begin_work(&self, key: ConnectionKey) {
        let slot = &self.slots[key.index as usize];
        slot.working.fetch_add(1, Ordering::AcqRel);
    }

    /// Records that a response due on the connection `key` is complete.
    pub fn end_work(&self, key: ConnectionKey, now: Tick) {
        let slot = &self.slots[key.index as usize];
        slot.progress.store(now.0, Ordering::Release);
        // The first bytes of the next request are progress.
        slot.moved.store(usize::MAX >> 1, Ordering::Release);
        slot.working.fetch_sub(1, Ordering::AcqRel);
    }

    /// Records whether a part of a response waits for the caller of the connection `key`.
    pub fn set_blocked(&self, key: ConnectionKey, blocked: bool, now: Tick) {
        let slot = &self.slots[key.index as usize];
        if slot.blocked.swap(blocked, Ordering::AcqRel) != blocked && blocked {
            slot.progress.store(now.0, Ordering::Release);
        }
    }

    /// Returns the open connections that do not have to give way yet.
    pub fn standings(&self) -> impl Iterator<Item = ConnectionStanding> + Clone {
        let slots = self.slots.iter().zip(0..);
        slots.filter_map(|(slot, index)| {
            let generation = slot.generation.load(Ordering::Acquire);
            let open = slot.handles.load(Ordering::Acquire) > 0;
            let evicted = slot.evicted.load(Ordering::Acquire) == generation;
            (open && !evicted).then(|| ConnectionStanding {
                key: ConnectionKey { index, generation },
                progress: Tick(slot.progress.load(Ordering::Acquire)),
                body_start: Tick(slot.body_start.load(Ordering::Acquire)),
                body_bytes: slot.body_bytes.load(Ordering::Acquire),
                receiving: slot.receiving.load(Ordering::Acquire) > 0,
                working: slot.working.load(Ordering::Acquire) > 0,
                blocked: slot.blocked.load(Ordering::Acquire),
            })
        })
    }

    /// Has the connection `key` give way.
    pub fn evict(&self, key: ConnectionKey) {
        let slot = &self.slots[key.index as usize];
        slot.evicted.store(key.generation, Ordering::Release);
        slot.waker.wake();
    }

    /// Completes when the connection `key` has to give way.
    pub fn poll_evicted(&self, key: ConnectionKey, cx: &mut Context<'_>) -> Poll<()> {
        let slot = &self.slots[key.index as usize];
        slot.waker.register(cx.waker());
        if slot.evicted.load(Ordering::Acquire) == key.generation {
            Poll::Ready(())
        } else {
            Poll::Pending
        }
    }
}
