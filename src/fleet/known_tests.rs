use std::net::SocketAddr;

use super::{EndpointFailure, Fleet, KnownEndpoint, ListedEndpoint, ListingRead, Phase};
use crate::ids::{EndpointId, ServiceName, ZoneName};
use crate::wire::engine::LayerRange;

/// Time at which the engine below is probed, and at which the missing response counts as a failure.
const PROBE_SENT_MS: u64 = 1_000;
const PROBE_FAILED_MS: u64 = 1_110;

/// Runs `act` on the only engine of a fleet.
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
fn an_engine_silent_since_its_probe_is_lost() {
    with_engine(|engine| {
        engine.last_heard.record(PROBE_SENT_MS);
        assert!(engine.record_unanswered(PROBE_SENT_MS, PROBE_FAILED_MS));
        assert!(engine.is_lost() && !engine.heard_since_probe());
    });
}

#[test]
fn an_engine_heard_from_after_its_probe_is_not_lost() {
    with_engine(|engine| {
        engine.record_unanswered(PROBE_SENT_MS, PROBE_FAILED_MS);
        engine.last_heard.record(PROBE_FAILED_MS + 1);
        assert!(!engine.is_lost() && engine.heard_since_probe());
    });
}

#[test]
fn a_second_failed_probe_is_reported_after_a_false_first_one() {
    with_engine(|engine| {
        engine.record_unanswered(PROBE_SENT_MS, PROBE_FAILED_MS);
        engine.last_heard.record(PROBE_FAILED_MS + 1);
        assert!(engine.record_unanswered(PROBE_FAILED_MS + 2, PROBE_FAILED_MS + 112));
        assert!(engine.is_lost());
    });
}

#[test]
fn an_ended_process_stays_lost_when_earlier_data_arrives() {
    with_engine(|engine| {
        engine.record_unanswered(PROBE_SENT_MS, PROBE_FAILED_MS);
        engine
            .health
            .record_failure(EndpointFailure::Ended, PROBE_FAILED_MS + 1);
        engine.last_heard.record(PROBE_FAILED_MS + 2);
        assert!(engine.is_lost());
    });
}

/// Guards against requests for layers that an engine was ordered to give up: it reports them until its requests
/// have ended, and so does the list.
#[test]
fn given_up_layers_stay_out_of_use_while_the_engine_still_reports_them() {
    let range = |first, end| LayerRange { first, end };
    with_engine(|engine| {
        engine.set_reported_layers(Some(range(0, 29)), 0);
        engine.set_ordered_layers(range(0, 25), 100);
        assert_eq!(engine.listed.layers, Some(range(0, 25)));
        engine.set_reported_layers(Some(range(0, 29)), 300);
        engine.expire_reported_layers(5_000);
        assert_eq!(engine.listed.layers, Some(range(0, 25)));
        engine.set_reported_layers(Some(range(30, 40)), 6_000);
        assert_eq!(engine.listed.layers, Some(range(30, 40)));
    });
}

/// Guards against requests for layers that an engine has not loaded.
#[test]
fn an_engine_that_has_to_load_layers_gets_no_requests() {
    with_engine(|engine| {
        engine.set_reported_layers(Some(LayerRange { first: 0, end: 29 }), 0);
        engine.set_ordered_layers(LayerRange { first: 10, end: 35 }, 100);
        assert_eq!(engine.listed.layers, None);
    });
}
