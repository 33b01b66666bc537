//! The operators' command line tool.
//!
//! Local commands check files. The others call any control process; a command that changes
//! something carries a change id, so that a lost reply is settled by calling again.

mod call;
mod cli;
mod commands;
mod fault;
mod in_force;
mod key;
mod log_lines;
mod loss_reason;
mod losses;
mod report;
#[cfg(test)]
mod tests;
mod variables;

use std::ffi::OsString;

use clap::Parser;

pub use cli::Cli;
pub use fault::CtlError;
pub use log_lines::LogLine;
pub use loss_reason::LossReason;
pub use losses::{LossGroup, LossReport, LossWindow, summarize_losses};
pub use report::Report;

use crate::exit_codes::Exit;

/// Runs one command line and prints its result; errors go to standard error.
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
