//! Placement of streams of several priorities and organisations on a full pool.

use {
    crate::{
        ledger::placement_request,
        listed::{listed, publish_engines},
    },
    insta::assert_yaml_snapshot,
    lentillead::{
        board::{Blackboard, Role, Tick},
        control::{AllocationController, AllocationHandle},
        decide::{Ledger, PlacementTurns, WaitBudget, WaitingPlacement},
        port::{
            ActivePlacement, MonoClock, PlacementEnd, PlacementOutcome, PlacementRequest, RunEnd,
        },
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{collections::HashMap, time::Duration},
    tokio::{
        task::JoinSet,
        time::{Instant, sleep},
    },
};

/// Length of a run.
const RUN: Duration = Duration::from_secs(10);

/// Time that a stream runs. With the six slots of the one engine, 20 streams a second fit.
const STREAM_TIME: Duration = Duration::from_millis(300);

/// Streams that are sent at random times of a run.
#[derive(Clone, Copy)]
struct Load {
    priority: u8,
    target_ms: u64,
    organisation: Option<u64>,
    per_second: u64,
}

/// Number of streams of a load that were placed, and of all.
#[derive(Clone, Copy)]
struct Served {
    placed: u64,
    sent: u64,
}

/// A waiting request that is only ordered.
struct Waits(PlacementRequest, Tick);

impl WaitingPlacement for Waits {
    fn request(&self) -> &PlacementRequest {
        &self.0
    }

    fn arrived(&self) -> Tick {
        self.1
    }
}

impl Load {
    fn new(priority: u8, target_ms: u64, per_second: u64) -> Self {
        Self {
            priority,
            target_ms,
            organisation: None,
            per_second,
        }
    }

    fn request(&self, id: u64, waited: Duration) -> PlacementRequest {
        PlacementRequest {
            waited,
            target: Duration::from_millis(self.target_ms),
            priority: self.priority,
            organisation: self.organisation,
            remote_prefill: false,
            ..placement_request(id, 100, 100)
        }
    }

    /// Sends one stream, again while it waits as long as it may; returns whether it was placed.
    async fn send(self, handle: AllocationHandle, number: u64) -> bool {
        let start = Instant::now();
        let budget = WaitBudget::of(Duration::from_millis(self.target_ms)).placement;
        for attempt in 0.. {
            let id = number * 100 + attempt;
            let outcome = handle.place(self.request(id, start.elapsed())).await;
            if let PlacementOutcome::Placed { decode, .. } = outcome.outcome {
                sleep(STREAM_TIME).await;
                handle.end(ended(id, decode));
                return true;
            }
            if start.elapsed() >= budget {
                return false;
            }
        }
        false
    }
}

fn ended(id: u64, engine: String) -> PlacementEnd {
    PlacementEnd {
        id,
        pool: "models".to_owned(),
        engine,
        causes: Vec::new(),
        run: RunEnd::Answered,
        ran_for: STREAM_TIME,
        complete: false,
        generated_tokens: 0,
        decode_time: Duration::ZERO,
        prefill_time: Duration::ZERO,
    }
}

/// Sends `loads` to a pool of one engine for `RUN`.
async fn run(loads: &[Load]) -> Vec<Served> {
    let (board, mut writers) = Blackboard::new();
    publish_engines(&mut writers, &[listed("d1", "models", Role::Decode)]);
    let (controller, handle) = AllocationController::new(board, MonoClock::start());
    let controller = tokio::spawn(controller.run());
    let mut rng = SmallRng::seed_from_u64(1);
    let mut streams = JoinSet::new();
    let mut number = 0;
    let mut served: Vec<_> = loads
        .iter()
        .map(|load| Served {
            placed: 0,
            sent: load.per_second * RUN.as_secs(),
        })
        .collect();
    for (index, load) in loads.iter().copied().enumerate() {
        for _ in 0..served[index].sent {
            number += 1;
            let sent = load.send(handle.clone(), number);
            let after = RUN.mul_f64(rng.random());
            streams.spawn(async move {
                sleep(after).await;
                (index, sent.await)
            });
        }
    }
    while let Some(ended) = streams.join_next().await {
        let (index, placed) = ended.unwrap();
        served[index].placed += u64::from(placed);
    }
    drop(handle);
    controller.await.unwrap();
    served
}

impl Served {
    /// Returns how many of the streams were placed, in words. The exact number varies by a few between runs, as the
    /// controller takes a message or a timer first at random if both are ready.
    fn part(&self) -> &'static str {
        match self.placed * 100 / self.sent {
            65.. => "most",
            40.. => "half",
            5.. => "part",
            _ => "hardly any",
        }
    }
}

