use {
    crate::{
        board::{Endpoint, Fleet, Role},
        key::{EndpointKey, PoolKey},
    },
    std::collections::BTreeMap,
};

/// Pool size from which on at least two engines prefill, so that one of them may fail.
const MIN_ENGINES_FOR_PAIR: usize = 6;

/// Planned change of the stage that an engine runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StageChange {
    /// Engine to change.
    pub key: EndpointKey,
    /// Stage that it is to run.
    pub role: Role,
}

/// Returns how many of the `count` engines of a pool should prefill if prefill is `percent` of the
/// work.
///
/// At least one engine stays for decoding.
pub fn prefill_goal(count: usize, percent: usize) -> usize {
    let share = (count * percent + 50) / 100;
    let min = if count >= MIN_ENGINES_FOR_PAIR { 2 } else { 1 };
    share.max(min).min(count.saturating_sub(1))
}

/// Returns the stage changes that bring a pool to its goal.
///
/// An engine is taken from the availability zone that has most engines of the role, so that both
/// roles stay spread over the zones. The result depends on the fleet alone, so every daemon comes to
/// the same.
pub fn stage_changes(fleet: &Fleet, pool: PoolKey, percent: usize) -> Vec<StageChange> {
    let engines = engines(fleet, pool);
    if engines.len() < 2 {
        return Vec::new();
    }
    let goal = prefill_goal(engines.len(), percent);
    let prefill = of_role(&engines, Role::Prefill);
    let (from, role, count) = if prefill.len() > goal {
        let surplus = prefill.len() - goal;
        (prefill, Role::Decode, surplus)
    } else {
        let missing = goal - prefill.len();
        (of_role(&engines, Role::Decode), Role::Prefill, missing)
    };
    let chosen = pick_from_largest_zones(from, count).into_iter();
    chosen.map(|key| StageChange { key, role }).collect()
}

fn engines(fleet: &Fleet, pool: PoolKey) -> Vec<(EndpointKey, &Endpoint)> {
    let members = fleet.pools.get(pool).map(|pool| pool.members.iter());
    let found = members
        .into_iter()
        .flatten()
        .filter_map(|key| Some((*key, fleet.endpoints.get(*key)?)));
    found
        .filter(|(_, endpoint)| !endpoint.draining && endpoint.role != Role::Service)
        .collect()
}

fn of_role<'a>(
    engines: &[(EndpointKey, &'a Endpoint)],
    role: Role,
) -> Vec<(EndpointKey, &'a Endpoint)> {
    let found = engines.iter().filter(|(_, engine)| engine.role == role);
    found.copied().collect()
}

/// Returns up to `count` engines, each from the zone that has most of them left.
fn pick_from_largest_zones(
    engines: Vec<(EndpointKey, &Endpoint)>,
    count: usize,
) -> Vec<EndpointKey> {
    let mut zones = BTreeMap::<&str, Vec<EndpointKey>>::new();
    for (key, engine) in engines {
        zones.entry(engine.zone.as_str()).or_default().push(key);
    }
    let mut chosen = Vec::new();
    while chosen.len() < count {
        let largest = zones.values_mut().max_by_key(|keys| keys.len());
        let Some(key) = largest.and_then(Vec::pop) else {
            break;
        };
        chosen.push(key);
    }
    chosen
}
