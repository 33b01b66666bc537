//! Several controls over a small fake of network and platform, in simulated time.

mod cell;
mod documents;
mod fake_engine;
pub(crate) mod fake_table;
mod network;
mod node;
mod operators;
mod orders;
mod random;
mod shares;
mod sim;
mod texts;
