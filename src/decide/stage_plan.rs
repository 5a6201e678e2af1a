use {
    crate::{
        board::{Endpoint, Fleet, Role},
        key::{EndpointKey, PoolKey},
    },
    std::collections::BTreeMap,
};

/// Engines of a pool from which on two of them read prompts, so that one may fail.
const PAIR_FROM: usize = 6;

/// An engine that is to change what it does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StageChange {
    /// The engine.
    pub key: EndpointKey,
    /// What it is to do.
    pub role: Role,
}

/// Engines of a pool that should read prompts, of `count`, where they do a share of `percent` of
/// the work.
pub fn prefill_goal(count: usize, percent: usize) -> usize {
    let share = (count * percent + 50) / 100;
    let least = if count >= PAIR_FROM { 2 } else { 1 };
    share.max(least).min(count.saturating_sub(1))
}

/// The changes that bring a pool to its goal.
///
/// An engine is taken from the availability zone that has most engines of the role, so that both
/// roles stay spread. The answer depends on the fleet alone, not on who asks.
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
    let chosen = most_crowded(from, count).into_iter();
    chosen.map(|key| StageChange { key, role }).collect()
}

fn engines(fleet: &Fleet, pool: PoolKey) -> Vec<(EndpointKey, &Endpoint)> {
    let members = fleet.pools.get(pool).map(|pool| pool.members.iter());
    let found = members
        .into_iter()
        .flatten()
        .filter_map(|key| Some((*key, fleet.endpoints.get(*key)?)));
    found
        .filter(|(_, endpoint)| !endpoint.leaving && endpoint.role != Role::Service)
        .collect()
}

fn of_role<'a>(
    engines: &[(EndpointKey, &'a Endpoint)],
    role: Role,
) -> Vec<(EndpointKey, &'a Endpoint)> {
    let found = engines.iter().filter(|(_, engine)| engine.role == role);
    found.copied().collect()
}

/// `count` engines, each from the zone that has most of them left.
fn most_crowded(engines: Vec<(EndpointKey, &Endpoint)>, count: usize) -> Vec<EndpointKey> {
    let mut zones = BTreeMap::<&str, Vec<EndpointKey>>::new();
    for (key, engine) in engines {
        zones.entry(engine.zone.as_str()).or_default().push(key);
    }
    let mut chosen = Vec::new();
    while chosen.len() < count {
        let crowded = zones.values_mut().max_by_key(|keys| keys.len());
        let Some(key) = crowded.and_then(Vec::pop) else {
            break;
        };
        chosen.push(key);
    }
    chosen
}
