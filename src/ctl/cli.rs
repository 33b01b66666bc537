//! Command line arguments.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};
use clap_complete::Shell;
use uuid::Uuid;

use super::variables::CONTROL_VARIABLE;

/// Manage fescueshore service documents and inspect the state of the system.
#[derive(Debug, Parser)]
#[command(name = "fescuectl", version, max_term_width = 100)]
pub struct Cli {
    /// Options shared by all commands.
    #[command(flatten)]
    pub common: CommonArgs,
    /// Command to run.
    #[command(subcommand)]
    pub command: Command,
}

/// Options shared by all commands.
#[derive(Debug, Args)]
pub struct CommonArgs {
    /// Control process to call; if several are given, they are tried in turn.
    #[arg(
        long,
        global = true,
        value_name = "ADDRESS",
        env = CONTROL_VARIABLE,
        hide_env_values = true,
        value_delimiter = ','
    )]
    pub control: Vec<SocketAddr>,
    /// File with the operator's key; by default the key is read from FESCUE_KEY.
    #[arg(long, global = true, value_name = "FILE")]
    pub key_file: Option<PathBuf>,
    /// Print machine-readable JSON.
    #[arg(long, global = true)]
    pub json: bool,
    /// How long to retry.
    #[arg(
        long = "timeout",
        global = true,
        value_name = "SECONDS",
        default_value_t = 30
    )]
    pub timeout_s: u64,
}

/// Top-level commands.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Manage service documents.
    #[command(subcommand)]
    Document(DocumentCommand),
    /// Show the instances, the revisions they have in force, and the endpoints.
    Status(StatusArgs),
    /// Show the audit trail.
    Audit(AuditArgs),
    /// Explain decisions about a request, endpoint or account.
    #[command(subcommand)]
    Explain(ExplainCommand),
    /// Show log lines of relaying instances about a request, without calling a control process.
    Trace {
        /// ID of the request.
        request: String,
        /// Log files of the instances.
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Summarize lost and late requests by reason, from logs of relaying instances.
    Losses {
        /// Log files of the instances.
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Show the demand for streams by service, zone and priority, as a relaying instance knows it.
    Demand {
        /// Address of the instance's metrics page.
        address: SocketAddr,
    },
    /// Validate instance settings.
    #[command(subcommand)]
    Settings(SettingsCommand),
    /// Generate keys.
    #[command(subcommand)]
    Key(KeyCommand),
    /// Print a completion script for a shell.
    Completions {
        /// Target shell.
        shell: Shell,
    },
}

/// Subcommands of `document`.
#[derive(Debug, Subcommand)]
pub enum DocumentCommand {
    /// Validate a file without calling a control process; shows all faults.
    Check {
        /// The document; `-` reads standard input.
        file: PathBuf,
    },
    /// List the documents in force.
    List,
    /// Print an accepted document.
    Show {
        /// Service name.
        service: String,
        /// Revision to print instead of the one in force.
        #[arg(long)]
        revision: Option<u64>,
    },
    /// Show the changes a file would make.
    Diff(DiffArgs),
    /// Accept a file as its service's document, and wait until it is in force everywhere.
    Accept(AcceptArgs),
    /// List a service's accepted revisions, newest first.
    History {
        /// Service name.
        service: String,
        /// Maximum number of revisions to list.
        #[arg(long, default_value_t = 20)]
        limit: u32,
    },
}

/// Arguments of `document diff`.
#[derive(Debug, Args)]
pub struct DiffArgs {
    /// The document; `-` reads standard input.
    pub file: PathBuf,
    /// Compare with this revision instead of the one in force.
    #[arg(long, conflicts_with = "against")]
    pub revision: Option<u64>,
    /// Compare with another file, without calling a control process.
    #[arg(long, value_name = "FILE")]
    pub against: Option<PathBuf>,
    /// Show changed lines of text instead of changed values.
    #[arg(long)]
    pub text: bool,
}

/// Arguments of `document accept`.
#[derive(Debug, Args)]
pub struct AcceptArgs {
    /// The document; `-` reads standard input.
    pub file: PathBuf,
    /// Revision that the file is based on, instead of the one in force.
    #[arg(long, value_name = "REVISION")]
    pub base: Option<u64>,
    /// Reason for the change, for the audit trail.
    #[arg(long)]
    pub note: Option<String>,
    /// ID of an earlier attempt with an unknown result; retries that change.
    #[arg(long, value_name = "ID", requires = "base")]
    pub change_id: Option<Uuid>,
    /// Do not wait until the document is in force.
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
    /// Number of newest entries to show.
    #[arg(long, default_value_t = 50, conflicts_with = "after")]
    pub last: usize,
    /// Show the page after the cursor of an earlier page.
    #[arg(long, value_name = "CURSOR")]
    pub after: Option<String>,
    /// Maximum number of entries on that page.
    #[arg(long, default_value_t = 200, requires = "after")]
    pub limit: u32,
}

/// Subcommands of `explain`.
#[derive(Debug, Subcommand)]
pub enum ExplainCommand {
    /// Explain decisions about a request.
    Request {
        /// ID of the request.
        id: String,
    },
    /// Explain decisions about an endpoint.
    Endpoint {
        /// Name of the endpoint.
        name: String,
    },
    /// Explain decisions about a client account.
    Account {
        /// Name of the account.
        name: String,
    },
}

/// Subcommands of `settings`.
#[derive(Debug, Subcommand)]
pub enum SettingsCommand {
    /// Validate a settings file; shows all faults.
    Check {
        /// The settings file.
        file: PathBuf,
    },
}

/// Subcommands of `key`.
#[derive(Debug, Subcommand)]
pub enum KeyCommand {
    /// Generate a random key; prints it with the digest to add to the document.
    New,
}
