//! Environment variables that the command line tool reads.

/// May hold the operator's key.
pub(super) const KEY_VARIABLE: &str = "FESCUE_KEY";
/// May name control processes.
pub(super) const CONTROL_VARIABLE: &str = "FESCUE_CONTROL";
