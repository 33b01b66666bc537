//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};
use clap_complete::Shell;
use uuid::Uuid;

use super::variables::CONTROL_VARIABLE;

/// Drives fescueshore by its services' documents, and shows what it does.
#[derive(Debug, Parser)]
#[command(name = "fescuectl", version, max_term_width = 100)]
pub struct Cli {
    /// What every command takes.
    #[command(flatten)]
    pub common: CommonArgs,
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// What every command takes.
#[derive(Debug, Args)]
pub struct CommonArgs {
    /// Control process to ask; if several are given, they are tried in turn.
    #[arg(
        long,
        global = true,
        value_name = "ADDRESS",
        env = CONTROL_VARIABLE,
        hide_env_values = true,
        value_delimiter = ','
    )]
    pub control: Vec<SocketAddr>,
    /// File with the operator's key; without it the key is read from FESCUE_KEY.
    #[arg(long, global = true, value_name = "FILE")]
    pub key_file: Option<PathBuf>,
    /// Print JSON, for programs.
    #[arg(long, global = true)]
    pub json: bool,
    /// How long to go on trying.
    #[arg(
        long = "timeout",
        global = true,
        value_name = "SECONDS",
        default_value_t = 30
    )]
    pub timeout_s: u64,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Work with services' documents.
    #[command(subcommand)]
    Document(DocumentCommand),
    /// Show the instances, the revisions they have in force, and the endpoints.
    Status(StatusArgs),
    /// Show the audit trail.
    Audit(AuditArgs),
    /// Explain what was decided, and why.
    #[command(subcommand)]
    Explain(ExplainCommand),
    /// Show what logs of relaying instances say of a request, without asking anyone.
    Trace {
        /// The request's id.
        request: String,
        /// Logs of the instances.
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Show where requests were lost or late, and why, by the logs of relaying instances.
    Losses {
        /// Logs of the instances.
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Work with an instance's settings.
    #[command(subcommand)]
    Settings(SettingsCommand),
    /// Work with keys.
    #[command(subcommand)]
    Key(KeyCommand),
    /// Print a completion script for a shell.
    Completions {
        /// The shell.
        shell: Shell,
    },
}

/// Commands on documents.
#[derive(Debug, Subcommand)]
pub enum DocumentCommand {
    /// Check a file without asking anyone; shows every fault.
    Check {
        /// The document; `-` reads standard input.
        file: PathBuf,
    },
    /// List the documents in force.
    List,
    /// Print a document as it was accepted.
    Show {
        /// The service.
        service: String,
        /// A past revision, in place of the one in force.
        #[arg(long)]
        revision: Option<u64>,
    },
    /// Show what a file would change.
    Diff(DiffArgs),
    /// Accept a file as its service's document, and wait until it is in force everywhere.
    Accept(AcceptArgs),
    /// List a service's accepted revisions, newest first.
    History {
        /// The service.
        service: String,
        /// Most revisions to list.
        #[arg(long, default_value_t = 20)]
        limit: u32,
    },
}

/// Arguments of `document diff`.
#[derive(Debug, Args)]
pub struct DiffArgs {
    /// The document; `-` reads standard input.
    pub file: PathBuf,
    /// Compare with a past revision, in place of the one in force.
    #[arg(long, conflicts_with = "against")]
    pub revision: Option<u64>,
    /// Compare with another file, without asking anyone.
    #[arg(long, value_name = "FILE")]
    pub against: Option<PathBuf>,
    /// Show changed lines of the text, in place of changed values.
    #[arg(long)]
    pub text: bool,
}

/// Arguments of `document accept`.
#[derive(Debug, Args)]
pub struct AcceptArgs {
    /// The document; `-` reads standard input.
    pub file: PathBuf,
    /// Revision that the file was made from, in place of the one in force now.
    #[arg(long, value_name = "REVISION")]
    pub base: Option<u64>,
    /// Why, for the audit trail.
    #[arg(long)]
    pub note: Option<String>,
    /// Id of an earlier try whose result is not known; repeats that change.
    #[arg(long, value_name = "ID", requires = "base")]
    pub change_id: Option<Uuid>,
    /// Do not wait until it is in force.
    #[arg(long)]
    pub no_wait: bool,
}

/// Arguments of `status`.
#[derive(Debug, Args)]
pub struct StatusArgs {
    /// List every endpoint.
    #[arg(long)]
    pub endpoints: bool,
}

/// Arguments of `audit`.
#[derive(Debug, Args)]
pub struct AuditArgs {
    /// Show the newest entries, this many.
    #[arg(long, default_value_t = 50, conflicts_with = "after")]
    pub last: usize,
    /// Show one page behind a cursor of an earlier page.
    #[arg(long, value_name = "CURSOR")]
    pub after: Option<String>,
    /// Entries on that page.
    #[arg(long, default_value_t = 200, requires = "after")]
    pub limit: u32,
}

/// What to explain.
#[derive(Debug, Subcommand)]
pub enum ExplainCommand {
    /// A request, by its id.
    Request {
        /// The request's id.
        id: String,
    },
    /// An endpoint.
    Endpoint {
        /// The endpoint's name.
        name: String,
    },
    /// A client account.
    Account {
        /// The account's name.
        name: String,
    },
}

/// Commands on settings.
#[derive(Debug, Subcommand)]
pub enum SettingsCommand {
    /// Check a settings file; shows every fault.
    Check {
        /// The file.
        file: PathBuf,
    },
}

/// Commands on keys.
#[derive(Debug, Subcommand)]
pub enum KeyCommand {
    /// Draw a new key; prints it with the digest that goes into the document.
    New,
}
