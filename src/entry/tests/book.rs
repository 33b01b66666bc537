//! The request registry: joining callers, recorded answers and limits.

use super::fixture::*;
use crate::entry::EntryLimits;
use crate::entry::attempt::AttemptId;
use crate::entry::book::{Answer, BookKey, RequestRegistry, RequestState};
use crate::instance::{CallerId, EntryEffect, EntryMessage};
use crate::outcome::RefusalCode;
use crate::wire::engine::{EndReason, StreamEvent};

fn key(request: &str) -> BookKey {
    BookKey {
        account: "grill-chain".into(),
        request: request.into(),
    }
}

fn answer(bytes: usize) -> Answer {
    Answer::Completion {
        tokens: vec!["x".repeat(bytes)],
        cut_by_length: false,
    }
}

#[test]
fn the_oldest_answers_make_room() {
    let limits = EntryLimits {
        max_recorded_bytes: 1_000,
        ..EntryLimits::default()
    };
    let mut registry = RequestRegistry::default();
    for request in ["r1", "r2", "r3"] {
        registry.insert_running(key(request), [0; 32], AttemptId(CallerId(1)));
        registry.record_answer(key(request), answer(300), &limits, 0);
    }
    assert!(matches!(registry.find(&key("r1"), &[0; 32]), Ok(None)));
    assert!(matches!(
        registry.find(&key("r3"), &[0; 32]),
        Ok(Some(RequestState::Recorded(_)))
    ));
}

#[test]
fn an_answer_is_forgotten_after_its_time_but_a_later_one_of_the_same_id_is_not() {
    let limits = EntryLimits::default();
    let mut registry = RequestRegistry::default();
    for at_ms in [0, 1_000] {
        registry.insert_running(key("r1"), [0; 32], AttemptId(CallerId(1)));
        registry.record_answer(key("r1"), answer(1), &limits, at_ms);
    }
    registry.expire(limits.recorded_ttl_ms);
    assert!(matches!(registry.find(&key("r1"), &[0; 32]), Ok(Some(_))));
    registry.expire(limits.recorded_ttl_ms + 1_000);
    assert!(matches!(registry.find(&key("r1"), &[0; 32]), Ok(None)));
}

fn tokens_to(effects: &[EntryEffect], caller: u64) -> Vec<u32> {
    let tokens = effects.iter().filter_map(|effect| match effect {
        EntryEffect::SendToken {
            caller: to,
            position,
            ..
        } if to.0 == caller => Some(*position),
        _ => None,
    });
    tokens.collect()
}

#[test]
fn a_caller_that_comes_back_joins_the_running_answer_from_its_start() {
    let mut entry = entry();
    let (call, _) = opened(&arrive(&mut entry, 1, completion(KEY, "r1", 3), 10)).unwrap();
    entry.handle(token(call, 1, 0), 20);
    let caller = CallerId(1);
    entry.handle(EntryMessage::CallerGone { caller }, 21);
    let joined = arrive(&mut entry, 2, completion(KEY, "r1", 3), 30);
    assert_eq!(tokens_to(&joined, 2), [0]);
    assert_eq!(opened(&joined), None);
    let next = entry.handle(token(call, 1, 1), 40);
    assert_eq!(
        (tokens_to(&next, 1), tokens_to(&next, 2)),
        (vec![], vec![1])
    );
}

#[test]
fn a_caller_that_comes_back_late_gets_the_recorded_answer_and_another_account_does_not() {
    let mut entry = entry();
    let (call, _) = opened(&arrive(&mut entry, 1, completion(KEY, "r1", 2), 10)).unwrap();
    entry.handle(token(call, 1, 0), 20);
    let event = StreamEvent::End {
        epoch: 1,
        positions: 1,
        reason: EndReason::Stop,
    };
    entry.handle(EntryMessage::StreamEvent { call, event }, 21);
    let again = arrive(&mut entry, 2, completion(KEY, "r1", 2), 5_000);
    assert_eq!(tokens_to(&again, 2), [0]);
    assert_eq!(opened(&again), None);
    let other = arrive(&mut entry, 3, completion("key-lac-bistro", "r1", 2), 5_000);
    assert_eq!(tokens_to(&other, 3), [] as [u32; 0]);
    assert!(opened(&other).is_some());
}

#[test]
fn another_request_under_the_same_id_is_refused() {
    let mut entry = entry();
    arrive(&mut entry, 1, completion(KEY, "r1", 2), 10);
    let mut other = completion(KEY, "r1", 2);
    other.digest = [9; 32];
    let effects = arrive(&mut entry, 2, other, 11);
    assert!(matches!(
        effects.as_slice(),
        [EntryEffect::SendRefusal { refusal, .. }] if refusal.code == RefusalCode::KeyReused
    ));
}

#[test]
fn an_answer_without_callers_is_cancelled_after_a_while() {
    let mut entry = entry();
    let (_, open) = opened(&arrive(&mut entry, 1, completion(KEY, "r1", 2), 10)).unwrap();
    let caller = CallerId(1);
    entry.handle(EntryMessage::CallerGone { caller }, 100);
    let early = entry.handle(EntryMessage::Tick, 150);
    let cancels = |effects: &[EntryEffect]| {
        let cancels = effects.iter();
        cancels
            .filter(|effect| matches!(effect, EntryEffect::CancelStream { .. }))
            .count()
    };
    assert_eq!((cancels(&early), entry.in_flight()), (0, 1));
    let late = entry.handle(EntryMessage::Tick, 2_100);
    assert_eq!((cancels(&late), entry.in_flight()), (open.chain.len(), 0));
}
