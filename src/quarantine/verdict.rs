//! Attribution of endpoints' crashes to requests.

use std::cmp::Reverse;

use indexmap::{IndexMap, IndexSet};

use super::{FeatureDigest, RunStage};
use crate::ids::EndpointId;

/// Number of crashes under a request at which it is withheld. Two may be coincidence when a zone loses
/// many endpoints at once; each further crash interrupts everything that runs at another endpoint.
pub(super) const CRASHES_TO_WITHHOLD: usize = 3;

/// Termination of an endpoint while a request was starting to run there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Crash {
    pub(super) stage: RunStage,
    pub(super) at_ms: u64,
}

/// The crashes under one request, by endpoint.
pub(super) type Crashes = IndexMap<EndpointId, Crash>;

/// Requests to withhold by this evidence, with the endpoints whose crashes are attributed to each.
///
/// The request with the most crashes is chosen first; among equals, the one whose runs had done least.
/// The crashes that it explains do not count against any other request, since a crashing endpoint breaks
/// off all its runs. So a bystander of a crashing request is released once that request is known. The
/// result depends only on the evidence: instances with the same evidence agree.
pub(super) fn withheld<'a, I>(suspects: I) -> IndexMap<FeatureDigest, Vec<EndpointId>>
where
    I: Iterator<Item = (&'a FeatureDigest, &'a Crashes)> + Clone,
{
    let mut explained: IndexSet<&EndpointId> = IndexSet::new();
    let mut chosen = IndexMap::new();
    loop {
        let remaining = suspects
            .clone()
            .filter(|(digest, _)| !chosen.contains_key(*digest));
        let candidates = remaining.filter(|(_, crashes)| crashes.len() >= CRASHES_TO_WITHHOLD);
        let ranked = candidates.filter_map(|(digest, crashes)| {
            let unexplained = crashes.iter().filter(|it| !explained.contains(it.0));
            let max_rank = unexplained
                .clone()
                .map(|(_, crash)| crash.stage.rank())
                .max()?;
            let count = unexplained.count();
            (count >= CRASHES_TO_WITHHOLD).then_some((count, Reverse(max_rank), digest, crashes))
        });
        let worst = ranked.max_by_key(|(count, max_rank, digest, _)| (*count, *max_rank, **digest));
        let Some((_, _, digest, crashes)) = worst else {
            return chosen;
        };
        explained.extend(crashes.keys());
        chosen.insert(*digest, crashes.keys().cloned().collect());
    }
}
