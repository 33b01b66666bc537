//! Command line of `fescue-standin`.

use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};

/// Small fakes of the systems outside: engines, application services and the platform.
#[derive(Clone, Debug, Parser)]
#[command(name = "fescue-standin", version)]
pub struct StandinArgs {
    /// What to stand in for.
    #[command(subcommand)]
    pub kind: StandinKind,
}

/// What to stand in for.
#[derive(Clone, Debug, Subcommand)]
pub enum StandinKind {
    /// Model engines.
    Engine(FleetArgs),
    /// Replicas of application services.
    Service(FleetArgs),
    /// The table service.
    Table(FleetArgs),
    /// The object store.
    Objects(FleetArgs),
    /// The instance list.
    Instances(FleetArgs),
    /// The weight store.
    Weights(FleetArgs),
}

/// Which of the fleet to run.
#[derive(Clone, Debug, Args)]
pub struct FleetArgs {
    /// File with the fleet and its addresses: TOML, or JSON if it ends in `.json`.
    #[arg(long, value_name = "FILE")]
    pub topology: PathBuf,
    /// Run only these; all if absent. Engines and services only.
    #[arg(long, value_name = "NAME", value_delimiter = ',')]
    pub only: Vec<String>,
    /// Run all but these. Engines and services only.
    #[arg(long, value_name = "NAME", value_delimiter = ',')]
    pub except: Vec<String>,
}

impl FleetArgs {
    /// Whether a node of this name is to run.
    pub fn selects(&self, name: &str) -> bool {
        let wanted = self.only.is_empty() || self.only.iter().any(|only| only == name);
        wanted && !self.except.iter().any(|except| except == name)
    }
}
