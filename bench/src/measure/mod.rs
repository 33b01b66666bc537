//! Measures the product on whole fleets: every figure by an experiment in `bench/experiments`,
//! baselines and oracles on the same load.

mod bound;
mod control;
mod experiment;
mod figures;
mod load;
mod overhead;
mod overload;
mod plots;
mod recovery;
mod report;
mod retries;
mod shares;
mod stats;
#[cfg(test)]
mod tests;
mod throughput;

use std::path::PathBuf;
use std::time::Duration;

use clap::{Args, ValueEnum};
use fescueshore::Faults;
use fescueshore::document::Document;
use fescueshore::ids::EndpointId;
use thiserror::Error;

use self::bound::{bound_tokens_per_s, cost_tokens};
use self::experiment::{Asked, ExperimentError};
use self::figures::{Figures, Summary};
use self::report::DeploymentResult;
use crate::deployment::{self, Deployment, DeploymentError};
use crate::fleet::{EntryProgram, Fleet, FleetError, repository_root};

/// What to measure.
#[derive(Clone, Debug, Args)]
pub struct MeasureArgs {
    /// One deployment and fewer, shorter repeats
    #[arg(long)]
    pub quick: bool,
    /// Deployments; both in a full run, the first in a quick one if none is named
    #[arg(long, value_name = "NAME")]
    pub deployment: Vec<String>,
    /// Experiments; all if none is named
    #[arg(long, value_name = "NAME")]
    pub only: Vec<ExperimentName>,
    /// Directory for a report in Markdown with plots
    #[arg(long, value_name = "DIR")]
    pub report: Option<PathBuf>,
}

/// An experiment, by the name of its file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum ExperimentName {
    /// Time that the entry adds to a token
    Overhead,
    /// Throughput against the bound, with baselines
    Throughput,
    /// Goodput at twice the load that fits
    Overload,
    /// Shares of the accounts under skewed demand
    Shares,
    /// Pauses at a stage's death
    Recovery,
    /// Attempts around an outage
    Retries,
}

