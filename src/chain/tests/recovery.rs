//! Tests of recovery from single faults.

use super::harness::{Harness, MAX_TOKENS, Routes};
use crate::chain::{ChainEffect, ChainMessage, DropCause, ProbeAnswer};
use crate::instance::{Deadline, StreamFailure};
use crate::routing::EndpointFault;
use crate::wire::engine::{EngineErrorCode, StreamEvent};

fn running() -> Harness {
    let mut harness = Harness::new();
    harness.now_ms = 100;
    harness.token();
    harness.now_ms = 120;
    harness.token();
    harness
}

fn chain_names(harness: &Harness) -> Vec<(String, bool)> {
    let stages = harness.opened.last().unwrap().chain.iter();
    stages
        .map(|stage| (stage.endpoint.to_string(), stage.recompute))
        .collect()
}

fn stage_names(stages: [(&str, bool); 3]) -> Vec<(String, bool)> {
    stages
        .map(|(name, recompute)| (name.to_owned(), recompute))
        .to_vec()
}

fn faults(harness: &Harness) -> Vec<(String, EndpointFault)> {
    let faults = harness.last.iter().filter_map(|effect| match effect {
        ChainEffect::Fault { endpoint, fault } => Some((endpoint.to_string(), *fault)),
        _ => None,
    });
    faults.collect()
}

fn probes(harness: &Harness) -> usize {
    let probes = harness.last.iter();
    probes
        .filter(|effect| matches!(effect, ChainEffect::Probe { .. }))
        .count()
}

#[test]
fn a_dead_stage_is_replaced_and_later_stages_keep_their_state() {
    let mut harness = running();
    harness.failed(Some("b0"), EngineErrorCode::StageUnreachable);
    assert_eq!(harness.epoch(), 2);
    let expected = stage_names([("a0", true), ("b1", true), ("c0", false)]);
    assert_eq!(chain_names(&harness), expected);
    assert_eq!(
        faults(&harness),
        [("b0".to_owned(), EndpointFault::Unreachable)]
    );
}

#[test]
fn events_of_an_earlier_epoch_are_dropped() {
    let mut harness = running();
    harness.failed(Some("b0"), EngineErrorCode::StageUnreachable);
    harness.token_of(1, 2);
    assert_eq!(harness.last, [ChainEffect::Dropped(DropCause::OtherEpoch)]);
    harness.token_of(2, 2);
    assert_eq!(harness.held(), 3);
}

#[test]
fn repeated_and_early_positions_are_dropped() {
    let mut harness = running();
    harness.token_of(1, 1);
    assert_eq!(harness.last, [ChainEffect::Dropped(DropCause::Repeated)]);
    harness.token_of(1, 3);
    assert_eq!(harness.last, [ChainEffect::Dropped(DropCause::Ahead)]);
    assert_eq!(harness.held(), 2);
}

#[test]
fn silence_probes_every_stage_and_replaces_the_unreachable_one() {
    let mut harness = running();
    harness.wake();
    assert_eq!(probes(&harness), 3);
    assert!(harness.now_ms < 120 + 150, "probed at {}", harness.now_ms);
    let alive = harness.at(2);
    harness.answer_probes(&[alive, alive, ProbeAnswer::Unreachable]);
    assert_eq!(faults(&harness), [("c0".to_owned(), EndpointFault::Silent)]);
    let expected = stage_names([("a0", true), ("b0", true), ("c1", true)]);
    assert_eq!(chain_names(&harness), expected);
}

#[test]
fn a_stage_that_does_not_answer_is_replaced_after_the_probe_timeout() {
    let mut harness = running();
    harness.wake();
    let probe = harness.last[0].clone();
    let ChainEffect::Probe { round, .. } = probe else {
        panic!("no probe: {probe:?}");
    };
    let answer = harness.at(2);
    for stage in [0, 2] {
        harness.send(ChainMessage::Probed {
            round,
            stage,
            answer,
        });
    }
    harness.wake();
    assert_eq!(faults(&harness), [("b0".to_owned(), EndpointFault::Silent)]);
}

#[test]
fn heartbeats_do_not_extend_the_timeout() {
    let mut harness = running();
    let due_ms = harness.chain.wake_at_ms();
    harness.now_ms += 50;
    harness.send(ChainMessage::Event(StreamEvent::Heartbeat {
        epoch: 1,
        position: 2,
    }));
    assert_eq!(harness.chain.wake_at_ms(), due_ms);
}

#[test]
fn a_stalled_stage_is_replaced() {
    let mut harness = running();
    harness.wake();
    let (done, waits) = (harness.at(3), harness.at(2));
    harness.answer_probes(&[done, waits, waits]);
    assert_eq!(harness.epoch(), 1, "replaced after a single round");
    harness.wake();
    harness.answer_probes(&[done, waits, waits]);
    assert_eq!(faults(&harness), [("b0".to_owned(), EndpointFault::Silent)]);
}

