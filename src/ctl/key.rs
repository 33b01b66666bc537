//! Reads the operator's key. It is never taken from the command line, since the arguments of a
//! process are visible to all users of the machine.

use std::env;
use std::fs;
use std::path::Path;

use super::fault::CtlError;
use super::variables::KEY_VARIABLE;
use crate::keys::Secret;

/// Reads the operator's key from `file` if given, otherwise from the environment.
pub(super) fn read_key(file: Option<&Path>) -> Result<Secret, CtlError> {
    let text = match file {
        Some(path) => fs::read_to_string(path).map_err(|cause| CtlError::Unreadable {
            path: path.to_owned(),
            cause,
        })?,
        None => env::var(KEY_VARIABLE).map_err(|_| CtlError::NoKey)?,
    };
    let key = text.trim();
    if key.is_empty() {
        return Err(CtlError::NoKey);
    }
    Ok(Secret::from(key))
}
