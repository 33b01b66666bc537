//! Reader for the structured logs of relaying instances.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use super::fault::CtlError;

/// One log line.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LogLine {
    /// Timestamp in RFC 3339 format, so that timestamps sort as text.
    pub at: String,
    /// Log message.
    pub message: String,
    /// Structured fields.
    #[serde(default)]
    pub values: Map<String, Value>,
    /// File the line was read from.
    #[serde(default)]
    pub file: PathBuf,
}

impl LogLine {
    /// Returns a string value.
    pub(super) fn text(&self, key: &str) -> Option<&str> {
        self.values.get(key)?.as_str()
    }

    /// Returns a non-negative integer value.
    pub(super) fn number(&self, key: &str) -> Option<u64> {
        self.values.get(key)?.as_u64()
    }
}

/// Reads the logs of several instances, sorted by time.
pub(super) fn read_logs(files: &[PathBuf]) -> Result<Vec<LogLine>, CtlError> {
    let mut lines = Vec::new();
    for file in files {
        read_log(file, &mut lines)?;
    }
    lines.sort_by(|a, b| a.at.cmp(&b.at));
    Ok(lines)
}

fn read_log(path: &Path, lines: &mut Vec<LogLine>) -> Result<(), CtlError> {
    let unreadable = |cause| CtlError::Unreadable {
        path: path.to_owned(),
        cause,
    };
    let file = File::open(path).map_err(unreadable)?;
    for line in BufReader::new(file).lines() {
        let line = line.map_err(unreadable)?;
        // Other programs may write to the same file. Lines that do not parse are skipped.
        if let Ok(mut line) = serde_json::from_str::<LogLine>(&line) {
            line.file = path.to_owned();
            lines.push(line);
        }
    }
    Ok(())
}
