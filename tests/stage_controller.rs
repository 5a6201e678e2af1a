//! Engines are ordered once the fleet is known, not while it is being listed.

use {
    insta::assert_yaml_snapshot,
    lentillead::{
        board::{Blackboard, ListedEndpoint, Role},
        control::{StageController, StageParts},
        decide::merge_described,
        fake::MemoryPlatform,
        port::{Description, EngineState, MonoClock, RoleOrder, RoleOrders, UpstreamError},
    },
    rand::{SeedableRng, rngs::SmallRng},
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::time::{Instant, sleep},
};

/// Engines that note their orders.
#[derive(Clone, Debug, Default)]
struct Noted(Arc<Mutex<Vec<String>>>);

impl RoleOrders for Noted {
    async fn state(&self, _: &str, _: &str) -> Result<EngineState, UpstreamError> {
        Ok(EngineState {
            role: Role::Service,
            busy: false,
            orders: 0,
        })
    }

    async fn order(&self, order: RoleOrder) -> Result<(), UpstreamError> {
        let told = format!("{} to {:?}", order.endpoint, order.role);
        self.0.lock().unwrap().push(told);
        Ok(())
    }
}

fn listed(number: usize) -> (ListedEndpoint, Description) {
    let role = if number < 5 {
        Role::Decode
    } else {
        Role::Prefill
    };
    let listed = ListedEndpoint {
        name: format!("e{number}"),
        role,
        address: format!("10.0.0.1:{number}"),
        zone: "zone-a".to_owned(),
        pool: "models".to_owned(),
        leaving: false,
    };
    let description = Description {
        role,
        models: BTreeMap::new(),
        adapters: Vec::new(),
        pieces: 0,
        piece_tokens: 0,
        slots: 64,
        fenced: false,
        fence: 0,
        incarnation: 0,
    };
    (listed, description)
}

#[tokio::test(start_paused = true)]
async fn no_order_is_given_while_engines_are_being_listed() {
    let (board, mut writers) = Blackboard::new();
    let orders = Noted::default();
    let parts = StageParts {
        store: MemoryPlatform::default(),
        orders: orders.clone(),
        clock: MonoClock::start(),
        holder: "front-1".to_owned(),
        percent: 22,
        fleet: board.fleet.clone(),
        rng: SmallRng::seed_from_u64(3),
    };
    tokio::spawn(StageController::new(parts).run());
    let start = Instant::now();
    let mut seen = Vec::new();
    for count in 2..=9 {
        let engines: Vec<_> = (0..count).map(listed).collect();
        let described: Vec<_> = engines.iter().map(|(l, d)| (l, d)).collect();
        writers
            .fleet
            .update(|fleet| merge_described(fleet, &described));
        sleep(Duration::from_millis(400)).await;
    }
    seen.push((
        start.elapsed().as_millis(),
        orders.0.lock().unwrap().clone(),
    ));
    sleep(Duration::from_secs(3)).await;
    seen.push((
        start.elapsed().as_millis(),
        orders.0.lock().unwrap().clone(),
    ));
    assert_yaml_snapshot!(seen);
}
