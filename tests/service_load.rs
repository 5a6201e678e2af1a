//! Choice among plain services that state how long work takes there.

use {
    insta::assert_yaml_snapshot,
    lentillead::{
        board::{ReportedLoad, ServiceLoad, ServiceNews, Tick},
        decide::{EndpointOption, ServiceOption, choose_by_completion},
        key::EndpointKey,
    },
    slotmap::SlotMap,
    std::{
        hint::black_box,
        time::{Duration, Instant},
    },
};

/// Draws of one distribution, evenly spread.
const DRAWS: u32 = 1_000;

/// News of an endpoint at its usual speed with two requests of others.
pub fn news() -> ServiceNews {
    ServiceNews {
        age: Duration::from_millis(300),
        slots: 6.0,
        others: 2.0,
        mean_others: 2.0,
        speed: 1.0,
        work: Some(Duration::from_millis(40)),
        limit: Some(9),
    }
}

/// Returns options with these news, each with a key of its own.
pub fn options(news: &[Option<ServiceNews>]) -> Vec<ServiceOption> {
    let mut keys = SlotMap::<EndpointKey, ()>::with_key();
    let option = |news: &Option<ServiceNews>| ServiceOption {
        option: EndpointOption {
            key: keys.insert(()),
            same_zone: true,
            avoided: false,
            tried: false,
            own_work: 0.0,
            other_work: None,
            added_work: 1.0,
            capacity: 6.0,
            failure_ratio: 0.0,
            response_time: None,
        },
        news: *news,
    };
    news.iter().map(option).collect()
}

/// Returns the share of requests that each of `options` gets, in percent.
fn shares(options: &[ServiceOption]) -> Vec<u32> {
    let mut counts = vec![0; options.len()];
    for i in 0..DRAWS {
        let draw = f64::from(i) / f64::from(DRAWS);
        if let Some(chosen) = choose_by_completion(options, draw) {
            let index = options.iter().position(|o| o.option.key == chosen.key);
            counts[index.unwrap()] += 1;
        }
    }
    counts.iter().map(|count| count * 100 / DRAWS).collect()
}

/// Guards against daemons with the same reports that all choose the same endpoint, and against endpoints
/// that get all or none.
#[test]
fn requests_spread_by_expected_time() {
    let usual = news();
    let slow = ServiceNews {
        speed: 2.0,
        ..usual
    };
    let busy = ServiceNews {
        others: 6.0,
        mean_others: 6.0,
        ..usual
    };
    let full = ServiceNews {
        others: 12.0,
        mean_others: 12.0,
        ..usual
    };
    let just_full = ServiceNews {
        age: Duration::ZERO,
        others: 9.0,
        ..usual
    };
    let unlimited = ServiceNews {
        limit: None,
        ..full
    };
    let extreme = ServiceNews {
        speed: 100.0,
        others: 131_070.0,
        mean_others: 131_070.0,
        limit: None,
        ..usual
    };
    let cases = [
        ("equal", vec![Some(usual); 3]),
        (
            "one at half its speed",
            vec![Some(slow), Some(usual), Some(usual)],
        ),
        ("one busy", vec![Some(busy), Some(usual), Some(usual)]),
        ("one full", vec![Some(full), Some(usual), Some(usual)]),
        (
            "one full a moment ago",
            vec![Some(just_full), Some(usual), Some(usual)],
        ),
        (
            "one full, limit not known",
            vec![Some(unlimited), Some(usual), Some(usual)],
        ),
        ("all full", vec![Some(full); 3]),
        ("one without reports", vec![None, Some(usual), Some(usual)]),
        (
            "one without reports, others full",
            vec![None, Some(full), Some(full)],
        ),
        ("none with reports", vec![None; 3]),
        (
            "one with extreme figures",
            vec![Some(extreme), Some(usual), Some(usual)],
        ),
        ("only extreme figures", vec![Some(extreme); 3]),
    ];
    let seen = cases.map(|(name, news)| (name, shares(&options(&news))));
    let mut tried = options(&[Some(usual); 3]);
    tried[0].option.tried = true;
    tried[1].option.avoided = true;
    assert_yaml_snapshot!((seen, ("one tried, one avoided", shares(&tried))));
}

fn report(running: u32, waiting: u32, speed: Option<u32>) -> ReportedLoad {
    ReportedLoad {
        running,
        waiting,
        slots: 6,
        speed,
    }
}

/// Guards against figures that outlive their reports, and limits that only shrink.
#[test]
fn reports_are_kept_for_two_seconds() {
    let load = ServiceLoad::default();
    let at = |ms: u64| Tick(ms * 1_000);
    let mut seen = Vec::new();
    let mut note = |name: &str, ms: u64| {
        seen.push((name.to_owned(), load.news(at(ms)).map(|n| format!("{n:?}"))));
    };
    note("nothing reported", 5);
    load.record(report(4, 0, None), 1, false, at(10));
    note("three figures", 10);
    load.record(report(4, 0, Some(150)), 1, false, at(20));
    load.record_response_time(Duration::from_millis(30));
    note("first report", 20);
    load.record(report(6, 3, Some(50)), 1, false, at(270));
    load.record_response_time(Duration::from_millis(30));
    note("a second one", 370);
    load.record(report(6, 4, Some(50)), 0, true, at(380));
    note("turned away as full", 380);
    load.record(report(6, 5, Some(50)), 1, false, at(390));
    note("more than the limit", 390);
    load.record(report(3, 0, Some(50)), 0, true, at(400));
    note("turned away, not full", 400);
    load.record(report(6, 1, Some(50)), 0, true, at(410));
    note("turned away at less", 410);
    note("just before 2 s", 2_409);
    note("after 2 s", 2_410);
    load.record(report(1, 0, Some(100)), 1, false, at(3_000));
    note("again", 3_000);
    load.record(report(1, 0, None), 1, false, at(3_010));
    note("three figures again", 3_010);
    load.record(report(1, 0, Some(100)), 1, false, at(3_020));
    load.clear();
    note("another process at the address", 3_021);
    assert_yaml_snapshot!(seen);
}

/// Prints the time of a choice; run with `--release -- --ignored --nocapture`.
#[test]
#[ignore = "a benchmark: its figures depend on the machine"]
fn time_of_a_choice() {
    for count in [3, 30] {
        let options = options(&vec![Some(news()); count]);
        let mut times: Vec<_> = (0..20_001)
            .map(|i| {
                let draw = f64::from(i) / 20_001.0;
                let start = Instant::now();
                black_box(choose_by_completion(black_box(&options), draw));
                start.elapsed()
            })
            .collect();
        times.sort_unstable();
        println!("choice among {count}: median {:?}", times[times.len() / 2]);
    }
}
