//! Acceptance, lost replies, races, and documents in force while the store or peers are away.

use super::sim::Sim;
use super::texts::{EDITOR, SERVICE, VIEWER, document, request};
use crate::ids::ServiceName;
use crate::instance::{CallId, OperatorAnswer, OperatorCall};
use crate::wire::operator::{AcceptReply, OperatorFault};

pub(super) type Answer = Result<AcceptReply, OperatorFault>;

pub(super) fn answer(sim: &Sim, call: CallId) -> Option<Answer> {
    match sim.answers.get(&call)? {
        Ok(OperatorAnswer::Accept(reply)) => Some(Ok(reply.clone())),
        Ok(other) => panic!("not the answer to an acceptance: {other:?}"),
        Err(fault) => Some(Err(fault.clone())),
    }
}

pub(super) fn accept(sim: &mut Sim, node: usize, base: u64, change: u128) -> CallId {
    let text = document(SERVICE, change as u64);
    sim.ask(
        node,
        EDITOR,
        OperatorCall::Accept(request(base, text, change)),
    )
}

pub(super) fn wait(sim: &mut Sim, call: CallId) -> Answer {
    sim.run_until(6_000, "an answer", |sim| answer(sim, call).is_some());
    answer(sim, call).unwrap()
}

fn accepted(revision: u64) -> Answer {
    Ok(AcceptReply::Accepted {
        revision,
        repeated: false,
    })
}

/// A cell with revision 1 in force everywhere.
pub(super) fn cell(count: usize, seed: u64) -> Sim {
    let mut sim = Sim::new(count, seed);
    sim.run(3_000);
    let call = accept(&mut sim, 0, 0, 1);
    assert_eq!(wait(&mut sim, call), accepted(1));
    sim.run_until(5_000, "revision 1 everywhere", |sim| everywhere(sim, 1));
    sim
}

pub(super) fn everywhere(sim: &Sim, revision: u64) -> bool {
    let mut nodes = 0..sim.nodes.len();
    nodes.all(|node| !sim.works(node) || sim.in_force(node) >= revision)
}

#[test]
fn an_accepted_document_is_in_force_everywhere_within_a_second() {
    let mut sim = cell(7, 1);
    let call = accept(&mut sim, 3, 1, 2);
    assert_eq!(wait(&mut sim, call), accepted(2));
    sim.run_until(1_000, "revision 2 everywhere", |sim| everywhere(sim, 2));
}

#[test]
fn of_racing_operators_one_wins_and_the_other_sees_what_changed() {
    for seed in 0..20 {
        let mut sim = cell(3, seed);
        let calls = [accept(&mut sim, 0, 1, 2), accept(&mut sim, 1, 1, 3)];
        let answers = calls.map(|call| wait(&mut sim, call).unwrap());
        let wins = answers
            .iter()
            .filter(|answer| matches!(answer, AcceptReply::Accepted { revision: 2, .. }));
        assert_eq!(wins.count(), 1, "{answers:?}");
        let conflict = answers.iter().find_map(|answer| match answer {
            AcceptReply::Conflict { current, changes } => Some((current, changes)),
            _ => None,
        });
        let (current, changes) = conflict.unwrap();
        assert_eq!(current.revision, 2);
        assert_eq!(changes.len(), 1);
        assert_eq!(changes[0].operator, "erin");
    }
}

#[test]
fn a_lost_reply_is_settled_and_the_change_is_made_once() {
    for seed in 0..40 {
        let mut sim = cell(3, seed);
        sim.faults.lost_percent = 60;
        let call = accept(&mut sim, 0, 1, 2);
        let first = wait(&mut sim, call);
        sim.faults.lost_percent = 0;
        let call = accept(&mut sim, 1, 1, 2);
        let repeated = match wait(&mut sim, call) {
            Ok(AcceptReply::Accepted { revision, repeated }) => {
                assert_eq!(revision, 2, "{first:?}");
                repeated
            }
            other => panic!("{other:?} after {first:?}"),
        };
        assert_eq!(first.is_ok(), first.is_ok() && repeated, "{first:?}");
        sim.run(5_000);
        assert!(everywhere(&sim, 2) && !everywhere(&sim, 3));
        let rows = sim.table.rows.keys();
        let audited = rows.filter(|key| key.starts_with("audit/") && key.contains("/accept/"));
        assert_eq!(audited.count(), 2, "one for each accepted change");
    }
}

#[test]
fn while_the_store_is_down_nothing_is_accepted_and_the_operator_is_told() {
    let mut sim = cell(3, 1);
    sim.faults.store_down = true;
    let call = accept(&mut sim, 0, 1, 2);
    assert_eq!(wait(&mut sim, call), Err(OperatorFault::StoreUnavailable));
    assert!(!everywhere(&sim, 2));
}

#[test]
fn an_instance_cut_from_the_store_hears_of_a_document_from_its_peers() {
    let mut sim = cell(5, 1);
    sim.faults.store_cut.insert(4);
    let call = accept(&mut sim, 0, 1, 2);
    assert_eq!(wait(&mut sim, call), accepted(2));
    sim.run_until(5_000, "revision 2 everywhere", |sim| everywhere(sim, 2));
}

#[test]
fn an_instance_cut_from_its_peers_hears_of_a_document_from_the_store() {
    let mut sim = cell(5, 1);
    sim.faults.peers_cut.insert(4);
    let call = accept(&mut sim, 0, 1, 2);
    assert_eq!(wait(&mut sim, call), accepted(2));
    sim.run_until(5_000, "revision 2 everywhere", |sim| everywhere(sim, 2));
}

