//! Request handling: success, refusal, released slots and failed streams.

use super::fixture::*;
use crate::instance::{ApplicationReply, CallerId, EntryEffect, EntryMessage};
use crate::outcome::RefusalCode;
use crate::wire::engine::{EndReason, EngineErrorCode, StreamEvent};

#[test]
fn a_completion_is_answered_token_by_token() {
    let mut entry = entry();
    let (call, open) = opened(&arrive(&mut entry, 1, completion(KEY, "r1", 2), 10)).unwrap();
    assert_eq!(open.chain.len(), 2);
    let first = entry.handle(token(call, 1, 0), 20);
    assert_eq!(
        first,
        vec![EntryEffect::SendToken {
            caller: CallerId(1),
            position: 0,
            text: "t0".to_owned()
        }]
    );
    entry.handle(token(call, 1, 1), 30);
    let event = StreamEvent::End {
        epoch: 1,
        positions: 2,
        reason: EndReason::Length,
    };
    let last = entry.handle(EntryMessage::StreamEvent { call, event }, 31);
    assert!(last.contains(&EntryEffect::SendEnd {
        caller: CallerId(1),
        positions: 2,
        cut_by_length: true
    }));
    assert_eq!(entry.in_flight(), 0);
}

#[test]
fn a_call_is_answered_by_a_replica() {
    let mut entry = entry();
    let effects = arrive(&mut entry, 1, call(KEY, "r1", "GET", "/prices/lamb"), 10);
    let Some(EntryEffect::CallApplication { call, .. }) = effects.first() else {
        panic!("application not called: {effects:?}");
    };
    let reply = ApplicationReply {
        status: 200,
        content_type: None,
        body: b"9".to_vec(),
    };
    let result = Ok(reply.clone());
    let answered = entry.handle(
        EntryMessage::ApplicationAnswered {
            call: *call,
            result,
        },
        12,
    );
    assert_eq!(
        answered,
        vec![EntryEffect::SendReply {
            caller: CallerId(1),
            reply,
            replayed: false
        }]
    );
}

#[test]
fn a_request_that_cannot_be_served_is_refused_with_its_reason() {
    let mut entry = entry();
    let mut code = |request| {
        let effects = arrive(&mut entry, 1, request, 10);
        match effects.as_slice() {
            [EntryEffect::SendRefusal { refusal, .. }] => refusal.code,
            other => panic!("request not refused: {other:?}"),
        }
    };
    let mut unknown_model = completion(KEY, "r", 2);
    if let crate::instance::RequestBody::Completion { model, .. } = &mut unknown_model.body {
        *model = "no-such-model".to_owned();
    }
    assert_eq!(code(unknown_model), RefusalCode::UnknownModel);
    assert_eq!(
        code(completion("wrong", "r", 2)),
        RefusalCode::Unauthenticated
    );
    assert_eq!(
        code(call(KEY, "r", "POST", "/stock-counts")),
        RefusalCode::MissingHeader
    );
    assert_eq!(code(completion(KEY, "r", 0)), RefusalCode::MalformedBody);
}

#[test]
fn slots_come_back_when_answers_end() {
    let mut entry = entry();
    for number in 0..300 {
        let now_ms = number * 100;
        let request = completion(KEY, &format!("r{number}"), 1);
        let (call, _) = opened(&arrive(&mut entry, number, request, now_ms)).unwrap();
        entry.handle(token(call, 1, 0), now_ms + 50);
        let event = StreamEvent::End {
            epoch: 1,
            positions: 1,
            reason: EndReason::Stop,
        };
        entry.handle(EntryMessage::StreamEvent { call, event }, now_ms + 51);
        let request = call_of(number);
        let caller = 1_000 + number;
        let effects = arrive(&mut entry, caller, request, now_ms + 60);
        answer_call(&mut entry, &effects, now_ms + 70);
    }
    assert_eq!(entry.in_flight(), 0);
}

fn call_of(number: u64) -> crate::instance::CallerRequest {
    call(KEY, &format!("c{number}"), "GET", "/prices/lamb")
}

