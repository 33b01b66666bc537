//! The command line of `fescue-entry`.

use std::path::PathBuf;

use clap::Parser;

use super::process::{self, EntryVariant};
use crate::exit_codes::Exit;
use crate::settings::{self, LogFormat, Settings};
use crate::telemetry;

/// The entry process of an instance: takes callers' requests and answers them.
#[derive(Debug, Parser)]
#[command(name = "fescue-entry", version)]
pub struct EntryArgs {
    /// Settings file of the instance
    #[arg(long, value_name = "FILE", env = "FESCUE_SETTINGS")]
    pub settings: PathBuf,
    /// Form of log lines; goes before the settings file
    #[arg(long, value_name = "FORM")]
    pub log_format: Option<LogFormat>,
    /// Check the settings and exit
    #[arg(long)]
    pub check: bool,
}

/// Runs `fescue-entry`.
pub fn run_entry() -> Exit {
    match EntryArgs::try_parse() {
        Ok(args) => run_variant(args, EntryVariant::default()),
        Err(error) => print_usage(&error),
    }
}

/// Prints a command line error, or the requested help or version.
pub fn print_usage(error: &clap::Error) -> Exit {
    let _ = error.print();
    if error.use_stderr() {
        Exit::Usage
    } else {
        Exit::Success
    }
}

/// Runs an entry process with the given variant.
pub fn run_variant(args: EntryArgs, variant: EntryVariant) -> Exit {
    let settings = match read_settings(&args) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("fescue-entry: {error}");
            return Exit::BadSettings;
        }
    };
    if args.check {
        println!("settings are valid: {}", args.settings.display());
        return Exit::Success;
    }
    start(settings, variant)
}

fn read_settings(args: &EntryArgs) -> Result<Settings, settings::SettingsError> {
    let mut settings = settings::read(&args.settings)?;
    if let Some(format) = args.log_format {
        settings.log.format = format;
    }
    Ok(settings)
}

fn start(settings: Settings, variant: EntryVariant) -> Exit {
    if let Err(error) = telemetry::init_log(&settings.log) {
        eprintln!("fescue-entry: {error}");
        return Exit::Fault;
    }
    match actix::System::new().block_on(process::run(settings, variant)) {
        Ok(exit) => exit,
        Err(error) => {
            eprintln!("fescue-entry: {error}");
            Exit::Fault
        }
    }
}
