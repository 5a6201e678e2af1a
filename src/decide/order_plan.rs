use {
    crate::{
        board::{Fleet, LoadedModels, Role, Route, Rule, Sheet, Tick},
        key::{EndpointKey, PoolKey},
    },
    slotmap::SecondaryMap,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Models with their versions, and adapters, that the rules require of one pool.
#[derive(Debug, Default)]
struct PoolDemand<'a> {
    models: BTreeMap<&'a str, BTreeSet<&'a str>>,
    adapters: BTreeSet<String>,
}

/// Returns the models and adapters that each engine should have loaded by the sheet in force.
///
/// Engines of pools that no rule uses are left out. Several versions of one model divide the engines
/// of a pool and role, ordered by name, into blocks of nearly equal size. The plan depends on the
/// sheet and on names alone, not on what is loaded, so that owners with different views do not
/// reverse each other's orders to load and unload.
pub fn order_plan(sheet: &Sheet, fleet: &Fleet) -> SecondaryMap<EndpointKey, LoadedModels> {
    let demand = pool_demand(sheet);
    let mut plan = SecondaryMap::new();
    for (key, pool) in fleet.pools.iter() {
        let Some(demand) = demand.get(pool.name.as_str()) else {
            continue;
        };
        for role in [Role::Prefill, Role::Decode] {
            let engines = engines(fleet, key, role);
            for (rank, engine) in engines.iter().enumerate() {
                plan.insert(*engine, demand.load_for(rank, engines.len()));
            }
        }
    }
    plan
}

/// Whether an order that starts at `now` and takes up to `limit` ends before the lease expires at
/// `until`.
pub fn is_covered(until: Tick, now: Tick, limit: Duration) -> bool {
    until.since(now) > limit
}

impl PoolDemand<'_> {
    fn add<'a>(demand: &mut BTreeMap<&'a str, PoolDemand<'a>>, pool: &'a str, rule: &'a Rule) {
        let pool = demand.entry(pool).or_default();
        let versions = pool.models.entry(&rule.model).or_default();
        versions.insert(&rule.version);
        pool.adapters.extend(rule.adapter.clone());
    }

    /// Returns what the engine at position `rank` among `count` should have loaded.
    fn load_for(&self, rank: usize, count: usize) -> LoadedModels {
        let version = |versions: &BTreeSet<&str>| {
            let index = rank * versions.len() / count.max(1);
            versions.iter().nth(index).map(ToString::to_string)
        };
        let models = self.models.iter();
        LoadedModels {
            models: models
                .filter_map(|(model, versions)| Some(((*model).to_owned(), version(versions)?)))
                .collect(),
            adapters: self.adapters.clone(),
        }
    }
}

fn pool_demand(sheet: &Sheet) -> BTreeMap<&str, PoolDemand<'_>> {
    let mut demand = BTreeMap::new();
    for rule in sheet.rules.values() {
        let borrowed = rule.borrow.iter().map(|borrow| &borrow.route);
        for route in [&rule.route].into_iter().chain(borrowed) {
            if let Route::Model { prefill, decode } = route {
                PoolDemand::add(&mut demand, prefill, rule);
                PoolDemand::add(&mut demand, decode, rule);
            }
        }
    }
    demand
}

/// Returns the engines of a pool with one role, ordered by name.
fn engines(fleet: &Fleet, pool: PoolKey, role: Role) -> Vec<EndpointKey> {
    let members = fleet.pools.get(pool).map(|pool| pool.members.iter());
    let has_role = |key: &&EndpointKey| {
        let endpoint = fleet.endpoints.get(**key);
        endpoint.is_some_and(|endpoint| endpoint.role == role)
    };
    let found = members.into_iter().flatten().filter(has_role);
    found.copied().collect()
}
