//! Which requests the ends of endpoints are put down to.

use std::cmp::Reverse;

use indexmap::{IndexMap, IndexSet};

use super::{RequestDigest, RunStage};
use crate::ids::EndpointId;

/// Ends of endpoints under one request from which on it is withheld. Two may be chance where a zone loses
/// many endpoints at once; each more costs callers all that runs at one endpoint.
pub(super) const CRASHES_TO_WITHHOLD: usize = 3;

/// An endpoint's end under a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Crash {
    pub(super) stage: RunStage,
    pub(super) at_ms: u64,
}

/// The ends of endpoints under one request.
pub(super) type Crashes = IndexMap<EndpointId, Crash>;

/// Requests that are withheld by this evidence, with the ends that are put down to each.
///
/// The request with the most ends goes first, of several the one whose runs had done least; the ends that
/// it explains count against no other, since each endpoint takes all that runs there with it. So a
/// bystander of a crashing request is free as soon as that is known. The outcome depends on the evidence
/// only: instances that know the same agree.
pub(super) fn withheld<'a, I>(suspects: I) -> IndexMap<RequestDigest, Vec<EndpointId>>
where
    I: Iterator<Item = (&'a RequestDigest, &'a Crashes)> + Clone,
{
    let mut explained: IndexSet<&EndpointId> = IndexSet::new();
    let mut chosen = IndexMap::new();
    loop {
        let open = suspects
            .clone()
            .filter(|(digest, _)| !chosen.contains_key(*digest));
        let many = open.filter(|(_, deaths)| deaths.len() >= CRASHES_TO_WITHHOLD);
        let ranked = many.filter_map(|(digest, deaths)| {
            let own = deaths.iter().filter(|it| !explained.contains(it.0));
            let slowest = own.clone().map(|(_, death)| death.stage.rank()).max()?;
            let count = own.count();
            (count >= CRASHES_TO_WITHHOLD).then_some((count, Reverse(slowest), digest, deaths))
        });
        let worst = ranked.max_by_key(|(count, slowest, digest, _)| (*count, *slowest, **digest));
        let Some((_, _, digest, deaths)) = worst else {
            return chosen;
        };
        explained.extend(deaths.keys());
        chosen.insert(*digest, deaths.keys().cloned().collect());
    }
}
