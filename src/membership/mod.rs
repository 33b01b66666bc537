//! The cell: which instances there are, which of them serve, and which endpoints are leaving.
//!
//! Every control reads the platform's instance list, which lags, and exchanges beats with its
//! peers. What one instance learns of a leaving endpoint it tells the others at once.

mod beat;
mod exchange;
mod gossip;
mod leaving;
mod listing;
mod member;
mod rendezvous;
mod rounds;
#[cfg(test)]
mod tests;

pub(crate) use gossip::{Gossip, GossipTo, Merged, OwnNode};
pub(crate) use leaving::{LeavingSigns, SignSources};
pub(crate) use listing::Listing;
pub(crate) use rendezvous::{highest, rank};
