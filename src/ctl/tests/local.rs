use clap::{CommandFactory, Parser};

use super::run;
use crate::ctl::cli::Cli;
use crate::exit_codes::Exit;
use crate::keys;

fn help_of(path: &[&str]) -> String {
    let mut command = Cli::command().term_width(100);
    command.build();
    let mut found = &mut command;
    for name in path {
        found = found.find_subcommand_mut(name).unwrap();
    }
    found.render_help().to_string()
}

#[test]
fn help_lists_the_commands() {
    insta::assert_snapshot!("help", help_of(&[]));
    insta::assert_snapshot!("help_document", help_of(&["document"]));
    insta::assert_snapshot!("help_accept", help_of(&["document", "accept"]));
    insta::assert_snapshot!("help_audit", help_of(&["audit"]));
}

#[test]
fn the_command_line_is_consistent() {
    Cli::command().debug_assert();
}

#[test]
fn a_key_is_not_accepted_as_an_argument() {
    let args = ["fescuectl", "status", "--key", "fsk_1"];
    assert!(Cli::try_parse_from(args).is_err());
}

#[test]
fn a_change_id_requires_a_base() {
    let id = "018f3a5e-7c1b-7000-8000-000000000000";
    let args = [
        "fescuectl",
        "document",
        "accept",
        "f.toml",
        "--change-id",
        id,
    ];
    assert!(Cli::try_parse_from(args).is_err());
}

#[actix_rt::test]
async fn a_document_without_faults_passes() {
    let report = run("document check examples/kammoun/menu-mind.toml")
        .await
        .unwrap();
    assert_eq!(report.exit, Exit::Success);
    insta::assert_snapshot!(report.text);
}

#[actix_rt::test]
async fn a_faulty_document_is_shown_with_its_file_and_lines() {
    let error = run("document check src/document/faulty.toml")
        .await
        .unwrap_err();
    assert_eq!(error.exit(), Exit::BadDocument);
    let shown = error.to_string();
    let first = shown.lines().next().unwrap();
    assert_eq!(
        first,
        "src/document/faulty.toml:1: service: missing; add it"
    );
}

#[actix_rt::test]
async fn settings_are_checked() {
    let report = run("settings check examples/settings.toml").await.unwrap();
    insta::assert_snapshot!(report.text);
    let error = run("settings check src/settings/faulty.toml")
        .await
        .unwrap_err();
    assert_eq!(error.exit(), Exit::BadSettings);
}

#[actix_rt::test]
async fn a_missing_file_is_named() {
    let error = run("document check no-such.toml").await.unwrap_err();
    assert_eq!(error.exit(), Exit::Fault);
    assert!(error.to_string().starts_with("no-such.toml: "));
}

#[actix_rt::test]
async fn a_new_key_is_printed_with_its_digest() {
    let report = run("key new").await.unwrap();
    let key = report.json["key"].as_str().unwrap();
    let digest = format!("sha256:{}", hex::encode(keys::digest(key).0));
    assert_eq!(report.json["digest"], digest);
}

#[actix_rt::test]
async fn two_files_are_compared_locally() {
    let line = "document diff examples/kammoun/ledger-api.toml \
                --against examples/consortium/panel-desk.toml";
    let report = run(line).await.unwrap();
    assert!(report.text.contains("~ service: panel-desk -> ledger-api"));
}

#[actix_rt::test]
async fn completions_name_the_commands() {
    let report = run("completions bash").await.unwrap();
    assert!(
        report
            .text
            .contains("fescuectl__subcmd__document__subcmd__accept")
    );
}

#[tokio::test]
async fn a_trace_has_the_request_and_earlier_events_of_its_endpoints() {
    let directory = tempfile::tempdir().expect("the temporary directory is writable");
    let line = |at: &str, message: &str, values: &str| {
        format!(r#"{{"at":"{at}","level":"INFO","message":"{message}","values":{values}}}"#)
    };
    let one = [
        line(
            "10:00:01",
            "endpoint is left out",
            r#"{"cause":"ended","endpoint":"e-7"}"#,
        ),
        line(
            "10:00:01",
            "endpoint is left out",
            r#"{"cause":"ended","endpoint":"e-9"}"#,
        ),
        line(
            "10:00:03",
            "stream ended",
            r#"{"request":"r-1","chain":"e-1=0-4,e-7=4-8","limit":"budget","known_at_send":"e-1=store:90ms,e-7=list@front-3:850ms"}"#,
        ),
        line("10:00:04", "endpoint is gone", r#"{"endpoint":"e-7"}"#),
    ];
    let two = [
        "a line of another program".to_owned(),
        line(
            "10:00:02",
            "run failed",
            r#"{"request":"r-1","at_fault":"e-7"}"#,
        ),
        line(
            "10:00:02",
            "run failed",
            r#"{"request":"r-2","at_fault":"e-7"}"#,
        ),
    ];
    let files = [("a.log", one.join("\n")), ("b.log", two.join("\n"))];
    let mut args = vec!["fescuectl".to_owned(), "trace".to_owned(), "r-1".to_owned()];
    for (name, text) in files {
        let path = directory.path().join(name);
        std::fs::write(&path, text).expect("the temporary directory is writable");
        args.push(path.display().to_string());
    }
    let cli = Cli::try_parse_from(args).expect("the arguments are valid");
    let report = crate::ctl::commands::run(cli)
        .await
        .expect("the files can be read");
    insta::assert_snapshot!(report.text);
}
