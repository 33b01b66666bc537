//! What a deployment file says.

use std::path::{Path, PathBuf};

use fescueshore::ids::{AccountId, ServiceName, ZoneName};
use indexmap::IndexMap;
use serde::Deserialize;
use thiserror::Error;

use crate::topology::LinkClass;

/// A fleet without addresses.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Name, as the command line gives it.
    pub name: String,
    /// Operator who accepts the documents.
    pub operator: String,
    /// Documents to accept at the start; relative to the repository's root.
    pub documents: IndexMap<ServiceName, PathBuf>,
    /// Entry instances.
    pub entries: Vec<EntryGroup>,
    /// The model that the engines hold.
    pub model: ModelShape,
    /// Engines.
    pub engines: Vec<EngineGroup>,
    /// Replicas of application services.
    pub applications: Vec<ApplicationGroup>,
    /// Link classes; the first that matches a pair of engines holds.
    pub links: Vec<LinkClass>,
    /// What the callers ask.
    pub load: LoadShape,
}

/// Entry instances of one availability zone.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryGroup {
    /// Availability zone.
    pub zone: ZoneName,
    /// Number of instances.
    pub count: usize,
}

/// The model that the engines hold.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelShape {
    /// Service that offers it.
    pub service: ServiceName,
    /// Name.
    pub name: String,
    /// Version.
    pub version: String,
    /// Adapters.
    pub adapters: Vec<String>,
    /// Layers.
    pub layers: u16,
    /// Activation of one token between two layers.
    pub activation_bytes: u32,
}

/// Engines of one kind in one availability zone.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineGroup {
    /// Kind of accelerator.
    pub accelerator: String,
    /// Availability zone.
    pub zone: ZoneName,
    /// Layer ranges: first layer, and one past the last.
    pub ranges: Vec<(u16, u16)>,
    /// Engines for each range.
    pub replicas: usize,
    /// Rate of each at a full batch, in layers times tokens a second.
    pub layer_tokens_per_s: f64,
    /// Streams that fit in a batch.
    pub batch_limit: u32,
    /// Whether orders with an old fencing number are refused.
    #[serde(default)]
    pub checks_fence: bool,
}

/// Replicas of one application service, one in each availability zone named.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApplicationGroup {
    /// Service.
    pub service: ServiceName,
    /// Availability zones.
    pub zones: Vec<ZoneName>,
    /// Time a call takes.
    pub call_ms: u64,
    /// Calls run at once.
    pub concurrency: u32,
    /// Whether it deduplicates by idempotency key.
    #[serde(default)]
    pub deduplicates: bool,
}

/// What the callers ask.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadShape {
    /// Application service.
    pub application: ServiceName,
    /// Path of an idempotent call.
    pub read: String,
    /// Path of a call that the document names as non-idempotent.
    pub write: String,
    /// Client accounts.
    pub accounts: Vec<AccountLoad>,
}

/// What one client account asks.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccountLoad {
    /// Account.
    pub name: AccountId,
    /// Its part of all requests, relative to the other accounts.
    pub demand: u32,
}

/// Why a deployment file cannot be used.
#[derive(Debug, Error)]
pub enum DeploymentError {
    /// The file cannot be read.
    #[error("cannot read {path}: {source}; name one of the files in bench/deployments")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The file is not a deployment.
    #[error("{path} is not a deployment: {source}")]
    Malformed {
        /// The file.
        path: PathBuf,
        /// The cause, with its line.
        source: Box<toml::de::Error>,
    },
}

/// Reads a deployment: a path, or the name of a file in `bench/deployments`.
///
/// # Errors
/// Fails if there is no such file or if it does not describe a deployment.
pub fn read(name: &str) -> Result<Deployment, DeploymentError> {
    let path = path_of(name);
    let text = std::fs::read_to_string(&path).map_err(|source| DeploymentError::Unreadable {
        path: path.clone(),
        source,
    })?;
    toml::from_str(&text).map_err(|source| DeploymentError::Malformed {
        path,
        source: Box::new(source),
    })
}

fn path_of(name: &str) -> PathBuf {
    if name.ends_with(".toml") {
        return PathBuf::from(name);
    }
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("deployments")
        .join(format!("{name}.toml"))
}
