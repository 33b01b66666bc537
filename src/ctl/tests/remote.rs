use super::run;
use super::stub::{Behavior, KEY, Store, Stub, TempFile};
use crate::ctl::fault::CtlError;
use crate::ctl::report::Report;
use crate::exit_codes::Exit;
use crate::ids::ServiceName;
use crate::wire::operator::{AcceptRequest, InstanceState};
use uuid::Uuid;

const LEDGER: &str = include_str!("../../../examples/kammoun/ledger-api.toml");
/// An address with no listener.
const UNREACHABLE: &str = "127.0.0.1:1";

async fn run_as(key: &str, line: &str) -> Result<Report, CtlError> {
    let key = TempFile::new(key);
    run(&format!("{line} --key-file {}", key.path())).await
}

fn store_with(text: &str) -> Store {
    let store = Store::default();
    accept_directly(&store, text);
    store
}

fn accept_directly(store: &Store, text: &str) {
    store.accept(AcceptRequest {
        service: ServiceName::from("ledger-api"),
        base_revision: store.revision(),
        text: text.to_owned(),
        change_id: Uuid::new_v4(),
        note: Some("lunch rush".to_owned()),
    });
}

async fn accept(text: &str, options: &str) -> Result<Report, CtlError> {
    let file = TempFile::new(text);
    run_as(KEY, &format!("document accept {} {options}", file.path())).await
}

async fn accept_higher_weight(options: &str) -> Result<Report, CtlError> {
    accept(&ledger_with_higher_weight(), options).await
}

fn ledger_with_higher_weight() -> String {
    LEDGER.replace("weight = 6", "weight = 7")
}

#[actix_rt::test]
async fn accepting_shows_the_changes_and_waits() {
    let store = store_with(LEDGER);
    let control = Stub::new(&store, Behavior::Healthy).start().await;
    let report = accept_higher_weight(&format!("--control {control}"))
        .await
        .unwrap();
    assert_eq!((report.exit, store.revision()), (Exit::Success, 2));
    assert!(
        report
            .text
            .contains("~ accounts.grill-chain.weight: 6 -> 7")
    );
    assert!(report.json["in_force_after_ms"]["entry-lac-1"].is_number());
}

#[actix_rt::test]
async fn the_first_document_has_base_0() {
    let store = Store::default();
    let control = Stub::new(&store, Behavior::Healthy).start().await;
    let report = accept(LEDGER, &format!("--control {control}"))
        .await
        .unwrap();
    assert_eq!(report.json["base_revision"], 0);
    assert!(report.text.starts_with("first document of ledger-api"));
    assert_eq!(store.revision(), 1);
}

#[actix_rt::test]
async fn an_unchanged_text_is_not_accepted_again() {
    let store = store_with(LEDGER);
    let control = Stub::new(&store, Behavior::Healthy).start().await;
    let report = accept(LEDGER, &format!("--control {control}"))
        .await
        .unwrap();
    assert_eq!(report.json["result"], "unchanged");
    assert_eq!(store.revision(), 1);
}

#[actix_rt::test]
async fn a_reply_lost_after_the_write_is_settled_at_the_next_address() {
    let store = store_with(LEDGER);
    let dying = Stub::new(&store, Behavior::DiesAfterWrite).start().await;
    let healthy = Stub::new(&store, Behavior::Healthy).start().await;
    let report = accept_higher_weight(&format!("--control {dying},{healthy}"))
        .await
        .unwrap();
    assert_eq!(report.json["repeated"], true);
    assert_eq!(store.revision(), 2);
}

#[actix_rt::test]
async fn an_unknown_result_is_reported() {
    let store = store_with(LEDGER);
    let control = Stub::new(&store, Behavior::Unsettled).start().await;
    let error = accept_higher_weight(&format!("--timeout 0 --control {control}"))
        .await
        .unwrap_err();
    assert_eq!(error.exit(), Exit::Unavailable);
    assert!(error.to_string().contains("--base 1 --change-id "));
}

#[actix_rt::test]
async fn an_unavailable_store_gives_a_definite_failure() {
    let store = store_with(LEDGER);
    let control = Stub::new(&store, Behavior::StoreDown).start().await;
    let error = accept_higher_weight(&format!("--timeout 0 --control {control}"))
        .await
        .unwrap_err();
    assert!(matches!(error, CtlError::Unavailable { .. }));
}

