//! The limits that end a request for which no endpoint's answer came.

use super::{FinalError, RefusalCause};

/// What kept a request from being sent once more. The final word alone does not tell: a caller that
/// holds a part of its answer hears the same word whichever limit it was.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptLimit {
    /// It may have run, and must run once at most.
    MayHaveRun,
    /// It ran on as many endpoints as it may.
    Endpoints,
    /// As many attempts as are allowed did not run: turned away by the endpoint, or not sent.
    TurnedAway,
    /// It was sent as often as is allowed.
    Sends,
    /// The budget for repeats had none left.
    Budget,
    /// Its time was over.
    Deadline,
    /// No endpoint of the service took work.
    NoEndpoint,
    /// Some layer of the model had no usable holder.
    NoChain,
    /// The endpoints that were left to ask had no room.
    NoRoom,
    /// No table of routes was known.
    NoTable,
    /// The table of routes was too old.
    OldTable,
    /// The process was about to end.
    Stopping,
    /// Endpoints end that run it.
    Withheld,
    /// The endpoints that could run it wanted no request from this instance.
    RateLimited,
}

impl AttemptLimit {
    /// Name in log lines and counters.
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
            Self::NoTable => "no_table",
            Self::OldTable => "old_table",
            Self::Stopping => "stopping",
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
            RefusalCause::Full => Self::NoRoom,
            RefusalCause::NoBudget => Self::Budget,
            RefusalCause::Stopping => Self::Stopping,
            RefusalCause::TooLate => Self::Deadline,
            RefusalCause::Withheld => Self::Withheld,
            RefusalCause::RateLimited { .. } => Self::RateLimited,
        }
    }
}

/// The end of a request that has no endpoint's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GivenUp {
    /// What the caller hears.
    pub word: FinalError,
    /// What kept it from being sent once more.
    pub limit: AttemptLimit,
}
