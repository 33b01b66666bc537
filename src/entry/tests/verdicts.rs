//! Property test: `not-run` is correct for every order of call events.

use proptest::prelude::*;

use crate::entry::verdict::Evidence;
use crate::instance::CallId;
use crate::outcome::Outcome;

/// What the entry may learn about a call.
#[derive(Clone, Copy, Debug)]
enum Event {
    Sent(u64),
    NotRun(u64),
    MayHaveRun(u64),
}

fn event() -> impl Strategy<Value = Event> {
    (0..3u64, 0..3u8).prop_map(|(call, kind)| match kind {
        0 => Event::Sent(call),
        1 => Event::NotRun(call),
        _ => Event::MayHaveRun(call),
    })
}

/// Reference model: whether a sent call may have run, because it was reported to have run or
/// nothing proves that it did not.
fn may_have_run(events: &[Event], call: u64) -> bool {
    let of_call = |event: &&Event| match event {
        Event::Sent(id) | Event::NotRun(id) | Event::MayHaveRun(id) => *id == call,
    };
    let mut after = events.iter().filter(of_call);
    if !after.any(|event| matches!(event, Event::Sent(_))) {
        return false;
    }
    let rest: Vec<&Event> = after.collect();
    let denied = rest.iter().any(|event| matches!(event, Event::NotRun(_)));
    let heard = rest
        .iter()
        .any(|event| matches!(event, Event::MayHaveRun(_)));
    heard || !denied
}

/// Drops repeated sends of the same call, since call ids are never reused.
fn without_repeats(events: Vec<Event>) -> Vec<Event> {
    let mut sent = indexmap::IndexSet::new();
    let keep = |event: &Event| match event {
        Event::Sent(call) => sent.insert(*call),
        _ => true,
    };
    let mut events = events;
    events.retain(keep);
    events
}

proptest! {
    #[test]
    fn not_run_is_only_said_if_no_call_may_have_run(events in prop::collection::vec(event(), 0..12)) {
        let events = without_repeats(events);
        let mut evidence = Evidence::default();
        for event in &events {
            match event {
                Event::Sent(call) => evidence.record_sent(CallId(*call)),
                Event::NotRun(call) => evidence.record_not_run(CallId(*call)),
                Event::MayHaveRun(call) => evidence.record_may_have_run(CallId(*call)),
            }
        }
        let any = (0..3).any(|call| may_have_run(&events, call));
        prop_assert_eq!(evidence.outcome() == Outcome::Unknown, any);
    }
}
