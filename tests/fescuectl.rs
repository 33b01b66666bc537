//! The real binary: where it prints, and how it ends.

use std::io;
use std::process::{Command, Output};

use fescueshore::exit_codes::Exit;

fn fescuectl(line: &str) -> io::Result<Output> {
    Command::new(env!("CARGO_BIN_EXE_fescuectl"))
        .args(line.split_whitespace())
        .env_remove("FESCUE_CONTROL")
        .env_remove("FESCUE_KEY")
        .output()
}

fn ends(output: &Output, exit: Exit) -> bool {
    output.status.code() == Some(i32::from(exit.code()))
}

#[test]
fn a_result_goes_to_standard_output() {
    let output = fescuectl("document check examples/consortium/panel-desk.toml --json").unwrap();
    assert!(ends(&output, Exit::Success) && output.stderr.is_empty());
    let json: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(json["service"], "panel-desk");
}

#[test]
fn faults_go_to_standard_error_each_with_its_place() {
    let output = fescuectl("settings check src/settings/faulty.toml").unwrap();
    assert!(ends(&output, Exit::BadSettings) && output.stdout.is_empty());
    let lines = String::from_utf8(output.stderr).unwrap();
    let place = "fescuectl: src/settings/faulty.toml:";
    assert!(lines.lines().all(|line| line.starts_with(place)), "{lines}");
}

#[test]
fn a_failure_is_json_if_asked() {
    let output = fescuectl("document check src/document/faulty.toml --json").unwrap();
    assert!(ends(&output, Exit::BadDocument));
    let json: serde_json::Value = serde_json::from_slice(&output.stderr).unwrap();
    assert_eq!(json["exit"], "bad-document");
}

#[test]
fn a_wrong_command_line_says_how_to_call() {
    let output = fescuectl("document accept").unwrap();
    assert!(ends(&output, Exit::Usage));
    assert!(
        String::from_utf8(output.stderr)
            .unwrap()
            .contains("Usage: ")
    );
    assert!(ends(&fescuectl("status").unwrap(), Exit::Usage));
    assert!(ends(
        &fescuectl("status --control 127.0.0.1:1").unwrap(),
        Exit::NotAllowed
    ));
}

#[test]
fn help_is_a_success() {
    let output = fescuectl("help").unwrap();
    assert!(ends(&output, Exit::Success) && output.stderr.is_empty());
}
