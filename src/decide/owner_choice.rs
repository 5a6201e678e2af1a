use crate::key::HostKey;

/// Number of endpoints that the queues of a request should cover together.
const MIN_COVERED_ENDPOINTS: u32 = 12;

/// An owner of endpoints of one pool, as the entry host knows it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OwnerOption {
    /// Key of the owner's host.
    pub host: HostKey,
    /// Free pieces at its endpoints of the pool, by its last digest.
    pub free: u32,
    /// Number of endpoints of the pool that it owns.
    pub endpoints: u32,
    /// Requests that wait for the pool at the owner, by its last digest.
    pub waiting: u32,
    /// Whether the owner is in the entry host's availability zone.
    pub same_zone: bool,
    /// Stable tie-breaker: a hash of the request and the host.
    pub tie_break: u64,
}

/// Orders owners by how soon they are likely to grant `pieces`.
///
/// Owners with enough free pieces come first. Within both groups those in the entry host's
/// availability zone come before others, and owners without enough free pieces are ordered by the
/// requests that wait there. Among equals the tie-breaker spreads requests, so that
/// daemons with equally stale digests do not all send theirs to the same owner.
pub fn order_owners(options: &mut [OwnerOption], pieces: u32) {
    options.sort_by_key(|option| {
        let short = option.free < pieces;
        let queue = if short { option.waiting } else { 0 };
        (short, !option.same_zone, queue, option.tie_break)
    });
    prefer_more_free(options, pieces);
}

/// Puts the one with more free pieces of the first two owners first.
///
/// This is the power of two random choices: it balances the load without sending every request to
/// the owner that looks best in a stale digest.
fn prefer_more_free(options: &mut [OwnerOption], pieces: u32) {
    let [first, second, ..] = options else {
        return;
    };
    let is_able = second.free >= pieces && second.same_zone == first.same_zone;
    if is_able && second.free > first.free {
        std::mem::swap(first, second);
    }
}

/// Returns to how many of the ordered owners a request is sent at once, at least `min` and 1.
///
/// An owner of many endpoints balances among them by itself. Where each owns few, a request joins
/// more queues, so that it does not wait at a full endpoint while another one is idle.
pub fn owners_to_request(options: &[OwnerOption], min: usize) -> usize {
    let mut covered = 0;
    let mut owners = 0;
    for option in options {
        if covered >= MIN_COVERED_ENDPOINTS {
            break;
        }
        covered += option.endpoints;
        owners += 1;
    }
    owners.max(min).max(1)
}
