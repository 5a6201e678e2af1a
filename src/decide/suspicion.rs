use {
    crate::board::{Suspect, Suspects, Tick},
    std::time::Duration,
};

/// Endpoints that a request must have crashed before it is refused everywhere.
///
/// Suspects run one to an endpoint, so the second crash is not another suspect's.
pub const CRASH_LIMIT: usize = 2;

/// Records that `endpoint` crashed while running the request with fingerprint `print`.
///
/// Returns whether the request is refused from now on.
pub fn strike(suspects: &mut Suspects, print: u64, endpoint: &str, expires: Tick) -> bool {
    let suspect = suspects.by_print.entry(print).or_insert_with(|| Suspect {
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

/// Takes over what another host knows of a suspect; returns whether anything was new.
pub fn merge(suspects: &mut Suspects, print: u64, told: &Suspect) -> bool {
    let before = suspects.by_print.get(&print).cloned();
    for endpoint in &told.endpoints {
        strike(suspects, print, endpoint, told.expires);
    }
    if let Some(suspect) = suspects.by_print.get_mut(&print) {
        suspect.refused |= told.refused;
    }
    let after = suspects.by_print.get(&print);
    before.as_ref().map(knowledge) != after.map(knowledge)
}

/// Removes suspects that have lapsed; returns whether there were any.
pub fn expire(suspects: &mut Suspects, now: Tick) -> bool {
    let before = suspects.by_print.len();
    suspects.by_print.retain(|_, suspect| suspect.expires > now);
    before != suspects.by_print.len()
}

/// Time until the next suspect lapses.
pub fn next_expiry(suspects: &Suspects, now: Tick) -> Option<Duration> {
    let first = suspects
        .by_print
        .values()
        .map(|suspect| suspect.expires)
        .min()?;
    Some(first - now)
}

fn knowledge(suspect: &Suspect) -> (usize, bool) {
    (suspect.endpoints.len(), suspect.refused)
}
