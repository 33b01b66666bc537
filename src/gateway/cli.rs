//! The command line of `fescue-entry`.

use std::path::PathBuf;

use clap::Parser;

use super::process;
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
    let args = match EntryArgs::try_parse() {
        Ok(args) => args,
        Err(error) => {
            let _ = error.print();
            return if error.use_stderr() {
                Exit::Usage
            } else {
                Exit::Success
            };
        }
    };
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
    start(settings)
}

fn read_settings(args: &EntryArgs) -> Result<Settings, settings::SettingsError> {
    let mut settings = settings::read(&args.settings)?;
    if let Some(format) = args.log_format {
        settings.log.format = format;
    }
    Ok(settings)
}

fn start(settings: Settings) -> Exit {
    if let Err(error) = telemetry::init_log(&settings.log) {
        eprintln!("fescue-entry: {error}");
        return Exit::Fault;
    }
    match actix::System::new().block_on(process::run(settings)) {
        Ok(exit) => exit,
        Err(error) => {
            eprintln!("fescue-entry: {error}");
            Exit::Fault
        }
    }
}
