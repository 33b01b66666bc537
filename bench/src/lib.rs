//! The bench: stand-ins of the outside systems, and the load and experiment tool.

pub mod answer;
pub mod application;
pub mod caller;
pub mod cli;
pub mod demo;
pub mod deployment;
pub mod engine;
pub mod fleet;
pub mod instances;
pub mod measure;
pub mod mix;
pub mod objects;
pub mod proxy;
pub mod slopes;
pub mod soak;
pub mod standin;
pub mod table;
pub mod tally;
pub mod topology;
pub mod up;
pub mod weights;
