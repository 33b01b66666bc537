//! `fescuectl`, the command line tool for operators.
//!
//! Local commands work on files. The others call any control process. A command that makes a change
//! sends a change ID, so that it can safely be retried after a lost reply.

mod call;
mod cli;
mod commands;
mod demand_rows;
mod fault;
mod key;
mod log_lines;
mod loss_reason;
mod losses;
mod report;
mod rollout;
#[cfg(test)]
mod tests;
mod variables;
mod withheld_features;

use std::ffi::OsString;

use clap::Parser;

pub use cli::Cli;
pub use fault::{CtlError, MetricsFailure};
pub use log_lines::LogLine;
pub use loss_reason::LossReason;
pub use losses::{LossGroup, LossReport, LossWindow, summarize_losses};
pub use report::Report;
pub use withheld_features::{WithheldFeature, WithheldFeatures};

use crate::exit_codes::Exit;

/// Parses the arguments, runs the command and prints its result. Errors go to standard error.
pub async fn run<I>(args: I) -> Exit
where
    I: IntoIterator<Item = OsString>,
{
    let cli = match Cli::try_parse_from(args) {
        Ok(cli) => cli,
        Err(error) => return report::print_usage(&error),
    };
    let json = cli.common.json;
    match commands::run(cli).await {
        Ok(report) => report.print(json),
        Err(error) => report::print_error(&error, json),
    }
}
