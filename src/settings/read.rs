//! Reads the settings file.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use thiserror::Error;

use super::model::Settings;
use super::parse::parse;
use crate::checked_toml::Faults;

/// Why a settings file cannot be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{path}: {cause}; name a readable file with --settings", path = path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why.
        cause: io::Error,
    },
    /// The file has faults.
    #[error("{}", faults.render(&path.display().to_string()))]
    Faults {
        /// The file.
        path: PathBuf,
        /// All of them.
        faults: Faults,
    },
}

/// Reads and checks a settings file.
pub fn read(path: &Path) -> Result<Settings, SettingsError> {
    let text = fs::read_to_string(path).map_err(|cause| SettingsError::Unreadable {
        path: path.to_owned(),
        cause,
    })?;
    parse(&text).map_err(|faults| SettingsError::Faults {
        path: path.to_owned(),
        faults,
    })
}
