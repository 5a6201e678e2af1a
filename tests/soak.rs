//! Short soaks of the real daemon processes under injected faults. Time bounds are checked only in
//! manual runs, see `docs/SOAK.md`.

use std::process::Command;

/// Arguments of a soak in which engines pause longer than the daemons wait for an event, few retries
/// are left, and every daemon is stopped once.
const PAUSED_STREAMS: &str = "--seed 2 --daemons 3 --seconds 4 --faults 0 --pauses 10 --rounds 1 \
                              --together 1 --retry-slack 0 --event-ms 150";

/// Arguments and purpose of each soak: a short ordinary plan, and plans that once violated a
/// guarantee, reduced to the faults that this needed.
const CASES: [(&str, &str); 2] = [
    (
        "--seed 31 --daemons 3 --seconds 4 --faults 8",
        "an ordinary plan",
    ),
    (
        "--seed 9 --only 2,7",
        "two concurrent restarts of one daemon: the soak started it twice",
    ),
];

/// Runs an untimed soak with these arguments and `callers` callers per daemon.
fn assert_holds(arguments: &str, callers: &str, purpose: &str) {
    let soak = Command::new(env!("CARGO_BIN_EXE_lentillead"))
        .args(["soak", "--untimed", "--callers", callers])
        .args(arguments.split(' '))
        .arg("--folder")
        .arg(format!("{}/soak", env!("CARGO_TARGET_TMPDIR")))
        .output()
        .unwrap();
    let stdout = String::from_utf8_lossy(&soak.stdout);
    let stderr = String::from_utf8_lossy(&soak.stderr);
    assert!(
        soak.status.success(),
        "{arguments} ({purpose}): {stdout}{stderr}"
    );
}

#[test]
fn guarantees_hold_under_short_series_of_faults() {
    for (arguments, purpose) in CASES {
        assert_holds(arguments, "2", purpose);
    }
}

#[test]
fn streams_of_pausing_engines_are_not_broken_off_around_planned_stops() {
    assert_holds(
        PAUSED_STREAMS,
        "4",
        "streams given up while no other endpoint can take them",
    );
}
