//! How much is handed over at once.

use super::uplink::{Admission, Uplink};

const DOCUMENT_BYTES: usize = 133_000;

fn given_at(uplink: &mut Uplink, now_ms: u64) -> usize {
    let answers = std::iter::repeat_with(|| uplink.admit(DOCUMENT_BYTES, now_ms));
    let given = answers.map_while(|it| match it {
        Admission::Granted { bytes } => Some(bytes),
        Admission::Busy { .. } => None,
    });
    given.sum()
}

#[test]
fn what_is_given_at_once_takes_up_a_link_for_a_short_time() {
    assert_eq!(given_at(&mut Uplink::new(20), 1_000), 62_500, "25 ms");
    assert_eq!(given_at(&mut Uplink::new(200), 1_000), 1_000_000, "40 ms");
    assert_eq!(given_at(&mut Uplink::new(0), 1_000), 62_500, "as if slow");
}

#[test]
fn documents_take_two_thirds_of_a_link() {
    let mut uplink = Uplink::new(200);
    let given: usize = (0..1_000).map(|ms| given_at(&mut uplink, 1_000 + ms)).sum();
    assert!((16_600_000..17_700_000).contains(&given), "{given} bytes");
}

#[test]
fn an_idle_link_of_any_speed_gives_something() {
    assert_eq!(given_at(&mut Uplink::new(1), 1_000), 4_096);
}

#[test]
fn those_without_room_are_told_to_come_one_after_another() {
    let mut uplink = Uplink::new(20);
    given_at(&mut uplink, 1_000);
    let waits: Vec<Admission> = (0..4)
        .map(|_| uplink.admit(DOCUMENT_BYTES, 1_000))
        .collect();
    let busy = |wait_ms| Admission::Busy { wait_ms };
    // The first to come was told so by `given_at`.
    assert_eq!(waits, [busy(53), busy(90), busy(128), busy(165)]);
}

#[test]
fn there_is_room_when_it_was_said() {
    let mut uplink = Uplink::new(20);
    uplink.admit(DOCUMENT_BYTES, 1_000);
    let Admission::Busy { wait_ms } = uplink.admit(DOCUMENT_BYTES, 1_000) else {
        panic!("the link is taken");
    };
    let then = uplink.admit(DOCUMENT_BYTES, 1_000 + wait_ms);
    assert_eq!(then, Admission::Granted { bytes: 62_500 });
}
