//! Crash suspects: recorded crashes, updates from other hosts, expiry.

use {
    lentillead::{
        board::{Suspect, Suspects, Tick},
        decide::{expire, merge, record_crash},
    },
    std::time::Duration,
};

const SECOND: Duration = Duration::from_secs(1);

fn told(endpoint: &str, refused: bool) -> Suspect {
    Suspect {
        endpoints: vec![endpoint.to_owned()],
        refused,
        expires: Tick(0) + SECOND,
    }
}

#[test]
fn the_second_endpoint_settles_it() {
    let mut suspects = Suspects::default();
    let expires = Tick(0) + SECOND;
    let steps = [
        record_crash(&mut suspects, 1, "decode-1", expires),
        record_crash(&mut suspects, 1, "decode-1", expires),
        record_crash(&mut suspects, 2, "decode-1", expires),
        record_crash(&mut suspects, 1, "decode-2", expires),
    ];
    let mut all: Vec<_> = suspects.by_fingerprint.into_iter().collect();
    all.sort_by_key(|(print, _)| *print);
    insta::assert_debug_snapshot!("suspicion_strikes", (steps, all));
}

#[test]
fn hosts_agree_by_news() {
    let mut here = Suspects::default();
    record_crash(&mut here, 7, "decode-1", Tick(0) + SECOND);
    let steps = [
        merge(&mut here, 7, &told("decode-1", false)),
        merge(&mut here, 7, &told("decode-2", false)),
        merge(&mut here, 7, &told("decode-2", true)),
        merge(&mut here, 8, &told("decode-3", true)),
    ];
    let lapsed = (
        expire(&mut here, Tick(0)),
        expire(&mut here, Tick(0) + SECOND),
    );
    insta::assert_debug_snapshot!("suspicion_news", (steps, lapsed, here.by_fingerprint.len()));
}
