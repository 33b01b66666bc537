//! Quarantine of requests that crash the endpoints that run them: how such a request is recognised when
//! it is sent again, and when it is withheld from endpoints.
//!
//! Each instance records which requests were starting to run at an endpoint when it terminated, and
//! reports this to its peers. A request that was starting when several endpoints terminated is
//! withheld, unless another endpoint survived it, or those crashes are already explained by another
//! request that was present each time.

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

pub use digest::{DigestKey, FeatureDigest, RequestParts};
pub(crate) use evidence::{ClearanceReport, CrashReport, EndpointLiveness, RunStage};
pub use features::RequestFeatures;
pub(crate) use ledger::{
    EVIDENCE_TTL_MS, EvidenceReport, Quarantine, QuarantineChange, QuarantineStatus,
};
