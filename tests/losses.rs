//! The report of what requests lost, from the logs of the daemons.

use {
    insta::{assert_snapshot, assert_yaml_snapshot},
    lentillead::story::{LogEntry, LossReader},
    serde_json::{Value, json},
    std::process::Command,
};

/// Returns a log line with `message` and `fields` about request `id`.
fn line(message: &str, id: &str, mut fields: Value) -> String {
    fields["request"] = id.into();
    json!({"timestamp": "2026-08-01T09:23:12Z", "message": message, "kvs": fields}).to_string()
}

/// Returns the last line of a stream whose first event came after `first` milliseconds.
fn stream(id: &str, first: u64, fields: &Value) -> String {
    let mut line = json!({
        "route": "notes", "status": 200, "events": 40, "ran": 0, "came_late": false,
        "prefills": 1, "place_ms": 0, "prefill_ms": 100, "first_ms": first, "pause_ms": 20,
        "target_ms": 900, "ms": first + 800,
    });
    for (field, value) in fields.as_object().unwrap() {
        line[field] = value.clone();
    }
    self::line("answered", id, line)
}

fn lines() -> Vec<String> {
    let broken = "refused: the response broke off";
    let gone = "caller disconnected before the response was complete";
    let notes = |mut fields: Value| {
        fields["route"] = "notes".into();
        fields
    };
    vec![
        stream("in time", 900, &json!({})),
        stream("queue", 950, &json!({"place_ms": 600})),
        stream("second queue", 1_200, &json!({"place_ms": 500, "prefill_ms": 300})),
        stream("prompt", 1_300, &json!({"place_ms": 300, "prefill_ms": 600, "prefills": 2})),
        stream("memory", 1_400, &json!({"place_ms": 300})),
        stream("second engine", 2_400, &json!({"ran": 1, "prefills": 2})),
        stream("second attempt of the caller", 950, &json!({"came_late": true})),
        stream("stalled", 500, &json!({"pause_ms": 700})),
        line("answered", "failed", notes(json!({"status": 500, "ms": 30, "target_ms": 900}))),
        line(
            "refused: every endpoint of the pool is full; send the request again later",
            "full",
            notes(json!({"reason": "queue-full", "events": 0, "prefills": 0, "ms": 450})),
        ),
        line(broken, "cut", notes(json!({"reason": "truncated", "events": 9, "prefills": 1}))),
        line(gone, "left", notes(json!({"events": 3, "prefills": 1, "ms": 700}))),
        line(gone, "gave up", notes(json!({"events": 0, "prefills": 1, "ms": 3_000}))),
        line("placement granted", "daemon was killed", notes(json!({"place": 7}))),
        line("answered", "quick", json!({"route": "diary", "status": 200, "ms": 30, "target_ms": 150})),
        line("answered", "slow", json!({"route": "diary", "status": 200, "ms": 200, "target_ms": 150})),
        line("refused: no route takes this host and path", "lost", json!({"reason": "unknown-kind"})),
        json!({
            "timestamp": "2026-08-01T09:23:13Z", "message": "log lines dropped", "kvs": {"count": 12},
        })
        .to_string(),
    ]
}

#[test]
fn each_request_is_counted_under_what_cost_it_most() {
    let mut reader = LossReader::new(300);
    for line in lines() {
        reader.read(&LogEntry::parse("entry-1", &line).unwrap());
    }
    assert_yaml_snapshot!(reader.report());
}

#[test]
fn the_command_reads_a_directory_and_reports_logs_without_requests() {
    let logs = tempfile::tempdir().unwrap();
    std::fs::write(logs.path().join("entry-1.log"), lines()[..7].join("\n")).unwrap();
    std::fs::write(logs.path().join("entry-2.log"), lines()[7..].join("\n")).unwrap();
    let empty = tempfile::tempdir().unwrap();
    let run = |words: &[&str], logs: &std::path::Path| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_lentillead"));
        let done = command
            .arg("losses")
            .args(words)
            .arg(logs)
            .output()
            .unwrap();
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        format!(
            "{:?}\n{}{}",
            done.status.code(),
            text(&done.stdout),
            text(&done.stderr)
        )
    };
    assert_snapshot!(run(&["--pause", "300"], logs.path()));
    assert_snapshot!(run(&["--format", "json"], empty.path()));
}
