use {
    super::{CallerConnection, CallerMemory},
    crate::{
        decide::{SMALL_REQUEST_BYTES, STALLED_TIME, Shortage, body_limit},
        key::ConnectionKey,
    },
    bytes::{Bytes, BytesMut},
    std::{collections::VecDeque, time::Duration},
    tokio::time::{Instant, timeout_at},
};

/// Shortest time that a request waits for memory before it is refused.
const MEMORY_WAIT: Duration = Duration::from_millis(250);

/// Range of the time that a request waits in addition, so that requests that wait for one another are not
/// refused all at once. The sum is below `STALLED_TIME`.
const MEMORY_WAIT_RANGE: Duration = Duration::from_millis(500);

/// Smallest buffer of a body, in bytes.
const MIN_BODY_BUFFER: usize = 512;

/// Size of the segments of a body that is not small, in bytes.
const SEGMENT_BYTES: usize = SMALL_REQUEST_BYTES;

/// Wait suggested to a caller that is refused for memory: by then a request without progress gives way.
pub const MEMORY_RETRY_WAIT: Duration = STALLED_TIME;

/// Returns the time that a request of `key` waits for memory.
fn memory_wait(key: ConnectionKey) -> Duration {
    // Spreads neighbouring keys over the range.
    let part = key
        .index
        .wrapping_mul(0x9e37_79b9)
        .wrapping_add(key.generation)
        >> 24;
    MEMORY_WAIT + MEMORY_WAIT_RANGE * part / 256
}

/// Body of a request that is being read, in memory that is charged to the account before it is used.
///
/// It is kept in segments of one size. Buffers that double leave freed ones of every size with the allocator,
/// and a large buffer whose pages are not written yet can take huge pages: both took twice the bytes of the
/// bodies.
#[derive(Debug)]
pub struct CallerBody {
    segments: VecDeque<BytesMut>,
    size: usize,
    longest: usize,
    charge: BodyCharge,
    wait: Duration,
}

/// Bytes charged for a request, released when it is dropped.
#[derive(Debug)]
pub(super) struct BodyCharge {
    memory: CallerMemory,
    bytes: usize,
}

impl CallerBody {
    /// Creates an empty body of a request on `connection`.
    ///
    /// `longest` is the length of the body as the caller states it, or else the limit for bodies.
    pub(super) fn new(connection: &CallerConnection, longest: usize) -> Self {
        Self {
            segments: VecDeque::new(),
            size: 0,
            longest,
            charge: BodyCharge::new(&connection.memory),
            wait: memory_wait(connection.key),
        }
    }

    /// Returns the number of bytes read.
    pub fn size(&self) -> usize {
        self.size
    }

    /// Appends `data`; returns `false` if there is no memory for it, and the body is to be dropped.
    ///
    /// Waits a moment for memory if the account is full and a request without progress gives way.
    pub async fn extend(&mut self, mut data: &[u8]) -> bool {
        while !data.is_empty() {
            let last = self.segments.back();
            let room = last.map_or(0, |last| last.capacity() - last.len());
            if room == 0 && !self.add_room(data.len()).await {
                return false;
            }
            let Some(last) = self.segments.back_mut() else {
                return false;
            };
            let part = data.len().min(last.capacity() - last.len());
            last.extend_from_slice(&data[..part]);
            self.size += part;
            data = &data[part..];
        }
        true
    }

    /// Makes room for at least one more byte, as far as possible for `bytes`; returns `false` if there is no
    /// memory for it.
    async fn add_room(&mut self, bytes: usize) -> bool {
        let needed = self.size + bytes;
        let small = needed <= SEGMENT_BYTES;
        let capacity = if small {
            let capacity = needed.next_power_of_two().max(MIN_BODY_BUFFER);
            capacity.min(self.longest.max(needed))
        } else {
            SEGMENT_BYTES
        };
        let wanted = if small {
            capacity - self.charge.bytes
        } else {
            capacity
        };
        if !self.charge.grow(wanted, self.wait).await {
            return false;
        }
        let mut segment = BytesMut::with_capacity(capacity);
        if small && let Some(first) = self.segments.pop_front() {
            segment.extend_from_slice(&first);
        }
        self.segments.push_back(segment);
        true
    }

    /// Returns the contents, which keep their charge until they are dropped; `None` if there is no memory to
    /// put them together.
    pub async fn freeze(mut self) -> Option<Bytes> {
        if self.segments.len() > 1 {
            // The copy releases each segment before the next one.
            if !self.charge.grow(SEGMENT_BYTES, self.wait).await {
                return None;
            }
            let mut whole = BytesMut::with_capacity(self.size);
            while let Some(segment) = self.segments.pop_front() {
                whole.extend_from_slice(&segment);
            }
            self.segments.push_back(whole);
            self.charge
                .release(self.charge.bytes.saturating_sub(self.size));
        }
        let Some(bytes) = self.segments.pop_front() else {
            return Some(Bytes::new());
        };
        Some(Bytes::from_owner(ChargedBody {
            bytes,
            _charge: self.charge,
        }))
    }
}

impl BodyCharge {
    /// Creates a charge of no bytes.
    pub(super) fn new(memory: &CallerMemory) -> Self {
        Self {
            memory: memory.clone(),
            bytes: 0,
        }
    }

    /// Charges for `bytes` more; returns whether there is room for them. Else a connection without progress
    /// gives way.
    pub(super) fn try_grow(&mut self, bytes: usize) -> bool {
        let inner = &self.memory.0;
        let limit = body_limit(inner.account.bounds(), self.bytes + bytes);
        let fits = inner.account.charge(bytes, limit);
        if fits {
            inner.metrics.body_bytes.inc_by(bytes as i64);
            self.bytes += bytes;
        } else {
            self.memory.give_way(Shortage::Memory);
        }
        fits
    }

    /// Charges for `bytes` more, waiting up to `wait`; returns whether they are charged.
    async fn grow(&mut self, bytes: usize, wait: Duration) -> bool {
        let memory = self.memory.clone();
        let deadline = Instant::now() + wait;
        loop {
            let freed = memory.0.freed.notified();
            if self.try_grow(bytes) {
                return true;
            }
            if timeout_at(deadline, freed).await.is_err() {
                memory.count_refused("no memory for the body of a request; refusing it");
                return false;
            }
        }
    }

    /// Releases `bytes` of the charge.
    fn release(&mut self, bytes: usize) {
        let inner = &self.memory.0;
        self.bytes -= bytes;
        inner.account.release(bytes);
        inner.metrics.body_bytes.dec_by(bytes as i64);
        inner.freed.notify_waiters();
    }
}

impl Drop for BodyCharge {
    fn drop(&mut self) {
        // Most requests charge nothing beside their body; their ends free nothing that others wait for.
        if self.bytes > 0 {
            self.release(self.bytes);
        }
    }
}

/// Complete body of a request with its charge.
struct ChargedBody {
    bytes: BytesMut,
    _charge: BodyCharge,
}

impl AsRef<[u8]> for ChargedBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
