//! Limits that end a request for which no endpoint's response was obtained.

use super::{FinalError, RefusalCause};

/// Why a request was not sent again. The final error alone does not tell: a caller that holds part
/// of its response gets the same error for every limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptLimit {
    /// The request may have run and must run at most once.
    MayHaveRun,
    /// The request ran on as many endpoints as allowed.
    Endpoints,
    /// The maximum number of attempts did not run: rejected by the endpoint, or not sent.
    TurnedAway,
    /// The request was sent as often as allowed.
    Sends,
    /// The retry budget was exhausted.
    Budget,
    /// The deadline of the request passed.
    Deadline,
    /// No endpoint of the service accepted requests.
    NoEndpoint,
    /// Some layer of the model has no usable engine that holds it.
    NoChain,
    /// The remaining endpoints had no capacity.
    NoRoom,
    /// The bodies of other requests used all memory for request bodies.
    NoMemory,
    /// No route table was known.
    NoTable,
    /// The route table was too old.
    OldTable,
    /// The process was about to stop.
    Stopping,
    /// The caller had left.
    CallerLeft,
    /// The request is withheld because endpoints crash when they run it.
    Withheld,
    /// The endpoints that could run the request accepted none from this instance.
    RateLimited,
}

impl AttemptLimit {
    /// Name in log lines and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::MayHaveRun => "may_have_run",
            Self::Endpoints => "endpoints",
            Self::TurnedAway => "turned_away",
            Self::Sends => "sends",
            Self::Budget => "budget",
            Self::Deadline => "deadline",
            Self::NoEndpoint => "no_endpoint",
            Self::NoChain => "no_chain",
            Self::NoRoom => "no_room",
            Self::NoMemory => "no_memory",
            Self::NoTable => "no_table",
            Self::OldTable => "old_table",
            Self::Stopping => "stopping",
            Self::CallerLeft => "caller_left",
            Self::Withheld => "withheld",
            Self::RateLimited => "rate_limited",
        }
    }
}

impl From<RefusalCause> for AttemptLimit {
    fn from(cause: RefusalCause) -> Self {
        match cause {
            RefusalCause::NoTable => Self::NoTable,
            RefusalCause::OldTable => Self::OldTable,
            RefusalCause::NoEndpoint => Self::NoEndpoint,
            RefusalCause::NoChain => Self::NoChain,
            RefusalCause::Full | RefusalCause::Queue { .. } => Self::NoRoom,
            RefusalCause::NoMemory => Self::NoMemory,
            RefusalCause::NoBudget => Self::Budget,
            RefusalCause::Stopping => Self::Stopping,
            RefusalCause::TooLate => Self::Deadline,
            RefusalCause::CallerLeft => Self::CallerLeft,
            RefusalCause::Withheld => Self::Withheld,
            RefusalCause::RateLimited { .. } => Self::RateLimited,
        }
    }
}

/// The failure of a request without an endpoint's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayFailure {
    /// The error reported to the caller.
    pub error: FinalError,
    /// Why the request was not sent again.
    pub limit: AttemptLimit,
}
