//! Faults that a test or the load tool asks for: `POST /standin/faults`.

use fescueshore::ids::EndpointId;
use serde::{Deserialize, Serialize};

/// Body of `POST /standin/faults`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FaultRequest {
    /// Another engine or service of the same process to meet the fault; the asked one if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub endpoint: Option<EndpointId>,
    /// The fault.
    #[serde(flatten)]
    pub fault: Fault,
}

impl FaultRequest {
    /// A fault of the asked listener itself.
    pub fn here(fault: Fault) -> Self {
        Self {
            endpoint: None,
            fault,
        }
    }

    /// A fault of another endpoint of the same process.
    pub fn at(endpoint: EndpointId, fault: Fault) -> Self {
        Self {
            endpoint: Some(endpoint),
            fault,
        }
    }
}

impl Fault {
    /// The next replies of any kind get lost.
    pub fn lose_replies(count: u32) -> Self {
        Self::LoseReplies {
            count,
            prefix: None,
        }
    }

    /// The next replies to writes of a row whose key starts with `prefix` get lost.
    pub fn lose_replies_of(prefix: &str, count: u32) -> Self {
        Self::LoseReplies {
            count,
            prefix: Some(prefix.to_owned()),
        }
    }
}

/// A fault. Each holds until it is cleared; faults of other kinds stay as they are.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case")]
pub enum Fault {
    /// All kinds: no fault any more. A dead engine stays dead.
    Clear,
    /// All kinds: answers nothing and runs nothing; connections stay open. Goes on once over.
    Freeze {
        /// How long; until cleared if absent.
        #[serde(default)]
        for_ms: Option<u64>,
    },
    /// All kinds: what is asked meanwhile is never answered, not even later.
    Silent,
    /// All kinds: every call takes longer.
    Slow {
        /// By this much.
        extra_ms: u64,
    },
    /// Platform and services: refuses every call with 503; nothing takes effect.
    Outage,
    /// Platform and services: the next writes or calls take effect, and their replies are cut off.
    LoseReplies {
        /// How many.
        count: u32,
        /// Table service: only writes of a row whose key starts so; every write if absent.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        prefix: Option<String>,
    },
    /// Services: a call that ran is answered later. The delay begins once the call is counted.
    SlowReply {
        /// By this much.
        extra_ms: u64,
    },
    /// Services: the next calls fail with 503 before they run.
    FailCalls {
        /// How many.
        count: u32,
    },
    /// Table service and object store: other rate limits.
    Limits {
        /// Rows or objects written a second.
        writes_per_s: u32,
        /// Rows or objects read a second.
        reads_per_s: u32,
    },
    /// Instance list: how old the list is that readers get.
    Lag {
        /// Age of the list.
        lag_ms: u64,
        /// Only for the reader that asks with `?reader=NAME`; everybody if absent.
        #[serde(default)]
        reader: Option<String>,
    },
    /// Engines: the process is gone with its listeners, links and memory. Ask another engine of
    /// the same process to revive it.
    Die {
        /// When a new incarnation takes its place; only on `Revive` if absent.
        #[serde(default)]
        revive_after_ms: Option<u64>,
    },
    /// Engines: a new incarnation takes the place of a dead engine.
    Revive,
    /// Engines: steps take this many times longer.
    SlowSteps {
        /// 1 is the usual rate.
        factor: f64,
    },
    /// Engines: outgoing links have this many times the delay and a bandwidth as many times less.
    DegradeLinks {
        /// 1 is the usual link.
        factor: f64,
        /// Only the link to this engine; all links if absent.
        #[serde(default)]
        peer: Option<EndpointId>,
    },
    /// Engines: the links that are open now pass nothing more, without closing; new ones do. The
    /// engine notices after [`LINK_SILENCE_MS`](crate::engine::LINK_SILENCE_MS).
    SilenceLinks {
        /// Only the link to this engine; all outgoing links if absent.
        #[serde(default)]
        peer: Option<EndpointId>,
    },
    /// Engines: takes no new streams and says so; streams in flight go on.
    Drain,
    /// Engines: refuses every new stream as overloaded.
    Refuse,
}
