//! Exit status and output of the built `lentillead` command.

use {insta::assert_snapshot, std::process::Command};

fn run(words: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_lentillead"))
        .args(words)
        .env_remove("LENTILLEAD_OPERATOR_KEY")
        .output()
        .unwrap();
    let line = words.join(" ");
    let status = output.status.code().unwrap();
    let stdout = String::from_utf8_lossy(&output.stdout);
    let stderr = String::from_utf8_lossy(&output.stderr);
    format!("$ {line}\n{stdout}{stderr}= {status}\n")
}

#[test]
fn commands_report_errors_and_exit_statuses() {
    const SETTINGS: &str = "examples/kovacsreti/settings.yaml";
    const SHEET: &str = "examples/kovacsreti/sheet.csv";

    let seen = [
        run(&["settings", "check", SETTINGS]),
        run(&["settings", "check", SHEET]),
        run(&["settings", "check", "missing.yaml"]),
        run(&["sheet", "check", "--settings", SETTINGS, SHEET]),
        run(&[
            "sheet",
            "check",
            "--settings",
            SETTINGS,
            "tests/sheets/faulty.csv",
        ]),
        run(&["sheet", "history"]),
        run(&["status", "--settings", SETTINGS, "--daemon", "127.0.0.1:1"]),
        run(&["status", "--format", "xml"]),
        run(&["sheet", "sbumit"]),
    ];
    assert_snapshot!("command_line", seen.concat());
}
