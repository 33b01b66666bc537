//! Sources of the newest information on endpoints, for log lines only. No decision depends on them.

use std::fmt;

use super::Fleet;
use crate::ids::{EndpointId, InstanceId};

/// Maximum number of endpoints described in a log line. Bounds the lines of requests with long
/// chains.
const MAX_DESCRIBED: usize = 16;

/// Source from which information on endpoints reached this instance.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum InfoSource {
    /// This instance read the platform's store.
    #[default]
    Store,
    /// A peer provided its list.
    PeerList(InstanceId),
    /// A heartbeat of a peer.
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

/// Source and time of information.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Provenance {
    /// Source of the information.
    pub source: InfoSource,
    /// Time at which it was received.
    pub received_ms: u64,
}

impl Provenance {
    /// Time since it was received.
    pub fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.received_ms)
    }
}

/// Describes what is known about endpoints as a comma-separated list of `ID=SOURCE:AGEms`, with the
/// source and age of the newest information on each. `not_listed` stands for an unknown endpoint.
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

/// Describes, as `SOURCE:AGEms`, by which source and how long ago the list was last known to be
/// current.
pub(crate) fn describe_list(fleet: &Fleet, now_ms: u64) -> String {
    format!("{}:{}ms", fleet.list_source(), fleet.age_ms(now_ms))
}
