use indexmap::IndexMap;
use proptest::prelude::*;

use super::list_log::{ListDelta, ListLog, ListWatermark};
use crate::fleet::{Fleet, KnownEndpoint, ListedEndpoint, ListingRead, Phase};
use crate::ids::{EndpointId, EndpointName, ServiceName, ZoneName};

fn entry(number: u8, phase: Phase, slots: u32) -> ListedEndpoint {
    ListedEndpoint {
        id: EndpointId::from(format!("e{number}")),
        service: ServiceName::from("model"),
        address: ([10, 0, 0, number], 80).into(),
        zone: ZoneName::from("lac"),
        phase,
        slots,
        kind: None,
        layers: None,
    }
}

fn names(numbers: &[u8]) -> Vec<EndpointName> {
    let name = |number| EndpointId::from(format!("e{number}")).name();
    numbers.iter().map(name).collect()
}

fn changes(put: &[u8], removed: &[u8]) -> ListingRead {
    let entries = put.iter().map(|number| entry(*number, Phase::Live, 1));
    ListingRead::changes(entries.collect(), names(removed))
}

fn unexpected_full_list() -> Vec<ListedEndpoint> {
    panic!("the full list is not needed")
}

#[test]
fn delta_contains_the_changes_after_the_given_position() {
    let mut log = ListLog::default();
    log.record(
        10,
        &ListingRead::full(vec![entry(1, Phase::Live, 1)]),
        false,
    );
    log.record(14, &changes(&[2], &[]), false);
    log.record(15, &changes(&[], &[]), false);
    log.record(19, &changes(&[], &[1]), true);
    log.record(25, &changes(&[], &[]), false);
    assert_eq!(
        log.watermark(),
        ListWatermark {
            position: 25,
            last_change: 19
        }
    );
    assert_eq!(
        log.delta_since(19, unexpected_full_list),
        ListDelta::Unchanged
    );
    assert_eq!(
        log.delta_since(22, unexpected_full_list),
        ListDelta::Unchanged
    );
    let ListDelta::Changes(newer) = log.delta_since(14, unexpected_full_list) else {
        panic!("changes are kept");
    };
    assert_eq!(newer.len(), 1);
    assert!(newer[0].after_outage);
    let ListDelta::Changes(newer) = log.delta_since(10, unexpected_full_list) else {
        panic!("changes are kept");
    };
    assert_eq!(newer.len(), 2);
    assert_eq!(log.delta_since(9, Vec::new), ListDelta::Full(Vec::new()));
}

#[test]
fn a_peer_without_unknown_changes_advances_the_position() {
    let mut log = ListLog::default();
    log.record(10, &ListingRead::full(Vec::new()), false);
    log.advance_to(ListWatermark {
        position: 30,
        last_change: 9,
    });
    assert_eq!(
        log.watermark(),
        ListWatermark {
            position: 30,
            last_change: 10
        }
    );
    log.advance_to(ListWatermark {
        position: 40,
        last_change: 35,
    });
    assert_eq!(
        log.watermark().position,
        30,
        "the peer knows of a change that is not known here"
    );
}

#[test]
fn delta_is_the_full_list_when_older_changes_are_not_kept() {
    let mut log = ListLog::default();
    log.record(1, &ListingRead::full(Vec::new()), false);
    for position in 2..200 {
        log.record(position, &changes(&[1], &[]), false);
    }
    assert_eq!(log.delta_since(5, Vec::new), ListDelta::Full(Vec::new()));
    assert!(matches!(
        log.delta_since(150, unexpected_full_list),
        ListDelta::Changes(_)
    ));
}

proptest! {
    /// Instances that receive updates at random times, directly from a reader of the store or
    /// through each other, end with the list of the store.
    #[test]
    fn instances_converge_to_the_list_of_the_store(
        steps in prop::collection::vec((0..6_u8, any::<bool>(), 1..4_u32, 0..4_u8), 1..150),
    ) {
        let mut position = 1;
        let mut store: IndexMap<u8, ListedEndpoint> = IndexMap::new();
        let mut reader = (ListLog::default(), Fleet::default());
        let first = ListingRead::full(Vec::new());
        reader.0.record(position, &first, false);
        reader.1.apply_read(first, false, 0);
        let mut others = [(ListLog::default(), Fleet::default()), (ListLog::default(), Fleet::default())];
        for (number, is_removed, slots, transfer) in steps {
            position += 3;
            let read = if is_removed {
                store.swap_remove(&number);
                changes(&[], &[number])
            } else {
                store.insert(number, entry(number, Phase::Live, slots));
                ListingRead::changes(vec![entry(number, Phase::Live, slots)], Vec::new())
            };
            reader.0.record(position, &read, false);
            reader.1.apply_read(read, false, 0);
            match transfer {
                0 => update(&reader, &mut others[0]),
                1 => {
                    let (first, second) = others.split_at_mut(1);
                    update(&first[0], &mut second[0]);
                }
                2 => update(&reader, &mut others[1]),
                _ => {}
            }
        }
        for other in &mut others {
            update(&reader, other);
            let mut known: Vec<(String, u32)> = other.1.iter().map(id_and_slots).collect();
            let mut expected: Vec<(String, u32)> = reader.1.iter().map(id_and_slots).collect();
            known.sort();
            expected.sort();
            prop_assert_eq!(&known, &expected);
            prop_assert_eq!(known.len(), store.len());
            prop_assert_eq!(other.0.watermark().position, reader.0.watermark().position);
        }
    }
}

fn id_and_slots(known: &KnownEndpoint) -> (String, u32) {
    (known.id().to_string(), known.listed.slots)
}

/// Brings one instance up to date with another.
fn update(from: &(ListLog, Fleet), to: &mut (ListLog, Fleet)) {
    match from
        .0
        .delta_since(to.0.watermark().position, || from.1.listed_endpoints())
    {
        ListDelta::Unchanged => {}
        ListDelta::Changes(reads) => {
            for logged in reads {
                to.0.record(logged.position, &logged.read, logged.after_outage);
                to.1.apply_read(logged.read, logged.after_outage, 0);
            }
        }
        ListDelta::Full(entries) => {
            to.0.reset(from.0.watermark());
            to.1.apply_read(ListingRead::full(entries), false, 0);
        }
    }
    to.0.advance_to(from.0.watermark());
}
