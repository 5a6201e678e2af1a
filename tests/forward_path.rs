//! Forwarding of requests to scripted endpoints: retries, streams, refusals and the planned stop.

use {
    crate::{
        forward_site::{Act, Site, broken, full, placed, site, unsent},
        listed::listed,
    },
    insta::assert_yaml_snapshot,
    lentillead::{
        board::{Fleet, Health, Role, Routing, StopPhase, Tick, section},
        decide::{Crash, CrashRecord, merge_described},
        key::CauseKey,
        port::PlacementOutcome,
    },
    std::time::Duration,
    tokio::time::sleep,
};

#[tokio::test(start_paused = true)]
async fn complete_responses() {
    let cases = [
        ("answered", "/read/", vec![]),
        (
            "failure, then answered",
            "/read/",
            vec![Act::Answer(500, 5)],
        ),
        (
            "two failures are passed on",
            "/read/",
            vec![Act::Answer(500, 5), Act::Answer(502, 5)],
        ),
        ("broken, then answered", "/read/", vec![broken()]),
        ("silent, then answered", "/read/", vec![Act::Hang]),
        ("not reached, then answered", "/order/", vec![unsent()]),
        ("full, then answered", "/order/", vec![full()]),
        ("every endpoint full", "/order/", vec![full(), full()]),
        ("an order broken off", "/order/", vec![broken()]),
        (
            "a failed order is passed on",
            "/order/",
            vec![Act::Answer(500, 5)],
        ),
        ("full, then broken off", "/order/", vec![full(), broken()]),
        ("an order without a response", "/order/", vec![Act::Hang]),
        ("no route", "/none/", vec![]),
    ];
    let mut seen = Vec::new();
    for (name, path, acts) in cases {
        seen.push((
            name,
            site(PlacementOutcome::Unavailable, acts).send(path).await,
        ));
    }
    assert_yaml_snapshot!(seen);
}

#[tokio::test(start_paused = true)]
async fn streams() {
    let events = |ids: &[u64], ends| Act::Events(ids.to_vec(), ends);
    let done = || Act::Answer(200, 90);
    let cases = [
        (
            "remote prefill",
            "/stream/",
            vec![done(), events(&[1, 2, 3], true)],
        ),
        (
            "cut, then resumed",
            "/stream/",
            vec![
                done(),
                events(&[1, 2], false),
                done(),
                events(&[3, 4], true),
            ],
        ),
        (
            "repeated events are dropped",
            "/stream/",
            vec![
                done(),
                events(&[1, 2], false),
                done(),
                events(&[2, 3], true),
            ],
        ),
        (
            "a gap is a break",
            "/stream/",
            vec![done(), events(&[1, 3], true), done(), events(&[2, 3], true)],
        ),
        (
            "cut, never twice",
            "/once/",
            vec![done(), events(&[1, 2], false)],
        ),
        (
            "full, the prefilled prompt is offered again",
            "/stream/",
            vec![done(), full(), events(&[1], true)],
        ),
        (
            "prefill fails, local prefill",
            "/stream/",
            vec![broken(), events(&[1], true)],
        ),
        (
            "the endpoint's failure is passed on",
            "/once/",
            vec![done(), Act::Answer(500, 1)],
        ),
    ];
    let mut seen = Vec::new();
    for (name, path, acts) in cases {
        seen.push((name, site(placed(), acts).send(path).await));
    }
    let suspect = PlacementOutcome::Placed {
        decode: "d1".to_owned(),
        prefill: None,
        suspect: true,
    };
    let crash = site(suspect, vec![events(&[], false)])
        .send("/stream/")
        .await;
    seen.push(("a crash suspect is not retried", crash));
    assert_yaml_snapshot!(seen);
}

#[test]
fn two_crashes_mark_a_fingerprint_as_suspect_until_they_expire() {
    let mut record = CrashRecord::default();
    let mut seen = Vec::new();
    for (second, fingerprint) in [(0, 7), (1, 8), (2, 7), (200, 9)] {
        let engine = format!("engine-{second}");
        let causes = [CauseKey(fingerprint)];
        let now = Tick(second * 1_000_000);
        let crash = Crash {
            engine,
            started: now,
            ended: now,
        };
        record.record_crash(&causes, &crash, now);
        seen.push((
            second,
            [7, 8, 9].map(|fingerprint| record.is_suspect(&[CauseKey(fingerprint)])),
        ));
    }
    assert_yaml_snapshot!(seen);
}

#[tokio::test(start_paused = true)]
async fn streams_without_a_placement() {
    let events = Act::Events(vec![1], true);
    let accepted = vec![Act::Answer(200, 1), Act::Answer(200, 90), events];
    let all_full = vec![full(); 64];
    let seen = vec![
        (
            "no daemon assigns a placement",
            site(PlacementOutcome::Unavailable, accepted)
                .send("/stream/")
                .await,
        ),
        (
            "no engine becomes free",
            site(PlacementOutcome::Wait, vec![]).send("/stream/").await,
        ),
        ("every engine is full", {
            let (received, calls, took) = site(PlacementOutcome::Unavailable, all_full)
                .send("/stream/")
                .await;
            (received, vec![format!("{} calls", calls.len())], took)
        }),
    ];
    assert_yaml_snapshot!(seen);
}

