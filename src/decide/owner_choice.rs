use crate::key::HostKey;

/// Endpoints that the lines in which a request stands should lead to.
const COVERED_ENDPOINTS: u32 = 12;

/// An owner of endpoints of one pool, as the entry host sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OwnerOption {
    /// Host.
    pub host: HostKey,
    /// Pieces free at its endpoints of the pool, by the last digest.
    pub free: u32,
    /// Endpoints of the pool that it owns.
    pub endpoints: u32,
    /// Requests waiting for the pool at the owner, by the last digest.
    pub waiting: u32,
    /// Whether the owner is in the entry host's availability zone.
    pub near: bool,
    /// Stable tie-breaker: a hash of request and host.
    pub tie: u64,
}

/// Orders owners by how soon one is likely to grant `pieces`.
///
/// Owners in the entry host's availability zone go before others in the same state. Among owners
/// that look equally able the tie-breaker spreads requests, so that daemons with equally stale
/// digests do not all ask the same owner.
pub fn order_owners(options: &mut [OwnerOption], pieces: u32) {
    options.sort_by_key(|option| {
        let short = option.free < pieces;
        let line = if short { option.waiting } else { 0 };
        (short, !option.near, line, option.tie)
    });
    prefer_roomier(options, pieces);
}

/// Puts the roomier of the first two owners first: the better of two at random evens the load out
/// without sending everybody to the one that looked best in an old digest.
fn prefer_roomier(options: &mut [OwnerOption], pieces: u32) {
    let [first, second, ..] = options else {
        return;
    };
    let able = second.free >= pieces && second.near == first.near;
    if able && second.free > first.free {
        std::mem::swap(first, second);
    }
}

/// Returns how many of the ordered owners a request asks at once, at least `least`.
///
/// An owner of many endpoints balances among them by itself; where each owns few, a request stands
/// in more lines, so that it does not wait at a full endpoint while another one is idle.
pub fn owners_to_ask(options: &[OwnerOption], least: usize) -> usize {
    let mut covered = 0;
    let mut asked = 0;
    for option in options {
        if covered >= COVERED_ENDPOINTS {
            break;
        }
        covered += option.endpoints;
        asked += 1;
    }
    asked.max(least).max(1)
}
