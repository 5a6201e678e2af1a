//! Test setup: endpoints as the host list and their descriptions give them.

use {
    lentillead::{
        board::{ListedEndpoint, Role},
        port::Description,
    },
    std::collections::BTreeMap,
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
