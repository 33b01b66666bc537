//! Non-idempotent calls: a call is sent only after its claim is written, and never twice.

use super::fixture::*;
use crate::clients::TableFailure;
use crate::instance::{
    ApplicationFailure, CallId, EntryEffect, EntryMessage, TableCall, TableReply,
};
use crate::outcome::Outcome;
use crate::wire::platform::TransactReply;

fn table_call(effects: &[EntryEffect]) -> Option<(CallId, TableCall)> {
    effects.iter().find_map(|effect| match effect {
        EntryEffect::CallTable { call, table, .. } => Some((*call, table.clone())),
        _ => None,
    })
}

fn sent(effects: &[EntryEffect]) -> Option<CallId> {
    effects.iter().find_map(|effect| match effect {
        EntryEffect::CallApplication { call, .. } => Some(*call),
        _ => None,
    })
}

fn outcome(effects: &[EntryEffect]) -> Option<Outcome> {
    effects.iter().find_map(|effect| match effect {
        EntryEffect::SendRefusal { refusal, .. } => Some(refusal.outcome),
        _ => None,
    })
}

fn committed(call: CallId) -> EntryMessage {
    let result = Ok(TableReply::Transacted(TransactReply::Committed {
        version: 1,
    }));
    EntryMessage::TableAnswered { call, result }
}

#[test]
fn a_stock_count_is_sent_once_its_claim_is_written() {
    let mut entry = entry();
    let effects = arrive(&mut entry, 1, stock_count("r1", "k1"), 10);
    assert_eq!(sent(&effects), None);
    let (claim, table) = table_call(&effects).unwrap();
    assert!(matches!(table, TableCall::Transact(_)));
    assert!(sent(&entry.handle(committed(claim), 20)).is_some());
}

#[test]
fn a_stock_count_whose_claim_cannot_be_written_is_refused_as_not_run() {
    let mut entry = entry();
    let effects = arrive(&mut entry, 1, stock_count("r1", "k1"), 10);
    let (call, _) = table_call(&effects).unwrap();
    let result = Err(TableFailure::NotSent);
    let refused = entry.handle(EntryMessage::TableAnswered { call, result }, 20);
    assert_eq!(sent(&refused), None);
    assert_eq!(outcome(&refused), Some(Outcome::NotRun));
}

#[test]
fn a_stock_count_whose_reply_was_lost_is_unknown_and_not_sent_again() {
    let mut entry = entry();
    let effects = arrive(&mut entry, 1, stock_count("r1", "k1"), 10);
    let (claim, _) = table_call(&effects).unwrap();
    let call = sent(&entry.handle(committed(claim), 20)).unwrap();
    let result = Err(ApplicationFailure::ReplyLost);
    let effects = entry.handle(EntryMessage::ApplicationAnswered { call, result }, 30);
    assert_eq!(sent(&effects), None);
    assert_eq!(outcome(&effects), Some(Outcome::Unknown));
}

#[test]
fn a_stock_count_that_was_not_sent_goes_to_the_other_replica() {
    let mut entry = entry();
    let effects = arrive(&mut entry, 1, stock_count("r1", "k1"), 10);
    let (claim, _) = table_call(&effects).unwrap();
    let call = sent(&entry.handle(committed(claim), 20)).unwrap();
    let result = Err(ApplicationFailure::NotSent);
    let effects = entry.handle(EntryMessage::ApplicationAnswered { call, result }, 30);
    assert!(sent(&effects).is_some());
}

#[test]
fn only_the_holding_incarnation_says_that_it_works_on_a_claim() {
    let mut entry = entry();
    let effects = arrive(&mut entry, 1, stock_count("r1", "k1"), 10);
    let (_, TableCall::Transact(transaction)) = table_call(&effects).unwrap() else {
        panic!("expected a transaction");
    };
    let crate::wire::platform::Write::Put { key, .. } = &transaction.writes[0] else {
        panic!("expected a row write");
    };
    let mut working = |incarnation| {
        let asked = EntryMessage::HolderAsked {
            call: CallId(99),
            incarnation,
            claim: key.clone(),
        };
        let effects = entry.handle(asked, 20);
        matches!(
            effects[..],
            [EntryEffect::AnswerHolder { working: true, .. }]
        )
    };
    assert!(working(config(7).incarnation));
    assert!(!working(config(8).incarnation));
}

#[test]
fn a_stop_waits_for_the_record_of_an_answer_but_not_for_ever() {
    let mut entry = entry();
    let effects = arrive(&mut entry, 1, stock_count("r1", "k1"), 10);
    let (claim, _) = table_call(&effects).unwrap();
    let call = sent(&entry.handle(committed(claim), 20)).unwrap();
    let result = Ok(crate::instance::ApplicationReply {
        status: 200,
        content_type: None,
        body: Vec::new(),
    });
    entry.handle(EntryMessage::ApplicationAnswered { call, result }, 30);
    assert_eq!(entry.in_flight(), 0);
    let early = entry.handle(EntryMessage::Stop, 40);
    assert!(!early.contains(&EntryEffect::Stopped));
    let late = entry.handle(EntryMessage::Tick, 40_000);
    assert!(late.contains(&EntryEffect::Stopped));
}
