//! Status, history, audit trail, explanations.

use super::documents::{accept, cell, wait};
use super::sim::Sim;
use super::texts::{EDITOR, SERVICE, VIEWER};
use crate::ids::{AccountId, EndpointId, RequestId, ServiceName};
use crate::instance::{OperatorAnswer, OperatorCall};
use crate::wire::operator::{AuditEntry, AuditEvent, ExplainSubject, InstanceState, OperatorFault};

fn ask(
    sim: &mut Sim,
    node: usize,
    key: &str,
    ask: OperatorCall,
) -> Result<OperatorAnswer, OperatorFault> {
    let call = sim.ask(node, key, ask);
    sim.run_until(6_000, "an answer", |sim| sim.answers.contains_key(&call));
    sim.answers[&call].clone()
}

fn audit(sim: &mut Sim) -> Vec<AuditEntry> {
    let mut entries = Vec::new();
    let mut after = None;
    loop {
        let page = ask(sim, 0, VIEWER, OperatorCall::Audit { after, limit: 2 });
        let Ok(OperatorAnswer::Audit(page)) = page else {
            panic!("{page:?}");
        };
        entries.extend(page.entries);
        after = page.next;
        if after.is_none() {
            return entries;
        }
    }
}

#[test]
fn status_shows_the_revision_in_force_at_every_instance() {
    let mut sim = cell(3, 1);
    let call = accept(&mut sim, 0, 1, 2);
    wait(&mut sim, call).unwrap();
    sim.run(2_000);
    let Ok(OperatorAnswer::Status(status)) = ask(&mut sim, 1, VIEWER, OperatorCall::Status) else {
        panic!("no status");
    };
    assert_eq!(status.instances.len(), 3);
    for instance in &status.instances {
        assert_eq!(instance.state, InstanceState::Serving);
        assert_eq!(instance.revisions[&ServiceName::from(SERVICE)], 2);
    }
}

#[test]
fn history_is_newest_first_and_past_revisions_can_be_read() {
    let mut sim = cell(2, 1);
    let call = accept(&mut sim, 1, 1, 2);
    wait(&mut sim, call).unwrap();
    let service = ServiceName::from(SERVICE);
    let history = OperatorCall::History {
        service: service.clone(),
        limit: 10,
    };
    let Ok(OperatorAnswer::History(entries)) = ask(&mut sim, 1, VIEWER, history) else {
        panic!("no history");
    };
    let revisions: Vec<u64> = entries.iter().map(|entry| entry.revision).collect();
    assert_eq!(revisions, [2, 1]);
    let past = OperatorCall::Document {
        service,
        revision: Some(1),
    };
    let Ok(OperatorAnswer::Document(document)) = ask(&mut sim, 0, VIEWER, past) else {
        panic!("no document");
    };
    assert_eq!(document.entry.revision, 1);
}

#[test]
fn an_unknown_key_sees_nothing() {
    let mut sim = cell(2, 1);
    let calls = [
        OperatorCall::Status,
        OperatorCall::Documents,
        OperatorCall::Metrics,
        OperatorCall::Audit {
            after: None,
            limit: 10,
        },
    ];
    for call in calls {
        let result = ask(&mut sim, 0, "key-of-nobody", call);
        assert_eq!(result, Err(OperatorFault::Unauthenticated));
    }
}

#[test]
fn the_trail_has_every_accepted_change_after_an_outage_and_lost_replies() {
    let mut sim = cell(3, 1);
    sim.faults.lost_percent = 30;
    for revision in 1..5 {
        let call = accept(&mut sim, 0, revision, u128::from(revision) + 1);
        let _ = wait(&mut sim, call);
        sim.faults.store_down = revision == 2;
        sim.run(10_000);
        sim.faults.store_down = false;
    }
    sim.faults.lost_percent = 0;
    sim.run(10_000);
    let accepted = sim.in_force(0);
    let mut revisions: Vec<u64> = audit(&mut sim)
        .iter()
        .filter_map(|entry| match &entry.event {
            AuditEvent::DocumentAccepted { change } => Some(change.revision),
            _ => None,
        })
        .collect();
    revisions.sort_unstable();
    assert_eq!(revisions, (1..=accepted).collect::<Vec<u64>>());
}

#[test]
fn what_the_system_did_during_an_outage_is_written_afterwards() {
    let mut sim = cell(3, 1);
    sim.faults.store_down = true;
    sim.kill(2);
    sim.run(30_000);
    sim.faults.store_down = false;
    sim.run(10_000);
    let lost = |entry: &AuditEntry| {
        matches!(&entry.event,
        AuditEvent::InstanceLost { instance, .. } if *instance == sim_name(2))
    };
    let entries = audit(&mut sim);
    assert_eq!(entries.iter().filter(|entry| lost(entry)).count(), 1);
}

fn sim_name(index: usize) -> crate::ids::InstanceId {
    crate::ids::InstanceId::from(format!("entry-{index}"))
}

#[test]
fn an_explanation_is_gathered_over_the_cell() {
    use crate::wire::local::{Decision, DecisionRecord};
    let mut sim = cell(3, 1);
    sim.nodes[2].decisions.push(DecisionRecord {
        at_unix_ms: 5,
        request: RequestId::from("r-1"),
        account: AccountId::from("a"),
        service: ServiceName::from(SERVICE),
        endpoints: vec![EndpointId::from("e-1"), EndpointId::from("e-2")],
        decision: Decision::Routed { epoch: 1 },
    });
    sim.run(1_000);
    sim.kill(1);
    sim.run(5_000);
    let subject = ExplainSubject::Request {
        request: RequestId::from("r-1"),
    };
    let explain = OperatorCall::Explain(subject);
    let Ok(OperatorAnswer::Explain(reply)) = ask(&mut sim, 0, VIEWER, explain) else {
        panic!("no explanation");
    };
    let texts: Vec<&str> = reply.lines.iter().map(|line| line.text.as_str()).collect();
    assert_eq!(
        texts,
        ["request r-1 of account a for service menus was sent to e-1, e-2"]
    );
    assert_eq!(reply.unreachable, [sim_name(1)]);
}

#[test]
fn no_key_is_in_any_message_shown_or_written() {
    let mut sim = cell(2, 1);
    let message = crate::instance::ControlMessage::OperatorAsked {
        call: crate::instance::CallId(1),
        key: crate::instance::PresentedKey::from(EDITOR.to_owned()),
        ask: OperatorCall::Status,
    };
    assert!(!format!("{message:?}").contains(EDITOR));
    sim.kill(1);
    sim.run(10_000);
    let rows = sim.table.rows.values();
    assert!(!rows.into_iter().any(|row| row.value.contains(EDITOR)));
}
