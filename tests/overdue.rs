//! Responses that are silent for a while, where no other endpoint, or one, could take their place.

use {
    crate::{
        forward_site::{Act, Site, full, placed, site, site_with_placements},
        limits::rate,
    },
    insta::assert_yaml_snapshot,
    lentillead::port::PlacementOutcome,
    std::time::Duration,
    tokio::{join, time::sleep},
};

/// Spends all retries of `pool`.
fn spend_retries(site: &Site, pool: &str) {
    let budget = site.entry.shared().budget(pool);
    while budget.spend() {}
}

/// Returns a stream of three events with a pause of `ms` milliseconds after the first one.
fn pausing(ms: u64) -> Act {
    Act::Paced(0, vec![(0, 1), (ms, 2), (10, 3)])
}

fn prefilled() -> Act {
    Act::Answer(200, 90)
}

#[tokio::test(start_paused = true)]
async fn a_silent_response_is_not_given_up_while_no_retry_is_left() {
    let events = || vec![(0, 1), (10, 2)];
    let cases = [
        (
            "between two events",
            "/stream/",
            vec![prefilled(), pausing(3_000)],
        ),
        (
            "before the first event",
            "/stream/",
            vec![prefilled(), Act::Paced(0, vec![(3_000, 1), (10, 2)])],
        ),
        (
            "before the head",
            "/stream/",
            vec![prefilled(), Act::Paced(3_000, events())],
        ),
        (
            "in the prefill",
            "/stream/",
            vec![Act::Answer(200, 2_000), Act::Paced(0, events())],
        ),
        ("in a call", "/read/", vec![Act::Answer(200, 700)]),
        (
            "without an end",
            "/stream/",
            vec![prefilled(), pausing(60_000)],
        ),
        ("without an end, in a call", "/read/", vec![Act::Hang]),
    ];
    let mut seen = Vec::new();
    for (name, path, acts) in cases {
        let site = site(placed(), acts);
        spend_retries(&site, "models");
        spend_retries(&site, "ledger");
        seen.push((name, site.send(path).await));
    }
    assert_yaml_snapshot!(seen);
}

#[tokio::test(start_paused = true)]
async fn a_silent_stream_is_not_given_up_while_no_other_engine_has_room() {
    let mut refusing = vec![prefilled(), pausing(3_000)];
    refusing.extend(vec![full(); 40]);
    let cases = [
        (
            "no placement",
            vec![placed(), PlacementOutcome::Wait],
            vec![prefilled(), pausing(3_000)],
        ),
        ("no reservation", vec![placed()], refusing),
    ];
    let mut seen = Vec::new();
    for (name, placements, acts) in cases {
        let site = site_with_placements(placements, acts);
        let (received, calls, ms) = site.send("/stream/").await;
        let runs = calls.iter().filter(|call| call.starts_with("run")).count();
        let retries = site.entry.shared().budget("models").left();
        seen.push((name, received, runs, retries, ms));
    }
    assert_yaml_snapshot!(seen);
}

#[tokio::test(start_paused = true)]
async fn a_silent_stream_goes_on_at_an_engine_that_has_room_unless_it_resumes_before() {
    let reserved = || Act::Answer(200, 5);
    let rest = || Act::Events(vec![2, 3], true);
    let cases = [
        (
            "silent for good",
            vec![prefilled(), pausing(60_000), reserved(), rest()],
        ),
        (
            "resumes while a placement is requested",
            vec![prefilled(), pausing(1_350)],
        ),
        (
            "resumes while memory is reserved",
            vec![prefilled(), pausing(1_450), Act::Answer(200, 100)],
        ),
        (
            "no head for good",
            vec![
                prefilled(),
                Act::Paced(60_000, vec![]),
                reserved(),
                Act::Events(vec![1, 2], true),
            ],
        ),
    ];
    let mut seen = Vec::new();
    for (name, acts) in cases {
        let site = site(placed(), acts);
        let sent = site.send("/stream/").await;
        let retries = site.entry.shared().budget("models").left();
        seen.push((name, sent, retries));
    }
    assert_yaml_snapshot!(seen);
}

