mod demand;
mod local;
mod losses;
mod remote;
mod render;
mod stub;
mod trace;

use clap::Parser;

use super::cli::Cli;
use super::commands;
use super::fault::CtlError;
use super::report::Report;

/// Runs a command line, split at white space.
async fn run(line: &str) -> Result<Report, CtlError> {
    let words = std::iter::once("fescuectl").chain(line.split_whitespace());
    commands::run(Cli::try_parse_from(words).unwrap()).await
}