/// Returns whether each load had at least a quarter of the share of all that were placed.
fn nobody_starves(served: &[Served]) -> bool {
    let placed: u64 = served.iter().map(|load| load.placed).sum();
    let sent: u64 = served.iter().map(|load| load.sent).sum();
    let owed = |load: &Served| load.placed * sent * 4 >= load.sent * placed;
    served.iter().all(owed)
}

/// Guards against an order that lets kinds with long targets crowd out the urgent ones, or lets the urgent ones
/// crowd out all others.
#[tokio::test(start_paused = true)]
async fn urgent_streams_go_first_on_a_full_pool_and_others_keep_a_share() {
    let cases = [(6, 6), (10, 20), (40, 2), (40, 40), (2, 60)];
    let mut seen = Vec::new();
    for (urgent, other) in cases {
        for priority in [1, 0] {
            let loads = [Load::new(priority, 800, urgent), Load::new(1, 2_000, other)];
            let served = run(&loads).await;
            let kept = nobody_starves(&served);
            let served = served.iter().map(Served::part);
            let order = if priority == 0 {
                "by priority"
            } else {
                "by arrival"
            };
            seen.push((order, served.collect::<Vec<_>>(), kept));
            assert!(kept || priority == 1, "a kind starves");
        }
    }
    assert_yaml_snapshot!(seen);
}

/// Guards against the starvation of one of several priorities, of which only the most urgent one has places of
/// its own.
#[tokio::test(start_paused = true)]
async fn none_of_four_priorities_starves() {
    let mut seen = Vec::new();
    for rates in [[40, 10, 10, 10], [10, 10, 10, 40], [20, 20, 20, 20]] {
        for targets in [[800, 800, 2_000, 4_000], [4_000, 2_000, 800, 800]] {
            let priorities = [0, 1, 5, 255];
            let loads = (0..4).map(|i| Load::new(priorities[i], targets[i], rates[i]));
            let served = run(&loads.collect::<Vec<_>>()).await;
            let kept = nobody_starves(&served);
            let served = served.iter().map(Served::part);
            seen.push((targets, served.collect::<Vec<_>>(), kept));
        }
    }
    assert_yaml_snapshot!(seen);
}

/// Guards small organisations against one that sends many times its usual load, and that one against
/// starvation.
#[tokio::test(start_paused = true)]
async fn an_organisation_with_many_running_streams_yields_to_others() {
    let mut seen = Vec::new();
    for rates in [[3, 3, 3, 3], [60, 3, 3, 3], [60, 8, 8, 8], [60, 60, 3, 3]] {
        for known in [false, true] {
            let organisation = |i| known.then_some(i as u64);
            let loads = (0..4).map(|i| Load {
                organisation: organisation(i),
                ..Load::new(1, 800, rates[i])
            });
            let served = run(&loads.collect::<Vec<_>>()).await;
            let kept = nobody_starves(&served);
            let served = served.iter().map(Served::part);
            let order = if known { "by use" } else { "by arrival" };
            seen.push((order, served.collect::<Vec<_>>(), kept));
            assert!(kept || !known, "an organisation starves");
        }
    }
    assert_yaml_snapshot!(seen);
}

/// Guards the urgent streams of a small organisation, and everybody else beside them, against a large organisation
/// with streams of both priorities.
#[tokio::test(start_paused = true)]
async fn priority_goes_before_use_and_no_organisation_starves() {
    let mut seen = Vec::new();
    for rates in [[20, 20, 4, 4], [4, 40, 4, 4], [40, 4, 4, 4]] {
        let groups = [(0, 1), (1, 1), (0, 2), (1, 2)];
        let loads = (0..4).map(|i| Load {
            organisation: Some(groups[i].1),
            ..Load::new(groups[i].0, 1_000, rates[i])
        });
        let served = run(&loads.collect::<Vec<_>>()).await;
        let kept = nobody_starves(&served);
        let served = served.iter().map(Served::part);
        seen.push((served.collect::<Vec<_>>(), kept));
        assert!(kept, "a group starves");
    }
    assert_yaml_snapshot!(seen);
}

