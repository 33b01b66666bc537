//! Beats, rendezvous hashing and signs of leaving on their own.

use indexmap::IndexSet;
use proptest::prelude::*;

use super::beat::{Beat, BeatMap, decode, encode};
use super::{LeavingSigns, Listing, SignSources, highest, rank};
use crate::ids::{EndpointId, InstanceId, ServiceName, ZoneName};
use crate::wire::peer::{HeartbeatDigest, PeerMessage, PeerReply};
use crate::wire::platform::{InstanceList, InstancePhase, InstanceRecord, InstanceRole};

fn names(count: usize) -> Vec<InstanceId> {
    let mut names: Vec<InstanceId> = (0..count)
        .map(|index| InstanceId::from(format!("entry-{index}")))
        .collect();
    names.sort();
    names
}

prop_compose! {
    fn beats()(
        values in proptest::collection::vec((any::<u32>(), 0..100_u64, 0..100_u64, 0..50_u64), 0..16),
    ) -> BeatMap {
        let beat = |(number, state, demand, age): (u32, u64, u64, u64)| {
            let number = u64::from(number) + 1_000;
            Beat { number, state: number - state, demand: number - demand, age_ms: age * 100 }
        };
        names(values.len()).into_iter().zip(values.into_iter().map(beat)).collect()
    }
}

proptest! {
    #[test]
    fn beats_are_read_as_they_were_written(beats in beats(), with_names: bool) {
        let order: Vec<InstanceId> = names(16);
        let written = encode(&order, &beats, with_names);
        let text = serde_json::to_string(&written).unwrap();
        let read: HeartbeatDigest = serde_json::from_str(&text).unwrap();
        prop_assert_eq!(decode(&order, &read), Some(beats));
    }

    #[test]
    fn beats_over_another_list_are_not_read(beats in beats()) {
        let written = encode(&names(16), &beats, false);
        prop_assert_eq!(decode(&names(15), &written), None);
        let named = encode(&names(16), &beats, true);
        prop_assert_eq!(decode(&names(15), &named), Some(beats));
    }

    #[test]
    fn bytes_from_outside_never_panic(
        positions in proptest::collection::vec(any::<(u16, u64, u64, u64, u64)>(), 0..20),
        order: u32,
        highest: u64,
        text in "[\\[\\]{}\":,a-z0-9]{0,80}",
    ) {
        let beats = HeartbeatDigest { order, names: names(3), highest, values: positions };
        decode(&names(3), &beats);
        let _ = serde_json::from_str::<PeerMessage>(&text);
        let _ = serde_json::from_str::<PeerReply>(&text);
    }

    #[test]
    fn one_instance_ranks_first_and_a_loss_moves_only_its_duties(
        subject in "[a-z]{1,8}",
        lost in 0..7_usize,
    ) {
        let all = names(7);
        let first = highest(&subject, all.iter()).unwrap();
        prop_assert_eq!(rank(&subject, first, all.iter()), 0);
        let rest: Vec<InstanceId> = all.iter().filter(|it| **it != all[lost]).cloned().collect();
        let next = highest(&subject, rest.iter()).unwrap();
        prop_assert!(next == first || *first == all[lost]);
    }
}

fn listing(phase: InstancePhase, port: u16) -> Listing {
    let record = InstanceRecord {
        name: "e".to_owned(),
        role: InstanceRole::Engine,
        service: Some(ServiceName::from("s")),
        zone: ZoneName::from("z"),
        address: ([10, 0, 0, 1], port).into(),
        control_address: None,
        phase,
    };
    let mut listing = Listing::default();
    let list = InstanceList {
        instances: vec![record],
    };
    listing.take(Some(list), 0);
    listing
}

fn said_by_peers() -> SignSources {
    SignSources {
        peers: IndexSet::from([EndpointId::from("e")]),
        ..SignSources::default()
    }
}

#[test]
fn a_sign_sticks_for_half_a_minute_after_it_was_last_said() {
    let endpoint = EndpointId::from("e");
    let live = listing(InstancePhase::Live, 1);
    let mut signs = LeavingSigns::default();
    assert_eq!(signs.update(said_by_peers(), &live, 1_000).len(), 1);
    assert_eq!(signs.update(said_by_peers(), &live, 2_000), []);
    signs.update(SignSources::default(), &live, 31_000);
    assert!(signs.is_leaving(&endpoint));
    signs.update(SignSources::default(), &live, 32_001);
    assert!(!signs.is_leaving(&endpoint));
}

#[test]
fn another_process_under_the_same_name_does_not_inherit_a_sign() {
    let endpoint = EndpointId::from("e");
    let mut signs = LeavingSigns::default();
    signs.update(said_by_peers(), &listing(InstancePhase::Live, 1), 1_000);
    signs.update(
        SignSources::default(),
        &listing(InstancePhase::Live, 2),
        2_000,
    );
    assert!(!signs.is_leaving(&endpoint));
}
