use {
    crate::{
        board::{
            Endpoint, EndpointCounters, Fleet, HostList, ListedEndpoint, LoadedModels, Pool, Role,
        },
        port::Description,
    },
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        sync::Arc,
    },
};

/// Descriptions that engines reported of themselves, by address.
pub type Descriptions = HashMap<String, Description>;

/// Updates `fleet` from the platform's list; endpoints that stay keep their keys and counters.
///
/// An engine without a description is left out. A service needs no description; it may run `slots`
/// requests at once. Returns whether anything changed.
pub fn merge_fleet(
    fleet: &mut Fleet,
    list: &HostList,
    descriptions: &Descriptions,
    slots: u32,
) -> bool {
    let service = service(slots);
    let described = list.endpoints.iter().filter_map(|listed| {
        let description = match listed.role {
            Role::Service => Some(&service),
            Role::Prefill | Role::Decode => descriptions.get(&listed.address),
        };
        Some((listed, description?))
    });
    let described: Vec<_> = described.collect();
    let removed = remove_unlisted(fleet, list.endpoints.iter());
    merge_endpoints(fleet, &described, removed)
}

/// Updates `fleet` from listed endpoints with their descriptions; endpoints that stay keep their
/// keys and counters.
///
/// Returns whether anything changed.
pub fn merge_described(fleet: &mut Fleet, described: &[(&ListedEndpoint, &Description)]) -> bool {
    let removed = remove_unlisted(fleet, described.iter().map(|(listed, _)| *listed));
    merge_endpoints(fleet, described, removed)
}

fn merge_endpoints(
    fleet: &mut Fleet,
    described: &[(&ListedEndpoint, &Description)],
    removed: bool,
) -> bool {
    let mut changed = removed;
    for (listed, description) in described {
        changed |= merge_endpoint(fleet, listed, description);
    }
    if changed {
        rebuild_pools(fleet);
    }
    changed
}

/// Removes endpoints that are not listed, or that are listed at another address, where another
/// process runs.
///
/// Returns whether there were any.
fn remove_unlisted<'a, I>(fleet: &mut Fleet, listed: I) -> bool
where
    I: Iterator<Item = &'a ListedEndpoint>,
{
    let listed: BTreeSet<_> = listed
        .map(|listed| (listed.name.as_str(), listed.address.as_str()))
        .collect();
    let removed: Vec<_> = fleet
        .endpoints
        .iter()
        .filter(|(_, old)| !listed.contains(&(old.name.as_str(), old.address.as_str())))
        .map(|(_, old)| old.name.clone())
        .collect();
    for name in &removed {
        if let Some(endpoint) = fleet.endpoints.remove(name) {
            fleet.removed.push(endpoint);
        }
    }
    !removed.is_empty()
}

fn merge_endpoint(fleet: &mut Fleet, listed: &ListedEndpoint, described: &Description) -> bool {
    let before = fleet.endpoints.find(&listed.name);
    let before = before.and_then(|key| fleet.endpoints.get(key)).cloned();
    let counters = before.as_ref().map(|old| Arc::clone(&old.counters));
    let counters =
        counters.unwrap_or_else(|| returning_counters(fleet, listed, described.incarnation));
    if before
        .as_ref()
        .is_some_and(|old| old.role != described.role)
    {
        // Refusals during the change of role say nothing about the new role.
        counters.traffic.clear_refusals();
    }
    counters.traffic.set_incarnation(described.incarnation);
    let pool = fleet.pools.find(&listed.pool).unwrap_or_else(|| {
        let pool = Pool {
            name: listed.pool.clone(),
            members: Vec::new(),
        };
        fleet.pools.insert(&listed.pool, pool)
    });
    let next = Endpoint {
        name: listed.name.clone(),
        address: listed.address.clone(),
        zone: listed.zone.clone(),
        pool,
        role: described.role,
        loaded: loaded(described),
        pieces: described.pieces,
        piece_tokens: described.piece_tokens,
        slots: described.slots,
        fenced: described.fenced,
        draining: listed.draining || counters.is_draining(),
        counters,
    };
    let changed = before.is_none_or(|old| !same(&old, &next));
    if changed {
        fleet.endpoints.insert(&listed.name, next);
    }
    changed
}

/// Returns the counters of an endpoint that was not listed; they keep what it has said of itself, as
/// its entry may only have expired.
fn returning_counters(
    fleet: &mut Fleet,
    listed: &ListedEndpoint,
    incarnation: u64,
) -> Arc<EndpointCounters> {
    let counters = EndpointCounters::default();
    if let Some(earlier) = fleet.removed.take(&listed.name, &listed.address) {
        counters.traffic.inherit(&earlier.traffic, incarnation);
    }
    Arc::new(counters)
}

/// Whether two endpoints of the same name and address are equal in everything else.
fn same(old: &Endpoint, next: &Endpoint) -> bool {
    old.zone == next.zone
        && old.pool == next.pool
        && old.role == next.role
        && old.loaded == next.loaded
        && old.pieces == next.pieces
        && old.piece_tokens == next.piece_tokens
        && old.slots == next.slots
        && old.fenced == next.fenced
        && old.draining == next.draining
}

/// Returns the models and adapters that the engine reports as loaded.
pub fn loaded(description: &Description) -> LoadedModels {
    LoadedModels {
        models: description.models.clone(),
        adapters: description.adapters.iter().cloned().collect(),
    }
}

/// Returns the description of a service that may run `slots` requests at once.
fn service(slots: u32) -> Description {
    Description {
        role: Role::Service,
        models: BTreeMap::new(),
        adapters: Vec::new(),
        pieces: 0,
        piece_tokens: 0,
        slots,
        fenced: false,
        fence: 0,
        incarnation: 0,
    }
}

/// Rebuilds the members of each pool, ordered by name, and removes pools without any.
fn rebuild_pools(fleet: &mut Fleet) {
    let mut members = BTreeMap::<_, Vec<_>>::new();
    for (key, endpoint) in fleet.endpoints.iter() {
        let pool = members.entry(endpoint.pool).or_default();
        pool.push((endpoint.name.clone(), key));
    }
    let pools: Vec<_> = fleet
        .pools
        .iter()
        .map(|(key, pool)| (key, pool.name.clone()))
        .collect();
    for (key, name) in pools {
        let Some(mut list) = members.remove(&key) else {
            fleet.pools.remove(&name);
            continue;
        };
        list.sort();
        if let Some(pool) = fleet.pools.get_mut(key) {
            pool.members = list.into_iter().map(|(_, key)| key).collect();
        }
    }
}
