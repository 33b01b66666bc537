use fescueshore::wire::engine::{EngineErrorCode, OpenStream};

use super::rig::{Rig, range};
use crate::engine::frames::{Activation, Frame};
use crate::engine::stream::seed_of;

fn answer(open: &OpenStream) -> Vec<String> {
    seed_of(open).answer(open.max_tokens)
}

/// A rig with a stream of which three tokens are reported.
fn started(max_tokens: u32) -> (Rig, OpenStream) {
    let mut rig = Rig::new();
    let open = rig.open_stream(max_tokens);
    rig.open(&open).unwrap();
    let id = open.stream;
    rig.run_until(|rig| rig.tokens(id).len() == 3);
    (rig, open)
}

/// The same stream one epoch later, with the tokens reported so far.
fn rebuilt(rig: &Rig, open: &OpenStream, names: &[&str]) -> OpenStream {
    OpenStream {
        epoch: open.epoch + 1,
        chain: rig.chain(names),
        generated: rig.tokens(open.stream),
        ..open.clone()
    }
}

fn assert_whole(rig: &Rig, open: &OpenStream) {
    assert_eq!(rig.tokens(open.stream), answer(open));
    assert_eq!(rig.layer_faults(), 0);
}

#[test]
fn a_chain_gives_the_whole_answer_in_order() {
    let mut rig = Rig::new();
    let open = rig.open_stream(500);
    rig.open(&open).unwrap();
    rig.run_until(|rig| rig.has_ended(open.stream));
    assert_whole(&rig, &open);
}

#[test]
fn max_tokens_cuts_the_answer() {
    let mut rig = Rig::new();
    let open = rig.open_stream(5);
    rig.open(&open).unwrap();
    rig.run_until(|rig| rig.has_ended(open.stream));
    assert_eq!(rig.tokens(open.stream).len(), 5);
}

#[test]
fn a_dead_stage_fails_the_stream_and_is_named() {
    let (mut rig, open) = started(40);
    rig.kill("middle");
    rig.run_until(|rig| rig.failure(open.stream).is_some());
    let failure = rig.failure(open.stream).unwrap();
    assert_eq!(
        failure,
        (EngineErrorCode::StageUnreachable, "middle".into())
    );
}

#[test]
fn a_stream_goes_on_over_another_stage_and_reuses_kv_state_behind_it() {
    let (mut rig, open) = started(40);
    rig.kill("middle");
    let mut again = rebuilt(&rig, &open, &["front", "spare", "back"]);
    again.chain[2].recompute = false;
    rig.open(&again).unwrap();
    rig.run_until(|rig| rig.has_ended(open.stream));
    assert_whole(&rig, &open);
    assert_eq!(rig.counters("back").kv_reused, 1);
}

#[test]
fn a_stage_imports_kv_state_from_a_living_one() {
    let (mut rig, open) = started(40);
    let mut again = rebuilt(&rig, &open, &["front", "spare", "back"]);
    again.chain[0].recompute = false;
    again.chain[1].import_from = Some(rig.chain(&["middle"])[0].address);
    again.chain[2].recompute = false;
    rig.open(&again).unwrap();
    rig.run_until(|rig| rig.has_ended(open.stream));
    assert_whole(&rig, &open);
    assert_eq!(rig.counters("spare").kv_imported, 1);
}

#[test]
fn kv_state_that_is_not_there_is_said_to_be_missing() {
    let (mut rig, open) = started(40);
    let mut again = rebuilt(&rig, &open, &["front", "spare", "back"]);
    again.chain[1].recompute = false;
    again.chain[2].recompute = false;
    rig.open(&again).unwrap();
    rig.run_until(|rig| rig.failure(open.stream).is_some());
    let failure = rig.failure(open.stream).unwrap();
    assert_eq!(failure, (EngineErrorCode::KvMissing, "spare".into()));
}

#[test]
fn a_stage_cannot_recompute_behind_one_that_does_not() {
    let (mut rig, open) = started(40);
    let mut again = rebuilt(&rig, &open, &["front", "middle", "back"]);
    again.chain[0].recompute = false;
    assert_eq!(rig.open(&again), Err(EngineErrorCode::Malformed));
}

