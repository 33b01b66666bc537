use super::tests::{fleet, listed, range};
use super::{EndpointFailure, Fleet};
use crate::ids::{EndpointId, ServiceName};

fn two_endpoints() -> (Fleet, EndpointId, EndpointId) {
    let fleet = fleet(vec![
        listed("a", "lac", Some(range(0, 20))),
        listed("b", "lac", Some(range(0, 20))),
    ]);
    (fleet, EndpointId::from("a"), EndpointId::from("b"))
}

#[test]
fn an_endpoint_that_refuses_has_ended_once_another_one_accepts() {
    let (mut fleet, a, b) = two_endpoints();
    let service = fleet.get(&a).expect("listed").listed.service.clone();
    fleet.reach.of(&service).record_connected(90, 91);
    assert!(fleet.record_failure(&a, EndpointFailure::Refused, 100));
    assert!(!fleet.has_ended(&a));
    fleet.reach.of(&service).record_connected(101, 102);
    assert!(fleet.has_ended(&a) && !fleet.has_ended(&b));
}

#[test]
fn endpoints_that_refused_during_a_partition_are_used_at_once_after_it() {
    let (mut fleet, a, b) = two_endpoints();
    let service = fleet.get(&a).expect("listed").listed.service.clone();
    fleet.record_failure(&a, EndpointFailure::Refused, 80);
    fleet.reach.of(&service).record_connected(90, 91);
    fleet.record_failure(&b, EndpointFailure::Refused, 100);
    assert_eq!(fleet.forgive_unreachable_since(&service, 90), 1);
    assert!(fleet.has_ended(&a) && !fleet.has_ended(&b));
    assert!(fleet.get(&b).is_some_and(|known| known.accepts_work()));
    assert!(fleet.get(&a).is_some_and(|known| !known.accepts_work()));
}

#[test]
fn an_endpoint_that_gives_no_answer_is_not_gone_though_none_is_reached() {
    let (mut fleet, silent, refusing) = two_endpoints();
    let service = fleet.get(&silent).expect("listed").listed.service.clone();
    fleet.record_failure(&silent, EndpointFailure::Unreachable, 100);
    fleet.record_failure(&refusing, EndpointFailure::Refused, 100);
    fleet.reach.of(&service).record_none_reached(101);
    assert!(fleet.reach.is_lost(&service));
    assert!(!fleet.is_gone(&silent) && fleet.is_gone(&refusing));
}

#[test]
fn an_endpoint_of_another_service_shows_nothing_about_one_that_refuses() {
    let (mut fleet, a, _) = two_endpoints();
    fleet.record_failure(&a, EndpointFailure::Refused, 100);
    let other = ServiceName::from("other");
    fleet.reach.of(&other).record_connected(101, 102);
    assert!(!fleet.has_ended(&a));
}

#[test]
fn a_service_without_endpoints_is_not_unreached() {
    let mut fleet = Fleet::default();
    let service = ServiceName::from("gone");
    fleet.reach.of(&service).record_unreachable(10);
    fleet.reach.of(&service).record_none_reached(11);
    assert!(fleet.reach.is_lost(&service) && fleet.reach.needs_check(&service));
    fleet.reach.forget(&service);
    assert!(!fleet.reach.is_lost(&service) && !fleet.reach.needs_check(&service));
}
