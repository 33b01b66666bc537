//! Property tests with random event sequences.

use proptest::prelude::*;

use super::harness::{Harness, Routes};
use crate::chain::{ChainMessage, ProbeAnswer};
use crate::instance::StreamFailure;
use crate::wire::engine::{EngineError, EngineErrorCode, StreamEvent, StreamProgress};

const CAUSES: [EngineErrorCode; 6] = [
    EngineErrorCode::StageUnreachable,
    EngineErrorCode::KvMissing,
    EngineErrorCode::Draining,
    EngineErrorCode::StaleEpoch,
    EngineErrorCode::Overloaded,
    EngineErrorCode::Cancelled,
];
const STAGES: [&str; 6] = ["a0", "a1", "b0", "b1", "c0", "c1"];

/// A random event; epochs and positions are offsets from the current ones.
#[derive(Clone, Debug)]
enum Event {
    Token { epoch: i64, position: i64 },
    End { epoch: i64, positions: i64 },
    Heartbeat,
    Failed { stage: Option<usize>, cause: usize },
    Broken { epoch: i64 },
    NotSent,
    Refused { cause: usize },
    Probes { answers: [u8; 3] },
    Wake,
    Pause { ms: u64 },
    Routes(Routes),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => Just(Event::Token { epoch: 0, position: 0 }),
        3 => (-1..=1i64, -2..=2i64).prop_map(|(epoch, position)| Event::Token { epoch, position }),
        1 => (-1..=0i64, -1..=1i64).prop_map(|(epoch, positions)| Event::End { epoch, positions }),
        1 => Just(Event::Heartbeat),
        2 => (proptest::option::of(0..6usize), 0..6usize)
            .prop_map(|(stage, cause)| Event::Failed { stage, cause }),
        1 => (-1..=0i64).prop_map(|epoch| Event::Broken { epoch }),
        1 => Just(Event::NotSent),
        1 => (0..6usize).prop_map(|cause| Event::Refused { cause }),
        3 => proptest::array::uniform3(0..5u8).prop_map(|answers| Event::Probes { answers }),
        4 => Just(Event::Wake),
        1 => (0..3_000u64).prop_map(|ms| Event::Pause { ms }),
        1 => prop_oneof![
            3 => Just(Routes::Found),
            1 => Just(Routes::Full),
            1 => Just(Routes::Denied)
        ]
        .prop_map(Event::Routes),
    ]
}

fn offset(base: u32, by: i64) -> u32 {
    u32::try_from(i64::from(base) + by).unwrap_or(0)
}

fn run(harness: &mut Harness, event: &Event) {
    let (now_epoch, held) = (harness.epoch(), harness.held());
    match event {
        Event::Token { epoch, position } => {
            harness.token_of(offset(now_epoch, *epoch), offset(held, *position));
        }
        Event::End { epoch, positions } => {
            harness.end_of(offset(now_epoch, *epoch), offset(held, *positions));
        }
        Event::Heartbeat => harness.send(ChainMessage::Event(StreamEvent::Heartbeat {
            epoch: now_epoch,
            position: held,
        })),
        Event::Failed { stage, cause } => {
            harness.failed(stage.map(|index| STAGES[index]), CAUSES[*cause]);
        }
        Event::Broken { epoch } => {
            stream_failed(harness, offset(now_epoch, *epoch), StreamFailure::Broken)
        }
        Event::NotSent => stream_failed(harness, now_epoch, StreamFailure::NotSent),
        Event::Refused { cause } => {
            let code = CAUSES[*cause];
            let error = EngineError { code, stage: None };
            stream_failed(harness, now_epoch, StreamFailure::Refused { error });
        }
        Event::Probes { answers } => {
            let answers = answers.map(|answer| probe_answer(answer, now_epoch, held));
            harness.answer_probes(&answers);
        }
        Event::Wake => harness.wake(),
        Event::Pause { ms } => harness.now_ms += ms,
        Event::Routes(routes) => harness.routes = *routes,
    }
}

fn stream_failed(harness: &mut Harness, epoch: u32, failure: StreamFailure) {
    harness.send(ChainMessage::StreamFailed { epoch, failure });
}

fn probe_answer(kind: u8, epoch: u32, held: u32) -> ProbeAnswer {
    let position = match kind {
        0 => return ProbeAnswer::Unreachable,
        1 => return ProbeAnswer::UnknownStream,
        2 => held,
        3 => held + 1,
        _ => held + 2,
    };
    ProbeAnswer::Progress(StreamProgress { epoch, position })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1_000))]

    /// The harness checks that tokens are in order, that epochs increase, that no effect follows the
    /// end, and that no stage is told to continue from KV state it does not hold.
    #[test]
    fn any_event_order_preserves_the_answer(events in prop::collection::vec(event(), 1..80)) {
        let mut harness = Harness::new();
        for event in &events {
            run(&mut harness, event);
        }
    }

    /// After any sequence of events, a chain ends once stages are available and engines answer.
    #[test]
    fn a_chain_always_ends(events in prop::collection::vec(event(), 1..60)) {
        let mut harness = Harness::new();
        for event in &events {
            run(&mut harness, event);
        }
        harness.routes = Routes::Found;
        for _ in 0..400 {
            if harness.ended.is_some() {
                break;
            }
            harness.wake();
            harness.answer_probes(&[ProbeAnswer::UnknownStream; 3]);
            let whole = harness.held() == super::harness::MAX_TOKENS;
            if whole {
                harness.end_of(harness.epoch(), harness.held());
            } else {
                harness.token();
            }
        }
        prop_assert!(harness.ended.is_some());
    }
}

#[test]
fn permanent_silence_ends_the_chain() {
    for routes in [Routes::Found, Routes::Full] {
        let mut harness = Harness::new();
        harness.routes = routes;
        for _ in 0..5_000 {
            harness.wake();
        }
        assert!(harness.ended.is_some());
        assert!(harness.now_ms < 60_000);
    }
}
