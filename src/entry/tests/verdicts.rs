//! `not-run` over every order of events.

use proptest::prelude::*;

use crate::entry::verdict::Evidence;
use crate::instance::CallId;
use crate::outcome::Outcome;

/// What the entry may learn of a call; what truly happened is the model's.
#[derive(Clone, Copy, Debug)]
enum Event {
    Sent(u64),
    RanNothing(u64),
    MayHaveRun(u64),
}

fn event() -> impl Strategy<Value = Event> {
    (0..3u64, 0..3u8).prop_map(|(call, kind)| match kind {
        0 => Event::Sent(call),
        1 => Event::RanNothing(call),
        _ => Event::MayHaveRun(call),
    })
}

/// Whether a call that was sent may have run: it said so once, or nothing proves the contrary.
fn may_have_run(events: &[Event], call: u64) -> bool {
    let of_call = |event: &&Event| match event {
        Event::Sent(id) | Event::RanNothing(id) | Event::MayHaveRun(id) => *id == call,
    };
    let mut after = events.iter().filter(of_call);
    if !after.any(|event| matches!(event, Event::Sent(_))) {
        return false;
    }
    let rest: Vec<&Event> = after.collect();
    let denied = rest
        .iter()
        .any(|event| matches!(event, Event::RanNothing(_)));
    let heard = rest
        .iter()
        .any(|event| matches!(event, Event::MayHaveRun(_)));
    heard || !denied
}

/// Drops second sends of the same call: call ids are never used twice.
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
                Event::Sent(call) => evidence.sent(CallId(*call)),
                Event::RanNothing(call) => evidence.ran_nothing(CallId(*call)),
                Event::MayHaveRun(call) => evidence.may_have_run(CallId(*call)),
            }
        }
        let any = (0..3).any(|call| may_have_run(&events, call));
        prop_assert_eq!(evidence.outcome() == Outcome::Unknown, any);
    }
}
