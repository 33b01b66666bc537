//! Broken settings and documents: nothing starts, nothing is accepted, and the message says why.

use std::path::Path;
use std::process::{Command, Output};

use fescue_bench::fleet::{accept_text, connect_control, operator_key, program, repository_root};
use fescueshore::exit_codes::Exit;
use fescueshore::rpc::OperatorApiClient;
use fescueshore::wire::operator::AcceptReply;

use crate::env::Env;

/// Settings with an unknown key, a bad address and a missing table.
const BROKEN: &str = r#"[instance]
name = "entry-lac-1"
zone = "Lac"
colour = "green"

[entry]
listen = "127.0.0.1"

[control]
listen = "127.0.0.1:7002"

[peers]
key = "secret-of-the-peers"
"#;

fn run(binary: &str, args: &[&str]) -> Output {
    let path = program(binary).expect("program");
    Command::new(path).args(args).output().expect("run")
}

fn code(exit: Exit) -> Option<i32> {
    Some(i32::from(exit.code()))
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

fn write(dir: &Path, name: &str, text: &str) -> String {
    let path = dir.join(name);
    std::fs::write(&path, text).expect("file");
    path.to_string_lossy().into_owned()
}

#[test]
fn broken_settings_stop_both_daemons_with_every_fault() {
    let dir = tempfile::tempdir().expect("dir");
    let path = write(dir.path(), "broken.toml", BROKEN);
    for binary in ["fescue-entry", "fescue-control"] {
        let output = run(binary, &["--settings", &path]);
        let message = stderr(&output);
        assert_eq!(output.status.code(), code(Exit::BadSettings), "{message}");
        for part in ["broken.toml", "colour", "listen", "platform"] {
            assert!(
                message.contains(part),
                "{binary} does not name {part}: {message}"
            );
        }
        assert!(!message.contains("secret-of-the-peers"), "{message}");
    }
}

#[test]
fn missing_settings_stop_both_daemons() {
    for binary in ["fescue-entry", "fescue-control"] {
        let output = run(binary, &["--settings", "no-such-file.toml"]);
        assert_eq!(output.status.code(), code(Exit::BadSettings));
        assert!(stderr(&output).contains("no-such-file.toml"));
    }
}

#[test]
fn a_broken_document_is_refused_by_the_check() {
    let dir = tempfile::tempdir().expect("dir");
    let path = write(
        dir.path(),
        "document.toml",
        "service = \"ledger-api\"\nkind = \"other\"\n",
    );
    let output = run("fescuectl", &["document", "check", &path]);
    let message = stderr(&output);
    assert_eq!(output.status.code(), code(Exit::BadDocument), "{message}");
    assert!(message.contains("document.toml"), "{message}");
}

#[actix_rt::test]
async fn a_broken_document_is_not_accepted_and_what_was_in_force_stays() {
    let env = Env::start().await;
    let control = env.fleet.control_address(0);
    let service = "ledger-api".into();
    let good = repository_root().join("examples/kammoun/ledger-api.toml");
    let text = std::fs::read_to_string(good).expect("document");
    let broken = text.replace("weight = 6", "weight = -6");
    let reply = accept_text(control, "amira", &service, 1, &broken).await;
    let Ok(AcceptReply::Faulty { faults }) = reply else {
        panic!("{reply:?}");
    };
    assert!(
        faults.iter().any(|fault| fault.line.is_some()),
        "{faults:?}"
    );
    let client = connect_control(control).await.expect("control");
    let key = operator_key("amira");
    let held = client.document(key, service, None).await.expect("document");
    assert_eq!(held.entry.revision, 1);
    assert_eq!(held.text, text);
}
