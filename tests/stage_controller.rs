//! Role orders of the stage controller: they wait until the fleet is listed completely, and any
//! daemon can replace an engine that is removed.

use {
    crate::listed::listed,
    insta::assert_yaml_snapshot,
    lentillead::{
        board::{Blackboard, Host, HostState, ListedEndpoint, Role, Tick, Writers},
        control::{StageController, StageParts},
        decide::merge_described,
        fake::MemoryPlatform,
        port::{Description, EngineState, MonoClock, RoleOrder, RoleOrders, UpstreamError},
    },
    std::{
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::time::{Instant, sleep},
};

/// Engines that record the orders they get from any daemon, in order of arrival.
#[derive(Clone, Debug, Default)]
struct RecordedOrders(Arc<Mutex<Vec<String>>>);

impl RecordedOrders {
    fn recorded(&self) -> Vec<String> {
        self.0.lock().unwrap().clone()
    }
}

/// Daemons that control one fleet, each with its own board, and the engines that get their orders.
struct Site {
    writers: Vec<Writers>,
    orders: RecordedOrders,
    start: Instant,
}

impl Site {
    /// Starts `count` daemons, each with all of them as members.
    fn start(count: usize) -> Self {
        let store = MemoryPlatform::default();
        let orders = RecordedOrders::default();
        let names: Vec<_> = (0..count).map(|number| format!("front-{number}")).collect();
        let writers = names.iter().map(|own| {
            let (board, mut writers) = Blackboard::new();
            writers.members.update(|members| {
                for name in &names {
                    let key = members.hosts.insert(name, host(name));
                    if name == own {
                        members.own = key;
                    }
                }
            });
            let parts = StageParts {
                store: store.clone(),
                orders: orders.clone(),
                clock: MonoClock::start(),
                holder: own.clone(),
                prefill_percent: 22,
                fleet: board.fleet.clone(),
                members: board.members.clone(),
            };
            tokio::spawn(StageController::new(parts).run());
            writers
        });
        Self {
            writers: writers.collect(),
            orders,
            start: Instant::now(),
        }
    }

    /// Replaces the listed engines at every daemon.
    fn list(&mut self, engines: &[(ListedEndpoint, Description)]) {
        let described: Vec<_> = engines.iter().map(|(l, d)| (l, d)).collect();
        for writers in &mut self.writers {
            writers
                .fleet
                .update(|fleet| merge_described(fleet, &described));
        }
    }

    /// Milliseconds since the start, and the orders until now.
    fn seen(&self) -> (u128, Vec<String>) {
        (self.start.elapsed().as_millis(), self.orders.recorded())
    }
}

impl RoleOrders for RecordedOrders {
    async fn state(&self, _: &str, _: &str) -> Result<EngineState, UpstreamError> {
        Ok(EngineState {
            role: Role::Service,
            busy: false,
            accepted_orders: 0,
        })
    }

    async fn order(&self, order: RoleOrder) -> Result<(), UpstreamError> {
        let text = format!("{} to {:?}", order.endpoint, order.role);
        self.0.lock().unwrap().push(text);
        Ok(())
    }
}

fn host(name: &str) -> Host {
    Host {
        name: name.to_owned(),
        address: format!("10.0.0.9:{name}"),
        zone: "zone-a".to_owned(),
        incarnation: 1,
        refutations: 0,
        cpu_hundredths: 0,
        state: HostState::Alive,
        changed_at: Tick::default(),
    }
}

/// Engine `number`: 5 to 9 prefill, the others decode.
fn engine(number: usize) -> (ListedEndpoint, Description) {
    let role = if (5..10).contains(&number) {
        Role::Prefill
    } else {
        Role::Decode
    };
    listed(&format!("e{number}"), "models", role)
}

fn engines(numbers: &[usize]) -> Vec<(ListedEndpoint, Description)> {
    numbers.iter().map(|number| engine(*number)).collect()
}

#[tokio::test(start_paused = true)]
async fn no_order_is_sent_while_engines_are_being_listed() {
    let mut site = Site::start(1);
    for count in 2..=9 {
        site.list(&engines(&(0..count).collect::<Vec<_>>()));
        sleep(Duration::from_millis(400)).await;
    }
    let mut seen = vec![site.seen()];
    sleep(Duration::from_secs(3)).await;
    seen.push(site.seen());
    assert_yaml_snapshot!(seen);
}

#[tokio::test(start_paused = true)]
async fn a_removed_engine_is_replaced_within_seconds_by_any_daemon() {
    let mut site = Site::start(3);
    // One prefill engine too many at first, then the right number; 20 s later one is removed.
    site.list(&engines(&[0, 1, 2, 3, 4, 5, 6, 7]));
    sleep(Duration::from_secs(3)).await;
    let mut seen = vec![site.seen()];
    site.list(&engines(&[0, 1, 2, 3, 4, 5, 6]));
    sleep(Duration::from_secs(20)).await;
    seen.push(site.seen());
    site.list(&engines(&[0, 1, 2, 3, 4, 5]));
    sleep(Duration::from_secs(3)).await;
    seen.push(site.seen());
    assert_yaml_snapshot!(seen);
}

#[tokio::test(start_paused = true)]
async fn a_fleet_that_keeps_changing_gets_its_orders() {
    let mut site = Site::start(2);
    let mut seen = Vec::new();
    for turn in 0..20 {
        let mut listed = vec![0, 1, 2, 3, 4, 5, 11];
        if turn % 2 == 0 {
            listed.push(10);
        }
        site.list(&engines(&listed));
        sleep(Duration::from_millis(500)).await;
        seen.push(site.seen());
    }
    let first = seen.iter().find(|(_, orders)| !orders.is_empty());
    assert_yaml_snapshot!(first);
}

#[tokio::test(start_paused = true)]
async fn surplus_prefill_engines_are_kept_for_a_while_in_case_others_are_removed() {
    let mut site = Site::start(1);
    site.list(&engines(&[0, 1, 2, 3, 5, 6]));
    sleep(Duration::from_secs(20)).await;
    site.list(&engines(&[0, 1, 2, 3, 5, 6, 7]));
    sleep(Duration::from_secs(6)).await;
    site.list(&engines(&[0, 1, 2, 3, 5, 7]));
    sleep(Duration::from_secs(20)).await;
    let mut seen = vec![site.seen()];
    site.list(&engines(&[0, 1, 2, 3, 5, 6, 7]));
    sleep(Duration::from_secs(12)).await;
    seen.push(site.seen());
    assert_yaml_snapshot!(seen);
}

#[tokio::test(start_paused = true)]
async fn an_ordered_engine_is_avoided_until_its_role_has_changed() {
    let mut site = Site::start(1);
    let avoided = |site: &Site| {
        let fleet = site.writers[0].fleet.load();
        let key = fleet.endpoints.find("e7").unwrap();
        let now = Tick(site.start.elapsed().as_micros() as u64);
        fleet
            .endpoints
            .get(key)
            .unwrap()
            .counters
            .traffic
            .is_avoided(now)
    };
    site.list(&engines(&[0, 1, 2, 3, 4, 5, 6, 7]));
    let mut seen = vec![("listed", avoided(&site))];
    sleep(Duration::from_secs(2)).await;
    seen.push(("ordered", avoided(&site)));
    let mut changed = engines(&[0, 1, 2, 3, 4, 5, 6, 7]);
    changed[7].0.role = Role::Decode;
    changed[7].1.role = Role::Decode;
    site.list(&changed);
    seen.push(("changed", avoided(&site)));
    assert_yaml_snapshot!((seen, site.seen()));
}
