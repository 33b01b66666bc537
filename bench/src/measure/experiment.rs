//! Experiments as files in `bench/experiments`.

use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::Deserialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::mix::Lengths;

/// Why an experiment cannot be read.
#[derive(Debug, Error)]
pub enum ExperimentError {
    /// There is no such file.
    #[error("cannot read {path}: {source}; experiments are files in bench/experiments")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The file is not this experiment.
    #[error("{path} is not such an experiment: {source}")]
    Malformed {
        /// The file.
        path: PathBuf,
        /// The cause, with its line.
        source: Box<toml::de::Error>,
    },
}

/// How long and how often an experiment runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Extent {
    /// Load before anything is counted.
    pub warm_up_ms: u64,
    /// Time over which it is counted.
    pub window_ms: u64,
    /// Repeats, each with another seed.
    pub repeats: u64,
}

impl Extent {
    /// Load before anything is counted.
    pub fn warm_up(&self) -> Duration {
        Duration::from_millis(self.warm_up_ms)
    }

    /// Time over which it is counted.
    pub fn window(&self) -> Duration {
        Duration::from_millis(self.window_ms)
    }
}

/// Both extents of an experiment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Extents {
    /// In a full run.
    pub full: Extent,
    /// In a quick one.
    pub quick: Extent,
}

impl Extents {
    /// The extent of this run.
    pub fn choose(&self, quick: bool) -> Extent {
        if quick { self.quick } else { self.full }
    }
}

/// What is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Asked {
    /// Fewest and most tokens of a prompt.
    pub prompt_tokens: (u32, u32),
    /// Fewest and most tokens asked for.
    pub max_tokens: (u32, u32),
    /// Seed of the first repeat.
    pub seed: u64,
}

impl Asked {
    /// Lengths of prompts and answers.
    pub fn lengths(&self) -> Lengths {
        Lengths {
            prompt_tokens: self.prompt_tokens,
            max_tokens: self.max_tokens,
        }
    }
}

/// Closed-loop load that saturates the fleet, under each policy.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Throughput {
    /// What is asked.
    pub asked: Asked,
    /// Callers of all accounts; each asks again as soon as it has its answer.
    pub callers: u32,
    /// Extents.
    pub extents: Extents,
    /// Repeats of each baseline.
    pub baseline_repeats: u64,
}

/// Open-loop arrivals above what fits.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Overload {
    /// What is asked.
    pub asked: Asked,
    /// Arrivals over those that fit.
    pub over_fitting: f64,
    /// Callers, out of 100, that ignore `Retry-After`.
    pub impatient_percent: u64,
    /// Extents.
    pub extents: Extents,
}

/// Every account asks more than its share; the first one behind a single entry.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Shares {
    /// What is asked.
    pub asked: Asked,
    /// Callers for each unit of an account's weight.
    pub callers_per_weight: u32,
    /// Fewest callers of an account.
    pub least_callers: u32,
    /// Extents.
    pub extents: Extents,
}

/// Stages die under streams.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Recovery {
    /// What is asked.
    pub asked: Asked,
    /// Callers of all accounts.
    pub callers: u32,
    /// Longest wait for a stream to go on.
    pub watch_ms: u64,
    /// Extents; the window is the time between a fault and the next.
    pub extents: Extents,
}

/// One stream at a time on an idle fleet.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Overhead {
    /// What is asked.
    pub asked: Asked,
    /// Streams through the entry, and as many without it.
    pub streams: u32,
    /// The same in a quick run.
    pub quick_streams: u32,
}

/// All engines go away for a while.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Retries {
    /// What is asked.
    pub asked: Asked,
    /// Arrivals over those that fit.
    pub over_fitting: f64,
    /// How long no engine answers.
    pub outage_ms: u64,
    /// Extents; the window is the time from the outage's begin on in which requests arrive.
    pub extents: Extents,
}

/// Reads an experiment by the name of its file.
///
/// # Errors
/// Fails if there is no such file or if it is another experiment.
pub fn read<T>(name: &str) -> Result<T, ExperimentError>
where
    T: DeserializeOwned,
{
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("experiments")
        .join(format!("{name}.toml"));
    let text = std::fs::read_to_string(&path).map_err(|source| ExperimentError::Unreadable {
        path: path.clone(),
        source,
    })?;
    toml::from_str(&text).map_err(|source| ExperimentError::Malformed {
        path,
        source: Box::new(source),
    })
}
