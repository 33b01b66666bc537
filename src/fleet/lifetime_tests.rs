//! Endpoints whose process is restarted under the same name, and unusable entries.

use std::net::SocketAddr;

use indexmap::IndexMap;
use proptest::prelude::*;

use super::*;
use crate::ids::{EndpointId, EndpointName, InstanceId, ServiceName, ZoneName};
use crate::wire::engine::LayerRange;

const LAYERS: LayerRange = LayerRange { first: 0, end: 10 };

fn lifetime(name: &str, started_unix_ms: u64) -> EndpointId {
    EndpointId::of_lifetime(&EndpointName::from(name), Some(started_unix_ms))
}

fn listed(id: &EndpointId, layers: Option<LayerRange>) -> ListedEndpoint {
    ListedEndpoint {
        id: id.clone(),
        service: ServiceName::from("menu-mind"),
        address: SocketAddr::from(([10, 0, 0, 1], 8_080)),
        zone: ZoneName::from("lac"),
        phase: Phase::Live,
        slots: 6,
        kind: Some("small".to_owned()),
        layers,
    }
}

fn reporting_peer() -> InstanceId {
    InstanceId::from("peer-1")
}

fn tokens(token_layers: u64) -> EngineLoad {
    EngineLoad {
        token_layers,
        requests: 3,
        unread_token_layers: token_layers / 2,
    }
}

fn write(fleet: &mut Fleet, entry: ListedEndpoint, now_ms: u64) -> Vec<FleetChange> {
    fleet.apply_read(ListingRead::changes(vec![entry], vec![]), false, now_ms)
}

#[test]
fn a_restarted_process_inherits_no_state() {
    let (first, second) = (lifetime("a", 100), lifetime("a", 200));
    let mut fleet = Fleet::default();
    write(&mut fleet, listed(&first, Some(LAYERS)), 0);
    fleet.record_failure(&first, EndpointFailure::Ended, 10);
    fleet.apply_leaving_report(&reporting_peer(), &first, 10);
    fleet.set_peers_load(&IndexMap::from([(first.clone(), tokens(700))]));
    let known = fleet.get_mut(&first).expect("listed");
    known.held_token_layers = 500;
    known.own_unread_token_layers = 400;
    known.in_flight = 3;
    known.health.record_full(10);
    known.set_reported_layers(Some(LAYERS), 10);
    let changes = write(&mut fleet, listed(&second, None), 20);
    let restarted = FleetChange::Restarted {
        ended: first.clone(),
        address: SocketAddr::from(([10, 0, 0, 1], 8_080)),
        started: second.clone(),
    };
    assert_eq!(changes, [restarted]);
    assert!(fleet.get(&first).is_none());
    assert!(fleet.has_ended(&first) && !fleet.has_ended(&second));
    let known = fleet.get(&second).expect("listed");
    assert_eq!((known.token_layers(), known.in_flight), (0, 0));
    assert_eq!(known.unread_token_layers(), 0);
    assert_eq!(known.requests(), 0);
    assert_eq!(known.listed.layers, None);
    assert!(known.accepts_work() && !known.health.is_full(20));
}

#[test]
fn late_information_on_an_earlier_lifetime_is_ignored() {
    let (first, second) = (lifetime("a", 100), lifetime("a", 200));
    let mut fleet = Fleet::default();
    write(&mut fleet, listed(&first, Some(LAYERS)), 0);
    write(&mut fleet, listed(&second, None), 20);
    assert_eq!(write(&mut fleet, listed(&first, Some(LAYERS)), 30), []);
    assert_eq!(
        fleet.apply_peer_list(&reporting_peer(), vec![listed(&first, Some(LAYERS))], 40),
        []
    );
    assert!(!fleet.apply_leaving_report(&reporting_peer(), &first, 50));
    fleet.record_failure(&first, EndpointFailure::Ended, 50);
    let known = fleet.get(&second).expect("listed");
    assert!(known.accepts_work());
    assert_eq!(known.listed.layers, None);
    let removed = ListingRead::changes(vec![], vec![second.name()]);
    fleet.apply_read(removed, false, 60);
    assert_eq!(write(&mut fleet, listed(&first, Some(LAYERS)), 70), []);
    assert_eq!(
        fleet.iter().count(),
        0,
        "also after the later one was removed"
    );
}