#[tokio::test(start_paused = true)]
async fn placements_at_unknown_engines_are_requested_again() {
    let events = || vec![Act::Events(vec![1], true)];
    let placed_at = |decode: &str, prefill: &str| PlacementOutcome::Placed {
        decode: decode.to_owned(),
        prefill: Some(prefill.to_owned()),
        suspect: false,
    };
    let mut prefilled = vec![Act::Answer(200, 1)];
    prefilled.extend(events());
    let seen = vec![
        (
            "the decode engine is unknown",
            site(placed_at("new", "p1"), prefilled)
                .send("/stream/")
                .await,
        ),
        (
            "the prefill engine is unknown",
            site(placed_at("d1", "new"), events())
                .send("/stream/")
                .await,
        ),
    ];
    assert_yaml_snapshot!(seen);
}

#[tokio::test(start_paused = true)]
async fn an_engine_that_refuses_repeatedly_is_avoided_until_it_accepts() {
    let events = || Act::Events(vec![1], true);
    let prefill = || Act::Answer(200, 1);
    let mut site = site(placed(), vec![]);
    let refuse = async |site: &Site| {
        *site.script.acts.lock().unwrap() = [prefill(), full(), events()].into();
        site.send("/stream/").await;
    };
    let avoided = |site: &Site| {
        let shared = site.entry.shared();
        let fleet = shared.board().fleet.load();
        let key = fleet.endpoints.find("d1").unwrap();
        let counters = &fleet.endpoints.get(key).unwrap().counters;
        counters.traffic.is_avoided(shared.now())
    };
    let mut seen = Vec::new();
    for refusal in ["first refusal", "second refusal"] {
        refuse(&site).await;
        seen.push((refusal, avoided(&site)));
    }
    sleep(Duration::from_millis(600)).await;
    seen.push(("600 ms later", avoided(&site)));
    refuse(&site).await;
    seen.push(("third refusal", avoided(&site)));
    let changed = [
        listed("d1", "models", Role::Prefill),
        listed("d2", "models", Role::Decode),
    ];
    let described: Vec<_> = changed.iter().map(|(l, d)| (l, d)).collect();
    site.writers
        .fleet
        .update(|fleet| merge_described(fleet, &described));
    seen.push(("after its role changed", avoided(&site)));
    assert_yaml_snapshot!(seen);
}

#[tokio::test(start_paused = true)]
async fn refusals_without_routing_data_and_during_a_planned_stop() {
    let mut site = site(placed(), vec![]);
    let health = |store_reachable, closing: bool| Health {
        store_reachable,
        ready: !closing,
        stop_phase: if closing {
            StopPhase::Closing
        } else {
            StopPhase::Running
        },
        stop_end: None,
    };
    let mut seen = Vec::new();
    site.writers.health.publish(health(false, false));
    seen.push(("no route, store unreachable", site.send("/none/").await.0));
    site.writers.health.publish(health(true, true));
    seen.push((
        "a stream at the end of a planned stop",
        site.send("/stream/").await.0,
    ));
    seen.push((
        "a call at the end of a planned stop",
        site.send("/read/").await.0,
    ));
    site.writers.routing.publish(Routing::default());
    seen.push(("no routes known", site.send("/read/").await.0));
    assert_yaml_snapshot!(seen);
}

#[tokio::test(start_paused = true)]
async fn streams_beyond_the_limits_of_all_engines_are_told_to_come_back_no_sooner_than_from_full_ones()
 {
    let mut seen = Vec::new();
    for wait_ms in [300, 9_000] {
        let outcome = PlacementOutcome::Limited(Duration::from_millis(wait_ms));
        let site = site(outcome, vec![]);
        seen.push((wait_ms, site.send("/stream/").await.0));
    }
    assert_yaml_snapshot!(seen);
}

#[tokio::test(start_paused = true)]
async fn a_call_late_in_a_planned_stop_is_answered_or_refused_unsent() {
    let cases = [
        (
            "time enough",
            StopPhase::Closing,
            900,
            Act::Answer(200, 700),
        ),
        ("too late", StopPhase::Closing, 700, Act::Answer(200, 1)),
        ("before", StopPhase::Stopping, 700, Act::Answer(200, 500)),
        ("before, no answer", StopPhase::Stopping, 700, Act::Hang),
    ];
    let mut seen = Vec::new();
    for (case, stop_phase, left_ms, act) in cases {
        let mut site = site(placed(), vec![act]);
        let now = site.entry.shared().now();
        site.writers.health.publish(Health {
            store_reachable: true,
            ready: false,
            stop_phase,
            stop_end: Some(now + Duration::from_millis(left_ms)),
        });
        seen.push((case, site.send("/order/").await));
    }
    assert_yaml_snapshot!(seen);
}

#[tokio::test(start_paused = true)]
async fn a_stream_is_not_sent_to_an_engine_that_began_to_leave_during_its_prefill() {
    let mut seen = Vec::new();
    for cause in ["the list", "the engine"] {
        let acts = vec![Act::Answer(200, 400), Act::Events(vec![1], true)];
        let mut site = site(placed(), acts);
        let mut fleet = std::mem::replace(&mut site.writers.fleet, section(Fleet::default()).0);
        let leave = async {
            sleep(Duration::from_millis(300)).await;
            if cause == "the list" {
                let (mut leaving, description) = listed("d1", "models", Role::Decode);
                leaving.draining = true;
                let other = listed("d2", "models", Role::Decode);
                let described = [(&leaving, &description), (&other.0, &other.1)];
                fleet.update(|fleet| merge_described(fleet, &described));
            } else {
                let fleet = fleet.load();
                let key = fleet.endpoints.find("d1").unwrap();
                let endpoint = fleet.endpoints.get(key).unwrap();
                endpoint.counters.traffic.set_leaving(0);
            }
        };
        let ((received, calls, _), ()) = tokio::join!(site.send("/stream/"), leave);
        let runs = site.script.runs.lock().unwrap().clone();
        seen.push((cause, received, calls, runs));
    }
    assert_yaml_snapshot!(seen);
}
