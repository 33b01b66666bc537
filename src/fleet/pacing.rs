//! How an endpoint wants to be sent requests, as one of its answers says.

use serde::{Deserialize, Serialize};

use crate::ids::EndpointId;

/// What one answer says of a rate limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum RateLimitUpdate {
    /// Nothing: what was said before holds. Failures and refusals need not repeat a limit.
    #[default]
    Unchanged,
    /// The endpoint names none.
    Unlimited,
    /// Requests a second that it takes from all instances together.
    PerSecond(f64),
}

impl RateLimitUpdate {
    /// The limit that holds from now on where `before_per_s` did.
    pub(super) fn resolve(self, before_per_s: Option<f64>) -> Option<f64> {
        match self {
            Self::Unchanged => before_per_s,
            Self::Unlimited => None,
            Self::PerSecond(per_s) => Some(per_s),
        }
    }
}

/// What one answer says of how its endpoint wants to be sent requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Pacing {
    /// What it says of a rate limit.
    pub limit: RateLimitUpdate,
    /// Time for which it wants no request from this instance, where it turned one away.
    pub back_off_ms: Option<u64>,
    /// It is leaving and takes no new work.
    pub is_leaving: bool,
}

impl Pacing {
    pub(super) fn has_constraints(&self) -> bool {
        let names_limit = matches!(self.limit, RateLimitUpdate::PerSecond(_));
        names_limit || self.back_off_ms.is_some() || self.is_leaving
    }
}

/// What an answer has changed, for log lines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PacingChange {
    /// It names another limit, or none any more.
    Limit {
        /// The limit before, in requests a second.
        before_per_s: Option<f64>,
        /// The one that holds from now on.
        now_per_s: Option<f64>,
    },
    /// It wants no request from this instance for a while.
    BackOff {
        /// For how long.
        for_ms: u64,
    },
    /// It is leaving.
    Leaving,
}

/// An endpoint's limit, as an instance that heard it tells the others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Requests a second that it takes from all instances together; `None` if it names none any more.
    pub limit_per_s: Option<f64>,
    /// Time since it said so.
    pub age_ms: u64,
}