/// Guards a daemon that begins to place streams against ignoring what organisations have running.
#[test]
fn running_streams_are_counted_by_organisation_also_if_another_daemon_placed_them() {
    let engines = [listed("d1", "models", Role::Decode)];
    let (board, mut writers) = Blackboard::new();
    publish_engines(&mut writers, &engines);
    let fleet = board.fleet.snapshot();
    let mut ledger = Ledger::default();
    ledger.sync(fleet.endpoints.iter().map(|(_, e)| (e, true)), 100_000);
    let request = |id, organisation| PlacementRequest {
        organisation,
        remote_prefill: false,
        ..placement_request(id, 100, 100)
    };
    for (id, organisation) in [(1, None), (2, Some(7)), (3, Some(7))] {
        ledger.place(&request(id, organisation), at(0)).unwrap();
    }
    let elsewhere = ActivePlacement {
        request: request(4, Some(9)),
        decode: "d1".to_owned(),
        running_for: Duration::ZERO,
    };
    ledger.add_remote(&elsewhere, at(10));
    let before = ledger.running();
    ledger.end(&ended(3, "d1".to_owned()), at(20));
    let text = |running| format!("{running:?}");
    assert_yaml_snapshot!([text(before), text(ledger.running())]);
}

fn at(ms: u64) -> Tick {
    Tick(ms * 1_000)
}

/// Guards pools with one priority against any change of their order, also beside another pool, and after several
/// priorities had waited.
#[test]
fn requests_of_the_same_priority_are_placed_by_lateness_and_arrival() {
    let mut rng = SmallRng::seed_from_u64(2);
    let mut turns = PlacementTurns::default();
    let mut contested = 0;
    for _ in 0..500 {
        let mut waiting = Vec::new();
        let mixed = rng.random_range(0..3);
        for id in 0..rng.random_range(1..30) {
            let pool = rng.random_range(0..3);
            let above = if pool == mixed {
                rng.random_range(0..2)
            } else {
                0
            };
            let load = Load::new(pool + above, rng.random_range(100..5_000), 0);
            let request = PlacementRequest {
                late: rng.random(),
                organisation: rng.random_range(0..5_u64).checked_sub(1),
                pool: format!("pool-{pool}"),
                ..load.request(id, Duration::ZERO)
            };
            waiting.push(Waits(request, at(rng.random_range(0..1_000))));
        }
        turns.order(&mut waiting, &HashMap::new(), at(1_500));
        for pool in (0..3).filter(|pool| *pool != mixed) {
            let pool = format!("pool-{pool}");
            let seen: Vec<_> = waiting.iter().filter(|w| w.0.pool == pool).collect();
            let places = |waits: &&Waits| (waits.0.late, waits.1);
            assert!(seen.is_sorted_by_key(places));
        }
        let others = waiting[1..].iter();
        contested += u32::from(turns.record(&waiting[0], others, at(1_500)));
    }
    assert!(contested > 50, "few placements were contested");
}

/// Guards the order itself: the group to which a placement is due goes first with the request that has spent the
/// largest share of its wait, and late requests come last.
#[test]
fn less_urgent_requests_get_their_part_of_the_contested_placements() {
    let mut turns = PlacementTurns::default();
    let mut waiting = Vec::new();
    for id in 0..30 {
        let waits = Load::new(0, 800, 0).request(id, Duration::ZERO);
        waiting.push(Waits(waits, at(890 + id)));
    }
    for (id, target, arrived) in [
        (40, 1_000, 840),
        (41, 300, 830),
        (42, 600, 700),
        (43, 900, 650),
    ] {
        let waits = Load::new(1, target, 0).request(id, Duration::ZERO);
        waiting.push(Waits(waits, at(arrived)));
    }
    let late = PlacementRequest {
        late: true,
        ..Load::new(0, 800, 0).request(50, Duration::ZERO)
    };
    waiting.push(Waits(late, at(0)));
    let mut seen = Vec::new();
    while !waiting.is_empty() {
        turns.order(&mut waiting, &HashMap::new(), at(920));
        let placed = waiting.remove(0);
        let contested = turns.record(&placed, waiting.iter(), at(920));
        seen.push(format!(
            "{}{}",
            placed.0.id,
            if contested { "" } else { " alone" }
        ));
    }
    assert_yaml_snapshot!(seen.join(", "));
}
