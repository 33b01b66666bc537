//! Attribution of endpoints' crashes to features of requests.

use indexmap::{IndexMap, IndexSet};

use super::{FeatureDigest, RequestFeatures};
use crate::ids::EndpointId;

/// Number of crashes at which requests are withheld that have all the features in common. Two may be
/// coincidence when a zone loses many endpoints at once; each further crash interrupts everything that
/// runs at another endpoint.
pub(super) const CRASHES_TO_WITHHOLD: usize = 3;
/// Number of crashes at which one of the features suffices. Until then, requests that have only some of
/// them are sent, since their outcome shows which of the features is the cause.
pub(super) const CRASHES_TO_WITHHOLD_ANY: usize = 5;

/// The crashes under one feature: the endpoints, and when each of them terminated.
pub(super) type Crashes = IndexMap<EndpointId, u64>;

/// Features to which crashes of endpoints are attributed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Verdict {
    /// Features with the same set of crashes, so that the evidence cannot separate them. Sorted and never
    /// empty.
    pub(super) features: Vec<FeatureDigest>,
    /// Endpoints that crashed.
    pub(super) endpoints: Vec<EndpointId>,
    /// When the last of them crashed.
    pub(super) newest_ms: u64,
}

impl Verdict {
    /// Whether a request has to be withheld.
    pub(super) fn applies_to(&self, request: &RequestFeatures) -> bool {
        let has = |feature: &FeatureDigest| request.iter().any(|it| it == feature);
        if self.is_any_sufficient() {
            self.features.iter().any(has)
        } else {
            self.features.iter().all(has)
        }
    }

    /// Whether another verdict has the same requests withheld.
    pub(super) fn is_equivalent(&self, other: &Self) -> bool {
        self.features == other.features && self.is_any_sufficient() == other.is_any_sufficient()
    }

    /// Whether one of the features suffices for a request to be withheld.
    fn is_any_sufficient(&self) -> bool {
        self.features.len() == 1 || self.endpoints.len() >= CRASHES_TO_WITHHOLD_ANY
    }
}

/// The verdicts by this evidence.
///
/// The feature with the most crashes comes first, together with all that were present at the same
/// crashes. The crashes that they explain do not count against any other feature, since a crashing endpoint
/// breaks off all its runs. So a feature that was merely present is released once the cause is known. The
/// result depends only on the evidence: instances with the same evidence agree.
pub(super) fn verdicts<'a, I>(suspects: I) -> Vec<Verdict>
where
    I: Iterator<Item = (&'a FeatureDigest, &'a Crashes)> + Clone,
{
    let mut explained: IndexSet<&EndpointId> = IndexSet::new();
    let mut verdicts = Vec::new();
    loop {
        let unexplained = suspects.clone().map(|(feature, crashes)| {
            let crashes = crashes.iter().filter(|it| !explained.contains(it.0));
            (*feature, crashes.collect::<IndexMap<_, _>>())
        });
        let candidates = unexplained.filter(|(_, crashes)| crashes.len() >= CRASHES_TO_WITHHOLD);
        let candidates: Vec<_> = candidates.collect();
        let worst = candidates
            .iter()
            .max_by_key(|(feature, crashes)| (crashes.len(), *feature));
        let Some((_, crashes)) = worst else {
            return verdicts;
        };
        let is_same = |other: &IndexMap<&EndpointId, &u64>| {
            other.len() == crashes.len() && other.keys().all(|id| crashes.contains_key(*id))
        };
        let alike = candidates.iter().filter(|(_, other)| is_same(other));
        let mut features: Vec<FeatureDigest> = alike.map(|(feature, _)| *feature).collect();
        features.sort_unstable();
        explained.extend(crashes.keys().copied());
        verdicts.push(Verdict {
            features,
            endpoints: crashes.keys().map(|id| (*id).clone()).collect(),
            newest_ms: crashes.values().map(|at_ms| **at_ms).max().unwrap_or(0),
        });
    }
}
