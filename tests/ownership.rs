//! Ownership of endpoints by rendezvous hashing.

use {
    insta::assert_debug_snapshot,
    lentillead::{
        board::{
            Endpoint, EndpointCounters, Fleet, Host, HostState, LoadedModels, Members, Owners,
            Role, Tick,
        },
        decide::{
            ownership::assign,
            rendezvous::{Candidate, first_two, rank},
        },
        key::{EndpointKey, HostKey, PoolKey},
    },
    proptest::prelude::*,
    std::{collections::BTreeMap, sync::Arc},
};

const ZONES: [&str; 3] = ["a", "b", "c"];

fn host(name: &str, zone: &str) -> Host {
    Host {
        name: String::from(name),
        zone: String::from(zone),
        address: String::from("127.0.0.1:1"),
        incarnation: 1,
        refutations: 0,
        cpu_hundredths: 0,
        state: HostState::Alive,
        changed_at: Tick(0),
    }
}

fn endpoint(name: &str, zone: &str) -> Endpoint {
    Endpoint {
        name: String::from(name),
        address: String::from("127.0.0.1:2"),
        zone: String::from(zone),
        pool: PoolKey::default(),
        role: Role::Decode,
        loaded: LoadedModels::default(),
        pieces: 2_000,
        piece_tokens: 16,
        slots: 0,
        fenced: false,
        draining: false,
        counters: Arc::new(EndpointCounters::default()),
    }
}

/// `count` hosts and ten times as many endpoints, spread over three zones.
fn board(count: usize) -> (Fleet, Members) {
    let mut members = Members::default();
    let mut fleet = Fleet::default();
    for i in 0..count {
        let name = format!("host-{i}");
        members.hosts.insert(&name, host(&name, ZONES[i % 3]));
    }
    for i in 0..count * 10 {
        let name = format!("endpoint-{i}");
        fleet.endpoints.insert(&name, endpoint(&name, ZONES[i % 3]));
    }
    (fleet, members)
}

/// Sets the state of the host with this name and returns its key.
fn set_state(members: &mut Members, name: &str, state: HostState) -> HostKey {
    let key = members.hosts.find(name).unwrap();
    members.hosts.get_mut(key).unwrap().state = state;
    key
}

/// Endpoints whose owner differs, with the owners before and after.
fn moved(before: &Owners, after: &Owners) -> Vec<(EndpointKey, HostKey, HostKey)> {
    let owner = |owners: &Owners, key| owners.by_endpoint[key].owner;
    before
        .by_endpoint
        .keys()
        .map(|key| (key, owner(before, key), owner(after, key)))
        .filter(|(_, old, new)| old != new)
        .collect()
}

proptest! {
    #[test]
    fn death_of_a_host_moves_only_its_endpoints(
        count in 4_usize..40,
        pick in any::<prop::sample::Index>(),
    ) {
        let (fleet, mut members) = board(count);
        let before = assign(&fleet, &members);
        let name = format!("host-{}", pick.index(count));
        let dead = set_state(&mut members, &name, HostState::Dead);
        let after = assign(&fleet, &members);
        for (key, old, new) in moved(&before, &after) {
            prop_assert_eq!(old, dead);
            let backup = before.by_endpoint[key].backup;
            prop_assert!(backup.is_none_or(|backup| backup == new));
        }
        set_state(&mut members, &name, HostState::Alive);
        prop_assert!(moved(&before, &assign(&fleet, &members)).is_empty());
    }

    #[test]
    fn first_two_agree_with_rank(name in "[a-z]{1,8}", hosts in 0_usize..20) {
        let (_, members) = board(hosts);
        let hosts: Vec<_> = members.hosts.iter().map(|(k, h)| Candidate::new(k, &h.name)).collect();
        let ranked = rank(&name, &hosts);
        let two = ranked.first().map(|first| (*first, ranked.get(1).copied()));
        prop_assert_eq!(first_two(&name, &hosts), two);
    }
}

#[test]
fn endpoints_of_a_zone_without_hosts_go_to_other_zones() {
    let (fleet, mut members) = board(6);
    let mut spread = BTreeMap::new();
    for state in ["all hosts alive", "zone a without hosts"] {
        if state != "all hosts alive" {
            set_state(&mut members, "host-0", HostState::Dead);
            set_state(&mut members, "host-3", HostState::Leaving);
        }
        let owners = assign(&fleet, &members);
        for (key, ownership) in &owners.by_endpoint {
            let zone = fleet.endpoints.get(key).unwrap().zone.as_str();
            let owner = members.hosts.get(ownership.owner).unwrap();
            let edge = (
                state,
                format!("zone {zone} by {} of {}", owner.name, owner.zone),
            );
            *spread.entry(edge).or_insert(0) += 1;
        }
    }
    assert_debug_snapshot!("ownership_spill", spread);
}
