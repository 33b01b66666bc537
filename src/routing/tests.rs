//! Tests of routing.

mod affinity;
mod fleet;
mod flow;
mod limits;
mod plans;
mod rebuilds;
mod speed;
mod throughput;
mod world;