#[actix_rt::test]
async fn a_conflict_shows_the_changes_since_the_base() {
    let store = store_with(LEDGER);
    accept_directly(&store, &LEDGER.replace("weight = 4", "weight = 5"));
    let control = Stub::new(&store, Behavior::Healthy).start().await;
    let report = accept_higher_weight(&format!("--base 1 --control {control}"))
        .await
        .unwrap();
    assert_eq!((report.exit, store.revision()), (Exit::Conflict, 2));
    insta::assert_snapshot!(report.text);
}

#[actix_rt::test]
async fn an_instance_that_lags_is_named() {
    let store = store_with(LEDGER);
    let mut stub = Stub::new(&store, Behavior::Healthy);
    stub.others = vec![
        ("entry-lac-2", InstanceState::Serving),
        ("entry-lac-3", InstanceState::Suspected),
    ];
    let control = stub.start().await;
    let report = accept_higher_weight(&format!("--timeout 1 --control {control}"))
        .await
        .unwrap();
    assert_eq!(report.exit, Exit::NotInForce);
    assert_eq!(report.json["lagging"][0], "entry-lac-2");
    assert_eq!(report.json["suspected"][0], "entry-lac-3");
}

#[actix_rt::test]
async fn a_faulty_file_is_not_sent() {
    let line = format!("document accept src/document/faulty.toml --control {UNREACHABLE}");
    let error = run_as(KEY, &line).await.unwrap_err();
    assert_eq!(error.exit(), Exit::BadDocument);
}

#[actix_rt::test]
async fn the_next_address_is_tried() {
    let store = store_with(LEDGER);
    let control = Stub::new(&store, Behavior::Healthy).start().await;
    let line = format!("document show ledger-api --control {UNREACHABLE} --control {control}");
    assert_eq!(run_as(KEY, &line).await.unwrap().text, LEDGER);
}

#[actix_rt::test]
async fn a_wrong_key_is_refused_and_not_shown() {
    let store = store_with(LEDGER);
    let control = Stub::new(&store, Behavior::Healthy).start().await;
    let error = run_as("wrong-private-key", &format!("status --control {control}"))
        .await
        .unwrap_err();
    assert_eq!(error.exit(), Exit::NotAllowed);
    assert!(!format!("{error} {error:?}").contains("private"));
}

#[actix_rt::test]
async fn an_unreachable_address_and_a_missing_key_are_distinguished() {
    let error = run_as("", &format!("status --control {UNREACHABLE}"))
        .await
        .unwrap_err();
    assert!(matches!(error, CtlError::NoKey));
    let error = run_as(KEY, &format!("status --control {UNREACHABLE}"))
        .await
        .unwrap_err();
    assert_eq!(error.exit(), Exit::Unavailable);
}

#[actix_rt::test]
async fn a_missing_revision_is_reported() {
    let store = store_with(LEDGER);
    let control = Stub::new(&store, Behavior::Healthy).start().await;
    let line = format!("document show ledger-api --revision 9 --control {control}");
    assert_eq!(run_as(KEY, &line).await.unwrap_err().exit(), Exit::NotFound);
}

#[actix_rt::test]
async fn history_is_newest_first() {
    let store = store_with(LEDGER);
    accept_directly(&store, &ledger_with_higher_weight());
    let control = Stub::new(&store, Behavior::Healthy).start().await;
    let line = format!("document history ledger-api --control {control}");
    insta::assert_snapshot!(run_as(KEY, &line).await.unwrap().text);
}

#[actix_rt::test]
async fn each_address_that_failed_is_named() {
    let store = store_with(LEDGER);
    let control = Stub::new(&store, Behavior::StoreDown).start().await;
    let options = format!("--timeout 0 --control {UNREACHABLE},{control}");
    let error = accept_higher_weight(&options).await.unwrap_err();
    let shown = error.to_string();
    let lines: Vec<&str> = shown.lines().collect();
    // The address that last replied is tried first.
    let store_down = "the table service cannot be reached; nothing took effect, try again";
    assert_eq!(lines[1], format!("{control}: {store_down}"));
    assert!(lines[2].starts_with(&format!("{UNREACHABLE}: cannot connect: ")));
}
