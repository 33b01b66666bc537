//! Tests of chains: focused ones, and random orders of events.

mod harness;
mod orders;
mod recovery;
