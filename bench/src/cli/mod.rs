//! Command line of `fescue-load`.

use std::fmt::Display;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Args, Parser, Subcommand};

use crate::demo;
use crate::deployment::{self, Deployment};
use crate::measure::{self, MeasureArgs};
use crate::slopes::{self, SlopeOptions};
use crate::soak::{self, SoakOptions};
use crate::up::{self, UpOptions};

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
        /// The fleet.
        #[command(flatten)]
        fleet: DeploymentArgs,
    },
    /// Measures throughput, recovery, fairness and cost against bounds, baselines and oracles.
    Measure(MeasureArgs),
    /// Prints what instances cost over the size of their cell and of their load.
    Slopes {
        /// The fleet.
        #[command(flatten)]
        fleet: DeploymentArgs,
        /// How long each point is observed.
        #[arg(long, value_name = "S", default_value_t = 15)]
        seconds: u64,
    },
    /// Runs callers that never give up under faults drawn by seed.
    Soak {
        /// The fleet.
        #[command(flatten)]
        fleet: DeploymentArgs,
        /// Seed of faults and requests.
        #[arg(long, value_name = "N")]
        seed: u64,
        /// How long faults are injected.
        #[arg(long, value_name = "S", default_value_t = 60)]
        seconds: u64,
    },
    /// Runs a fleet until it is interrupted and prints where it listens.
    Up {
        /// The fleet.
        #[command(flatten)]
        fleet: DeploymentArgs,
        /// Accept no document at the start.
        #[arg(long)]
        bare: bool,
    },
}

/// Which fleet to run.
#[derive(Clone, Debug, Args)]
pub struct DeploymentArgs {
    /// Name of a file in bench/deployments, or a path that ends in `.toml`.
    #[arg(long, value_name = "NAME", default_value = "kammoun")]
    pub deployment: String,
}

/// Runs a command; errors go to standard error.
pub async fn run(args: LoadArgs) -> ExitCode {
    let fleet = match &args.command {
        LoadCommand::Measure(args) => return run_measure(args).await,
        LoadCommand::Demo { fleet }
        | LoadCommand::Slopes { fleet, .. }
        | LoadCommand::Soak { fleet, .. }
        | LoadCommand::Up { fleet, .. } => fleet,
    };
    let deployment = match deployment::read(&fleet.deployment) {
        Ok(deployment) => deployment,
        Err(error) => return fail(&error),
    };
    match args.command {
        LoadCommand::Demo { .. } => run_demo(deployment).await,
        LoadCommand::Slopes { seconds, .. } => run_slopes(&deployment, seconds).await,
        LoadCommand::Soak { seed, seconds, .. } => run_soak(deployment, seed, seconds).await,
        LoadCommand::Up { bare, .. } => run_up(deployment, UpOptions { bare }).await,
        // It may run more than one fleet, and was begun above.
        LoadCommand::Measure(_) => ExitCode::SUCCESS,
    }
}

async fn run_demo(deployment: Deployment) -> ExitCode {
    match demo::run(deployment).await {
        Ok(result) => {
            if !result.is_good() {
                eprintln!("fescue-load: the demo's counts are wrong: {result:?}");
            }
            say_last(&result, result.is_good())
        }
        Err(error) => fail(&error),
    }
}

async fn run_measure(args: &MeasureArgs) -> ExitCode {
    match measure::run(args).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error),
    }
}

async fn run_slopes(deployment: &Deployment, seconds: u64) -> ExitCode {
    let options = SlopeOptions {
        settle: SETTLE,
        observe: Duration::from_secs(seconds),
    };
    match slopes::run(deployment, options, |figure| println!("{figure}")).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error),
    }
}

async fn run_soak(deployment: Deployment, seed: u64, seconds: u64) -> ExitCode {
    let options = SoakOptions {
        seed,
        duration: Duration::from_secs(seconds),
    };
    match soak::run(deployment, options).await {
        Ok(result) => {
            println!("{}", result.details());
            if !result.is_good() {
                eprintln!("fescue-load: the soak of seed {seed} failed");
            }
            say_last(&result, result.is_good())
        }
        Err(error) => fail(&error),
    }
}

async fn run_up(deployment: Deployment, options: UpOptions) -> ExitCode {
    match up::run(deployment, options).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error),
    }
}

/// Prints the last line of a run.
fn say_last<R>(result: &R, good: bool) -> ExitCode
where
    R: Display,
{
    println!("{result}");
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