#[test]
fn an_epoch_below_the_highest_seen_is_refused() {
    let (mut rig, open) = started(40);
    let again = rebuilt(&rig, &open, &["front", "middle", "back"]);
    rig.open(&again).unwrap();
    assert_eq!(rig.open(&open), Err(EngineErrorCode::StaleEpoch));
}

#[test]
fn steps_of_an_older_epoch_do_not_run() {
    let (mut rig, open) = started(40);
    let again = rebuilt(&rig, &open, &["front", "middle", "back"]);
    rig.open(&again).unwrap();
    rig.run_until(|rig| rig.has_ended(open.stream));
    let late = Frame::Step {
        stream: open.stream,
        epoch: 0,
        activation: Activation::start(open.stream, 0, 4).through(range(0, 4)),
    };
    let runs = rig.counters("middle").runs;
    rig.deliver("front", "middle", late);
    rig.run_until(|rig| rig.counters("middle").stale_epochs == 1);
    assert_eq!(rig.counters("middle").runs, runs);
}

#[test]
fn a_position_out_of_order_is_refused() {
    let (mut rig, open) = started(40);
    let skipping = Frame::Step {
        stream: open.stream,
        epoch: 0,
        activation: Activation::start(open.stream, 0, 9).through(range(0, 4)),
    };
    rig.deliver("front", "middle", skipping);
    assert_eq!(rig.counters("middle").out_of_order, 1);
    assert_eq!(rig.layer_faults(), 0);
}

#[test]
fn a_repeated_step_is_answered_without_running() {
    let (mut rig, open) = started(40);
    // The last token reported is the position that `middle` has run and now waits behind.
    let ran = rig.counters("middle").runs;
    let position = rig.core("middle").streams[&open.stream].input.position - 1;
    let repeat = Frame::Step {
        stream: open.stream,
        epoch: 0,
        activation: Activation::start(open.stream, 0, position).through(range(0, 4)),
    };
    rig.deliver("front", "middle", repeat);
    assert_eq!(
        (rig.counters("middle").repeats, rig.counters("middle").runs),
        (1, ran)
    );
    rig.run_until(|rig| rig.has_ended(open.stream));
    assert_whole(&rig, &open);
}

#[test]
fn an_activation_that_skipped_a_layer_is_a_layer_fault() {
    let mut rig = Rig::new();
    let open = rig.open_stream(40);
    let begin = Frame::Begin {
        open: Box::new(open.clone()),
        index: 1,
        activation: Activation::start(open.stream, 0, 0).through(range(0, 3)),
    };
    rig.deliver("front", "middle", begin);
    rig.run_until(|rig| rig.layer_faults() == 1);
}

#[test]
fn a_chain_that_leaves_out_a_layer_is_refused() {
    let mut rig = Rig::new();
    let mut open = rig.open_stream(40);
    open.chain[1].layers = range(5, 8);
    assert_eq!(rig.open(&open), Err(EngineErrorCode::Malformed));
}

#[test]
fn tokens_of_another_answer_are_refused() {
    let mut rig = Rig::new();
    let mut open = rig.open_stream(40);
    open.generated = vec!["other".into()];
    assert_eq!(rig.open(&open), Err(EngineErrorCode::Malformed));
    assert_eq!(rig.counters("front").foreign_tokens, 1);
}

#[test]
fn the_same_call_again_attaches_and_repeats_the_tokens() {
    let (mut rig, open) = started(40);
    rig.events.clear();
    rig.open(&open).unwrap();
    rig.run_until(|rig| rig.has_ended(open.stream));
    assert_whole(&rig, &open);
}

#[test]
fn a_cancelled_stream_frees_every_stage() {
    let (mut rig, open) = started(40);
    rig.with("front", |core, now_us| core.cancel(open.stream, 0, now_us));
    rig.run_until(|rig| rig.cores.values().all(|core| core.occupancy() == (0, 0)));
    assert_eq!(rig.open(&open), Err(EngineErrorCode::StaleEpoch));
}

#[test]
fn a_full_queue_refuses() {
    let mut rig = Rig::new();
    let mut refused = 0;
    for _ in 0..11 {
        let open = rig.open_stream(40);
        refused += u32::from(rig.open(&open) == Err(EngineErrorCode::Overloaded));
    }
    // Four batches of two streams have slots and two streams may wait.
    assert_eq!(refused, 1);
}
