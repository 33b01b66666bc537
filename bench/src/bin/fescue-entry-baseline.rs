//! The entry process with another policy or without shared demand: a baseline of measurements.

use clap::{Parser, ValueEnum};
use fescueshore::entry::ShareSource;
use fescueshore::exit_codes::Exit;
use fescueshore::gateway::EntryVariant;
use fescueshore::gateway::cli::{EntryArgs, print_usage, run_variant};
use fescueshore::routing::PolicyKind;

/// The entry process as a baseline of measurements; not for production.
#[derive(Debug, Parser)]
#[command(name = "fescue-entry-baseline", version)]
struct BaselineArgs {
    /// How engines are chosen
    #[arg(long, value_name = "NAME")]
    policy: BaselinePolicy,
    /// Ignore what control says of the accounts' shares
    #[arg(long)]
    local_shares: bool,
    #[command(flatten)]
    entry: EntryArgs,
}

/// A policy by name.
#[derive(Clone, Copy, Debug, ValueEnum)]
enum BaselinePolicy {
    /// The product's own
    FlowWeighted,
    /// Any engine
    Random,
    /// The engine chosen longest ago
    RoundRobin,
    /// The engine with the fewest streams of this entry
    LeastOutstanding,
}

impl From<BaselinePolicy> for PolicyKind {
    fn from(policy: BaselinePolicy) -> Self {
        match policy {
            BaselinePolicy::FlowWeighted => Self::FlowWeighted,
            BaselinePolicy::Random => Self::Random,
            BaselinePolicy::RoundRobin => Self::RoundRobin,
            BaselinePolicy::LeastOutstanding => Self::LeastOutstanding,
        }
    }
}

fn main() -> Exit {
    let args = match BaselineArgs::try_parse() {
        Ok(args) => args,
        Err(error) => return print_usage(&error),
    };
    let shares = if args.local_shares {
        ShareSource::LocalDemand
    } else {
        ShareSource::Control
    };
    let variant = EntryVariant {
        policy: args.policy.into(),
        shares,
    };
    run_variant(args.entry, variant)
}
