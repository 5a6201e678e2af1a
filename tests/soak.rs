//! Short soaks of the real daemon processes under injected faults. Time bounds are checked only in
//! manual runs, see `docs/SOAK.md`.

use std::process::Command;

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

#[test]
fn guarantees_hold_under_short_series_of_faults() {
    for (arguments, purpose) in CASES {
        let soak = Command::new(env!("CARGO_BIN_EXE_lentillead"))
            .args(["soak", "--untimed", "--callers", "2"])
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
}
