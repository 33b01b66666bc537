//! Accepted documents: in force everywhere within 5 s, and never an older one again.

use std::time::{Duration, Instant};

use fescue_bench::caller::{AttemptEnd, Patience, attempt};
use fescue_bench::fleet::{
    ProcessName, accept_request, accept_text, connect_control, operator_key, repository_root,
    wait_until,
};
use fescue_bench::proxy::Proxy;
use fescue_bench::standin::faults::Fault;
use fescueshore::ids::ServiceName;
use fescueshore::outcome::{Outcome, RefusalCode};
use fescueshore::rpc::OperatorApiClient;
use fescueshore::wire::operator::{AcceptReply, AcceptRequest};
use futures_util::future::join_all;
use uuid::Uuid;

use crate::env::{Env, ask_answered, eventually, print_time, read};

/// How long a document may take to be in force everywhere.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(5);
const LEDGER: &str = "ledger-api";

/// A document of the Kammoun deployment as the repository has it.
pub fn document_text(service: &str) -> String {
    let path = format!("examples/kammoun/{service}.toml");
    std::fs::read_to_string(repository_root().join(path)).expect("document")
}

/// The same document with a remark.
fn remarked(remark: &str) -> String {
    format!("# {remark}\n{}", document_text(LEDGER))
}

/// Accepts a document at an instance and fails the test unless it is accepted.
pub async fn accept_change(env: &Env, index: usize, service: &str, base: u64, text: &str) -> u64 {
    let control = env.fleet.control_address(index);
    let reply = accept_text(control, "amira", &service.into(), base, text).await;
    match reply {
        Ok(AcceptReply::Accepted { revision, .. }) => revision,
        other => panic!("{other:?}"),
    }
}

/// Revision in force at an instance; `None` if it does not say.
async fn revision_at(env: &Env, index: usize) -> Option<u64> {
    let control = env.fleet.control_address(index);
    let client = connect_control(control).await.ok()?;
    let service = ServiceName::from(LEDGER);
    let held = client.documents(operator_key("amira")).await.ok()?;
    let entry = held.into_iter().find(|entry| entry.service == service)?;
    Some(entry.revision)
}

/// Fails the test unless a revision is in force at all of these instances within one limit from now.
async fn assert_in_force(env: &Env, instances: &[usize], revision: u64) {
    let waits = instances.iter().map(|index| async move {
        wait_until(IN_FORCE_LIMIT, async || {
            revision_at(env, *index).await == Some(revision)
        })
        .await
    });
    let began = Instant::now();
    let held = join_all(waits).await;
    assert!(
        held.iter().all(|held| *held),
        "revision {revision} at {instances:?}: {held:?}"
    );
    print_time("document in force", began.elapsed());
}

async fn restart_instance(env: &mut Env, index: usize) {
    let name = env.fleet.topology().entries[index].name.clone();
    for process in [
        ProcessName::Control(name.clone()),
        ProcessName::Entry(name.clone()),
    ] {
        env.fleet.process(&process).expect("process").kill();
    }
    env.fleet.start_control(&name).await.expect("control");
    env.fleet.start_entry(&name).await.expect("entry");
}

#[actix_rt::test]
async fn of_two_operators_who_race_one_wins_and_the_other_sees_what_changed() {
    let env = Env::start().await;
    let controls: Vec<_> = env
        .fleet
        .topology()
        .entries
        .iter()
        .map(|e| e.control_address)
        .collect();
    let service = ServiceName::from(LEDGER);
    let texts = [remarked("first"), remarked("second")];
    let (first, second) = futures_util::join!(
        accept_text(controls[0], "amira", &service, 1, &texts[0]),
        accept_text(controls[1], "amira", &service, 1, &texts[1])
    );
    let replies = [first.expect("call"), second.expect("call")];
    let won = replies
        .iter()
        .position(|reply| matches!(reply, AcceptReply::Accepted { .. }));
    let won = won.expect("no operator won");
    let AcceptReply::Conflict { current, changes } = &replies[1 - won] else {
        panic!("{replies:?}");
    };
    assert_eq!(current.revision, 2);
    assert_eq!(current.text, texts[won]);
    assert!(!changes.is_empty());
    assert_in_force(&env, &[0, 1, 2], 2).await;
}

#[actix_rt::test]
async fn an_acceptance_whose_reply_was_lost_takes_effect_once() {
    let env = Env::start().await;
    let table = env.fleet.topology().platform.table;
    let control = env.fleet.control_address(0);
    let request = AcceptRequest {
        service: LEDGER.into(),
        base_revision: 1,
        text: remarked("reply lost"),
        change_id: Uuid::now_v7(),
        note: None,
    };
    let row = format!("document/{LEDGER}");
    env.fault(table, Fault::lose_replies_of(&row, 2)).await;
    let mut revision = 0;
    eventually("the change is accepted", async || {
        let reply = accept_request(control, "amira", request.clone()).await;
        match reply {
            Ok(AcceptReply::Accepted { revision: made, .. }) => revision = made,
            Ok(other) => panic!("{other:?}"),
            Err(_) => {}
        }
        revision > 0
    })
    .await;
    assert_eq!(revision, 2);
    let lost = env.table().await.lost_replies;
    assert!(lost > 0, "no reply of the acceptance was lost");
    assert_in_force(&env, &[0, 1, 2], 2).await;
    let client = connect_control(control).await.expect("control");
    let history = client.history(operator_key("amira"), LEDGER.into(), 10);
    assert_eq!(history.await.expect("history").len(), 2);
}

