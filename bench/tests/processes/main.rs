//! Tests with real processes on loopback.

mod bad_input;
mod broken_files;
mod env;
mod whole_path;
