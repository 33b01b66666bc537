//! How running a fleet fails.

use std::net::SocketAddr;
use std::path::PathBuf;

use thiserror::Error;

/// Why a fleet could not be started or changed.
#[derive(Debug, Error)]
pub enum FleetError {
    /// No loopback address could be bound.
    #[error("no loopback address is free; check that 127.0.0.0/8 is up")]
    NoAddress,
    /// A file cannot be written or read.
    #[error("cannot use {path}: {source}")]
    File {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// A program cannot be started.
    #[error("cannot start {program}: {source}; build it with `cargo build --workspace --bins`")]
    Spawn {
        /// The program.
        program: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The topology cannot be written as TOML.
    #[error("cannot write the topology: {0}")]
    Topology(#[from] toml::ser::Error),
    /// A process did not come up.
    #[error("{name} did not come up within {limit_ms} ms; its log ends:\n{log}")]
    NotReady {
        /// The process.
        name: String,
        /// How long it had.
        limit_ms: u128,
        /// The end of its log.
        log: String,
    },
    /// A process did not end.
    #[error("{name} did not end in time")]
    StillRunning {
        /// The process.
        name: String,
    },
    /// The fleet has no such process.
    #[error("the fleet runs no process {name}")]
    NoSuchProcess {
        /// The process.
        name: String,
    },
    /// A stand-in cannot be asked.
    #[error("the stand-in at {address} gave no answer to {path}")]
    Standin {
        /// Its address.
        address: SocketAddr,
        /// What was asked.
        path: String,
    },
    /// The interrupt that ends a fleet cannot be awaited.
    #[error("cannot wait for an interrupt: {source}")]
    Interrupt {
        /// The cause.
        source: std::io::Error,
    },
    /// A document was not accepted.
    #[error("the document {path} was not accepted: {cause}")]
    NotAccepted {
        /// The document.
        path: PathBuf,
        /// Why.
        cause: String,
    },
}
