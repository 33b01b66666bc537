//! Reasons for lost and late requests, derived from log lines.

use serde::Serialize;

/// Why a request was lost or late.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LossReason {
    /// Some layer had no usable engine, or no replica accepted work.
    NoChain,
    /// All remaining chains were full, as far as the instance knew.
    NoRoom,
    /// An endpoint rejected the request, or the limit on rejections was reached.
    TurnedAway,
    /// An attempt failed and the retry budget was exhausted.
    BudgetSpent,
    /// An attempt failed and the limit on sends per request was reached.
    SendsSpent,
    /// The limit on endpoints that may run one request was reached.
    EndpointsSpent,
    /// The request may have run already and must not run twice.
    RunsOnce,
    /// A stage or replica was lost while running the request.
    StageLost,
    /// The chain was changed while the request ran, which made it late.
    RepairedLate,
    /// The routing table was missing or too old because the store was unavailable.
    StoreAway,
    /// The instance was shutting down.
    Restart,
    /// Endpoints had crashed while running the request, so it was quarantined.
    Withheld,
    /// All suitable endpoints were rate-limiting the instance.
    RateLimited,
    /// The request's deadline expired.
    Deadline,
    /// The client disconnected.
    CallerGone,
    /// The endpoint returned an error.
    EndpointFailed,
    /// Late without a failure: the first event or response took too long.
    SlowStart,
    /// Late without a failure: a gap between two events was too long.
    SlowEvents,
}

impl LossReason {
    /// Name shown in tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoChain => "no chain",
            Self::NoRoom => "no room",
            Self::TurnedAway => "rejected by the endpoint",
            Self::BudgetSpent => "retry budget exhausted",
            Self::SendsSpent => "send limit reached",
            Self::EndpointsSpent => "endpoint limit reached",
            Self::RunsOnce => "must not run twice",
            Self::StageLost => "stage lost",
            Self::RepairedLate => "repaired late",
            Self::StoreAway => "store unavailable",
            Self::Restart => "restart",
            Self::Withheld => "withheld",
            Self::RateLimited => "rate limited",
            Self::Deadline => "deadline",
            Self::CallerGone => "client disconnected",
            Self::EndpointFailed => "endpoint error",
            Self::SlowStart => "slow to start",
            Self::SlowEvents => "slow between events",
        }
    }

    /// Maps the limit that ended a request to a reason. Returns `None` for an unknown limit, such
    /// as one of another release.
    pub(super) fn from_limit(limit: &str) -> Option<Self> {
        Some(match limit {
            "no_chain" | "no_endpoint" => Self::NoChain,
            "no_room" => Self::NoRoom,
            "turned_away" => Self::TurnedAway,
            "budget" => Self::BudgetSpent,
            "sends" => Self::SendsSpent,
            "endpoints" => Self::EndpointsSpent,
            "may_have_run" => Self::RunsOnce,
            "no_table" | "old_table" => Self::StoreAway,
            "stopping" => Self::Restart,
            "withheld" => Self::Withheld,
            "rate_limited" => Self::RateLimited,
            "deadline" => Self::Deadline,
            _ => return None,
        })
    }

    /// Maps the final error of a request to a reason. If the error only states that no further
    /// attempt was possible, the reason is taken from the end of the last run.
    pub(super) fn from_final_error(error: &str, last_end: Option<&str>) -> Self {
        match error {
            "no_table" | "old_table" => Self::StoreAway,
            "no_chain" | "no_endpoint" => Self::NoChain,
            "stopping" => Self::Restart,
            "withheld" => Self::Withheld,
            "rate_limited" => Self::RateLimited,
            "too_late" | "timed_out" => Self::Deadline,
            "full" | "no_budget" => last_end.map_or(Self::NoRoom, Self::from_run_end),
            _ => last_end.map_or(Self::StageLost, Self::from_run_end),
        }
    }

    /// Maps the end of a failed run to a reason.
    pub(super) fn from_run_end(end: &str) -> Self {
        match end {
            "TurnedAway" => Self::TurnedAway,
            "Failed" => Self::EndpointFailed,
            _ => Self::StageLost,
        }
    }
}
