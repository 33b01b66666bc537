use super::uplink::{Admission, Uplink};

const DOCUMENT_BYTES: usize = 133_000;

fn grant_all(uplink: &mut Uplink, now_ms: u64) -> usize {
    let decisions = std::iter::repeat_with(|| uplink.admit(DOCUMENT_BYTES, now_ms));
    let granted = decisions.map_while(|it| match it {
        Admission::Granted { bytes } => Some(bytes),
        Admission::Busy { .. } => None,
    });
    granted.sum()
}

#[test]
fn parts_granted_at_once_occupy_the_link_briefly() {
    assert_eq!(grant_all(&mut Uplink::new(20), 1_000), 62_500, "25 ms");
    assert_eq!(grant_all(&mut Uplink::new(200), 1_000), 1_000_000, "40 ms");
    assert_eq!(
        grant_all(&mut Uplink::new(0), 1_000),
        62_500,
        "treated as a slow link"
    );
}

#[test]
fn documents_use_two_thirds_of_a_link() {
    let mut uplink = Uplink::new(200);
    let granted: usize = (0..1_000)
        .map(|ms| grant_all(&mut uplink, 1_000 + ms))
        .sum();
    assert!(
        (16_600_000..17_700_000).contains(&granted),
        "{granted} bytes"
    );
}

#[test]
fn an_idle_link_of_any_speed_grants_a_part() {
    assert_eq!(grant_all(&mut Uplink::new(1), 1_000), 4_096);
}

#[test]
fn rejected_peers_are_told_different_times() {
    let mut uplink = Uplink::new(20);
    grant_all(&mut uplink, 1_000);
    let waits: Vec<Admission> = (0..4)
        .map(|_| uplink.admit(DOCUMENT_BYTES, 1_000))
        .collect();
    let busy = |wait_ms| Admission::Busy { wait_ms };
    // `grant_all` has already reserved the first time.
    assert_eq!(waits, [busy(53), busy(90), busy(128), busy(165)]);
}

#[test]
fn a_part_is_granted_after_the_wait() {
    let mut uplink = Uplink::new(20);
    uplink.admit(DOCUMENT_BYTES, 1_000);
    let Admission::Busy { wait_ms } = uplink.admit(DOCUMENT_BYTES, 1_000) else {
        panic!("the link should be busy");
    };
    let then = uplink.admit(DOCUMENT_BYTES, 1_000 + wait_ms);
    assert_eq!(then, Admission::Granted { bytes: 62_500 });
}
