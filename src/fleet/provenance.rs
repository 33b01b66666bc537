//! Where the newest information on endpoints came from, for log lines. No decision is made by it.

use std::fmt;

use super::Fleet;
use crate::ids::{EndpointId, InstanceId};

/// Endpoints that one log line describes: bounds the lines on requests of long chains.
const MAX_DESCRIBED: usize = 16;

/// By which path information on endpoints reached this instance.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum InfoSource {
    /// A read of the platform's store by this instance.
    #[default]
    Store,
    /// The list that a peer handed over.
    PeerList(InstanceId),
    /// A peer's heartbeat.
    Heartbeat(InstanceId),
}

impl fmt::Display for InfoSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store => f.write_str("store"),
            Self::PeerList(peer) => write!(f, "list@{peer}"),
            Self::Heartbeat(peer) => write!(f, "heartbeat@{peer}"),
        }
    }
}

/// How and when information on something came.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Provenance {
    /// By which path.
    pub source: InfoSource,
    /// When.
    pub received_ms: u64,
}

impl Provenance {
    /// Time since it came.
    pub fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.received_ms)
    }
}

/// What is known of some endpoints, one after another as `ID=PATH:AGEms` with commas between them:
/// the path and the age of the newest information on each. `not_listed` stands for one that is not known.
pub(crate) fn describe_known<'a, I>(fleet: &Fleet, endpoints: I, now_ms: u64) -> String
where
    I: IntoIterator<Item = &'a EndpointId>,
{
    let mut endpoints = endpoints.into_iter();
    let described = endpoints.by_ref().take(MAX_DESCRIBED);
    let mut parts: Vec<String> = described.map(|id| describe(fleet, id, now_ms)).collect();
    let left_out = endpoints.count();
    if left_out > 0 {
        parts.push(format!("+{left_out}"));
    }
    parts.join(",")
}

fn describe(fleet: &Fleet, id: &EndpointId, now_ms: u64) -> String {
    match fleet.get(id) {
        Some(known) => {
            let Provenance { source, .. } = &known.provenance;
            format!("{id}={source}:{}ms", known.provenance.age_ms(now_ms))
        }
        None => format!("{id}=not_listed"),
    }
}

/// By which path the list was last known to be the newest, and its age, as `PATH:AGEms`.
pub(crate) fn describe_list(fleet: &Fleet, now_ms: u64) -> String {
    format!("{}:{}ms", fleet.list_source(), fleet.age_ms(now_ms))
}
