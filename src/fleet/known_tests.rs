use std::net::SocketAddr;

use super::{EndpointFailure, Fleet, KnownEndpoint, ListedEndpoint, ListingRead, Phase};
use crate::ids::{EndpointId, ServiceName, ZoneName};

/// When the engine below was asked, and when its silence counted as its death.
const ASKED_MS: u64 = 1_000;
const FOUND_MS: u64 = 1_110;

/// Does something with a fleet's only engine.
fn with_engine<T>(act: impl FnOnce(&mut KnownEndpoint) -> T) -> T {
    let id = EndpointId::from("a");
    let mut fleet = Fleet::default();
    let entry = ListedEndpoint {
        id: id.clone(),
        service: ServiceName::from("menu-mind"),
        address: SocketAddr::from(([10, 0, 0, 1], 8_504)),
        zone: ZoneName::from("lac"),
        phase: Phase::Live,
        slots: 6,
        kind: Some("small".to_owned()),
        layers: None,
    };
    fleet.apply_read(ListingRead::full(vec![entry]), false, 0);
    act(fleet.get_mut(&id).expect("listed"))
}

#[test]
fn an_engine_that_is_silent_since_it_was_asked_is_lost() {
    with_engine(|engine| {
        engine.last_heard.record(ASKED_MS);
        assert!(engine.record_unanswered(ASKED_MS, FOUND_MS));
        assert!(engine.is_lost() && !engine.heard_since_probe());
    });
}

#[test]
fn an_engine_that_is_heard_after_all_is_not_lost() {
    with_engine(|engine| {
        engine.record_unanswered(ASKED_MS, FOUND_MS);
        engine.last_heard.record(FOUND_MS + 1);
        assert!(!engine.is_lost() && engine.heard_since_probe());
    });
}

#[test]
fn a_second_death_is_told_though_the_first_was_false() {
    with_engine(|engine| {
        engine.record_unanswered(ASKED_MS, FOUND_MS);
        engine.last_heard.record(FOUND_MS + 1);
        assert!(engine.record_unanswered(FOUND_MS + 2, FOUND_MS + 112));
        assert!(engine.is_lost());
    });
}

#[test]
fn what_an_ended_process_sent_before_does_not_show_it_to_live() {
    with_engine(|engine| {
        engine.record_unanswered(ASKED_MS, FOUND_MS);
        engine
            .health
            .record_failure(EndpointFailure::Ended, FOUND_MS + 1);
        engine.last_heard.record(FOUND_MS + 2);
        assert!(engine.is_lost());
    });
}
