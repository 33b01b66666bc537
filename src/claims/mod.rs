//! Non-idempotent calls: a claim in the table service is the only permission to dispatch one.
//!
//! The design and what it rests on are in `docs/notes/CLAIMS.md`.

mod claiming;
mod key;
mod machine;
mod message;
mod recording;
mod row;
mod sweep;
#[cfg(test)]
mod tests;

pub use key::{CLAIM_PREFIX, CLOCK_MARGIN_MS, KEY_MEMORY_MS, OTHER_KEY_MEMORY_MS, row_key};
pub use machine::Claim;
pub use message::{ClaimEffect, ClaimHolder, ClaimMessage, ClaimRequest};
pub use row::{
    ANSWER_LIMIT_BYTES, ClaimRow, ClaimState, RecordedBody, RecordedReply, RowUnreadable,
};
pub use sweep::sweep;
