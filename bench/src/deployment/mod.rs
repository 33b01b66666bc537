//! Deployment files: the fleets that the load tool starts, without addresses.

mod build;
mod model;

pub use build::build_topology;
pub use model::{
    AccountLoad, ApplicationGroup, Deployment, DeploymentError, EngineGroup, EntryGroup, LoadShape,
    ModelShape, read,
};

#[cfg(test)]
mod tests;
