//! Runs that broke off at endpoints of which it is not known yet whether they have terminated.

use indexmap::IndexMap;

use super::{EndpointLiveness, FeatureDigest};
use crate::ids::EndpointId;

/// How long a run is kept until its endpoint turns out to have terminated. A refused connection shows
/// this within milliseconds; the endpoint list drops an unresponsive one within some seconds.
const RESOLVE_TIMEOUT_MS: u64 = 6_000;
/// How long a request is held back until it is known whether one more endpoint has crashed under it.
const HOLD_BACK_MS: u64 = 150;
/// Maximum number of entries: as many as the features of the runs that a few endpoints begin at a time.
const MAX_ENTRIES: usize = 1_024;

/// When runs broke off, by the features of their requests and the endpoint.
#[derive(Debug, Default)]
pub(super) struct PendingRuns {
    broke_off_ms: IndexMap<(FeatureDigest, EndpointId), u64>,
}

impl PendingRuns {
    /// Records a feature of a run; of several runs with it at one endpoint, the first one counts.
    pub(super) fn record(&mut self, feature: FeatureDigest, endpoint: &EndpointId, at_ms: u64) {
        if self.broke_off_ms.len() >= MAX_ENTRIES {
            self.broke_off_ms.shift_remove_index(0);
        }
        let entry = self.broke_off_ms.entry((feature, endpoint.clone()));
        entry.or_insert(at_ms);
    }

    /// Removes and returns entries whose endpoints have terminated, with the time at which the run broke
    /// off. Entries whose endpoints are alive, or have been unresolved for too long, are dropped.
    pub(super) fn resolve<F>(
        &mut self,
        now_ms: u64,
        liveness: F,
    ) -> Vec<(FeatureDigest, EndpointId, u64)>
    where
        F: Fn(&EndpointId, u64) -> EndpointLiveness,
    {
        let mut ended = Vec::new();
        self.broke_off_ms.retain(
            |(feature, endpoint), at_ms| match liveness(endpoint, *at_ms) {
                EndpointLiveness::Ended => {
                    ended.push((*feature, endpoint.clone(), *at_ms));
                    false
                }
                EndpointLiveness::Alive => false,
                EndpointLiveness::Unknown => now_ms < *at_ms + RESOLVE_TIMEOUT_MS,
            },
        );
        ended
    }

    /// Endpoints at which a run with a feature broke off within the last `HOLD_BACK_MS`.
    pub(super) fn recent_endpoints(
        &self,
        feature: &FeatureDigest,
        now_ms: u64,
    ) -> impl Iterator<Item = &EndpointId> {
        let recent = self
            .broke_off_ms
            .iter()
            .filter(move |((of, _), at_ms)| of == feature && now_ms < *at_ms + HOLD_BACK_MS);
        recent.map(|((_, endpoint), _)| endpoint)
    }
}
