use crate::key::HostKey;

/// An owner of endpoints of one pool, as the entry host sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OwnerOption {
    /// Host.
    pub host: HostKey,
    /// Pieces free at its endpoints of the pool, by the last digest.
    pub free: u32,
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
}