#[test]
fn stages_making_progress_are_kept() {
    let mut harness = running();
    for position in 3..6 {
        harness.wake();
        let at = harness.at(position);
        harness.answer_probes(&[at, at, at]);
    }
    assert_eq!(harness.epoch(), 1);
}

#[test]
fn a_silent_connection_is_reopened_on_the_same_stages() {
    let mut harness = running();
    for _ in 0..2 {
        harness.wake();
        let ahead = harness.at(5);
        harness.answer_probes(&[ahead; 3]);
    }
    assert_eq!(faults(&harness), []);
    let expected = stage_names([("a0", false), ("b0", false), ("c0", false)]);
    assert_eq!(chain_names(&harness), expected);
    let opens = harness.last.iter();
    let fresh = opens.filter(|effect| {
        matches!(
            effect,
            ChainEffect::Open {
                fresh_connection: true,
                ..
            }
        )
    });
    assert_eq!(fresh.count(), 1);
}

#[test]
fn undelivered_tokens_replace_the_last_stage_after_one_reopen() {
    let mut harness = running();
    let wait = |harness: &mut Harness| {
        for _ in 0..2 {
            harness.wake();
            let done = harness.at(harness.held() + 1);
            harness.answer_probes(&[done; 3]);
        }
    };
    wait(&mut harness);
    assert_eq!(faults(&harness), [], "the connection is the likelier cause");
    assert_eq!(harness.epoch(), 2);
    wait(&mut harness);
    assert_eq!(faults(&harness), [("c0".to_owned(), EndpointFault::Silent)]);
    let expected = stage_names([("a0", true), ("b0", true), ("c1", true)]);
    assert_eq!(chain_names(&harness), expected);
    assert!(harness.now_ms < 1_500, "{} ms", harness.now_ms);
}

#[test]
fn a_restarted_stage_recomputes() {
    let mut harness = running();
    harness.wake();
    let alive = harness.at(2);
    harness.answer_probes(&[alive, ProbeAnswer::UnknownStream, alive]);
    assert_eq!(faults(&harness), []);
    let expected = stage_names([("a0", true), ("b0", true), ("c0", false)]);
    assert_eq!(chain_names(&harness), expected);
}

#[test]
fn missing_state_found_twice_makes_every_stage_recompute() {
    let mut harness = running();
    harness.failed(Some("a0"), EngineErrorCode::KvMissing);
    let expected = stage_names([("a0", true), ("b0", false), ("c0", false)]);
    assert_eq!(chain_names(&harness), expected);
    harness.failed(Some("b0"), EngineErrorCode::KvMissing);
    let expected = stage_names([("a0", true), ("b0", true), ("c0", true)]);
    assert_eq!(chain_names(&harness), expected);
}

#[test]
fn replaced_stages_are_cancelled_once_the_next_epoch_delivers() {
    let mut harness = running();
    let cancels = |harness: &Harness| {
        let effects = harness.last.iter();
        effects
            .filter(|effect| matches!(effect, ChainEffect::Cancel { epoch: 1, .. }))
            .count()
    };
    harness.failed(Some("b0"), EngineErrorCode::StageUnreachable);
    assert_eq!(cancels(&harness), 0);
    harness.token();
    assert_eq!(cancels(&harness), 1);
}

#[test]
fn a_stage_without_connectivity_is_replaced_after_two_reports() {
    let mut harness = running();
    harness.failed(Some("b0"), EngineErrorCode::StageUnreachable);
    harness.failed(Some("b1"), EngineErrorCode::StageUnreachable);
    let expected = stage_names([("a1", true), ("b2", true), ("c0", false)]);
    assert_eq!(chain_names(&harness), expected);
}

#[test]
fn a_missing_end_event_after_the_last_token_completes_the_answer() {
    let mut harness = Harness::new();
    for _ in 0..MAX_TOKENS {
        harness.token();
    }
    harness.send(ChainMessage::StreamFailed {
        epoch: 1,
        failure: StreamFailure::Broken,
    });
    let expected = ChainEffect::Done {
        positions: MAX_TOKENS,
        cut_by_length: true,
    };
    assert_eq!(harness.ended, Some(expected));
}

#[test]
fn silence_after_the_last_token_needs_no_rebuild() {
    let mut harness = Harness::new();
    for _ in 0..MAX_TOKENS {
        harness.now_ms += 20;
        harness.token();
    }
    harness.wake();
    harness.answer_probes(&[ProbeAnswer::Unreachable; 3]);
    assert!(matches!(harness.ended, Some(ChainEffect::Done { .. })));
    assert_eq!(harness.epoch(), 1);
}

#[test]
fn an_end_event_with_missing_tokens_rebuilds_the_chain() {
    let mut harness = running();
    harness.end_of(1, 3);
    assert_eq!(harness.ended, None);
    assert_eq!(harness.epoch(), 2);
}

#[test]
fn a_false_alarm_without_spare_stages_keeps_the_stream() {
    let mut harness = running();
    harness.routes = Routes::Full;
    harness.wake();
    let alive = harness.at(2);
    harness.answer_probes(&[alive, alive, ProbeAnswer::Unreachable]);
    assert_eq!(harness.epoch(), 1);
    harness.token();
    harness.routes = Routes::Found;
    harness.wake();
    assert_eq!((harness.epoch(), harness.held()), (1, 3));
}

