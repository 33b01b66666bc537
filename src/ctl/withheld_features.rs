//! Features for which requests were withheld, from the logs of relaying instances.

use indexmap::{IndexMap, IndexSet};
use serde::Serialize;

use super::log_lines::LogLine;

/// What the logs show of one feature. A feature is a whole request or a part of a prompt.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct WithheldFeature {
    /// Number of lost attempts that were withheld for it.
    pub lost: u64,
    /// Endpoints that crashed under it.
    pub endpoints: IndexSet<String>,
}

/// The features by the digests that log lines show.
pub type WithheldFeatures = IndexMap<String, WithheldFeature>;

/// Adds the crashes that a line about withheld requests names.
pub(super) fn add_crashes(features: &mut WithheldFeatures, line: &LogLine) {
    let endpoints = names(line, "endpoints");
    for digest in names(line, "digest") {
        let feature = features.entry(digest.to_owned()).or_default();
        let endpoints = endpoints.clone().map(str::to_owned);
        feature.endpoints.extend(endpoints);
    }
}

/// Adds a lost attempt to each of the features for which it was withheld.
pub(super) fn add_loss(features: &mut WithheldFeatures, line: &LogLine) {
    for digest in names(line, "withheld_for") {
        features.entry(digest.to_owned()).or_default().lost += 1;
    }
}

/// The names in a field, where they are separated by commas.
fn names<'a>(line: &'a LogLine, key: &str) -> impl Iterator<Item = &'a str> + Clone {
    let names = line.text(key).unwrap_or("").split(',');
    names.filter(|it| !it.is_empty())
}
