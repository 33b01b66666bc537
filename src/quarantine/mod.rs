//! Quarantine of requests that crash the endpoints that run them: which features such requests have in
//! common, and when requests are withheld from endpoints because of them.
//!
//! A feature is a whole request, which is recognised when it is sent again, or a part of a prompt, which many
//! requests share. Each instance records the features of the runs that an endpoint had begun and not yet
//! delivered anything of when it terminated, and reports them to its peers. Requests with features that
//! were present at several crashes are withheld, unless another endpoint survived the features, or those
//! crashes are already explained by others that were present each time.

mod cleared;
mod digest;
#[cfg(test)]
mod digest_tests;
mod evidence;
#[cfg(test)]
mod false_positive_tests;
mod features;
mod ledger;
mod pending;
#[cfg(test)]
mod tests;
mod verdict;

pub(crate) use digest::digest_labels;
pub use digest::{DigestKey, FeatureDigest, RequestParts};
pub(crate) use evidence::{ClearanceReport, CrashReport, EndpointLiveness};
pub use features::RequestFeatures;
pub(crate) use ledger::{
    EVIDENCE_TTL_MS, EvidenceReport, Quarantine, QuarantineChange, QuarantineStatus,
};
