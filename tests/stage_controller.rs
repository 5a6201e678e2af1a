//! Engines are ordered once the fleet is known, not while it is being listed.

use {
    crate::listed::listed,
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

fn engine(number: usize) -> (ListedEndpoint, Description) {
    let role = if number < 5 {
        Role::Decode
    } else {
        Role::Prefill
    };
    listed(&format!("e{number}"), "models", role)
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
        let engines: Vec<_> = (0..count).map(engine).collect();
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
