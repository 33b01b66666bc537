//! Where the programs of the workspace are.

use std::path::PathBuf;

use super::FleetError;

/// Returns the path of a program built beside the one that runs.
///
/// # Errors
/// Fails if the running program's own path cannot be told.
pub fn program(name: &str) -> Result<PathBuf, FleetError> {
    let own = std::env::current_exe().map_err(|source| FleetError::File {
        path: PathBuf::from(name),
        source,
    })?;
    let mut dir = own.parent().map(PathBuf::from).unwrap_or_default();
    // Test programs are one directory further down.
    if dir.file_name().is_some_and(|name| name == "deps") {
        dir.pop();
    }
    Ok(dir.join(name))
}
