//! Routing tests.

mod affinity;
mod fixture;
mod fleet;
mod flow;
mod limits;
mod plans;
mod rebuilds;
mod speed;
mod throughput;
