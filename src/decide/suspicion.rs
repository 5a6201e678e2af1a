use {
    crate::board::{Suspect, Suspects, Tick},
    std::time::Duration,
};

/// Number of endpoints that a request must have crashed before all daemons refuse it.
///
/// An endpoint runs at most one suspect at a time, so a second crash cannot be due to another
/// suspect.
pub const CRASH_LIMIT: usize = 2;

/// Records that `endpoint` crashed while it ran the request with the given fingerprint.
///
/// Returns whether the request is refused from now on.
pub fn record_crash(
    suspects: &mut Suspects,
    fingerprint: u64,
    endpoint: &str,
    expires: Tick,
) -> bool {
    let suspect = suspects
        .by_fingerprint
        .entry(fingerprint)
        .or_insert_with(|| Suspect {
            endpoints: Vec::new(),
            refused: false,
            expires,
        });
    if !suspect.endpoints.iter().any(|known| known == endpoint) {
        suspect.endpoints.push(endpoint.to_owned());
    }
    suspect.expires = suspect.expires.max(expires);
    suspect.refused |= suspect.endpoints.len() >= CRASH_LIMIT;
    suspect.refused
}

/// Merges what another host reported of a suspect; returns whether it changed anything.
pub fn merge(suspects: &mut Suspects, fingerprint: u64, reported: &Suspect) -> bool {
    let before = suspects.by_fingerprint.get(&fingerprint).cloned();
    for endpoint in &reported.endpoints {
        record_crash(suspects, fingerprint, endpoint, reported.expires);
    }
    if let Some(suspect) = suspects.by_fingerprint.get_mut(&fingerprint) {
        suspect.refused |= reported.refused;
    }
    let after = suspects.by_fingerprint.get(&fingerprint);
    before.as_ref().map(compared_fields) != after.map(compared_fields)
}

/// Removes suspects that have expired by `now`; returns whether there were any.
pub fn expire(suspects: &mut Suspects, now: Tick) -> bool {
    let before = suspects.by_fingerprint.len();
    suspects
        .by_fingerprint
        .retain(|_, suspect| suspect.expires > now);
    before != suspects.by_fingerprint.len()
}

/// Returns the time from `now` until the next suspect expires; `None` without suspects.
pub fn next_expiry(suspects: &Suspects, now: Tick) -> Option<Duration> {
    let first = suspects
        .by_fingerprint
        .values()
        .map(|suspect| suspect.expires)
        .min()?;
    Some(first - now)
}

/// Returns the number of crashed endpoints and whether the request is refused, which `merge`
/// compares to detect a change.
fn compared_fields(suspect: &Suspect) -> (usize, bool) {
    (suspect.endpoints.len(), suspect.refused)
}
