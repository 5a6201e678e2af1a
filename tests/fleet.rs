//! Hosts and endpoints from the platform's lagging list.

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

const INTERVAL: Duration = Duration::from_millis(5);
const TIMEOUT: Duration = Duration::from_secs(20);
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

fn show(fleet: &Fleet) -> Vec<String> {
    let show = |endpoint: &lentillead::board::Endpoint| {
        let pool = fleet.pools.get(endpoint.pool).unwrap();
        let leaving = endpoint.draining;
        format!("{} in {} leaving {leaving}", endpoint.name, pool.name)
    };
    fleet.endpoints.iter().map(|(_, e)| show(e)).collect()
}

/// What one list after another does to the fleet.
#[test]
fn fleet_follows_the_list() {
    let mut roster = HostRoster::default();
    let mut fleet = Fleet::default();
    let mut descriptions = Descriptions::new();
    let mut steps = Vec::new();
    let mut step = |name: &str, list: Vec<HostEntry>, descriptions: &Descriptions| {
        roster.update(list);
        let list = roster.list(Tick(1));
        let changed = merge_fleet(&mut fleet, &list, descriptions, SERVICE_SLOTS);
        let slots = fleet.endpoints.iter().map(|(_, e)| Arc::clone(&e.counters));
        let slots: Vec<_> = slots.collect();
        steps.push((name.to_owned(), changed, show(&fleet)));
        slots
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
    let after = step("the same again", all(), &descriptions);
    assert!(before.iter().zip(&after).all(|(a, b)| Arc::ptr_eq(a, b)));
    for slot in &after {
        slot.set_draining(true);
    }
    step("own reports say leaving", all(), &descriptions);
    step("empty list", vec![], &descriptions);
    step("absent once", all()[..2].to_vec(), &descriptions);
    step("absent twice", all()[..2].to_vec(), &descriptions);
    let mut moved = all();
    moved[1].address = "127.0.0.1:9".into();
    step("another process of that name", moved, &descriptions);
    assert_yaml_snapshot!(steps);
}

#[tokio::test]
async fn last_list_stays_in_an_outage() {
    let settings = PlatformSettings {
        hosts: vec![entry("daemon-1", "daemon", 1)],
        ..PlatformSettings::default()
    };
    let fake = FakePlatform::start(settings).await.unwrap();
    let client = PlatformClient::new(&fake.url(), TIMEOUT).unwrap();
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
async fn engines_are_described_and_leave() {
    let engine = EngineSettings::builder(Role::Decode).build();
    let engine = FakeEngine::start(engine).await.unwrap();
    let mut listed = entry("decode-1", "decode", 0);
    listed.address = engine.address().to_string();
    let settings = PlatformSettings {
        hosts: vec![listed],
        ..PlatformSettings::default()
    };
    let platform = FakePlatform::start(settings).await.unwrap();
    let client = PlatformClient::new(&platform.url(), TIMEOUT).unwrap();
    let (mut board, writers) = Blackboard::new();
    let clock = MonoClock::start();
    let rng = SmallRng::seed_from_u64(1);
    let hosts = HostController::new(client, clock, INTERVAL, rng, writers.hosts);
    let client = EngineClient::new(http_client(TIMEOUT).unwrap(), Counter::default());
    let listed = board.hosts.clone();
    let fleet = FleetController::new(client, clock, SERVICE_SLOTS, listed, writers.fleet);
    tokio::spawn(hosts.run());
    tokio::spawn(fleet.run());
    board.fleet.changed().await;
    let described = board.fleet.snapshot();
    platform.set_leaving("decode-1");
    board.fleet.changed().await;
    let leaving = board.fleet.snapshot();
    platform.remove_host("decode-1");
    platform.add_host(entry("daemon-1", "daemon", 1));
    board.fleet.changed().await;
    let gone = board.fleet.snapshot();
    let (_, found) = described.endpoints.iter().next().unwrap();
    let found = (
        found.role,
        found.loaded.models.clone(),
        found.pieces,
        found.slots,
    );
    assert_yaml_snapshot!((found, show(&described), show(&leaving), show(&gone)));
}
