//! `fescue-control`: the control process of one instance.

use clap::Parser;
use fescueshore::control_server::{ControlCli, run};
use fescueshore::exit_codes::Exit;
use fescueshore::settings::{self, Settings};
use fescueshore::telemetry;

fn main() -> Exit {
    let cli = match ControlCli::try_parse() {
        Ok(cli) => cli,
        Err(error) => {
            let _ = error.print();
            return if error.use_stderr() {
                Exit::Usage
            } else {
                Exit::Success
            };
        }
    };
    let settings = match settings::read(&cli.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("fescue-control: {error}");
            return Exit::BadSettings;
        }
    };
    if cli.check {
        return Exit::Success;
    }
    start(&cli, settings)
}

fn start(cli: &ControlCli, mut settings: Settings) -> Exit {
    settings.log.format = cli.log_format.unwrap_or(settings.log.format);
    if let Err(error) = telemetry::init_log(&settings.log) {
        eprintln!("fescue-control: {error}");
        return Exit::Fault;
    }
    match actix::System::new().block_on(run(&settings)) {
        Ok(exit) => exit,
        Err(error) => {
            eprintln!("fescue-control: {error}");
            Exit::Fault
        }
    }
}
