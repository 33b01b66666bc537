//! At-most-once execution of non-idempotent calls: a call may be dispatched only by the attempt
//! whose claim is in the table service.
//!
//! For the design and its assumptions see `docs/notes/CLAIMS.md`.

mod claiming;
mod key;
mod machine;
mod message;
mod recording;
mod row;
mod sweep;
#[cfg(test)]
mod tests;

pub use key::{CLAIM_PREFIX, CLOCK_MARGIN_MS, OTHER_KEY_TTL_MS, UUIDV7_KEY_TTL_MS, row_key};
pub use machine::Claim;
pub use message::{ClaimEffect, ClaimHolder, ClaimMessage, ClaimRequest};
pub use row::{
    ClaimRow, ClaimState, MAX_RECORDED_BODY_BYTES, RecordedBody, RecordedReply, RowError,
};
pub use sweep::sweep;
