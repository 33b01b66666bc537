//! Command line of `fescue-control`.

use std::path::PathBuf;

use clap::Parser;

use crate::settings::LogFormat;

/// Control process of one instance: membership, documents, shares, engine orders, operators' API.
#[derive(Clone, Debug, Parser)]
#[command(name = "fescue-control", version)]
pub struct ControlCli {
    /// Settings file of the instance (TOML).
    #[arg(long, value_name = "FILE")]
    pub settings: PathBuf,

    /// Form of log lines; goes before the settings file.
    #[arg(long, value_enum)]
    pub log_format: Option<LogFormat>,

    /// Check the settings file and exit.
    #[arg(long)]
    pub check: bool,
}
