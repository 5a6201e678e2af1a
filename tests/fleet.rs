//! Hosts and endpoints that follow the platform's host list, which may be old, incomplete or
//! unavailable.

use {
    insta::assert_yaml_snapshot,
    lentillead::{
        board::{Blackboard, Fleet, HostList, Role, Tick},
        border::{EngineClient, PlatformClient, http_client},
        control::{FleetController, HostController},
        decide::{Descriptions, HostRoster, merge_fleet},
        fake::{EngineSettings, FakeEngine, FakePlatform, Outage, PlatformSettings},
        port::{Description, HostEntry, MonoClock},
    },
    prometheus_client::metrics::counter::Counter,
    rand::{SeedableRng, rngs::SmallRng},
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

/// Time between two reads of the host list.
const INTERVAL: Duration = Duration::from_millis(5);
/// Time limit of a call to the platform or an engine.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);
const SERVICE_SLOTS: u32 = 4;

fn entry(name: &str, role: &str, port: u16) -> HostEntry {
    HostEntry {
        name: name.into(),
        role: role.into(),
        address: format!("127.0.0.1:{port}"),
        zone: "a".into(),
        pool: format!("{role}-pool"),
        leaving: false,
    }
}

fn description(role: Role) -> Description {
    Description {
        role,
        models: BTreeMap::from([("small".into(), "1".into())]),
        adapters: Vec::new(),
        pieces: 20,
        piece_tokens: 2_000,
        slots: 20,
        fenced: true,
        fence: 0,
        incarnation: 7,
    }
}

/// Name, pool and drain state of every endpoint.
fn summary(fleet: &Fleet) -> Vec<String> {
    let line = |endpoint: &lentillead::board::Endpoint| {
        let pool = fleet.pools.get(endpoint.pool).unwrap();
        let draining = endpoint.draining;
        format!("{} in {} draining {draining}", endpoint.name, pool.name)
    };
    fleet.endpoints.iter().map(|(_, e)| line(e)).collect()
}

/// Applies one host list after another to a fleet. An endpoint that stays keeps its counters, an
/// empty list changes nothing, and an absent endpoint is removed at the second list without it.
#[test]
fn fleet_follows_the_host_list() {
    let mut roster = HostRoster::default();
    let mut fleet = Fleet::default();
    let mut descriptions = Descriptions::new();
    let mut steps = Vec::new();
    let mut step = |name: &str, list: Vec<HostEntry>, descriptions: &Descriptions| {
        roster.update(list);
        let list = roster.list(Tick(1));
        let changed = merge_fleet(&mut fleet, &list, descriptions, SERVICE_SLOTS);
        let counters = fleet.endpoints.iter().map(|(_, e)| Arc::clone(&e.counters));
        let counters: Vec<_> = counters.collect();
        steps.push((name.to_owned(), changed, summary(&fleet)));
        counters
    };
    let all = || {
        vec![
            entry("daemon-1", "daemon", 1),
            entry("decode-1", "decode", 2),
            entry("diary", "service", 3),
        ]
    };
    step("engine not described", all(), &descriptions);
    descriptions.insert("127.0.0.1:2".into(), description(Role::Decode));
    let before = step("engine described", all(), &descriptions);
    let after = step("same list again", all(), &descriptions);
    assert!(before.iter().zip(&after).all(|(a, b)| Arc::ptr_eq(a, b)));
    for counters in &after {
        counters.set_draining(true);
    }
    step("own reports say draining", all(), &descriptions);
    step("empty list", vec![], &descriptions);
    step("absent once", all()[..2].to_vec(), &descriptions);
    step("absent twice", all()[..2].to_vec(), &descriptions);
    let mut moved = all();
    moved[1].address = "127.0.0.1:9".into();
    step("new address under the same name", moved, &descriptions);
    assert_yaml_snapshot!(steps);
}

#[tokio::test]
async fn the_last_host_list_is_kept_in_an_outage() {
    let settings = PlatformSettings {
        hosts: vec![entry("daemon-1", "daemon", 1)],
        ..PlatformSettings::default()
    };
    let fake = FakePlatform::start(settings).await.unwrap();
    let client = PlatformClient::new(&fake.url(), CALL_TIMEOUT).unwrap();
    let (mut board, writers) = Blackboard::new();
    let rng = SmallRng::seed_from_u64(1);
    let clock = MonoClock::start();
    let controller = HostController::new(client, clock, INTERVAL, rng, writers.hosts);
    let running = tokio::spawn(controller.run());
    board.hosts.changed().await;
    fake.set_outage(Outage::Error);
    while fake.observed().refused < 2 {
        tokio::time::sleep(INTERVAL).await;
    }
    let kept: HostList = HostList::clone(&board.hosts.load());
    fake.add_host(entry("daemon-2", "daemon", 2));
    fake.set_outage(Outage::None);
    while board.hosts.load().daemons.len() < 2 {
        board.hosts.changed().await;
    }
    running.abort();
    let names = |list: &HostList| list.daemons.iter().map(|e| e.name.clone()).collect();
    let seen: Vec<Vec<String>> = vec![names(&kept), names(&board.hosts.load())];
    assert_yaml_snapshot!(seen);
}

#[tokio::test]
async fn engines_are_described_drained_and_removed() {
    let engine = EngineSettings::builder(Role::Decode).build();
    let engine = FakeEngine::start(engine).await.unwrap();
    let mut listed = entry("decode-1", "decode", 0);
    listed.address = engine.address().to_string();
    let settings = PlatformSettings {
        hosts: vec![listed],
        ..PlatformSettings::default()
    };
    let platform = FakePlatform::start(settings).await.unwrap();
    let client = PlatformClient::new(&platform.url(), CALL_TIMEOUT).unwrap();
    let (mut board, writers) = Blackboard::new();
    let clock = MonoClock::start();
    let rng = SmallRng::seed_from_u64(1);
    let hosts = HostController::new(client, clock, INTERVAL, rng, writers.hosts);
    let client = EngineClient::new(http_client(CALL_TIMEOUT).unwrap(), Counter::default());
    let listed = board.hosts.clone();
    let fleet = FleetController::new(client, clock, SERVICE_SLOTS, listed, writers.fleet);
    tokio::spawn(hosts.run());
    tokio::spawn(fleet.run());
    board.fleet.changed().await;
    let described = board.fleet.snapshot();
    platform.set_leaving("decode-1");
    board.fleet.changed().await;
    let draining = board.fleet.snapshot();
    platform.remove_host("decode-1");
    platform.add_host(entry("daemon-1", "daemon", 1));
    board.fleet.changed().await;
    let removed = board.fleet.snapshot();
    let (_, found) = described.endpoints.iter().next().unwrap();
    let found = (
        found.role,
        found.loaded.models.clone(),
        found.pieces,
        found.slots,
    );
    assert_yaml_snapshot!((
        found,
        summary(&described),
        summary(&draining),
        summary(&removed)
    ));
}
