use super::introduction::{Introduction, IntroductionStep};

const STARTED_MS: u64 = 5_000;

#[test]
fn an_instance_that_peers_know_already_does_not_call_the_store() {
    let restarted = Introduction::new(false, 0, STARTED_MS);
    assert_eq!(
        restarted.next(false, STARTED_MS + 50),
        IntroductionStep::Wait
    );
    assert_eq!(
        restarted.next(true, STARTED_MS + 60),
        IntroductionStep::Done
    );
}

#[test]
fn an_instance_without_peers_reads_contacts_and_waits_for_their_heartbeats() {
    let mut new = Introduction::new(false, 0, STARTED_MS);
    let now_ms = STARTED_MS + 100;
    assert_eq!(new.next(false, now_ms), IntroductionStep::ReadContacts);
    new.record_contacts(Some(3), 0, now_ms);
    assert_eq!(new.next(false, now_ms + 999), IntroductionStep::Wait);
    assert_eq!(new.next(true, now_ms + 999), IntroductionStep::Done);
}

// Guards against an instance that nobody ever learns of, because all contacts that it found have been removed.
#[test]
fn an_instance_whose_contacts_do_not_answer_registers_itself() {
    let mut new = Introduction::new(false, 0, STARTED_MS);
    new.record_contacts(Some(16), 0, STARTED_MS);
    assert_eq!(
        new.next(false, STARTED_MS + 1_000),
        IntroductionStep::Register
    );
}

#[test]
fn an_instance_with_too_few_contacts_registers_itself_even_if_it_hears_them() {
    let mut new = Introduction::new(false, 0, STARTED_MS);
    new.record_contacts(Some(2), 0, STARTED_MS);
    assert_eq!(new.next(true, STARTED_MS), IntroductionStep::Register);
}

#[test]
fn contacts_are_read_again_after_a_pause_if_the_store_does_not_answer() {
    let mut new = Introduction::new(false, 0, STARTED_MS);
    let now_ms = STARTED_MS + 100;
    new.record_contacts(None, 0, now_ms);
    assert_eq!(new.next(false, now_ms + 249), IntroductionStep::Wait);
    assert_eq!(
        new.next(false, now_ms + 250),
        IntroductionStep::ReadContacts
    );
    assert_eq!(new.next(true, now_ms + 250), IntroductionStep::Done);
}

#[test]
fn the_first_start_of_a_deployment_is_spread_over_a_second() {
    let starts_ms = |random| {
        let new = Introduction::new(true, random, STARTED_MS);
        let step = |at_ms: &u64| new.next(false, *at_ms) == IntroductionStep::ReadContacts;
        (STARTED_MS..).find(step).map(|at_ms| at_ms - STARTED_MS)
    };
    assert_eq!(starts_ms(0), Some(0));
    assert_eq!(starts_ms(999), Some(999));
    assert_eq!(starts_ms(1_400), Some(400));
}
