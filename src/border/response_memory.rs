use {
    bytes::{Bytes, BytesMut},
    std::sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

/// Bytes of each response that are kept without a charge, so that small responses are read even while large
/// ones hold all the memory.
const UNCHARGED_BYTES: usize = 16 << 10;

/// Memory for the parts of responses that are kept until they are complete, shared by all responses.
///
/// Clones share the memory.
#[derive(Clone, Debug)]
pub struct ResponseMemory {
    /// Bytes that are not charged to a response.
    free: Arc<AtomicUsize>,
}

impl ResponseMemory {
    /// Creates a memory of `bytes`.
    pub fn new(bytes: usize) -> Self {
        Self {
            free: Arc::new(AtomicUsize::new(bytes)),
        }
    }

    /// Returns a charge of no bytes for one response.
    pub fn charge(&self) -> MemoryCharge {
        MemoryCharge {
            memory: self.clone(),
            charged: 0,
        }
    }

    /// Takes `bytes`; returns whether so many were free.
    fn take(&self, bytes: usize) -> bool {
        let taken = self
            .free
            .try_update(Ordering::AcqRel, Ordering::Acquire, |free| {
                free.checked_sub(bytes)
            });
        taken.is_ok()
    }

    fn give_back(&self, bytes: usize) {
        self.free.fetch_add(bytes, Ordering::AcqRel);
    }
}

/// Share of a [`ResponseMemory`] that one response holds. Dropping it gives the share back.
#[derive(Debug)]
pub struct MemoryCharge {
    memory: ResponseMemory,
    charged: usize,
}

impl MemoryCharge {
    /// Charges for `bytes` in place of what was charged before; returns `false`, and changes nothing, if
    /// there is no memory for that.
    pub fn set(&mut self, bytes: usize) -> bool {
        let wanted = bytes.saturating_sub(UNCHARGED_BYTES);
        if wanted > self.charged {
            if !self.memory.take(wanted - self.charged) {
                return false;
            }
        } else {
            self.memory.give_back(self.charged - wanted);
        }
        self.charged = wanted;
        true
    }
}

impl Drop for MemoryCharge {
    fn drop(&mut self) {
        self.memory.give_back(self.charged);
    }
}

/// Contents of a response that is being read, in memory that is charged for.
#[derive(Debug)]
pub struct ResponseBuffer {
    bytes: BytesMut,
    charge: MemoryCharge,
}

impl ResponseBuffer {
    /// Creates an empty buffer.
    pub fn new(charge: MemoryCharge) -> Self {
        Self {
            bytes: BytesMut::new(),
            charge,
        }
    }

    /// Makes room for `bytes` in all; returns `false`, and changes nothing, if there is no memory for them.
    pub fn reserve(&mut self, bytes: usize) -> bool {
        if bytes <= self.bytes.capacity() {
            return true;
        }
        // The old buffer exists until it is copied.
        if !self.charge.set(self.bytes.capacity() + bytes) {
            return false;
        }
        let mut grown = BytesMut::with_capacity(bytes);
        grown.extend_from_slice(&self.bytes);
        self.bytes = grown;
        self.charge.set(bytes);
        true
    }

    /// Returns the number of bytes read.
    pub fn size(&self) -> usize {
        self.bytes.len()
    }

    /// Appends `data`; returns `false`, without the data, if there is no memory for it.
    pub fn extend(&mut self, data: &[u8]) -> bool {
        let needed = self.bytes.len() + data.len();
        if needed > self.bytes.capacity() && !self.reserve(needed.next_power_of_two()) {
            return false;
        }
        self.bytes.extend_from_slice(data);
        true
    }

    /// Returns the contents, which keep their charge until they are dropped.
    pub fn freeze(self) -> Bytes {
        if self.charge.charged == 0 {
            return self.bytes.freeze();
        }
        Bytes::from_owner(ChargedBytes {
            bytes: self.bytes,
            _charge: self.charge,
        })
    }
}

/// Contents of a complete response with their charge.
struct ChargedBytes {
    bytes: BytesMut,
    _charge: MemoryCharge,
}

impl AsRef<[u8]> for ChargedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
