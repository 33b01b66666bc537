//! Tests of the control with real processes.

mod cost;
mod env;
