//! The final word on a request that has no endpoint's answer.

use crate::quarantine::EVIDENCE_TTL_MS;

/// Time in which a refused request must be asked for again where another instance serves it.
const ELSEWHERE_MS: u64 = 50;
/// How long the store or a replica that is away stays away, as a rule.
const AWAY_MS: u64 = 1_000;
/// An engine that is to hold other layers: the look that finds them missing, the order, and the list's
/// lag. The load comes on top.
const ORDER_MS: u64 = 900;
/// Part of the time by which callers that are refused together are spread.
const SPREAD: f64 = 0.3;

/// What decides when a refused caller should come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryConditions {
    /// Another instance serves everybody.
    pub other_instances_serve: bool,
    /// Time to load the layers that an engine of the service holds; 0 for a service without model.
    pub load_ms: u64,
    /// Time that a usual request takes, and after which its place is free.
    pub run_ms: u64,
    /// A number drawn evenly from all of `u64`.
    pub random: u64,
}

/// Why a request was refused before anything ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalCause {
    /// No table of routes is known yet.
    NoTable,
    /// The table is too old to trust the keys in it.
    OldTable,
    /// No endpoint of the service takes work.
    NoEndpoint,
    /// Some layer of the model has no usable holder.
    NoChain,
    /// The endpoints that were asked have no room.
    Full,
    /// The budget for repeats is used up.
    NoBudget,
    /// The process is about to end.
    Stopping,
    /// Its time ran out before it was sent.
    TooLate,
    /// Endpoints end that run it.
    Withheld,
    /// The endpoints that could run it want no request from this instance now.
    RateLimited {
        /// Time until one of them may be sent a request; `None` if other instances have all permits.
        wait_ms: Option<u64>,
    },
}

impl RefusalCause {
    /// Name in log lines and counters.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoTable => "no_table",
            Self::OldTable => "old_table",
            Self::NoEndpoint => "no_endpoint",
            Self::NoChain => "no_chain",
            Self::Full => "full",
            Self::NoBudget => "no_budget",
            Self::Stopping => "stopping",
            Self::TooLate => "too_late",
            Self::Withheld => "withheld",
            Self::RateLimited { .. } => "rate_limited",
        }
    }

    /// When the caller should come back: as long as the cause lasts as a rule, and callers that are
    /// refused together not all at once. Callers try again once only, so that coming back too soon
    /// costs them the answer, and coming back late only time.
    pub fn retry_after_ms(self, outlook: RetryConditions) -> u64 {
        let usual_ms = match self {
            Self::Stopping | Self::TooLate => ELSEWHERE_MS,
            Self::NoTable | Self::OldTable if outlook.other_instances_serve => ELSEWHERE_MS,
            Self::NoTable | Self::OldTable | Self::NoEndpoint => AWAY_MS,
            Self::NoChain => ORDER_MS + outlook.load_ms,
            Self::Full | Self::NoBudget => outlook.run_ms / 2,
            Self::Withheld => EVIDENCE_TTL_MS,
            // The next permit is one caller's; by then the places of others are free too.
            Self::RateLimited { wait_ms } => wait_ms.unwrap_or(0).max(outlook.run_ms / 2),
        };
        let part = outlook.random as f64 / u64::MAX as f64;
        (usual_ms as f64 * (1.0 + SPREAD * part)) as u64
    }
}

/// What the caller hears when there is no endpoint's answer to pass on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalError {
    /// The request has not run and never will: 503 with the time to come back.
    NotRun(RefusalCause),
    /// It may have run; its answer is lost: 502.
    Unknown,
    /// Time ran out, and it may have run: 504.
    TimedOut,
}

impl FinalError {
    /// HTTP status.
    pub fn status(self) -> u16 {
        match self {
            Self::NotRun(_) => 503,
            Self::Unknown => 502,
            Self::TimedOut => 504,
        }
    }

    /// Name in log lines and counters.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotRun(cause) => cause.name(),
            Self::Unknown => "unknown",
            Self::TimedOut => "timed_out",
        }
    }
}
