//! Selection of the log entries of one request from recorded logs of several daemons.

use {
    insta::assert_snapshot,
    lentillead::story::{LogEntry, related_entries},
    std::process::Command,
};

/// Recorded log lines; some belong to other requests, some cannot be parsed.
const RECORDED: &str = include_str!("story/refused.log");

fn lines() -> Vec<LogEntry> {
    let lines = RECORDED.lines();
    lines
        .filter_map(|line| LogEntry::parse("file", line))
        .collect()
}

fn story(request: &str) -> String {
    let story = related_entries(&lines(), request);
    let story: Vec<_> = story.iter().map(ToString::to_string).collect();
    story.join("\n")
}

#[test]
fn a_refusal_includes_the_placement_and_the_order_that_led_to_it() {
    assert_snapshot!(story("c18629822dcc09a0"));
}

#[test]
fn an_unknown_request_has_no_story() {
    assert_snapshot!(story("0000000000000000"), @"");
}

#[test]
fn lines_are_parsed_with_and_without_a_host_prefix() {
    let line = r#"{"timestamp":"2026-08-01T09:23:12Z","message":"answered","kvs":{"request":"r"}}"#;
    let prefixed = format!("  8.3 front-2 {line}");
    let hosts = [line, prefixed.as_str(), "no line", "{\"timestamp\":\"cut"]
        .map(|text| LogEntry::parse("front-1", text).map(|line| line.host));
    assert_snapshot!(format!("{hosts:?}"), @r#"[Some("front-1"), Some("front-2"), None, None]"#);
}

#[test]
fn the_command_reads_files_and_reports_when_nothing_is_found() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/story/refused.log");
    let run = |request: &str| {
        let story = Command::new(env!("CARGO_BIN_EXE_lentillead"))
            .args(["story", request, path])
            .output()
            .unwrap();
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).trim_end().to_owned();
        (
            story.status.code(),
            text(&story.stdout).lines().count(),
            text(&story.stderr),
        )
    };
    assert_snapshot!(format!("{:?}\n{:?}", run("c18629822dcc09a0"), run("none")));
}
