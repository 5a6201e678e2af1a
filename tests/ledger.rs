//! Placement of streams by the ledger: memory planned until the end of each response, slots, and
//! queues of prompts.

use {
    insta::assert_yaml_snapshot,
    lentillead::{
        board::{Endpoint, EndpointCounters, LoadedModels, Role, Tick},
        decide::{Ledger, Placement},
        key::PoolKey,
        port::{ActivePlacement, PlacementEnd, PlacementRequest, RunEnd},
    },
    std::{sync::Arc, time::Duration},
};

/// Memory of one engine, in tokens.
const MEMORY: u64 = 20_000;

/// Engine with three slots.
pub fn engine(name: &str, role: Role) -> Endpoint {
    Endpoint {
        name: name.to_owned(),
        address: format!("10.0.0.1:{}", name.len()),
        zone: "zone-a".to_owned(),
        pool: PoolKey::default(),
        role,
        loaded: LoadedModels::default(),
        pieces: 0,
        piece_tokens: 0,
        slots: 3,
        fenced: false,
        draining: false,
        counters: Arc::<EndpointCounters>::default(),
    }
}

/// Request for a placement of a stream with a target of 900 ms.
pub fn placement_request(id: u64, prompt_tokens: u64, output_tokens: u64) -> PlacementRequest {
    PlacementRequest {
        id,
        pool: "models".to_owned(),
        prompt_tokens,
        output_tokens,
        late: false,
        waited: Duration::ZERO,
        target: Duration::from_millis(900),
        priority: 0,
        organisation: None,
        remote_prefill: true,
        avoid: Vec::new(),
        unreachable: Vec::new(),
        causes: Vec::new(),
        limits: Vec::new(),
    }
}

fn ledger(engines: &[(&str, Role)]) -> Ledger {
    let engines: Vec<_> = engines
        .iter()
        .map(|(name, role)| engine(name, *role))
        .collect();
    let mut ledger = Ledger::default();
    ledger.sync(engines.iter().map(|engine| (engine, true)), MEMORY);
    ledger
}

/// The same request with a target time that no queue exceeds.
fn patient(request: PlacementRequest) -> PlacementRequest {
    PlacementRequest {
        target: Duration::from_mins(1),
        ..request
    }
}

/// Names the decode engine of a placement and its prefill engine, if it has one.
fn describe(placed: Option<Placement>) -> String {
    placed.map_or("waits".to_owned(), |placed| {
        let prefill = placed.prefill.unwrap_or("local prefill".to_owned());
        format!("{} after {prefill}", placed.decode)
    })
}

/// Time of the test at `ms` milliseconds.
pub fn at(ms: u64) -> Tick {
    Tick(1_000_000 + ms * 1_000)
}

#[test]
fn memory_is_planned_until_the_end_of_each_response() {
    let mut ledger = ledger(&[("d1", Role::Decode), ("p1", Role::Prefill)]);
    let seen = vec![
        (
            "first",
            describe(ledger.place(&placement_request(1, 5_000, 5_000), at(0))),
        ),
        (
            "second at once",
            describe(ledger.place(&placement_request(2, 5_000, 5_000), at(100))),
        ),
        (
            "second when the first is expected to end",
            describe(ledger.place(&placement_request(2, 5_000, 5_000), at(3_400))),
        ),
        (
            "short response beside the first",
            describe(ledger.place(&placement_request(3, 2_000, 100), at(3_401))),
        ),
        ("second when the first has ended", {
            ledger.end(&prefilled_in(1, Duration::ZERO), at(3_500));
            describe(ledger.place(&placement_request(2, 5_000, 5_000), at(3_500)))
        }),
        (
            "larger than an engine",
            describe(ledger.place(&placement_request(4, 19_000, 5_000), at(60_000))),
        ),
    ];
    assert_yaml_snapshot!(seen);
}

#[test]
fn full_and_avoided_engines_are_not_chosen() {
    let mut ledger = ledger(&[("d1", Role::Decode), ("d2", Role::Decode)]);
    let mut seen = Vec::new();
    for id in 0..7 {
        seen.push((
            format!("small {id}"),
            describe(ledger.place(&placement_request(id, 100, 100), at(id))),
        ));
    }
    let mut avoiding = placement_request(9, 100, 100);
    avoiding.avoid = vec!["d1".to_owned(), "d2".to_owned()];
    seen.push((
        "both avoided".to_owned(),
        describe(ledger.place(&avoiding, at(5_000))),
    ));
    assert_yaml_snapshot!(seen);
}

