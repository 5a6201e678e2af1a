//! Traces: format errors, the shipped files, generation from a seed, and a short replay.

use {
    insta::assert_snapshot,
    lentillead::emulator::{Profile, Replayer, Scenario, Trace, TraceMaker},
};

const HEADER: &str = r#"{"header":{"version":1,"name":"t","profile":"kovacsreti","daemons":2,"scale":1.0,"seed":1,"outcomes":{}}}"#;

fn fault(lines: &[&str]) -> String {
    Trace::read(&lines.join("\n")).unwrap_err().to_string()
}

fn maker(scenario: Scenario, profile: Profile) -> TraceMaker {
    TraceMaker {
        scenario,
        profile,
        seed: 1,
        load: scenario.load(),
        seconds: 10.0,
        daemons: 3,
    }
}

#[test]
fn format_errors_name_the_line_and_the_allowed_values() {
    let with = |line: &str| fault(&[HEADER, line]);
    let seen = [
        fault(&[]),
        fault(&[r#"{"request":{"at_ms":0,"branch":"kovacsret","kind":"stock"}}"#]),
        fault(&[&HEADER.replace("\"version\":1", "\"version\":2")]),
        fault(&[&HEADER.replace("\"daemons\":2", "\"daemons\":0")]),
        fault(&[&HEADER.replace("kovacsreti", "somebody")]),
        with(HEADER),
        with(r#"{"reqest":{}}"#),
        with(r#"{"request":{"at_ms":0,"branch":"kovacsret","kind":"stock","tokens":1}}"#),
        with(r#"{"request":{"at_ms":0,"branch":"caerdydd","kind":"stock"}}"#),
        with(r#"{"request":{"at_ms":0,"branch":"kovacsret","kind":"sock"}}"#),
        with(r#"{"request":{"at_ms":0,"branch":"kovacsret","kind":"order"}}"#),
        with(r#"{"request":{"at_ms":0,"branch":"kovacsret","kind":"price-summary"}}"#),
        with(r#"{"request":{"at_ms":0,"branch":"kovacsret","kind":"stock","prompt_tokens":9}}"#),
        with(r#"{"engine":{"at_ms":0,"number":11,"control":{}}}"#),
        with(r#"{"engine":{"at_ms":0,"number":1,"control":{"faults":[{"kind":"explode"}]}}}"#),
    ];
    assert_snapshot!("trace_faults", seen.join("\n"));
}

#[test]
fn shipped_traces_round_trip() {
    let mut seen = Vec::new();
    for profile in [Profile::Kovacsreti, Profile::TrinCymru] {
        for scenario in Scenario::ALL {
            let path = format!("traces/{}-{}.jsonl", profile.name(), scenario.name());
            let text = std::fs::read_to_string(&path).unwrap();
            let trace = Trace::read(&text).unwrap();
            assert_eq!(trace.write().unwrap(), text, "{path}");
            let models = trace.requests().filter(|(_, request)| request.is_model());
            seen.push(format!(
                "{}: {} requests, {} of models, {} faults, {:?}",
                trace.header.name,
                trace.requests().count(),
                models.count(),
                trace.lines.len() - trace.requests().count(),
                trace.header.outcomes,
            ));
        }
    }
    assert_snapshot!("traces", seen.join("\n"));
}

#[test]
fn the_same_seed_makes_the_same_trace() {
    let make = |seed| TraceMaker {
        seed,
        ..maker(Scenario::Evening, Profile::TrinCymru)
    };
    assert_eq!(make(3).make(), make(3).make());
    assert_ne!(make(3).make(), make(4).make());
}

/// Checks only the invariants, since the number of requests that meet their targets depends on the
/// machine.
#[tokio::test(flavor = "multi_thread")]
async fn replay_keeps_every_invariant() {
    let maker = TraceMaker {
        seconds: 2.0,
        load: 0.3,
        ..maker(Scenario::FailingEndpoint, Profile::TrinCymru)
    };
    let trace = maker.make();
    let report = Replayer::Ours.play(&trace).await.unwrap();
    assert!(!report.verdict.is_broken(), "{:?}", report.verdict);
    let verdict = &report.verdict;
    let ended = verdict.answered + verdict.broken + verdict.refused.values().sum::<u32>();
    assert_eq!(ended, trace.requests().count() as u32);
}