/// Why a figure could not be measured.
#[derive(Debug, Error)]
pub enum MeasureError {
    /// The fleet failed.
    #[error("{0}")]
    Fleet(#[from] FleetError),
    /// A deployment cannot be used.
    #[error("{0}")]
    Deployment(#[from] DeploymentError),
    /// An experiment cannot be used.
    #[error("{0}")]
    Experiment(#[from] ExperimentError),
    /// A file cannot be read or written.
    #[error("cannot use {path}: {source}")]
    File {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The document of the deployment is not one.
    #[error("the deployment's document has faults: {0}")]
    Document(#[from] Faults),
    /// A stream on an idle fleet did not end whole.
    #[error("a stream on an idle fleet did not end whole: {0}")]
    NotWhole(String),
    /// The topology has no chain of whole ranges.
    #[error("the topology has no chain of whole ranges")]
    NoChain,
    /// A delay cannot be recorded.
    #[error("cannot record a delay: {0}")]
    Record(#[from] hdrhistogram::RecordError),
    /// A histogram cannot be made.
    #[error("cannot make a histogram: {0}")]
    Histogram(#[from] hdrhistogram::CreationError),
    /// A plot cannot be drawn.
    #[error("cannot draw {path}: {cause}")]
    Plot {
        /// The file.
        path: PathBuf,
        /// Why.
        cause: String,
    },
}

/// One deployment that is measured.
pub(crate) struct Bench {
    fleet: Fleet,
    quick: bool,
    bound_tokens_per_s: f64,
    /// What the entries run, and whether they have not served any load yet.
    entries: Entries,
    /// Engines that run in processes of their own, to be killed.
    victims: Vec<EndpointId>,
    figures: Figures,
}

/// What the entry processes run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Entries {
    program: EntryProgram,
    is_fresh: bool,
}

/// Time for entries that are kept to end what was left behind.
const SETTLE: Duration = Duration::from_millis(300);

/// Deployments of a full run.
const DEPLOYMENTS: [&str; 2] = ["kammoun", "consortium"];

/// Measures and prints every figure; the last lines are `name value`, one each.
///
/// # Errors
/// Fails if a fleet cannot be started or measured.
pub async fn run(args: &MeasureArgs) -> Result<(), MeasureError> {
    let mut results = Vec::new();
    for name in deployments(args) {
        let deployment = deployment::read(&name)?;
        results.push(measure(deployment, args).await?);
    }
    if let Some(dir) = &args.report {
        report::write(dir, &results, args.quick)?;
        println!("report: {}", dir.join(report::FILE).display());
    }
    let figures: Vec<&Figures> = results.iter().map(|result| &result.figures).collect();
    println!("{}", Summary::of(&figures));
    Ok(())
}

fn deployments(args: &MeasureArgs) -> Vec<String> {
    if !args.deployment.is_empty() {
        return args.deployment.clone();
    }
    let count = if args.quick { 1 } else { DEPLOYMENTS.len() };
    DEPLOYMENTS[..count]
        .iter()
        .map(|name| (*name).to_owned())
        .collect()
}

async fn measure(
    deployment: Deployment,
    args: &MeasureArgs,
) -> Result<DeploymentResult, MeasureError> {
    let mut bench = Bench::start(deployment, args.quick).await?;
    let wanted = |name| args.only.is_empty() || args.only.contains(&name);
    let mut result = DeploymentResult::new(&bench);
    if wanted(ExperimentName::Overhead) {
        let experiment = experiment::read("overhead")?;
        result.overhead = Some(overhead::run(&mut bench, &experiment).await?);
    }
    if wanted(ExperimentName::Throughput) {
        let experiment = experiment::read("throughput")?;
        result.throughput = Some(throughput::run(&mut bench, &experiment).await?);
    }
    if wanted(ExperimentName::Overload) {
        let experiment = experiment::read("overload")?;
        result.overload = overload::run(&mut bench, &experiment).await?;
    }
    if wanted(ExperimentName::Recovery) {
        let experiment = experiment::read("recovery")?;
        result.recovery = Some(recovery::run(&mut bench, &experiment).await?);
    }
    if wanted(ExperimentName::Retries) {
        let experiment = experiment::read("retries")?;
        result.retries = retries::run(&mut bench, &experiment).await?;
    }
    if wanted(ExperimentName::Shares) {
        let experiment = experiment::read("shares")?;
        result.shares = Some(shares::run(&mut bench, &experiment).await?);
    }
    result.figures = bench.figures;
    Ok(result)
}

impl Bench {
    async fn start(deployment: Deployment, quick: bool) -> Result<Self, MeasureError> {
        let layers = deployment.model.layers;
        let mut fleet = Fleet::prepare(deployment)?;
        let victims = recovery::victims(&fleet.topology().engines);
        fleet.run_apart(victims.clone());
        fleet.start().await?;
        let bound_tokens_per_s = bound_tokens_per_s(fleet.topology(), layers);
        let bench = Self {
            fleet,
            quick,
            bound_tokens_per_s,
            entries: Entries {
                program: EntryProgram::Product,
                is_fresh: true,
            },
            victims,
            figures: Figures::default(),
        };
        bench.say(&format!("bound: {bound_tokens_per_s:.0} tokens/s"));
        Ok(bench)
    }

    /// Has the entries run a program, as new processes: nothing learnt before counts. A quick run
    /// keeps processes that run it already.
    async fn start_entries(&mut self, program: EntryProgram) -> Result<(), MeasureError> {
        let is_running = self.entries.program == program;
        if is_running && self.quick && !self.entries.is_fresh {
            actix_rt::time::sleep(SETTLE).await;
        } else if !is_running || !self.entries.is_fresh {
            self.fleet.replace_entries(program).await?;
        }
        self.entries = Entries {
            program,
            is_fresh: false,
        };
        Ok(())
    }

    fn say(&self, line: &str) {
        println!("{}: {line}", self.fleet.deployment().name);
    }

    /// The document of the model's service.
    fn model_document(&self) -> Result<Document, MeasureError> {
        let deployment = self.fleet.deployment();
        let path = deployment.documents.get(&deployment.model.service);
        let path = repository_root().join(path.cloned().unwrap_or_default());
        let text =
            std::fs::read_to_string(&path).map_err(|source| MeasureError::File { path, source })?;
        Ok(Document::parse(&text)?)
    }
}

/// Requests a second whose work is the bound's, by the middle of their lengths.
fn fitting_requests_per_s(bound_tokens_per_s: f64, asked: &Asked) -> f64 {
    let (prompt, answer) = (asked.prompt_tokens, asked.max_tokens);
    let twice = cost_tokens(
        u64::from(answer.0 + answer.1),
        u64::from(prompt.0 + prompt.1),
    );
    bound_tokens_per_s / (twice / 2.0)
}
