//! Tests of the entry's decisions, driven by plain messages.

mod fixture;
mod paths;
