//! Command line of `fescue-load`.

use std::process::ExitCode;
use std::time::Duration;

use clap::{Parser, Subcommand};

use crate::demo;
use crate::deployment;
use crate::slopes::{self, SlopeOptions};

/// Time that a fleet is left alone before its cost is observed.
const SETTLE: Duration = Duration::from_secs(4);

/// Load and experiment tool: starts a fleet on loopback, asks, breaks things, and counts.
#[derive(Clone, Debug, Parser)]
#[command(name = "fescue-load", version)]
pub struct LoadArgs {
    /// What to run.
    #[command(subcommand)]
    pub command: LoadCommand,
}

/// What to run.
#[derive(Clone, Debug, Subcommand)]
pub enum LoadCommand {
    /// Sends 200 mixed requests of all accounts while one entry and one engine are killed.
    Demo {
        /// Name of a file in bench/deployments, or a path that ends in `.toml`.
        #[arg(long, value_name = "NAME", default_value = "kammoun")]
        deployment: String,
    },
    /// Prints what instances cost over the size of their cell and of their load.
    Slopes {
        /// Name of a file in bench/deployments, or a path that ends in `.toml`.
        #[arg(long, value_name = "NAME", default_value = "kammoun")]
        deployment: String,
        /// How long each point is observed.
        #[arg(long, value_name = "S", default_value_t = 15)]
        seconds: u64,
    },
}

/// Runs a command; errors go to standard error.
pub async fn run(args: LoadArgs) -> ExitCode {
    match args.command {
        LoadCommand::Demo { deployment } => run_demo(&deployment).await,
        LoadCommand::Slopes {
            deployment,
            seconds,
        } => run_slopes(&deployment, seconds).await,
    }
}

async fn run_demo(name: &str) -> ExitCode {
    let deployment = match deployment::read(name) {
        Ok(deployment) => deployment,
        Err(error) => return fail(&error),
    };
    match demo::run(deployment).await {
        Ok(result) => {
            if !result.is_good() {
                eprintln!("fescue-load: the demo's counts are wrong: {result:?}");
            }
            println!("{result}");
            exit_code(result.is_good())
        }
        Err(error) => fail(&error),
    }
}

async fn run_slopes(name: &str, seconds: u64) -> ExitCode {
    let deployment = match deployment::read(name) {
        Ok(deployment) => deployment,
        Err(error) => return fail(&error),
    };
    let options = SlopeOptions {
        settle: SETTLE,
        observe: Duration::from_secs(seconds),
    };
    match slopes::run(&deployment, options, |figure| println!("{figure}")).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error),
    }
}

fn exit_code(good: bool) -> ExitCode {
    if good {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn fail<E>(error: &E) -> ExitCode
where
    E: std::error::Error,
{
    eprintln!("fescue-load: {error}");
    ExitCode::FAILURE
}
