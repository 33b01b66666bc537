//! Implementations of the commands, one per file.

mod audit;
mod demand;
mod document_accept;
mod document_check;
mod document_diff;
mod document_history;
mod document_list;
mod document_show;
mod explain;
mod key_new;
mod losses;
mod settings_check;
mod status;
mod trace;

use std::io::{self, Read};
use std::path::Path;

use clap::CommandFactory;

#[cfg(test)]
pub(super) use audit::render_entries;
#[cfg(test)]
pub(super) use explain::render_explanation;
#[cfg(test)]
pub(super) use status::render_status;

use super::call::ControlClient;
use super::cli::{Cli, Command, DocumentCommand, KeyCommand, SettingsCommand};
use super::fault::CtlError;
use super::report::Report;
use crate::document::{Document, MAX_DOCUMENT_BYTES};

/// Runs the command selected on the command line.
pub(super) async fn run(cli: Cli) -> Result<Report, CtlError> {
    let common = cli.common;
    match cli.command {
        Command::Document(command) => match command {
            DocumentCommand::Check { file } => document_check::run(&file),
            DocumentCommand::List => document_list::run(&ControlClient::new(&common)?).await,
            DocumentCommand::Show { service, revision } => {
                document_show::run(&ControlClient::new(&common)?, &service, revision).await
            }
            DocumentCommand::Diff(args) => document_diff::run(&common, &args).await,
            DocumentCommand::Accept(args) => {
                document_accept::run(&ControlClient::new(&common)?, &args).await
            }
            DocumentCommand::History { service, limit } => {
                document_history::run(&ControlClient::new(&common)?, &service, limit).await
            }
        },
        Command::Status(args) => status::run(&ControlClient::new(&common)?, &args).await,
        Command::Audit(args) => audit::run(&ControlClient::new(&common)?, &args).await,
        Command::Explain(command) => explain::run(&ControlClient::new(&common)?, &command).await,
        Command::Trace { request, files } => trace::run(&request, &files),
        Command::Losses { files } => losses::run(&files),
        Command::Demand { address } => demand::run(address, common.timeout_s).await,
        Command::Settings(SettingsCommand::Check { file }) => settings_check::run(&file),
        Command::Key(KeyCommand::New) => key_new::run(),
        Command::Completions { shell } => completions(shell),
    }
}

fn completions(shell: clap_complete::Shell) -> Result<Report, CtlError> {
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut Cli::command(), "fescuectl", &mut script);
    let script = String::from_utf8_lossy(&script).into_owned();
    Report::success(script.clone(), &script)
}

/// Reads a file, or standard input for `-`. Reads at most one byte more than the maximum document
/// size, so that oversized input is detected without reading all of it.
fn read_text(path: &Path) -> Result<String, CtlError> {
    let limit = MAX_DOCUMENT_BYTES as u64 + 1;
    let mut text = String::new();
    let result = match path.as_os_str() == "-" {
        true => io::stdin().take(limit).read_to_string(&mut text),
        false => {
            std::fs::File::open(path).and_then(|file| file.take(limit).read_to_string(&mut text))
        }
    };
    let path = path.to_owned();
    match result {
        Ok(_) => Ok(text),
        Err(cause) => Err(CtlError::Unreadable { path, cause }),
    }
}

/// Reads and validates a document.
fn read_document(path: &Path) -> Result<(String, Document), CtlError> {
    let text = read_text(path)?;
    match Document::parse(&text) {
        Ok(document) => Ok((text, document)),
        Err(faults) => Err(CtlError::BadDocument {
            path: path.to_owned(),
            faults,
        }),
    }
}