#[test]
fn requests_wait_for_a_long_prefill_queue_unless_engines_have_spare_memory() {
    // Prompts of 5,000 tokens take 100 ms of prefill; of 900 ms, a queue may take 360 ms.
    let cases = [
        ("queue of 100 ms", 5_000, 1_000),
        ("queue of 200 ms, memory free", 10_000, 1_000),
        ("queue of 200 ms, memory in use", 10_000, 9_000),
        ("queue of 400 ms, memory in use", 20_000, 8_000),
    ];
    let mut seen = Vec::new();
    for (name, queued, prompt) in cases {
        let engines = [
            ("d1", Role::Decode),
            ("d2", Role::Decode),
            ("p1", Role::Prefill),
        ];
        let mut ledger = ledger(&engines);
        for id in 0..queued / 5_000 {
            ledger.place(&patient(placement_request(id, 5_000, 10)), at(0));
        }
        let mut request = placement_request(10, prompt, 10);
        request.avoid = vec!["d2".to_owned()];
        seen.push((name, describe(ledger.place(&request, at(0)))));
        request.target = Duration::from_secs(9);
        request.id = 11;
    }
    assert_yaml_snapshot!(seen);
}

#[test]
fn a_prefill_that_was_faster_than_assumed_shortens_the_queue() {
    let mut ledger = ledger(&[("d1", Role::Decode), ("p1", Role::Prefill)]);
    ledger.place(&patient(placement_request(1, 10_000, 10)), at(0));
    ledger.place(&patient(placement_request(2, 8_500, 10)), at(0));
    let waiting = describe(ledger.place(&placement_request(3, 400, 10), at(1)));
    let end = PlacementEnd {
        id: 1,
        pool: "models".to_owned(),
        engine: String::new(),
        causes: Vec::new(),
        run: RunEnd::Unknown,
        ran_for: Duration::ZERO,
        complete: false,
        generated_tokens: 0,
        decode_time: Duration::ZERO,
        prefill_time: Duration::from_millis(100),
    };
    ledger.end(&end, at(2));
    let after = describe(ledger.place(&placement_request(3, 400, 10), at(2)));
    assert_yaml_snapshot!((waiting, after));
}

#[test]
fn memory_is_planned_by_the_lengths_of_earlier_outputs() {
    let cases = [
        ("no outputs known", vec![]),
        ("half of the expected length", vec![0.5]),
        ("all as expected", vec![1.0]),
        (
            "a quarter, at times twice as long",
            vec![0.25, 0.25, 0.25, 2.0],
        ),
    ];
    let mut seen = Vec::new();
    for (name, ratios) in cases {
        let mut ledger = ledger(&[("d1", Role::Decode)]);
        for (id, ratio) in (1_000..1_200).zip(ratios.iter().cycle()) {
            ledger.place(&placement_request(id, 100, 4_000), at(id * 10));
            let end = PlacementEnd {
                run: RunEnd::Answered,
                ran_for: Duration::ZERO,
                complete: true,
                generated_tokens: (4_000.0 * ratio) as u64,
                ..prefilled_in(id, Duration::ZERO)
            };
            ledger.end(&end, at(id * 10));
        }
        let placed: Vec<_> = (0..3)
            .filter_map(|id| ledger.place(&placement_request(id, 4_000, 4_000), at(20_000)))
            .map(|placed| format!("{:.2}", placed.figures.peak))
            .collect();
        seen.push((name, placed));
    }
    assert_yaml_snapshot!(seen);
}

#[test]
fn an_unconfirmed_engine_keeps_its_plan_and_gets_no_request() {
    let engine = engine("d1", Role::Decode);
    let mut ledger = ledger(&[("d1", Role::Decode)]);
    let mut seen = vec![(
        "first",
        describe(ledger.place(&placement_request(1, 6_000, 6_000), at(0))),
    )];
    ledger.sync([(&engine, false)].into_iter(), MEMORY);
    seen.push((
        "small, unconfirmed",
        describe(ledger.place(&placement_request(2, 100, 100), at(100))),
    ));
    ledger.sync([(&engine, true)].into_iter(), MEMORY);
    seen.push((
        "large, beside the first",
        describe(ledger.place(&placement_request(3, 6_000, 6_000), at(200))),
    ));
    seen.push((
        "small, beside the first",
        describe(ledger.place(&placement_request(2, 100, 100), at(200))),
    ));
    assert_yaml_snapshot!((seen, ledger.len()));
}

