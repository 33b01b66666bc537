//! Evidence about a request that is recorded when the endpoint that ran it terminates.

use serde::{Deserialize, Serialize};

use super::FeatureDigest;
use crate::ids::EndpointId;

/// Progress of a run that may have crashed its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum RunStage {
    /// The head of its response had arrived.
    Started {
        /// Milliseconds from the head to the break.
        after_ms: u32,
    },
    /// The head of its response had not arrived: it may have been queued.
    Waiting,
}

impl RunStage {
    /// Duration of a run's startup phase, from the head of its response. A crash after that was not
    /// caused by the start of the run; nearly all runs at an endpoint are past this phase.
    pub(crate) const STARTUP_MS: u64 = 1_000;

    /// The stage of a run by the time since its response's head, if that has arrived; `None` if the run
    /// is past its startup phase.
    pub(crate) fn of_run(head_ago_ms: Option<u64>) -> Option<Self> {
        match head_ago_ms {
            None => Some(Self::Waiting),
            Some(ago_ms) if ago_ms < Self::STARTUP_MS => Some(Self::Started {
                after_ms: ago_ms as u32,
            }),
            Some(_) => None,
        }
    }

    /// Rank for comparing runs: the less a run had done, the likelier it caused the crash. Waiting runs
    /// rank last, since most of them had not started.
    pub(super) fn rank(self) -> u32 {
        match self {
            Self::Started { after_ms } => after_ms,
            Self::Waiting => u32::MAX,
        }
    }
}

/// Whether an endpoint at which a run broke off is still alive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EndpointLiveness {
    /// Its process has terminated.
    Ended,
    /// Data has arrived from it since: only the connection broke.
    Alive,
    /// Not known yet.
    Unknown,
}

/// Report of an instance that a request was starting to run at an endpoint when it terminated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CrashReport {
    pub(crate) digest: FeatureDigest,
    pub(crate) endpoint: EndpointId,
    pub(crate) stage: RunStage,
    /// Time since the endpoint terminated.
    pub(crate) age_ms: u32,
}

/// Report of an instance that an endpoint survived a suspected request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ClearanceReport {
    pub(crate) digest: FeatureDigest,
    /// Time since this was observed.
    pub(crate) age_ms: u32,
}
