//! Tests of chains: single faults and random event sequences.

mod harness;
mod orders;
mod recovery;