#[test]
fn remote_placements_are_added_once_and_expire() {
    let mut ledger = ledger(&[("d1", Role::Decode)]);
    let active = |id, decode: &str| ActivePlacement {
        request: placement_request(id, 6_000, 6_000),
        decode: decode.to_owned(),
        running_for: Duration::from_millis(500),
    };
    let mut sizes = Vec::new();
    for (id, decode) in [(1, "d1"), (1, "d1"), (2, "gone")] {
        ledger.add_remote(&active(id, decode), at(1_000));
        sizes.push(ledger.len());
    }
    let beside = describe(ledger.place(&placement_request(3, 6_000, 6_000), at(1_000)));
    let later = describe(ledger.place(&placement_request(3, 6_000, 6_000), at(20_000)));
    assert_yaml_snapshot!((sizes, beside, later, ledger.len()));
}

/// Places `id` at `ms`, ends it after a prefill of `prefill_time`, and returns the prefill rate
/// that the next placement uses.
fn rate_after(ledger: &mut Ledger, id: u64, ms: u64, prefill_time: Duration) -> String {
    ledger
        .place(&placement_request(id, 5_000, 10), at(ms))
        .unwrap();
    ledger.end(&prefilled_in(id, prefill_time), at(ms + 800));
    let next = ledger.place(&placement_request(id + 1_000, 100, 10), at(ms + 900));
    ledger.end(&prefilled_in(id + 1_000, Duration::ZERO), at(ms + 950));
    format!("{:.1} tokens/ms", next.unwrap().figures.prefill_rate)
}

/// End of the placement of `id`, with its prefill time and no generated tokens.
fn prefilled_in(id: u64, prefill_time: Duration) -> PlacementEnd {
    PlacementEnd {
        id,
        pool: "models".to_owned(),
        engine: String::new(),
        causes: Vec::new(),
        run: RunEnd::Unknown,
        ran_for: Duration::ZERO,
        complete: false,
        generated_tokens: 0,
        decode_time: Duration::ZERO,
        prefill_time,
    }
}

#[test]
fn a_cached_prompt_hardly_changes_the_prefill_rate() {
    let mut ledger = ledger(&[("d1", Role::Decode), ("p1", Role::Prefill)]);
    let mut seen = Vec::new();
    for (id, ms) in [(1, 95), (2, 95), (3, 4), (4, 95), (5, 95), (6, 95), (7, 95)] {
        let rate = rate_after(&mut ledger, id, id * 2_000, Duration::from_millis(ms));
        seen.push((format!("prefilled in {ms} ms"), rate));
    }
    assert_yaml_snapshot!(seen);
}

#[test]
fn queued_prompts_hardly_lower_the_prefill_rate() {
    let mut ledger = ledger(&[
        ("d1", Role::Decode),
        ("d2", Role::Decode),
        ("d3", Role::Decode),
        ("p1", Role::Prefill),
    ]);
    // Each prompt arrives as another one has been prefilled, and finds two in the queue before it.
    for id in 0..2 {
        ledger.place(&patient(placement_request(id, 5_000, 10)), at(0));
    }
    for id in 2..60 {
        ledger.place(
            &patient(placement_request(id, 5_000, 10)),
            at(id * 100 - 190),
        );
        if let Some(ended) = id.checked_sub(4) {
            let ms = [100, 200].get(ended as usize).copied().unwrap_or(290);
            let end = prefilled_in(ended, Duration::from_millis(ms));
            ledger.end(&end, at(id * 100 - 190));
        }
    }
    let next = ledger
        .place(&placement_request(999, 100, 10), at(60_000))
        .unwrap();
    assert_yaml_snapshot!(format!("{:.1}", next.figures.prefill_rate));
}

#[test]
fn a_slow_prefill_engine_gets_fewer_prompts() {
    let mut ledger = ledger(&[
        ("d1", Role::Decode),
        ("d2", Role::Decode),
        ("d3", Role::Decode),
        ("d4", Role::Decode),
        ("fast", Role::Prefill),
        ("slow", Role::Prefill),
    ]);
    let mut counts = std::collections::BTreeMap::<String, u32>::new();
    let mut times = Vec::new();
    for id in 0..60 {
        let placed = ledger
            .place(&patient(placement_request(id, 5_000, 10)), at(id * 70))
            .unwrap();
        let engine = placed.prefill.unwrap_or("local prefill".to_owned());
        times.push(Duration::from_millis(if engine == "slow" {
            400
        } else {
            100
        }));
        *counts.entry(engine).or_default() += 1;
        if id >= 10 {
            let end = prefilled_in(id - 10, times[id as usize - 10]);
            ledger.end(&end, at(id * 70));
        }
    }
    assert_yaml_snapshot!(counts);
}

