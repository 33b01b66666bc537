//! Requests that end the endpoints that run them: by what such a request is known when it comes again,
//! and when it is withheld from endpoints.
//!
//! Each instance notes which requests were beginning to run at an endpoint when that ended, and tells the
//! others. A request under which several endpoints have ended is withheld, unless another endpoint
//! went on under it, or those ends are already explained by another request that was there each time.

mod cleared;
mod digest;
#[cfg(test)]
mod digest_tests;
mod evidence;
#[cfg(test)]
mod false_positive_tests;
mod ledger;
mod pending;
#[cfg(test)]
mod tests;
mod verdict;

pub use digest::{DigestKey, RequestDigest, RequestParts};
pub(crate) use evidence::{ClearanceReport, CrashReport, EndpointLiveness, RunStage};
pub(crate) use ledger::{
    EVIDENCE_TTL_MS, EvidenceReport, Quarantine, QuarantineChange, QuarantineStatus,
};
