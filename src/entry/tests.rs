//! Tests of the entry's decisions, driven by plain messages.

mod book;
mod fixture;
mod paths;
mod verdicts;
mod views;
