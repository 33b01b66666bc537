//! Runs that broke off at endpoints of which it is not known yet whether they have terminated.

use indexmap::IndexMap;

use super::{EndpointLiveness, FeatureDigest, RunStage};
use crate::ids::EndpointId;

/// How long a run is kept until its endpoint turns out to have terminated. A refused connection shows
/// this within milliseconds; the endpoint list drops an unresponsive one within some seconds.
const RESOLVE_TIMEOUT_MS: u64 = 6_000;
/// How long a request is held back until it is known whether one more endpoint has crashed under it.
const HOLD_BACK_MS: u64 = 150;
/// Maximum number of runs kept: as many as a few endpoints run at a time.
const MAX_RUNS: usize = 1_024;

#[derive(Clone, Copy, Debug)]
pub(super) struct BrokenRun {
    pub(super) stage: RunStage,
    pub(super) at_ms: u64,
}

/// Runs that broke off, by request and endpoint.
#[derive(Debug, Default)]
pub(super) struct PendingRuns {
    runs: IndexMap<(FeatureDigest, EndpointId), BrokenRun>,
}

impl PendingRuns {
    /// Records a run; of several runs of one request at one endpoint, the first one counts.
    pub(super) fn record(&mut self, digest: FeatureDigest, endpoint: &EndpointId, run: BrokenRun) {
        if self.runs.len() >= MAX_RUNS {
            self.runs.shift_remove_index(0);
        }
        self.runs.entry((digest, endpoint.clone())).or_insert(run);
    }

    /// Removes and returns runs whose endpoints have terminated. Runs whose endpoints are alive, or
    /// have been unresolved for too long, are dropped.
    pub(super) fn resolve<F>(
        &mut self,
        now_ms: u64,
        liveness: F,
    ) -> Vec<(FeatureDigest, EndpointId, BrokenRun)>
    where
        F: Fn(&EndpointId, u64) -> EndpointLiveness,
    {
        let mut ended = Vec::new();
        self.runs.retain(
            |(digest, endpoint), run| match liveness(endpoint, run.at_ms) {
                EndpointLiveness::Ended => {
                    ended.push((*digest, endpoint.clone(), *run));
                    false
                }
                EndpointLiveness::Alive => false,
                EndpointLiveness::Unknown => now_ms < run.at_ms + RESOLVE_TIMEOUT_MS,
            },
        );
        ended
    }

    /// Endpoints at which a request broke off within the last `HOLD_BACK_MS`.
    pub(super) fn recent_endpoints(
        &self,
        digest: &FeatureDigest,
        now_ms: u64,
    ) -> impl Iterator<Item = &EndpointId> {
        let recent = self
            .runs
            .iter()
            .filter(move |((of, _), run)| of == digest && now_ms < run.at_ms + HOLD_BACK_MS);
        recent.map(|((_, endpoint), _)| endpoint)
    }
}
