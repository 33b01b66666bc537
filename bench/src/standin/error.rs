//! Why a stand-in does not run.

use std::net::SocketAddr;
use std::path::PathBuf;

use thiserror::Error;

/// Why a stand-in does not run.
#[derive(Debug, Error)]
pub enum StandinError {
    /// The topology file cannot be read.
    #[error("cannot read the topology {path}: {source}; name a readable file")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The topology file is not TOML of the right form.
    #[error("{path} is no topology: {source}")]
    BadToml {
        /// The file.
        path: PathBuf,
        /// Why.
        source: toml::de::Error,
    },
    /// The topology file is not JSON of the right form.
    #[error("{path} is no topology: {source}")]
    BadJson {
        /// The file.
        path: PathBuf,
        /// Why.
        source: serde_json::Error,
    },
    /// An address cannot be listened on.
    #[error("cannot listen on {address}: {source}; choose a free port")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
    /// `--only` and `--except` leave nothing.
    #[error("no node of the topology is selected; check --only and --except")]
    NothingSelected,
    /// The process cannot go on.
    #[error("the stand-in stopped: {0}")]
    Stopped(#[from] std::io::Error),
}
