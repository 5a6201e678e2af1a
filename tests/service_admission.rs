//! Admission of calls to plain services that state how long work takes there.

use {
    crate::service_load::{news, options},
    insta::assert_yaml_snapshot,
    lentillead::{
        board::{MAX_NEWS_AGE, ServiceNews},
        decide::{AdmissionNeed, ServiceAdmission, admit_service, choose_by_completion},
    },
    proptest::{collection::vec, option, prelude::*},
    std::{
        hint::black_box,
        time::{Duration, Instant},
    },
};

fn need(ahead: usize, to_target: u64, to_deadline: u64) -> AdmissionNeed {
    AdmissionNeed {
        ahead,
        to_target: Duration::from_millis(to_target),
        to_deadline: Duration::from_millis(to_deadline),
    }
}

/// News of an endpoint with `requests` of others for some time, and a limit of 9.
fn with(requests: f64, age_ms: u64) -> ServiceNews {
    ServiceNews {
        age: Duration::from_millis(age_ms),
        others: requests,
        mean_others: requests,
        ..news()
    }
}

fn decision(news: &[ServiceNews], need: AdmissionNeed) -> String {
    let news: Vec<_> = news.iter().copied().map(Some).collect();
    match admit_service(&options(&news), &need) {
        ServiceAdmission::Send => "send".to_owned(),
        ServiceAdmission::Wait(wait) => format!("wait, room in {} ms", wait.as_millis()),
        ServiceAdmission::Refuse(wait) => format!("refuse, room in {} ms", wait.as_millis()),
    }
}

/// Guards against calls that are held for too long, sent to full pools, or refused for unknown ones.
#[test]
fn calls_wait_only_for_room_in_time() {
    let unlimited = ServiceNews {
        limit: None,
        ..with(20.0, 0)
    };
    let in_time = need(0, 290, 790);
    let seen = [
        ("room", decision(&[with(2.0, 0); 3], in_time)),
        (
            "room at one",
            decision(&[with(9.0, 0), with(9.0, 0), with(7.0, 0)], in_time),
        ),
        ("full", decision(&[with(9.0, 0); 3], in_time)),
        (
            "full, two ahead",
            decision(&[with(9.0, 0); 3], need(2, 290, 790)),
        ),
        (
            "full, ten ahead",
            decision(&[with(9.0, 0); 3], need(10, 290, 790)),
        ),
        (
            "full, little time",
            decision(&[with(9.0, 0); 3], need(0, 100, 790)),
        ),
        ("full, late", decision(&[with(9.0, 0); 3], need(0, 0, 790))),
        (
            "full, late, little time",
            decision(&[with(9.0, 0); 3], need(0, 0, 100)),
        ),
        (
            "room for one, late",
            decision(&[with(9.0, 0), with(9.0, 0), with(8.0, 0)], need(0, 0, 790)),
        ),
        (
            "room for all, no time",
            decision(&[with(2.0, 0); 3], need(0, 0, 30)),
        ),
        (
            "room for all, late",
            decision(&[with(2.0, 0); 3], need(0, 0, 790)),
        ),
        (
            "full by older reports",
            decision(&[with(9.0, 400); 3], in_time),
        ),
        (
            "full by old reports",
            decision(&[with(9.0, 1_900); 3], in_time),
        ),
        (
            "far beyond the limit",
            decision(&[with(90.0, 0); 3], in_time),
        ),
        ("limit not known", decision(&[unlimited; 3], in_time)),
        (
            "limit of one not known",
            decision(&[with(9.0, 0), with(9.0, 0), unlimited], in_time),
        ),
        ("no endpoints", decision(&[], in_time)),
    ];
    let full = Some(with(9.0, 0));
    let mut avoided = options(&[full; 3]);
    for option in &mut avoided {
        option.option.avoided = true;
    }
    let partly_known = [
        ("avoided", avoided),
        ("one without reports", options(&[full, full, None])),
        ("no reports", options(&[None; 3])),
    ];
    let sent = partly_known.map(|(name, options)| {
        let admission = admit_service(&options, &in_time);
        (name, admission == ServiceAdmission::Send)
    });
    assert_yaml_snapshot!((seen, sent));
}

/// Returns news within the ranges of valid headers, or none.
fn any_news() -> impl Strategy<Value = Option<ServiceNews>> {
    let requests = 0.0..140_000.0;
    let figures = (0_u64..2_000, 1.0..65_535.0, requests.clone(), requests);
    let rest = (
        0.0..100.0,
        option::of(1_u64..4_000_000),
        option::of(1_u32..140_000),
    );
    option::of((figures, rest).prop_map(
        |((age, slots, others, mean_others), (speed, work, limit))| ServiceNews {
            age: Duration::from_millis(age),
            slots,
            others,
            mean_others,
            speed,
            work: work.map(Duration::from_micros),
            limit,
        },
    ))
}

proptest! {
    /// Guards against figures that make a decision panic, choose nothing or never end.
    #[test]
    fn valid_figures_lead_to_a_decision(
        news in vec(any_news(), 0..12),
        own in vec(0_u32..20, 12),
        failing in vec(0.0..1.0, 12),
        flags in vec(any::<(bool, bool)>(), 12),
        ahead in 0_usize..50,
        times in (0_u64..2_000, 0_u64..20_000),
        draw in 0.0..1.0,
    ) {
        let mut options = options(&news);
        for (i, option) in options.iter_mut().enumerate() {
            option.option.own_work = f64::from(own[i]);
            option.option.failure_ratio = failing[i];
            (option.option.avoided, option.option.tried) = flags[i];
        }
        let chosen = choose_by_completion(&options, draw);
        let known = news.iter().any(Option::is_some);
        prop_assert_eq!(chosen.is_some(), known);
        let untried = options.iter().any(|option| !option.option.tried);
        prop_assert!(!untried || chosen.is_none_or(|chosen| !chosen.tried));
        let need = need(ahead, times.0, times.1);
        match admit_service(&options, &need) {
            ServiceAdmission::Send => {}
            ServiceAdmission::Wait(wait) => {
                prop_assert!(known && wait <= need.to_target.max(need.to_deadline));
            }
            ServiceAdmission::Refuse(wait) => prop_assert!(known && wait <= MAX_NEWS_AGE),
        }
    }
}

/// Prints the time of a decision; run with `--release -- --ignored --nocapture`.
#[test]
#[ignore = "a benchmark: its figures depend on the machine"]
fn time_of_a_decision() {
    for (name, news) in [("room", with(2.0, 0)), ("full", with(9.0, 0))] {
        for count in [3, 30] {
            let options = options(&vec![Some(news); count]);
            let mut times: Vec<_> = (0..20_001)
                .map(|_| {
                    let start = Instant::now();
                    black_box(admit_service(black_box(&options), &need(0, 290, 790)));
                    start.elapsed()
                })
                .collect();
            times.sort_unstable();
            println!("{name}, {count}: median {:?}", times[times.len() / 2]);
        }
    }
}
