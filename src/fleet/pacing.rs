//! Rate limits, back-offs and departures that an endpoint announces in its responses.

use serde::{Deserialize, Serialize};

use crate::ids::EndpointId;

/// What a response says about the endpoint's rate limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum RateLimitUpdate {
    /// Nothing: the previous limit still applies. Errors and rejections need not repeat a limit.
    #[default]
    Unchanged,
    /// The endpoint has no limit.
    Unlimited,
    /// Requests per second that it accepts from all instances together.
    PerSecond(f64),
}

impl RateLimitUpdate {
    /// The limit that applies after this update, where `before_per_s` applied before.
    pub(super) fn resolve(self, before_per_s: Option<f64>) -> Option<f64> {
        match self {
            Self::Unchanged => before_per_s,
            Self::Unlimited => None,
            Self::PerSecond(per_s) => Some(per_s),
        }
    }
}

/// What a response says about sending requests to its endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Pacing {
    /// Rate limit.
    pub limit: RateLimitUpdate,
    /// Time for which the endpoint wants no request from this instance after it rejected one.
    pub back_off_ms: Option<u64>,
    /// Whether the endpoint is leaving and accepts no new work.
    pub is_leaving: bool,
}

impl Pacing {
    pub(super) fn has_constraints(&self) -> bool {
        let names_limit = matches!(self.limit, RateLimitUpdate::PerSecond(_));
        names_limit || self.back_off_ms.is_some() || self.is_leaving
    }
}

/// What a response changed, for log lines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PacingChange {
    /// The rate limit changed or was lifted.
    Limit {
        /// Previous limit, in requests per second.
        before_per_s: Option<f64>,
        /// New limit, in requests per second.
        now_per_s: Option<f64>,
    },
    /// The endpoint wants no request from this instance for a while.
    BackOff {
        /// Length of the back-off.
        for_ms: u64,
    },
    /// The endpoint is leaving.
    Leaving,
}

/// An endpoint's rate limit, as an instance that received it reports it to its peers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Requests per second that it accepts from all instances together; `None` if it no longer has
    /// a limit.
    pub limit_per_s: Option<f64>,
    /// Time since the endpoint announced it.
    pub age_ms: u64,
}
