use actix_http::{Response, StatusCode};

use super::delegation::DelegationOutcome;
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