#[test]
fn a_low_prefill_rate_rises_although_the_queue_never_looks_empty() {
    let mut ledger = ledger(&[
        ("d1", Role::Decode),
        ("d2", Role::Decode),
        ("d3", Role::Decode),
        ("p1", Role::Prefill),
    ]);
    let mut rates = Vec::new();
    // The first prompts of 5,000 tokens take 400 ms, later ones 100 ms; one comes each 150 ms. Queues
    // of more than 350 ms are avoided.
    for id in 0..150 {
        let request = PlacementRequest {
            target: Duration::from_millis(2_100),
            ..placement_request(id, 5_000, 10)
        };
        let placed = ledger.place(&request, at(id * 150));
        if let Some(ended) = id.checked_sub(4) {
            let ms = if ended < 4 { 400 } else { 100 };
            let end = prefilled_in(ended, Duration::from_millis(ms));
            ledger.end(&end, at(id * 150));
        }
        if id % 12 == 0 {
            let figures = placed.map(|placed| (placed.prefill, placed.figures.prefill_rate));
            rates.push(figures.map(|(prefill, rate)| (prefill, format!("{rate:.0}"))));
        }
    }
    assert_yaml_snapshot!(rates);
}

#[test]
fn each_engine_prefills_one_long_prompt_locally_at_a_time() {
    let mut ledger = ledger(&[("d1", Role::Decode), ("d2", Role::Decode)]);
    let seen: Vec<_> = [0, 1, 2, 100, 210, 211]
        .into_iter()
        .enumerate()
        .map(|(id, ms)| {
            let placed = ledger.place(&placement_request(id as u64, 5_000, 10), at(ms));
            (format!("at {ms} ms"), describe(placed))
        })
        .collect();
    assert_yaml_snapshot!(seen);
}

#[test]
fn remote_placements_do_not_change_the_prefill_rate() {
    let mut ledger = ledger(&[("d1", Role::Decode), ("p1", Role::Prefill)]);
    for id in 0..3 {
        let active = ActivePlacement {
            request: placement_request(id, 5_000, 100),
            decode: "d1".to_owned(),
            running_for: Duration::from_millis(500),
        };
        ledger.add_remote(&active, at(0));
    }
    for id in 0..3 {
        ledger.end(&prefilled_in(id, Duration::from_millis(400)), at(100));
    }
    let next = ledger
        .place(&placement_request(9, 100, 10), at(200))
        .unwrap();
    assert_yaml_snapshot!(format!("{:.1}", next.figures.prefill_rate));
}

#[test]
fn a_few_unseen_queues_do_not_ruin_the_prefill_rate() {
    let mut ledger = ledger(&[("d1", Role::Decode), ("p1", Role::Prefill)]);
    let mut seen = Vec::new();
    for id in 0..20 {
        let ms = if (5..10).contains(&id) { 400 } else { 95 };
        let rate = rate_after(&mut ledger, id, id * 2_000, Duration::from_millis(ms));
        seen.push(format!("prefilled in {ms} ms: {rate}"));
    }
    assert_yaml_snapshot!(seen);
}

/// A long prompt that is prefilled locally stops the generations beside it for longer than a short one.
#[test]
fn prefill_engines_at_their_limit_are_kept_for_longer_prompts() {
    let mut ledger = ledger(&[("p1", Role::Prefill), ("d1", Role::Decode)]);
    let mut seen = Vec::new();
    for (id, scarce, prompt) in [
        (1, false, 5_000),
        (2, true, 400),
        (3, true, 6_000),
        (4, false, 400),
    ] {
        let engines = scarce.then(|| "p1".to_owned());
        ledger.set_scarce(engines.into_iter().collect());
        let at = Tick(id * 2_000_000);
        let placement = ledger.place(&placement_request(id, prompt, 100), at);
        seen.push((scarce, prompt, placement.unwrap().prefill));
    }
    assert_yaml_snapshot!(seen);
}
