//! Why requests are lost or late, as log lines tell it.

use serde::Serialize;

/// Why a request was lost or late.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LossReason {
    /// Some layer had no usable holder, or no replica took work.
    NoChain,
    /// Every chain that was left was full by what the instance knew.
    NoRoom,
    /// An endpoint turned it away, or as many as may did.
    TurnedAway,
    /// It had failed, and the budget for repeats had none left.
    BudgetSpent,
    /// It had failed as often as one request may be sent.
    SendsSpent,
    /// It had run on as many endpoints as it may.
    EndpointsSpent,
    /// It may have run, and may run once only.
    RunsOnce,
    /// A stage or a replica was lost while it was at work.
    StageLost,
    /// Its chain was changed while it ran.
    RepairedLate,
    /// The table of routes was missing or too old: the store was away.
    StoreAway,
    /// The instance was about to end.
    Restart,
    /// Endpoints had ended under it, so that it was sent to none any more.
    Withheld,
    /// The endpoints that could run it wanted no request from the instance.
    RateLimited,
    /// Its time was over.
    Deadline,
    /// Its caller left.
    CallerGone,
    /// The endpoint answered with a failure of its own.
    EndpointFailed,
    /// It was late though nothing went wrong: the first event or answer took too long.
    SlowStart,
    /// The same: a pause between two events was too long.
    SlowEvents,
}

impl LossReason {
    /// Name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoChain => "no chain",
            Self::NoRoom => "no room",
            Self::TurnedAway => "turned away by the endpoint",
            Self::BudgetSpent => "retry budget spent",
            Self::SendsSpent => "sent as often as allowed",
            Self::EndpointsSpent => "ran on as many as allowed",
            Self::RunsOnce => "may run once only",
            Self::StageLost => "stage lost",
            Self::RepairedLate => "repaired late",
            Self::StoreAway => "store away",
            Self::Restart => "restart",
            Self::Withheld => "withheld",
            Self::RateLimited => "rate limited",
            Self::Deadline => "deadline",
            Self::CallerGone => "caller gone",
            Self::EndpointFailed => "endpoint's own failure",
            Self::SlowStart => "slow to start",
            Self::SlowEvents => "slow between events",
        }
    }

    /// The reason behind the limit that ended a request; `None` for one that is not known, such as of
    /// another release.
    pub(super) fn of_limit(limit: &str) -> Option<Self> {
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

    /// The reason behind a final word; where that only says that nothing more could be tried, the
    /// last try says why one was needed.
    pub(super) fn of_word(word: &str, last_end: Option<&str>) -> Self {
        match word {
            "no_table" | "old_table" => Self::StoreAway,
            "no_chain" | "no_endpoint" => Self::NoChain,
            "stopping" => Self::Restart,
            "withheld" => Self::Withheld,
            "rate_limited" => Self::RateLimited,
            "too_late" | "timed_out" => Self::Deadline,
            "full" | "no_budget" => last_end.map_or(Self::NoRoom, Self::of_try),
            _ => last_end.map_or(Self::StageLost, Self::of_try),
        }
    }

    /// The reason behind the end of a try.
    pub(super) fn of_try(end: &str) -> Self {
        match end {
            "TurnedAway" => Self::TurnedAway,
            "Failed" => Self::EndpointFailed,
            _ => Self::StageLost,
        }
    }
}
