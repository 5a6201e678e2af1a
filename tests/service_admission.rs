//! Admission of calls to plain services that state how long work takes there.

use {
    crate::service_load::{news, options},
    insta::assert_yaml_snapshot,
    lentillead::{
        board::ServiceNews,
        decide::{AdmissionNeed, ServiceAdmission, admit_service},
    },
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
fn with(requests: f64, age_ms: u64) -> Option<ServiceNews> {
    Some(ServiceNews {
        age: Duration::from_millis(age_ms),
        others: requests,
        mean_others: requests,
        ..news()
    })
}

fn decision(news: &[Option<ServiceNews>], need: AdmissionNeed) -> String {
    match admit_service(&options(news), &need) {
        ServiceAdmission::Send => "send".to_owned(),
        ServiceAdmission::Wait(wait) => format!("wait, room in {} ms", wait.as_millis()),
        ServiceAdmission::Refuse(wait) => format!("refuse, room in {} ms", wait.as_millis()),
    }
}

/// Guards against calls that are held for too long, sent to full pools, or refused for unknown ones.
#[test]
fn calls_wait_only_for_room_in_time() {
    let unlimited = with(20.0, 0).map(|news| ServiceNews {
        limit: None,
        ..news
    });
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
        (
            "one without reports",
            decision(&[with(9.0, 0), with(9.0, 0), None], in_time),
        ),
        ("no reports", decision(&[None; 3], in_time)),
        ("no endpoints", decision(&[], in_time)),
    ];
    let mut avoided = options(&[with(9.0, 0); 3]);
    for option in &mut avoided {
        option.option.avoided = true;
    }
    assert_yaml_snapshot!((
        seen,
        admit_service(&avoided, &in_time) == ServiceAdmission::Send
    ));
}

/// Prints the time of a decision; run with `--release -- --ignored --nocapture`.
#[test]
#[ignore = "a benchmark: its figures depend on the machine"]
fn time_of_a_decision() {
    for (name, news) in [("room", with(2.0, 0)), ("full", with(9.0, 0))] {
        for count in [3, 30] {
            let options = options(&vec![news; count]);
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
