//! What is noted of a request when the endpoint that ran it ends.

use serde::{Deserialize, Serialize};

use super::RequestDigest;
use crate::ids::EndpointId;

/// How far a run that may have ended its endpoint had come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum RunStage {
    /// Its answer had a head for so long.
    Started {
        /// Milliseconds since the head.
        after_ms: u32,
    },
    /// Its answer had no head: it may have been waiting for its turn.
    Waiting,
}

impl RunStage {
    /// Time from the head of its answer in which a run is beginning. Whatever ends an endpoint later was
    /// not the beginning of that run; streams that run on by then are nearly all that an endpoint has.
    pub(crate) const STARTUP_MS: u64 = 1_000;

    /// The stage of a run whose head came so long ago, if it came; `None` if the run goes on too long
    /// already to be beginning.
    pub(crate) fn of_run(head_ago_ms: Option<u64>) -> Option<Self> {
        match head_ago_ms {
            None => Some(Self::Waiting),
            Some(ago_ms) if ago_ms < Self::STARTUP_MS => Some(Self::Started {
                after_ms: ago_ms as u32,
            }),
            Some(_) => None,
        }
    }

    /// How little the run had done, for comparing: the less, the likelier it is the cause. Waiting comes
    /// last, since most that wait never came to run.
    pub(super) fn rank(self) -> u32 {
        match self {
            Self::Started { after_ms } => after_ms,
            Self::Waiting => u32::MAX,
        }
    }
}

/// What became of an endpoint at which a run broke off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EndpointLiveness {
    /// Its process has ended.
    Ended,
    /// Something has come from it since: the connection broke, not the process.
    Alive,
    /// Not known yet.
    Unknown,
}

/// One instance's word that a request was beginning to run at an endpoint that ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CrashReport {
    pub(crate) digest: RequestDigest,
    pub(crate) endpoint: EndpointId,
    pub(crate) stage: RunStage,
    /// Time since the end.
    pub(crate) age_ms: u32,
}

/// One instance's word that an endpoint went on under a request that is under suspicion.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ClearanceReport {
    pub(crate) digest: RequestDigest,
    /// Time since that was seen.
    pub(crate) age_ms: u32,
}