fn answer_call(entry: &mut TestEntry, effects: &[EntryEffect], now_ms: u64) {
    let Some(EntryEffect::CallApplication { call, .. }) = effects.first() else {
        panic!("application not called: {effects:?}");
    };
    let reply = ApplicationReply {
        status: 200,
        content_type: None,
        body: Vec::new(),
    };
    let (call, result) = (*call, Ok(reply));
    entry.handle(EntryMessage::ApplicationAnswered { call, result }, now_ms);
}

#[test]
fn a_stream_that_broke_before_its_first_token_may_have_run() {
    let mut entry = entry();
    let mut request = completion(KEY, "r1", 2);
    request.deadline = Some(crate::instance::Deadline { at_ms: 3_000 });
    let (call, _) = opened(&arrive(&mut entry, 1, request, 10)).unwrap();
    let failure = crate::instance::StreamFailure::Broken;
    let effects = entry.handle(EntryMessage::StreamFailed { call, failure }, 2_990);
    let mut refused = None;
    for effect in effects {
        if let EntryEffect::ProbeStream { call, .. } = effect {
            let probed = EntryMessage::StreamProbed {
                call,
                progress: None,
                reachable: false,
            };
            let effects = entry.handle(probed, 3_010);
            refused = effects.into_iter().find_map(|effect| match effect {
                EntryEffect::SendRefusal { refusal, .. } => Some(refusal),
                _ => None,
            });
        }
    }
    assert_eq!(refused.unwrap().outcome, crate::outcome::Outcome::Unknown);
}

/// Advances time until the entry sends probes; returns them with their timeouts.
fn until_probed(entry: &mut TestEntry, now_ms: &mut u64) -> Vec<(crate::instance::CallId, u64)> {
    for _ in 0..200 {
        *now_ms += 20;
        let effects = entry.handle(EntryMessage::Tick, *now_ms);
        let probes = effects.iter().filter_map(|effect| match effect {
            EntryEffect::ProbeStream {
                call, timeout_ms, ..
            } => Some((*call, *timeout_ms)),
            _ => None,
        });
        let probes: Vec<_> = probes.collect();
        if !probes.is_empty() {
            return probes;
        }
    }
    panic!("no probe within 4 s");
}

#[test]
fn stages_get_longer_to_answer_probes_where_all_answers_are_late() {
    let mut entry = entry();
    arrive(&mut entry, 1, completion(KEY, "r1", 2), 10);
    let mut now_ms = 10;
    let first = until_probed(&mut entry, &mut now_ms);
    now_ms += 120;
    for (call, _) in &first {
        let probed = EntryMessage::StreamProbed {
            call: *call,
            progress: None,
            reachable: true,
        };
        entry.handle(probed, now_ms);
    }
    arrive(&mut entry, 2, completion(KEY, "r2", 2), now_ms);
    let second = until_probed(&mut entry, &mut now_ms);
    assert!(first[0].1 < 120, "{first:?}");
    assert!(second[0].1 > 120, "{second:?}");
}

#[test]
fn a_stream_that_waits_for_stages_takes_nothing_of_the_retry_budget() {
    let mut entry = entry();
    let mut effects = arrive(&mut entry, 1, completion(KEY, "r1", 8), 10);
    for (epoch, stage) in (1..).zip(["back-1", "front-1", "back-2"]) {
        let (call, _) = opened(&effects).expect("no stream opened for the next epoch");
        let event = StreamEvent::Failed {
            epoch,
            position: 0,
            stage: Some(stage.into()),
            cause: EngineErrorCode::StageUnreachable,
        };
        effects = entry.handle(EntryMessage::StreamEvent { call, event }, 20);
    }
    assert!(
        opened(&effects).is_none(),
        "a stream was opened although no stages are left"
    );
    for now_ms in (40..1_000).step_by(20) {
        entry.handle(EntryMessage::Tick, now_ms);
    }
    let counts = entry.take_counts();
    assert_eq!(counts.get("entry.retries.denied"), None, "{counts:?}");
}
