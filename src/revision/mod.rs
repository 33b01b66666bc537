//! Documents in force: accepted through one transaction, watched for in the store, fetched from
//! peers, and never replaced by a lower revision.

mod accept;
mod authority;
mod check;
mod held;
mod rows;
#[cfg(test)]
mod tests;
mod watch;

pub(crate) use accept::{AcceptStep, Acceptance};
pub(crate) use authority::Authority;
pub(crate) use held::{Documents, Held, Offer};
pub(crate) use rows::{history_key, history_prefix, read_row};
pub(crate) use watch::{Watch, WatchStep};
