use std::time::Duration;

/// Shortest time between calls to the store of a daemon that is not to read it.
const CALL_INTERVAL: Duration = Duration::from_secs(4);

/// Time for which a daemon that is not to read the store looks for another reader first. An outage
/// of the store is mostly over by then, and the next hosts in order have tried the store.
const SEARCH_TIME: Duration = Duration::from_secs(3);

/// What a daemon that found no other daemon to read from knows.
#[derive(Clone, Copy, Debug)]
pub struct StoreCall {
    /// Its part among the daemons of its zone.
    pub part: ReadingPart,
    /// Whether a daemon that it asked did not reply at all.
    pub silent: bool,
    /// Time since it found no other daemon to read from for the first time.
    pub searching: Duration,
    /// Time since its last call to the store as one that is not a reader; `None` before the first.
    pub called_ago: Option<Duration>,
}

/// Part of a daemon in reading the store for its zone.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadingPart {
    /// It is a reader, or its last read was from the store.
    Reader,
    /// The readers have failed, so that it is next in order.
    Next,
    /// It reads from others.
    Other,
}

/// Returns whether a daemon may call the store.
///
/// For the load of an outage, in which the calls of hundreds of daemons would change nothing: the
/// readers go on trying, the next hosts in order try once each, and the others wait in case the
/// store answers them alone. A daemon whose readers do not reply learns nothing of the store from
/// them, and tries at once.
pub fn may_call_store(call: StoreCall) -> bool {
    if call.part == ReadingPart::Reader {
        return true;
    }
    let rested = call.called_ago.is_none_or(|ago| ago >= CALL_INTERVAL);
    rested && (call.part == ReadingPart::Next || call.silent || call.searching >= SEARCH_TIME)
}