#[tokio::test(start_paused = true)]
async fn a_comment_after_the_search_has_ended_does_not_end_the_stream() {
    let suspect = PlacementOutcome::Placed {
        decode: "d1".to_owned(),
        prefill: None,
        suspect: true,
    };
    let comments = Act::Paced(0, vec![(0, 1), (1_800, 0), (300, 0), (500, 2)]);
    let site = site_with_placements(vec![placed(), suspect], vec![prefilled(), comments]);
    assert_yaml_snapshot!(site.send("/stream/").await);
}

#[tokio::test(start_paused = true)]
async fn a_search_that_found_no_room_does_not_keep_other_streams_waiting() {
    let placements = vec![placed(), PlacementOutcome::Wait];
    let site = site_with_placements(placements, vec![prefilled(), pausing(3_000)]);
    site.send("/stream/").await;
    let requests = site.placer.requests.lock().unwrap();
    let late: Vec<_> = requests.iter().map(|request| request.late).collect();
    assert_yaml_snapshot!(late);
}

#[tokio::test(start_paused = true)]
async fn a_search_leaves_the_retries_to_requests_that_failed() {
    let placements = vec![placed(), PlacementOutcome::Wait];
    let site = site_with_placements(placements, vec![prefilled(), pausing(3_000)]);
    let left = async {
        sleep(Duration::from_millis(1_600)).await;
        site.entry.shared().budget("models").left()
    };
    let (_, left) = join!(site.send("/stream/"), left);
    assert_eq!(left, 2);
}

#[tokio::test(start_paused = true)]
async fn an_endpoint_with_an_overdue_response_is_avoided_though_no_retry_is_left() {
    let events = || Act::Paced(0, vec![(0, 1)]);
    let cases = [
        (
            "between two events",
            1_600,
            vec![prefilled(), pausing(3_000)],
        ),
        (
            "before the head",
            2_000,
            vec![prefilled(), Act::Paced(3_000, vec![(0, 1)])],
        ),
        (
            "in the prefill",
            1_000,
            vec![Act::Answer(200, 2_000), events()],
        ),
    ];
    let mut seen = Vec::new();
    for (name, ms, acts) in cases {
        let site = site(placed(), acts);
        spend_retries(&site, "models");
        let other = async {
            sleep(Duration::from_millis(ms)).await;
            site.script.acts.lock().unwrap().push_front(events());
            site.script.acts.lock().unwrap().push_front(prefilled());
            site.send("/stream/").await;
        };
        let ((received, ..), ()) = join!(site.send("/stream/"), other);
        let requests = site.placer.requests.lock().unwrap();
        let unreachable = requests.last().unwrap().unreachable.clone();
        seen.push((name, received, unreachable));
    }
    assert_yaml_snapshot!(seen);
}

#[tokio::test(start_paused = true)]
async fn a_late_call_takes_no_slot_of_an_endpoint_that_has_it() {
    let site = site(placed(), vec![full(), Act::Answer(200, 750)]);
    let fleet = site.entry.shared().board().fleet.snapshot();
    let limit = |name: &str| {
        let key = fleet.endpoints.find(name).unwrap();
        &fleet.endpoints.get(key).unwrap().counters.traffic.limit
    };
    let now = || site.entry.shared().now();
    for name in ["s1", "s2"] {
        limit(name).record(Some(rate(10.0)), now(), now(), Duration::ZERO);
    }
    let waits = async {
        sleep(Duration::from_millis(650)).await;
        ["s1", "s2"].map(|name| limit(name).wait(now(), 1))
    };
    let ((received, ..), waits) = join!(site.send("/read/"), waits);
    assert_eq!(
        (received.as_str(), waits),
        ("status 200", [Duration::ZERO; 2])
    );
}

#[tokio::test(start_paused = true)]
async fn a_prefill_ends_at_the_deadline_of_its_request() {
    let site = site(placed(), vec![Act::Hang]);
    let limit = Some(Duration::from_millis(500));
    assert_yaml_snapshot!(site.send_within("/stream/", limit).await);
}
