use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{RequestHead, Response, StatusCode};

use super::delegation::{Delegation, DelegationOutcome};
use crate::ids::{EndpointId, InstanceId};
use crate::relay::{FinalError, RefusalCause};

fn outcome_of(error: FinalError) -> DelegationOutcome {
    let mut response = Response::new(StatusCode::SERVICE_UNAVAILABLE);
    response.extensions_mut().insert(error);
    DelegationOutcome::of_response(&response)
}

/// Guards against a retry that goes back to the budget although endpoints of the other instance received it.
#[test]
fn a_delegated_request_that_endpoints_turned_away_was_sent() {
    let cause = RefusalCause::NoEndpoint;
    let unsent = outcome_of(FinalError::NotRun(cause));
    assert_eq!(unsent, DelegationOutcome::NotSent);
    let turned_away = outcome_of(FinalError::TurnedAway(cause));
    assert_eq!(turned_away, DelegationOutcome::TurnedAway);
    let full = outcome_of(FinalError::NotRun(RefusalCause::Full));
    assert_eq!(full, DelegationOutcome::TurnedAway);
    assert_eq!(outcome_of(FinalError::TimedOut), DelegationOutcome::Unknown);
}

/// Guards against a request that another instance runs at other endpoints than those at which it may run again.
#[test]
fn metadata_of_a_delegated_request_is_read_as_it_was_written() {
    for reused in [vec![], vec!["e-0@17"], vec!["e,1@17", "e 2"]] {
        let delegation = Delegation {
            delegated_by: InstanceId::from("front-0"),
            table_version: 3,
            max_endpoints: 0,
            reused_endpoints: reused.into_iter().map(EndpointId::from).collect(),
            is_repeat: true,
        };
        let mut head = RequestHead::default();
        delegation.set_headers(&mut head.headers);
        assert_eq!(Delegation::from_head(&head), Some(delegation));
    }
}

/// Guards against a delegated request that is refused because one id is unreadable.
#[test]
fn unreadable_ids_of_endpoints_are_skipped() {
    let mut head = RequestHead::default();
    for (name, value) in [
        ("fescue-delegated-by", "front-0"),
        ("fescue-table-version", "3"),
        ("fescue-max-endpoints", "0"),
        ("fescue-reused-endpoints", "xyz,,ff,652d30"),
    ] {
        let (name, value) = (
            HeaderName::from_static(name),
            HeaderValue::from_static(value),
        );
        head.headers.insert(name, value);
    }
    let delegation = Delegation::from_head(&head).expect("all that is needed is there");
    assert_eq!(delegation.max_endpoints, 0);
    assert_eq!(delegation.reused_endpoints, [EndpointId::from("e-0")]);
}