#[test]
fn an_acceptor_that_dies_at_once_does_not_keep_the_document_back() {
    let mut sim = cell(5, 1);
    sim.faults.peers_cut.insert(2);
    let call = accept(&mut sim, 2, 1, 2);
    assert_eq!(wait(&mut sim, call), accepted(2));
    sim.kill(2);
    sim.run_until(5_000, "revision 2 everywhere", |sim| everywhere(sim, 2));
}

#[test]
fn a_document_comes_through_an_instance_that_is_not_its_acceptor() {
    let mut sim = cell(5, 1);
    // The acceptor reaches only the store, instance 4 only its other peers.
    sim.faults.peers_cut.insert(2);
    sim.faults.store_cut.insert(4);
    let call = accept(&mut sim, 2, 1, 2);
    assert_eq!(wait(&mut sim, call), accepted(2));
    sim.run_until(5_000, "revision 2 everywhere", |sim| everywhere(sim, 2));
}

#[test]
fn a_new_instance_does_not_believe_the_first_peer_that_answers() {
    for seed in 0..20 {
        let mut sim = cell(4, seed);
        sim.faults.peers_cut.insert(3);
        sim.faults.store_cut.insert(3);
        let call = accept(&mut sim, 0, 1, 2);
        assert_eq!(wait(&mut sim, call), accepted(2));
        sim.run(2_000);
        assert_eq!(sim.in_force(3), 1, "it has missed the change");
        sim.faults.store_down = true;
        sim.faults.peers_cut.clear();
        sim.faults.slow_percent = 40;
        sim.kill(0);
        sim.start(0);
        // The sim asserts that no instance goes back, this one over its replacement included.
        sim.run_until(5_000, "readiness", |sim| sim.in_force(0) == 2);
    }
}

#[test]
fn an_instance_that_reaches_nothing_goes_on_with_its_last_documents() {
    let mut sim = cell(3, 1);
    sim.faults.store_cut.insert(2);
    sim.faults.peers_cut.insert(2);
    sim.run(60_000);
    assert_eq!(sim.in_force(2), 1);
}

#[test]
fn a_new_instance_that_reaches_nothing_serves_nothing() {
    let mut sim = cell(3, 1);
    sim.faults.store_cut.insert(2);
    sim.faults.peers_cut.insert(2);
    sim.kill(2);
    sim.start(2);
    sim.run(60_000);
    assert!(sim.nodes[2].snapshot.is_none());
    sim.faults.peers_cut.clear();
    sim.run_until(5_000, "readiness", |sim| sim.in_force(2) == 1);
}

#[test]
fn all_instances_are_replaced_in_turn_while_the_store_is_down() {
    for seed in 0..5 {
        let mut sim = cell(7, seed);
        let call = accept(&mut sim, 0, 1, 2);
        assert_eq!(wait(&mut sim, call), accepted(2));
        sim.run_until(5_000, "revision 2 everywhere", |sim| everywhere(sim, 2));
        sim.faults.store_down = true;
        for node in 0..7 {
            sim.kill(node);
            sim.start(node);
            sim.run_until(5_000, "readiness", |sim| sim.in_force(node) == 2);
        }
    }
}

#[test]
fn a_control_that_starts_again_behind_its_entry_hands_out_nothing_older() {
    let mut sim = cell(3, 1);
    // Only instance 2 hears of revision 2 before everything else about it is lost to the others.
    sim.faults.peers_cut.insert(2);
    sim.faults.store_cut.extend([0, 1]);
    let call = accept(&mut sim, 2, 1, 2);
    assert_eq!(wait(&mut sim, call), accepted(2));
    sim.run(1_000);
    sim.faults.store_down = true;
    sim.faults.peers_cut.clear();
    sim.faults.peers_cut.insert(2);
    sim.restart_control(2);
    sim.faults.peers_cut.clear();
    sim.nodes[2].snapshot.as_ref().unwrap();
    sim.run(20_000);
    assert_eq!(sim.in_force(2), 2, "the entry keeps what it has");
}

#[test]
fn who_may_accept_a_document() {
    let mut sim = cell(2, 1);
    let ask = |sim: &mut Sim, key: &str, service: &str, change: u128| {
        let mut request = request(0, document(service, 1), change);
        request.service = ServiceName::from(service);
        request.base_revision = u64::from(service == SERVICE);
        let call = sim.ask(0, key, OperatorCall::Accept(request));
        wait(sim, call)
    };
    let not_known = Err(OperatorFault::Unauthenticated);
    let not_allowed = Err(OperatorFault::NotAllowed);
    assert_eq!(ask(&mut sim, VIEWER, SERVICE, 11), not_allowed);
    assert_eq!(ask(&mut sim, "key-of-nobody", SERVICE, 12), not_known);
    assert_eq!(ask(&mut sim, "key-of-nobody", "other", 13), not_known);
    assert_eq!(ask(&mut sim, VIEWER, "other", 14), not_allowed);
    assert!(ask(&mut sim, EDITOR, "other", 15).is_ok());
    assert!(ask(&mut sim, "key-of-the-processes", "third", 16).is_ok());
    assert_eq!(
        ask(&mut sim, "key-of-the-processes", SERVICE, 17),
        not_allowed
    );
}

#[test]
fn a_faulty_document_is_refused_with_its_lines() {
    let mut sim = cell(2, 1);
    let text = document(SERVICE, 2).replace("weight = 1", "weight = -1");
    let call = sim.ask(0, EDITOR, OperatorCall::Accept(request(1, text, 2)));
    let Ok(AcceptReply::Faulty { faults }) = wait(&mut sim, call) else {
        panic!("not refused");
    };
    assert!(
        faults.iter().all(|fault| fault.line.is_some()),
        "{faults:?}"
    );
    assert!(!everywhere(&sim, 2));
}
