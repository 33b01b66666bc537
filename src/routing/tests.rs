//! Tests of routing.

mod fleet;
mod speed;
mod throughput;
