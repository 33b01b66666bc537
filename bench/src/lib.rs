//! The bench: stand-ins of the outside systems, and the load and experiment tool.

pub mod topology;
