//! Environment variables read by the command line tool.

/// The operator's key.
pub(super) const KEY_VARIABLE: &str = "FESCUE_KEY";
/// Addresses of control processes, separated by commas.
pub(super) const CONTROL_VARIABLE: &str = "FESCUE_CONTROL";
