//! Tests of the entry's decisions, driven by plain messages.

mod book;
mod claimed;
mod fixture;
mod paths;
mod verdicts;
mod versions;
mod views;
mod world;
