/// Priority at an engine of requests as urgent as the most urgent route of their pool.
const URGENT: u8 = 4;

/// Priority at an engine of all other requests. Engines assume it for requests without one, such as those
/// of daemons of an earlier release.
const ORDINARY: u8 = 5;

/// Returns the priority at an engine of a request with `priority` in a pool whose most urgent route has the
/// priority `urgent`, 0 is the most urgent.
///
/// There are only two levels, as every request may preempt those of less urgent levels, whose prefill is then
/// computed again.
pub fn engine_priority(priority: u8, urgent: u8) -> u8 {
    if priority <= urgent { URGENT } else { ORDINARY }
}
