use std::time::Duration;

/// Shortest time between calls to the store of a daemon that is not to read it.
const CALL_INTERVAL: Duration = Duration::from_secs(1);

/// The same while the readers cannot reach the store either.
const OUTAGE_CALL_INTERVAL: Duration = Duration::from_secs(4);

/// Time for which a daemon waits for the readers to reach the store again before it tries itself;
/// changes have to be in force within seconds although only the readers may be cut off.
const OUTAGE_WAIT: Duration = Duration::from_millis(500);

/// What a daemon that found no other daemon to read from knows.
#[derive(Clone, Copy, Debug)]
pub struct StoreCall {
    /// Whether it is one of the readers of its zone, or its last read was from the store.
    pub reader: bool,
    /// Whether a reader said that it cannot reach the store.
    pub outage: bool,
    /// Whether it has never had a result, so that it has nothing to go on with.
    pub starting: bool,
    /// Time since it found no other daemon to read from for the first time.
    pub searching: Duration,
    /// Time since its last call to the store as one that is not a reader; `None` before the first.
    pub called_ago: Option<Duration>,
}

/// Returns whether a daemon may call the store.
///
/// For the load of an outage, in which the calls of hundreds of daemons would change nothing: the
/// readers go on trying, the others wait and then try now and then, in case the store answers them
/// alone. A daemon that has never had a result does not wait: it cannot serve until it has one, and the
/// readers may have failed under the load of a start of all daemons.
pub fn may_call_store(call: StoreCall) -> bool {
    if call.reader {
        return true;
    }
    let outage = call.outage && !call.starting;
    let interval = if outage {
        OUTAGE_CALL_INTERVAL
    } else {
        CALL_INTERVAL
    };
    let rested = call.called_ago.is_none_or(|ago| ago >= interval);
    rested && (!outage || call.searching >= OUTAGE_WAIT)
}
