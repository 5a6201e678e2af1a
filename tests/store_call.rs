//! Who calls the store when no other daemon returns what it has read.

use {
    insta::assert_yaml_snapshot,
    lentillead::decide::{StoreCall, may_call_store},
    std::time::Duration,
};

/// Seconds after the last failure of the readers at which a daemon that has listed before calls the store, in
/// the first 10 s; it decides 20 times a second.
fn call_times(reader: bool, outage: bool) -> Vec<f64> {
    times_of(reader, outage, false)
}

fn times_of(reader: bool, outage: bool, starting: bool) -> Vec<f64> {
    let mut calls = Vec::new();
    let mut called = None;
    for step in 0..200 {
        let now = Duration::from_millis(50 * step);
        let call = StoreCall {
            reader,
            outage,
            starting,
            searching: now,
            called_ago: called.map(|called| now.saturating_sub(called)),
        };
        if may_call_store(call) {
            called = Some(now);
            calls.push(now.as_secs_f64());
        }
    }
    calls
}

#[test]
fn a_daemon_that_is_no_reader_calls_the_store_seldom() {
    assert_yaml_snapshot!([
        ("readers silent", call_times(false, false)),
        ("readers in an outage", call_times(false, true)),
    ]);
}

#[test]
fn a_reader_may_always_call_the_store() {
    assert_eq!(call_times(true, true).len(), 200);
    assert_eq!(call_times(true, false).len(), 200);
}

/// All daemons that started at once failed together, and then waited 4 s together.
#[test]
fn a_daemon_that_has_never_listed_does_not_wait_for_the_end_of_an_outage() {
    assert_yaml_snapshot!(times_of(false, true, true));
}
