//! Parsing and checks of a settings file: all faults in one report, and no key in any text.

use {insta::assert_snapshot, lentillead::border::parse_settings};

const FAULTY: &str = "
host: ''
zone: 7
listen: {callers: nonsense, peers: '0.0.0.0:7102'}
platfrom: {address: '10.0.0.1:7000'}
platform: {address: 'platform.example:7000', calls: 0}
keys: {operators: short, peers: 0123456789abcdef}
branches:
- {name: north, key: 0123456789abcdefg, queue_bytes: -1}
- {name: north, key: 0123456789abcdefg, quota: 5}
limits: {header_time: 5}
timing: {heartbeat: 5s, suspect: 2s, load: 0ms, hosts: 2 weeks}
claims: []
orders:
  term: 1m
log: {level: loud, file: ''}
";

#[test]
fn every_fault_is_reported_at_once() {
    assert_snapshot!("settings_faults", parse_settings(FAULTY).unwrap_err());
}

#[test]
fn a_misplaced_key_is_not_shown() {
    let texts = [
        "keys: top-secret",
        "branches: [top-secret]",
        "top-secret",
        "keys: [top-secret",
    ];
    let seen = texts.map(|text| parse_settings(text).unwrap_err().to_string());
    assert!(!seen.concat().contains("top-secret"), "{seen:?}");
    assert!(seen[0].contains("keys: found a string; allowed: a mapping"));
}

#[test]
fn a_yaml_syntax_error_names_its_position() {
    let broken = ["host: [a", "host: a\nhost: b", "- a"];
    let seen = broken.map(|text| parse_settings(text).unwrap_err().to_string());
    assert_snapshot!("settings_broken", seen.join("\n---\n"));
}

#[test]
fn example_settings_parse_and_debug_output_hides_keys() {
    let files = [
        include_str!("../examples/kovacsreti/settings.yaml"),
        include_str!("../examples/trin-cymru/settings.yaml"),
    ];
    for text in files {
        let shown = format!("{:?}", parse_settings(text).unwrap());
        assert!(!shown.contains("example-"), "{shown}");
    }
}
