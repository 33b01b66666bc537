//! The error for a request that has no endpoint's response.

use crate::quarantine::EVIDENCE_TTL_MS;

/// Retry delay where another instance serves the request.
const OTHER_INSTANCE_RETRY_MS: u64 = 50;
/// Typical duration of an outage of the store or of a replica.
const OUTAGE_MS: u64 = 1_000;
/// Time to assign layers to another engine, without loading them: detecting that they are missing,
/// the order, and the lag of the endpoint list.
const REASSIGNMENT_MS: u64 = 900;
/// Shortest retry delay of a request that found no capacity: the longest time that others wait for it, since they
/// are still there before.
const MIN_CAPACITY_RETRY_MS: u64 = 160;
/// Longest retry delay of a request that would have waited too long. The rate of turns changes
/// within seconds, and a caller that retries later has missed every objective.
const MAX_QUEUE_RETRY_MS: u64 = 4_000;
/// Typical time until bodies of other requests have been sent to their endpoints.
const MEMORY_RETRY_MS: u64 = 300;
/// Fraction of the retry delay over which callers refused together are spread.
const JITTER: f64 = 0.3;

/// Conditions that determine when a refused caller should retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryConditions {
    /// Another instance serves all requests.
    pub other_instances_serve: bool,
    /// Time to load the layers that an engine of the service holds; 0 for a service without a
    /// model.
    pub load_ms: u64,
    /// Typical duration of a request, after which its capacity is free again.
    pub run_ms: u64,
    /// Random number, uniformly distributed over `u64`.
    pub random: u64,
}

/// Why a request was refused before anything ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalCause {
    /// No route table is known yet.
    NoTable,
    /// The route table is too old to trust the keys in it.
    OldTable,
    /// No endpoint of the service accepts requests.
    NoEndpoint,
    /// Some layer of the model has no usable engine that holds it.
    NoChain,
    /// The endpoints that were tried have no capacity.
    Full,
    /// The bodies of other requests use all memory for request bodies.
    NoMemory,
    /// The request would have waited too long for capacity, behind others of its service.
    Queue {
        /// Expected time until its turn; `None` if the rate of turns is unknown.
        expected_wait_ms: Option<u64>,
    },
    /// The retry budget is exhausted.
    NoBudget,
    /// The process is about to stop.
    Stopping,
    /// The deadline passed before the request was sent.
    TooLate,
    /// The caller left before the request was sent.
    CallerLeft,
    /// The request is withheld because endpoints crash when they run it.
    Withheld,
    /// The endpoints that could run the request accept none from this instance at present.
    RateLimited {
        /// Time until one of them accepts a request; `None` if other instances hold all permits.
        wait_ms: Option<u64>,
    },
}

impl RefusalCause {
    /// Name in log lines and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoTable => "no_table",
            Self::OldTable => "old_table",
            Self::NoEndpoint => "no_endpoint",
            Self::NoChain => "no_chain",
            Self::Full => "full",
            Self::NoMemory => "no_memory",
            Self::Queue { .. } => "queue",
            Self::NoBudget => "no_budget",
            Self::Stopping => "stopping",
            Self::TooLate => "too_late",
            Self::CallerLeft => "caller_left",
            Self::Withheld => "withheld",
            Self::RateLimited { .. } => "rate_limited",
        }
    }

    /// Whether the instance lacks what it needs to serve any request of the service, and not merely capacity or
    /// time for this one.
    pub fn is_unavailability(self) -> bool {
        match self {
            Self::NoTable
            | Self::OldTable
            | Self::NoEndpoint
            | Self::NoChain
            | Self::Stopping
            | Self::Withheld
            | Self::RateLimited { .. } => true,
            Self::Full
            | Self::NoMemory
            | Self::Queue { .. }
            | Self::NoBudget
            | Self::TooLate
            | Self::CallerLeft => false,
        }
    }

    /// When the caller should retry: after the typical duration of the cause, with jitter for
    /// callers that are refused together. Callers retry only once, so retrying too early costs them
    /// the response, while retrying late costs only time.
    pub fn retry_after_ms(self, conditions: RetryConditions) -> u64 {
        let usual_ms = match self {
            Self::Stopping | Self::TooLate | Self::CallerLeft => OTHER_INSTANCE_RETRY_MS,
            Self::NoTable | Self::OldTable if conditions.other_instances_serve => {
                OTHER_INSTANCE_RETRY_MS
            }
            Self::NoTable | Self::OldTable | Self::NoEndpoint => OUTAGE_MS,
            Self::NoChain => REASSIGNMENT_MS + conditions.load_ms,
            Self::Full => (conditions.run_ms / 2).max(MIN_CAPACITY_RETRY_MS),
            Self::NoBudget => conditions.run_ms / 2,
            Self::NoMemory => MEMORY_RETRY_MS,
            Self::Queue { expected_wait_ms } => expected_wait_ms
                .unwrap_or(conditions.run_ms / 2)
                .clamp(MIN_CAPACITY_RETRY_MS, MAX_QUEUE_RETRY_MS),
            Self::Withheld => EVIDENCE_TTL_MS,
            // The next permit goes to a single caller; by then the capacity of other requests is
            // free as well.
            Self::RateLimited { wait_ms } => wait_ms.unwrap_or(0).max(conditions.run_ms / 2),
        };
        let part = conditions.random as f64 / u64::MAX as f64;
        (usual_ms as f64 * (1.0 + JITTER * part)) as u64
    }
}

/// The error reported to a caller when there is no endpoint's response to forward.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalError {
    /// No endpoint has received the request, and none will: 503 with a retry time.
    NotRun(RefusalCause),
    /// Endpoints have received the request and turned it away. It has not run and never will: 503 with a
    /// retry time.
    TurnedAway(RefusalCause),
    /// The request may have run and its response is lost: 502.
    Unknown,
    /// The deadline passed and the request may have run: 504.
    TimedOut,
}

impl FinalError {
    /// HTTP status.
    pub fn status(self) -> u16 {
        match self {
            Self::NotRun(_) | Self::TurnedAway(_) => 503,
            Self::Unknown => 502,
            Self::TimedOut => 504,
        }
    }

    /// Why the request was refused, if it has not run.
    pub fn refusal_cause(self) -> Option<RefusalCause> {
        match self {
            Self::NotRun(cause) | Self::TurnedAway(cause) => Some(cause),
            Self::Unknown | Self::TimedOut => None,
        }
    }

    /// Name in log lines and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotRun(cause) | Self::TurnedAway(cause) => cause.name(),
            Self::Unknown => "unknown",
            Self::TimedOut => "timed_out",
        }
    }
}
