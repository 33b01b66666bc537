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
mod false_verdict_tests;
mod ledger;
mod pending;
#[cfg(test)]
mod tests;
mod verdict;

pub use digest::{DigestKey, RequestDigest, RequestParts};
pub(crate) use evidence::{Fate, RunStage, ToldClearance, ToldDeath};
pub(crate) use ledger::{Doubt, EVIDENCE_MS, Quarantine, QuarantineChange, ToldEvidence};
