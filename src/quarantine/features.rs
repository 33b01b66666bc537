//! The features of a request that may crash endpoints.

use super::{FeatureDigest, digest_labels};

/// What a request may have in common with others: that it is the same request, or shares parts of its
/// prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestFeatures {
    /// The whole request, which is the same each time it is sent.
    pub request: FeatureDigest,
    /// Parts of its prompt that other requests may share, without duplicates.
    pub prompt_parts: Vec<FeatureDigest>,
}

impl RequestFeatures {
    /// All features.
    pub fn iter(&self) -> impl Iterator<Item = &FeatureDigest> {
        std::iter::once(&self.request).chain(&self.prompt_parts)
    }

    /// Formats the prompt parts for log lines, separated by commas.
    pub fn prompt_parts_label(&self) -> String {
        digest_labels(&self.prompt_parts)
    }
}
