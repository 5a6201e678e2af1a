use {
    crate::board::{CallerBounds, ConnectionStanding, ReceiveBounds, Tick},
    std::{ops::RangeInclusive, time::Duration},
};

/// Bytes that a process allocates for one HTTP/1 connection and its request, beyond the body.
///
/// A head of 16 KiB takes a buffer of 32 KiB while it arrives; it is kept with its decoded form while other
/// buffers receive the body and the response and carry the request to an endpoint.
pub const HTTP1_CONNECTION_BYTES: usize = 64 << 10;

/// Bytes that a process allocates for one connection that may use HTTP/2, with what its caller sends ahead.
pub const HTTP2_CONNECTION_BYTES: usize = 128 << 10;

/// Bytes accounted for a request that its connection carries beside another one.
pub const REQUEST_BYTES: usize = 32 << 10;

/// Smallest receive buffer of a connection, in bytes: some segments of a network link.
const MIN_RECEIVE_BYTES: usize = 32 << 10;

/// Largest receive buffer of a connection, in bytes.
const MAX_RECEIVE_BYTES: usize = 256 << 10;

/// Connections that a host has room for before they get more than the smallest receive buffer.
const MANY_CONNECTIONS: usize = 2_048;

/// Range of the connections that may wait to be accepted.
const QUEUED_CONNECTIONS: RangeInclusive<usize> = 16..=1_024;

/// Largest request that may use the reserved part of the account, in bytes.
pub const SMALL_REQUEST_BYTES: usize = 64 << 10;

/// Bytes that a caller sends or reads for it to count as progress; fewer would let a caller that sends byte
/// by byte keep its place.
pub const PROGRESS_BYTES: usize = 4 << 10;

/// Time without progress after which a request gives way.
pub const STALLED_TIME: Duration = Duration::from_secs(1);

/// Time without progress after which a connection without a request gives way; a request whose connection
/// was just opened arrives sooner. If no connection is left, a body that takes longer may give way.
const UNUSED_TIME: Duration = Duration::from_millis(250);

/// Memory of a process that holds nothing for callers, with its copies of the configuration, in bytes.
const PROCESS_BYTES: usize = 32 << 20;

/// Most memory for responses that are kept until they are complete, unless the settings state another one.
const MAX_RESPONSE_BYTES: usize = 24 << 20;

/// What is short.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Shortage {
    /// Few connections are left.
    Connections,
    /// No connection is left.
    AllConnections,
    /// Bytes of bodies.
    Memory,
}

/// Returns the bounds for a host with `memory` bytes on which a process may open `descriptors`, and allocates
/// `allocated` bytes for each connection.
///
/// Of what the process itself leaves, half is for connections, with what the kernel has received for them, a
/// fifth for bodies and a fifth, within 24 MiB, for responses; the rest covers fragmentation and the
/// connections to other hosts. Half of the descriptors are left to the latter.
pub fn caller_bounds(memory: usize, descriptors: usize, allocated: usize) -> CallerBounds {
    let usable = memory.saturating_sub(PROCESS_BYTES).max(memory / 4);
    let room = usable / 2;
    let receive = receive_bounds(room, allocated);
    let open_bytes = room.saturating_sub(receive.queue_bytes());
    let connection_bytes = allocated + receive.buffer_bytes;
    let connections = open_bytes / connection_bytes;
    let body_bytes = usable / 5;
    CallerBounds {
        connections: connections.min(descriptors / 2).max(1),
        connection_bytes,
        receive,
        body_bytes,
        reserved_bytes: body_bytes / 4,
        response_bytes: (usable / 5).min(MAX_RESPONSE_BYTES),
    }
}

/// Returns the bounds on what the kernel receives for connections that have `room` bytes; an eighth of it is
/// for those that wait to be accepted.
fn receive_bounds(room: usize, allocated: usize) -> ReceiveBounds {
    let buffer_bytes = (room / MANY_CONNECTIONS)
        .saturating_sub(allocated)
        .clamp(MIN_RECEIVE_BYTES, MAX_RECEIVE_BYTES);
    let queued = room / 8 / buffer_bytes;
    ReceiveBounds {
        buffer_bytes,
        queued: queued.clamp(*QUEUED_CONNECTIONS.start(), *QUEUED_CONNECTIONS.end()),
    }
}

/// Returns the bytes of all bodies up to which a request that then holds `bytes` may charge more.
pub fn body_limit(bounds: &CallerBounds, bytes: usize) -> usize {
    if bytes <= SMALL_REQUEST_BYTES {
        bounds.body_bytes
    } else {
        bounds.body_bytes.saturating_sub(bounds.reserved_bytes)
    }
}

/// Returns whether so few connections are left that one without progress gives way in advance.
pub fn is_nearly_full(bounds: &CallerBounds, connections: usize) -> bool {
    connections > bounds.connections - bounds.connections / 8
}

/// Returns the connection that gives way: of those that wait for their callers, the one longest without
/// progress.
///
/// For memory, only connections that hold some give way. If no other way is left, the one gives way whose body
/// has arrived most slowly so far. `None` if each of them has made progress recently.
pub fn gives_way<I>(standings: I, shortage: Shortage, now: Tick) -> Option<ConnectionStanding>
where
    I: Iterator<Item = ConnectionStanding> + Clone,
{
    let stalled = standings.clone().filter(|standing| {
        let holds = standing.receiving || standing.blocked;
        let waits = standing.blocked || !standing.working;
        let limit = if holds { STALLED_TIME } else { UNUSED_TIME };
        waits && (holds || shortage != Shortage::Memory) && now.since(standing.progress) >= limit
    });
    let stalled = stalled.min_by_key(|standing| standing.progress);
    let limit = match shortage {
        Shortage::Connections => return stalled,
        Shortage::AllConnections => UNUSED_TIME,
        Shortage::Memory => STALLED_TIME,
    };
    stalled.or_else(|| slowest_sender(standings, limit, now))
}

/// Returns the connection whose body arrives most slowly, of those that have been receiving one for `limit`.
fn slowest_sender<I>(standings: I, limit: Duration, now: Tick) -> Option<ConnectionStanding>
where
    I: Iterator<Item = ConnectionStanding>,
{
    let slow = standings.filter(|standing| {
        let time = now.since(standing.body_start);
        standing.receiving && !standing.working && time >= limit
    });
    slow.min_by_key(|standing| bytes_per_second(standing, now))
}

/// Returns the mean rate at which the body of a connection arrives.
fn bytes_per_second(standing: &ConnectionStanding, now: Tick) -> u128 {
    let time = now.since(standing.body_start);
    standing.body_bytes as u128 * 1_000 / time.as_millis().max(1)
}
