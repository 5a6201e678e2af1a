//! Limits that endpoints state on the rate of the requests of all daemons together.

use {
    crate::listed::{listed, publish_engines},
    insta::assert_yaml_snapshot,
    lentillead::{
        board::{Blackboard, EndpointLimit, RequestRate, Role, Tick},
        control::AllocationController,
        decide::EngineLimits,
        port::{MonoClock, PlacementOutcome, PlacementRequest, StatedLimit},
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::time::Duration,
};

/// Time over which requests are counted, in seconds.
const WINDOW_S: u64 = 4;

/// Time between two requests of a daemon that never has enough, in milliseconds.
const STEP_MS: u64 = 50;

/// Length of a run, in milliseconds.
const RUN_MS: u64 = 120_000;

pub fn rate(per_second: f64) -> RequestRate {
    RequestRate::per_second(per_second).unwrap()
}

fn at(ms: u64) -> Tick {
    Tick(ms * 1_000)
}

/// Most requests that an endpoint may get in one window.
fn allowed(per_second: f64) -> usize {
    (per_second * WINDOW_S as f64 * 1.5 + 5.0) as usize
}

/// Most of the requests at `times` that lie in one window.
fn most_in_window(times: &[u64]) -> usize {
    let within = |first: &u64| {
        let end = first + WINDOW_S * 1_000;
        times.iter().filter(|t| (*first..end).contains(t)).count()
    };
    times.iter().map(within).max().unwrap_or_default()
}

/// Lets `daemons` send to one endpoint that states `per_second`, each as often as it may from `from_ms`
/// on; returns when requests were sent.
fn share(daemons: usize, per_second: f64, from_ms: u64) -> Vec<u64> {
    let mut rng = SmallRng::seed_from_u64(daemons as u64);
    let limits: Vec<_> = (0..daemons)
        .map(|_| {
            let limit = EndpointLimit::default();
            let heard = at(rng.random_range(0..1_000));
            let first = rate(per_second).interval(daemons).mul_f64(rng.random());
            limit.record(Some(rate(per_second)), heard, heard, first);
            limit
        })
        .collect();
    let mut sent = Vec::new();
    for ms in (from_ms..RUN_MS).step_by(STEP_MS as usize) {
        let taken = limits.iter().filter(|l| l.try_take(at(ms), daemons));
        sent.extend(taken.map(|_| ms));
    }
    sent
}

#[test]
fn daemons_together_stay_within_the_limit_that_an_endpoint_stated() {
    let cases = [
        (1, 1.0),
        (6, 1.0),
        (6, 10.7),
        (67, 10.0),
        (78, 37.3),
        (295, 40.0),
        (740, 60.0),
    ];
    let mut seen = Vec::new();
    for (daemons, per_second) in cases {
        for from_ms in [1_000, 60_000] {
            let sent = share(daemons, per_second, from_ms);
            let within = most_in_window(&sent) <= allowed(per_second);
            let owed = per_second * (RUN_MS - from_ms) as f64 / 1_000.0;
            let used = sent.len() as f64 / owed > 0.9;
            seen.push((daemons, per_second, from_ms, within, used));
        }
    }
    assert_yaml_snapshot!(seen);
}

#[test]
fn a_limit_ends_with_the_response_to_a_later_request() {
    let limit = EndpointLimit::default();
    let state = |rate, sent, now| {
        let changed = limit.record(rate, at(sent), at(now), Duration::ZERO);
        (changed, limit.rate().map(RequestRate::milli))
    };
    let seen = [
        ("none so far", state(None, 1, 2)),
        ("stated", state(Some(rate(2.0)), 10, 20)),
        ("sent before it was stated", state(None, 15, 30)),
        ("another limit", state(Some(rate(0.5)), 25, 40)),
        ("sent after it", state(None, 41, 50)),
    ];
    assert_yaml_snapshot!(seen);
}

#[test]
fn requests_beside_the_one_that_took_a_slot_are_charged() {
    let limit = EndpointLimit::default();
    limit.record(Some(rate(1.0)), at(0), at(0), Duration::ZERO);
    let first = limit.try_take(at(0), 1);
    limit.charge(1);
    let wait = limit.wait(at(0), 1);
    assert_yaml_snapshot!((
        first,
        wait,
        limit.try_take(at(1_500), 1),
        limit.try_take(at(2_000), 1)
    ));
}

fn stated(engine: &str, per_second: Option<f64>, age_ms: u64) -> StatedLimit {
    StatedLimit {
        engine: engine.to_owned(),
        incarnation: 0,
        rate: per_second.map(rate),
        age: Duration::from_millis(age_ms),
    }
}

#[test]
fn the_newest_word_about_an_engine_counts() {
    let mut limits = EngineLimits::default();
    let mut seen = Vec::new();
    let words = [
        ("stated", stated("d1", Some(0.5), 0)),
        ("ended before", stated("d1", None, 1_000)),
        ("stated again", stated("d1", Some(1.0), 0)),
        ("ended", stated("d1", None, 0)),
    ];
    for (number, (word, limit)) in words.into_iter().enumerate() {
        let now = at(10_000 + number as u64 * 100);
        limits.merge(&[limit], now);
        limits.record_request("d1", now);
        limits.record_request("d1", now);
        let wait = limits.wait("d1", 0, now).as_millis() as u64;
        seen.push((word, wait, limits.wait("d1", 7, now).is_zero()));
    }
    assert_yaml_snapshot!(seen);
}

#[test]
fn engines_get_placements_at_the_rate_that_they_stated() {
    let mut seen = Vec::new();
    for per_second in [0.4, 1.0, 2.8, 30.0] {
        let mut limits = EngineLimits::default();
        let mut placed = Vec::new();
        for ms in (0..RUN_MS).step_by(STEP_MS as usize / 5) {
            limits.merge(&[stated("d1", Some(per_second), 0)], at(ms));
            if limits.wait("d1", 0, at(ms)).is_zero() {
                limits.record_request("d1", at(ms));
                placed.push(ms);
            }
        }
        let within = most_in_window(&placed) <= allowed(per_second);
        let used = placed.len() as f64 / (per_second * RUN_MS as f64 / 1_000.0);
        seen.push((per_second, within, (used * 10.0).round() / 10.0));
    }
    assert_yaml_snapshot!(seen);
}

#[tokio::test]
async fn a_stream_that_no_limited_engine_takes_in_time_is_refused_at_once() {
    let (board, mut writers) = Blackboard::new();
    let engines = ["d1", "d2"].map(|name| listed(name, "models", Role::Decode));
    publish_engines(&mut writers, &engines);
    let (controller, handle) = AllocationController::new(board, MonoClock::start());
    tokio::spawn(controller.run());
    let mut seen = Vec::new();
    for id in 0..6 {
        let request = PlacementRequest {
            remote_prefill: false,
            limits: vec![stated("d1", Some(0.1), 0), stated("d2", Some(0.1), 0)],
            ..crate::ledger::placement_request(id, 100, 100)
        };
        seen.push(match handle.place(request).await.outcome {
            PlacementOutcome::Placed { .. } => "placed".to_owned(),
            PlacementOutcome::Limited(wait) => format!("in {} s", wait.as_secs_f64().round()),
            outcome => format!("{outcome:?}"),
        });
    }
    assert_yaml_snapshot!(seen);
}