#[actix_rt::test]
async fn an_instance_replaced_while_the_store_is_down_starts_with_the_newest_document() {
    let mut env = Env::start().await;
    let table = env.fleet.topology().platform.table;
    let revision = accept_change(&env, 0, LEDGER, 1, &remarked("before the outage")).await;
    assert_in_force(&env, &[0, 1, 2], revision).await;
    env.fault(table, Fault::Outage).await;
    restart_instance(&mut env, 2).await;
    assert_eq!(revision_at(&env, 2).await, Some(revision));
    let mut caller = env.caller();
    caller.prefer(env.entry(2));
    ask_answered(&mut caller, read()).await;
}

#[actix_rt::test]
async fn an_instance_cut_from_the_store_hears_of_a_document_from_its_peers() {
    let mut env = Env::start().await;
    let table = relay_table(&mut env, 2).await;
    table.cut();
    let revision = accept_change(&env, 0, LEDGER, 1, &remarked("while 2 is cut off")).await;
    assert_in_force(&env, &[0, 1, 2], revision).await;
}

#[actix_rt::test]
async fn instances_cut_from_each_other_hear_of_a_document_from_the_store() {
    let (env, peers) = Env::start_with_peer_relays().await;
    for proxy in &peers {
        proxy.cut();
    }
    let revision = accept_change(&env, 0, LEDGER, 1, &remarked("while peers are cut off")).await;
    assert_in_force(&env, &[0, 1, 2], revision).await;
}

#[actix_rt::test]
async fn an_instance_cut_from_store_and_peers_keeps_what_it_has_and_catches_up() {
    let (mut env, peers) = Env::start_with_peer_relays().await;
    let table = relay_table(&mut env, 2).await;
    table.cut();
    for proxy in &peers {
        proxy.cut();
    }
    let revision = accept_change(&env, 0, LEDGER, 1, &remarked("while 2 reaches nothing")).await;
    assert_in_force(&env, &[0, 1], revision).await;
    assert_eq!(revision_at(&env, 2).await, Some(1));
    let mut caller = env.caller();
    caller.prefer(env.entry(2));
    ask_answered(&mut caller, read()).await;
    table.restore();
    assert_in_force(&env, &[2], revision).await;
}

#[actix_rt::test]
async fn a_silent_connection_to_the_store_delays_no_document() {
    let mut env = Env::start().await;
    let table = relay_table(&mut env, 2).await;
    table.silence();
    let revision = accept_change(&env, 2, LEDGER, 1, &remarked("over a fresh connection")).await;
    assert_in_force(&env, &[0, 1, 2], revision).await;
}

#[actix_rt::test]
async fn silent_connections_between_peers_delay_no_document() {
    let (env, peers) = Env::start_with_peer_relays().await;
    for proxy in &peers {
        proxy.silence();
    }
    let revision = accept_change(&env, 0, LEDGER, 1, &remarked("while peers are silent")).await;
    assert_in_force(&env, &[0, 1, 2], revision).await;
}

#[actix_rt::test]
async fn all_instances_replaced_in_turn_while_the_store_is_down_keep_the_document() {
    let mut env = Env::start().await;
    let table = env.fleet.topology().platform.table;
    let revision = accept_change(&env, 0, LEDGER, 1, &remarked("before the outage")).await;
    assert_in_force(&env, &[0, 1, 2], revision).await;
    env.fault(table, Fault::Outage).await;
    for index in 0..3 {
        restart_instance(&mut env, index).await;
        assert_eq!(revision_at(&env, index).await, Some(revision));
    }
    ask_answered(&mut env.caller(), read()).await;
    env.fault(table, Fault::Clear).await;
    assert_in_force(&env, &[0, 1, 2], revision).await;
}

#[actix_rt::test]
async fn a_new_instance_that_reaches_nothing_serves_nothing() {
    let (mut env, peers) = Env::start_with_peer_relays().await;
    let table = relay_table(&mut env, 2).await;
    table.cut();
    for proxy in &peers {
        proxy.cut();
    }
    let name = env.fleet.topology().entries[2].name.clone();
    for process in [
        ProcessName::Control(name.clone()),
        ProcessName::Entry(name.clone()),
    ] {
        env.fleet.process(&process).expect("process").kill();
    }
    env.fleet.start_control(&name).await.expect("control");
    env.fleet.launch_entry(&name).expect("entry");
    eventually("the entry answers", async || {
        env.fleet.standins().is_ok(env.entry(2), "/healthz").await
    })
    .await;
    let http = awc::Client::default();
    let answers = Instant::now();
    while answers.elapsed() < IN_FORCE_LIMIT {
        let end = attempt(&http, env.entry(2), &read(), Patience::default(), || ()).await;
        let AttemptEnd::Refused(refused) = end else {
            panic!("{end:?}");
        };
        assert_eq!(refused.code, RefusalCode::NotReady);
        assert_eq!(refused.outcome, Outcome::NotRun);
        assert!(!env.fleet.standins().is_ok(env.entry(2), "/readyz").await);
        actix_rt::time::sleep(Duration::from_millis(100)).await;
    }
    table.restore();
    assert_in_force(&env, &[2], 1).await;
    let mut caller = env.caller();
    caller.prefer(env.entry(2));
    ask_answered(&mut caller, read()).await;
}

/// Puts a relay between one instance and the table service.
async fn relay_table(env: &mut Env, index: usize) -> Proxy {
    let mut platform = env.fleet.topology().platform.clone();
    let address = env.fleet.spare_address();
    let proxy = Proxy::start(address, platform.table).await.expect("proxy");
    platform.table = address;
    env.fleet.place_platform(platform);
    restart_instance(env, index).await;
    assert!(proxy.opened() > 0, "the instance does not use the relay");
    proxy
}
