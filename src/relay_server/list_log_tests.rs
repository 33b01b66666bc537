use indexmap::IndexMap;
use proptest::prelude::*;

use super::list_log::{ListLog, ListNews, ListWatermark};
use crate::fleet::{Fleet, ListedEndpoint, ListingRead, Phase};
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

fn names(read: &[u8]) -> Vec<EndpointName> {
    let name = |number| EndpointId::from(format!("e{number}")).name();
    read.iter().map(name).collect()
}

fn changes(put: &[u8], removed: &[u8]) -> ListingRead {
    let entries = put.iter().map(|number| entry(*number, Phase::Live, 1));
    ListingRead::changes(entries.collect(), names(removed))
}

fn none_needed() -> Vec<ListedEndpoint> {
    panic!("the whole list is not needed")
}

#[test]
fn one_that_is_behind_is_told_what_has_changed_since() {
    let mut log = ListLog::default();
    log.note(
        10,
        &ListingRead::full(vec![entry(1, Phase::Live, 1)]),
        false,
    );
    log.note(14, &changes(&[2], &[]), false);
    log.note(15, &changes(&[], &[]), false);
    log.note(19, &changes(&[], &[1]), true);
    log.note(25, &changes(&[], &[]), false);
    assert_eq!(
        log.watermark(),
        ListWatermark {
            position: 25,
            last_change: 19
        }
    );
    assert_eq!(log.news_since(19, none_needed), ListNews::Nothing);
    assert_eq!(log.news_since(22, none_needed), ListNews::Nothing);
    let ListNews::Changes(newer) = log.news_since(14, none_needed) else {
        panic!("changes are kept");
    };
    assert_eq!(newer.len(), 1);
    assert!(newer[0].was_away);
    let ListNews::Changes(newer) = log.news_since(10, none_needed) else {
        panic!("changes are kept");
    };
    assert_eq!(newer.len(), 2);
    assert_eq!(log.news_since(9, Vec::new), ListNews::Whole(Vec::new()));
}

#[test]
fn a_peer_that_knows_of_no_change_confirms_the_list() {
    let mut log = ListLog::default();
    log.note(10, &ListingRead::full(Vec::new()), false);
    log.confirm(ListWatermark {
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
    log.confirm(ListWatermark {
        position: 40,
        last_change: 35,
    });
    assert_eq!(log.watermark().position, 30, "a change is not known here");
}

#[test]
fn one_that_is_far_behind_is_told_the_whole() {
    let mut log = ListLog::default();
    log.note(1, &ListingRead::full(Vec::new()), false);
    for position in 2..200 {
        log.note(position, &changes(&[1], &[]), false);
    }
    assert_eq!(log.news_since(5, Vec::new), ListNews::Whole(Vec::new()));
    assert!(matches!(
        log.news_since(150, none_needed),
        ListNews::Changes(_)
    ));
}

proptest! {
    /// Whoever is told by one that reads the store, now and then and by way of others, ends with the
    /// list of the store.
    #[test]
    fn those_that_are_told_know_what_the_store_has(
        steps in prop::collection::vec((0..6_u8, any::<bool>(), 1..4_u32, 0..4_u8), 1..150),
    ) {
        let mut position = 1;
        let mut store: IndexMap<u8, ListedEndpoint> = IndexMap::new();
        let mut reader = (ListLog::default(), Fleet::default());
        let first = ListingRead::full(Vec::new());
        reader.0.note(position, &first, false);
        reader.1.apply_read(first, false, 0);
        let mut told = [(ListLog::default(), Fleet::default()), (ListLog::default(), Fleet::default())];
        for (number, is_removed, slots, who) in steps {
            position += 3;
            let read = if is_removed {
                store.swap_remove(&number);
                changes(&[], &[number])
            } else {
                store.insert(number, entry(number, Phase::Live, slots));
                ListingRead::changes(vec![entry(number, Phase::Live, slots)], Vec::new())
            };
            reader.0.note(position, &read, false);
            reader.1.apply_read(read, false, 0);
            match who {
                0 => tell(&reader, &mut told[0]),
                1 => {
                    let (first, second) = told.split_at_mut(1);
                    tell(&first[0], &mut second[0]);
                }
                2 => tell(&reader, &mut told[1]),
                _ => {}
            }
        }
        for one in &mut told {
            tell(&reader, one);
            let mut known: Vec<(String, u32)> = one.1.iter().map(as_pair).collect();
            let mut wanted: Vec<(String, u32)> = reader.1.iter().map(as_pair).collect();
            known.sort();
            wanted.sort();
            prop_assert_eq!(&known, &wanted);
            prop_assert_eq!(known.len(), store.len());
            prop_assert_eq!(one.0.watermark().position, reader.0.watermark().position);
        }
    }
}

fn as_pair(known: &crate::fleet::KnownEndpoint) -> (String, u32) {
    (known.id().to_string(), known.listed.slots)
}

/// Tells one instance what another knows.
fn tell(from: &(ListLog, Fleet), to: &mut (ListLog, Fleet)) {
    match from
        .0
        .news_since(to.0.watermark().position, || from.1.listed_endpoints())
    {
        ListNews::Nothing => {}
        ListNews::Changes(reads) => {
            for it in reads {
                to.0.note(it.position, &it.read, it.was_away);
                to.1.apply_read(it.read, it.was_away, 0);
            }
        }
        ListNews::Whole(entries) => {
            to.0.restart(from.0.watermark());
            to.1.apply_read(ListingRead::full(entries), false, 0);
        }
    }
    to.0.confirm(from.0.watermark());
}
