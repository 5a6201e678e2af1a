//! Test setup: endpoints as the host list and their descriptions give them.

use {
    lentillead::{
        board::{CallerLimits, ListedEndpoint, PoolConfig, Role, Routing, Writers},
        decide::merge_described,
        port::Description,
    },
    std::collections::{BTreeMap, HashMap},
};

/// List entry and description of the endpoint `name` of `pool` in `zone-a`, with six slots and an
/// address of its own.
pub fn listed(name: &str, pool: &str, role: Role) -> (ListedEndpoint, Description) {
    let listed = ListedEndpoint {
        name: name.to_owned(),
        role,
        address: format!("10.0.0.1:{name}"),
        zone: "zone-a".to_owned(),
        pool: pool.to_owned(),
        draining: false,
    };
    let description = Description {
        role,
        models: BTreeMap::new(),
        adapters: Vec::new(),
        pieces: 0,
        piece_tokens: 0,
        slots: 6,
        fenced: false,
        fence: 0,
        incarnation: 0,
    };
    (listed, description)
}

/// Publishes a fleet of these engines, all in the pool `models`, whose engines have memory for 100,000
/// tokens.
pub fn publish_engines(writers: &mut Writers, engines: &[(ListedEndpoint, Description)]) {
    let described: Vec<_> = engines.iter().map(|(l, d)| (l, d)).collect();
    writers
        .fleet
        .update(|fleet| merge_described(fleet, &described));
    let config = PoolConfig {
        memory_tokens: 100_000,
        has_engines: true,
        event_tokens: 1,
    };
    let pools = HashMap::from([("models".to_owned(), config)]);
    let routing = Routing::new(1, Vec::new(), pools, CallerLimits::default());
    writers.routing.publish(routing);
}