/// Delivers four tokens 300 ms apart while the second stage is lagging in each probe round.
fn slow_tokens(harness: &mut Harness) {
    for _ in 0..4 {
        harness.wake();
        let (done, waits) = (harness.at(harness.held() + 1), harness.at(harness.held()));
        harness.answer_probes(&[done, waits, waits]);
        if harness.epoch() > 1 {
            return;
        }
        harness.now_ms += 300;
        harness.token();
    }
}

#[test]
fn a_slow_stage_is_replaced_when_there_is_another() {
    let mut harness = running();
    slow_tokens(&mut harness);
    assert_eq!(faults(&harness), [("b0".to_owned(), EndpointFault::Slow)]);
    let expected = stage_names([("a0", true), ("b1", true), ("c0", false)]);
    assert_eq!(chain_names(&harness), expected);
}

#[test]
fn a_slow_chain_continues_without_alternatives() {
    let mut harness = running();
    harness.routes = Routes::Full;
    slow_tokens(&mut harness);
    assert_eq!((harness.epoch(), harness.held()), (1, 6));
}

#[test]
fn a_stage_may_take_long_before_the_first_token() {
    let mut harness = Harness::new();
    for _ in 0..3 {
        harness.wake();
        let queued = harness.at(0);
        harness.answer_probes(&[
            queued,
            ProbeAnswer::UnknownStream,
            ProbeAnswer::UnknownStream,
        ]);
    }
    assert_eq!(harness.epoch(), 1);
}

/// Runs probe rounds in which the first stage is done and the second has not received the stream,
/// until the epoch is replaced; returns the elapsed time.
fn until_epoch_replaced(harness: &mut Harness) -> u64 {
    let (epoch, begun_ms) = (harness.epoch(), harness.now_ms);
    while harness.epoch() == epoch {
        harness.wake();
        let done = harness.at(harness.held() + 1);
        harness.answer_probes(&[done, ProbeAnswer::UnknownStream, ProbeAnswer::UnknownStream]);
    }
    harness.now_ms - begun_ms
}

#[test]
fn an_epoch_on_a_silent_link_is_replaced_after_two_rounds() {
    let mut harness = Harness::new();
    let first_ms = until_epoch_replaced(&mut harness);
    assert_eq!(faults(&harness), [("b0".to_owned(), EndpointFault::Silent)]);
    // The stage before it has now failed to reach two stages, so it is replaced as well.
    let second_ms = until_epoch_replaced(&mut harness);
    let expected = stage_names([("a1", true), ("b2", true), ("c0", true)]);
    assert_eq!(chain_names(&harness), expected);
    // Four rounds per epoch took 2,240 ms; two rounds take 560 ms.
    assert!(first_ms + second_ms < 700, "{first_ms} and {second_ms} ms");
}

#[test]
fn only_a_started_answer_continues_past_its_deadline() {
    for begun in [false, true] {
        let mut harness = Harness::with_deadline(Some(Deadline { at_ms: 200 }));
        if begun {
            harness.token();
        }
        harness.now_ms = 300;
        harness.wake();
        let queued = harness.at(0);
        harness.answer_probes(&[queued; 3]);
        assert_eq!(harness.ended.is_none(), begun);
    }
}

#[test]
fn the_timeout_grows_when_all_streams_slow_down() {
    let mut harness = running();
    for _ in 0..3 {
        harness.now_ms += 20;
        harness.token();
    }
    let due_ms = harness.chain.wake_at_ms().unwrap();
    harness.now_ms = due_ms;
    harness.send(ChainMessage::Wake { gap_ms: 80.0 });
    assert_eq!(probes(&harness), 0);
    assert!(harness.chain.wake_at_ms().unwrap() > due_ms + 50);
}

/// Whether the last message requested stages, and if so, whether the retry budget is charged.
fn requested_as_retry(harness: &Harness) -> Option<bool> {
    harness.last.iter().find_map(|effect| match effect {
        ChainEffect::Plan { is_retry, .. } => Some(*is_retry),
        _ => None,
    })
}

#[test]
fn a_chain_without_budget_is_rebuilt_a_second_after_its_last_epoch() {
    let mut harness = running();
    for stage in ["b0", "b1"] {
        harness.failed(Some(stage), EngineErrorCode::StageUnreachable);
    }
    let opened_ms = harness.now_ms;
    harness.routes = Routes::Denied;
    harness.failed(Some("c0"), EngineErrorCode::StageUnreachable);
    assert_eq!(requested_as_retry(&harness), Some(true));
    while requested_as_retry(&harness) == Some(true) {
        harness.wake();
    }
    let waited_ms = harness.now_ms - opened_ms;
    assert!((1_000..1_500).contains(&waited_ms), "{waited_ms} ms");
    harness.routes = Routes::Found;
    harness.wake();
    assert_eq!(harness.epoch(), 4);
}
