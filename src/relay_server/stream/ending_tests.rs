use super::ending::StreamOutcome;
use crate::relay::{AttemptLimit, FinalError, RelayFailure};

/// Guards against demand that misses streams which were refused or waited in vain, and against counting those
/// that were served in part.
#[test]
fn streams_without_an_event_count_as_unserved() {
    let failed = StreamOutcome::Failed(RelayFailure {
        error: FinalError::Unknown,
        limit: AttemptLimit::Deadline,
    });
    assert!(failed.is_unserved(false, false));
    assert!(!failed.is_unserved(true, true));
    assert!(StreamOutcome::CallerLeft.is_unserved(false, true));
    assert!(!StreamOutcome::CallerLeft.is_unserved(false, false));
    assert!(!StreamOutcome::CallerLeft.is_unserved(true, true));
    assert!(!StreamOutcome::Complete.is_unserved(true, false));
}