#[test]
fn an_unusable_entry_takes_its_previous_endpoint_out_of_use() {
    let id = lifetime("a", 100);
    let other = lifetime("b", 100);
    let mut fleet = Fleet::default();
    let full = vec![listed(&id, None), listed(&other, None)];
    fleet.apply_read(ListingRead::full(full), false, 0);
    let unusable = UnusableEntry {
        name: id.name(),
        fault: EntryError::UnknownState("warming".to_owned()),
    };
    let read = |scope| ListingRead {
        scope,
        entries: vec![],
        unusable: vec![unusable.clone()],
    };
    let changes = ListingScope::Changes { removed: vec![] };
    let seen = fleet.apply_read(read(changes.clone()), false, 10);
    let reported = FleetChange::Unusable(unusable.clone());
    assert_eq!(seen, [FleetChange::Expired(id.clone()), reported]);
    assert!(fleet.get(&other).is_some(), "the others hold");
    assert_eq!(
        fleet.apply_read(read(changes.clone()), false, 20),
        [],
        "reported once"
    );
    assert_eq!(
        write(&mut fleet, listed(&id, None), 30),
        [FleetChange::Joined(id.clone())]
    );
    assert_eq!(
        fleet.apply_read(read(changes), false, 40).len(),
        2,
        "reported again after a usable entry"
    );
}

/// Events that may arrive in any order.
#[derive(Clone, Debug)]
enum Event {
    /// The process is restarted.
    Restart,
    /// An entry of a lifetime is read: 0 is the newest, 1 the previous one.
    Entry {
        back: usize,
        is_from_peer: bool,
    },
    /// The entry is removed, either normally or after an outage.
    Removed {
        after_outage: bool,
    },
    /// A peer reports that a lifetime is leaving.
    PeerLeaving {
        back: usize,
    },
    /// A call to a lifetime fails.
    CallFailure {
        back: usize,
    },
    /// A report of a lifetime contains its layers.
    Report {
        back: usize,
    },
    /// Requests of peers hold tokens at a lifetime.
    PeersLoad {
        back: usize,
    },
    Pass {
        ms: u64,
    },
}

fn any_event() -> impl Strategy<Value = Event> {
    let back = || 0usize..3;
    prop_oneof![
        2 => Just(Event::Restart),
        6 => (back(), any::<bool>())
            .prop_map(|(back, is_from_peer)| Event::Entry { back, is_from_peer }),
        2 => any::<bool>().prop_map(|after_outage| Event::Removed { after_outage }),
        2 => back().prop_map(|back| Event::PeerLeaving { back }),
        2 => back().prop_map(|back| Event::CallFailure { back }),
        2 => back().prop_map(|back| Event::Report { back }),
        2 => back().prop_map(|back| Event::PeersLoad { back }),
        2 => (1u64..3_000).prop_map(|ms| Event::Pass { ms }),
    ]
}

proptest! {
    /// Only the newest listed lifetime is known, and everything known about it belongs to it.
    #[test]
    fn what_is_known_belongs_to_the_newest_lifetime(events in prop::collection::vec(any_event(), 1..60)) {
        let mut fleet = Fleet::default();
        let mut started_ms = 1_000;
        let mut newest_listed_ms = 0;
        let mut touched = indexmap::IndexSet::new();
        let mut now_ms = 0;
        for event in events {
            let at = |back: usize| started_ms - 10 * back as u64;
            match event {
                Event::Restart => started_ms += 10,
                Event::Entry { back, is_from_peer } => {
                    let id = lifetime("a", at(back));
                    newest_listed_ms = newest_listed_ms.max(at(back));
                    if is_from_peer {
                        fleet.apply_peer_list(&reporting_peer(), vec![listed(&id, None)], now_ms);
                    } else {
                        write(&mut fleet, listed(&id, None), now_ms);
                    }
                }
                Event::Removed { after_outage } => {
                    let removed = vec![EndpointName::from("a")];
                    fleet.apply_read(ListingRead::changes(vec![], removed), after_outage, now_ms);
                }
                Event::PeerLeaving { back } => {
                    fleet.apply_leaving_report(&reporting_peer(), &lifetime("a", at(back)), now_ms);
                    touched.insert(at(back));
                }
                Event::CallFailure { back } => {
                    fleet.record_failure(&lifetime("a", at(back)), EndpointFailure::Ended, now_ms);
                    touched.insert(at(back));
                }
                Event::Report { back } => {
                    if let Some(known) = fleet.get_mut(&lifetime("a", at(back))) {
                        known.set_reported_layers(Some(LAYERS), now_ms);
                        touched.insert(at(back));
                    }
                }
                Event::PeersLoad { back } => {
                    let id = lifetime("a", at(back));
                    fleet.set_peers_load(&IndexMap::from([(id, tokens(9))]));
                    touched.insert(at(back));
                }
                Event::Pass { ms } => {
                    now_ms += ms;
                    fleet.expire(now_ms);
                }
            }
            prop_assert!(fleet.iter().count() <= 1);
            for known in fleet.iter() {
                let started_ms = known.id().started_unix_ms().expect("the id contains the start time");
                prop_assert_eq!(started_ms, newest_listed_ms);
                prop_assert!(!fleet.ended.contains_key(known.id()));
                if !touched.contains(&started_ms) {
                    prop_assert!(known.accepts_work());
                    prop_assert_eq!(known.listed.layers, None);
                    prop_assert_eq!(known.token_layers(), 0);
                    prop_assert_eq!(known.unread_token_layers(), 0);
                }
            }
        }
    }
}
