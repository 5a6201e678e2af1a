//! Crash suspects: recorded crashes, updates from other hosts, expiry.

use {
    lentillead::{
        board::{Suspect, Suspects, Tick},
        decide::{expire, merge, record_crash},
    },
    std::time::Duration,
};

const SECOND: Duration = Duration::from_secs(1);

/// A suspect as another host reports it, with one endpoint.
fn reported(endpoint: &str, refused: bool) -> Suspect {
    Suspect {
        endpoints: vec![endpoint.to_owned()],
        refused,
        expires: Tick(0) + SECOND,
    }
}

#[test]
fn a_crash_at_a_second_endpoint_refuses_the_suspect() {
    let mut suspects = Suspects::default();
    let expires = Tick(0) + SECOND;
    let steps = [
        record_crash(&mut suspects, 1, "decode-1", expires),
        record_crash(&mut suspects, 1, "decode-1", expires),
        record_crash(&mut suspects, 2, "decode-1", expires),
        record_crash(&mut suspects, 1, "decode-2", expires),
    ];
    let mut all: Vec<_> = suspects.by_fingerprint.into_iter().collect();
    all.sort_by_key(|(fingerprint, _)| *fingerprint);
    insta::assert_debug_snapshot!("suspicion_crashes", (steps, all));
}

#[test]
fn updates_of_other_hosts_are_merged() {
    let mut here = Suspects::default();
    record_crash(&mut here, 7, "decode-1", Tick(0) + SECOND);
    let steps = [
        merge(&mut here, 7, &reported("decode-1", false)),
        merge(&mut here, 7, &reported("decode-2", false)),
        merge(&mut here, 7, &reported("decode-2", true)),
        merge(&mut here, 8, &reported("decode-3", true)),
    ];
    let expired = (
        expire(&mut here, Tick(0)),
        expire(&mut here, Tick(0) + SECOND),
    );
    insta::assert_debug_snapshot!(
        "suspicion_updates",
        (steps, expired, here.by_fingerprint.len())
    );
}
