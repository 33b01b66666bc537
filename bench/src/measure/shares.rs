//! Shares of the accounts under skewed demand: the first account's callers all use one entry, those
//! of the others use all of them.

use fescueshore::ids::AccountId;
use indexmap::IndexMap;

use super::bound::cost_tokens;
use super::experiment::{Extent, Shares};
use super::figures::Figure;
use super::load::{Group, Load, Window};
use super::{Bench, MeasureError};
use crate::fleet::EntryProgram;

/// Shares of one run.
#[derive(Clone, Debug, Default)]
pub struct SharesResult {
    /// Part of its fair share that each account got, with the shares of control.
    pub shared: IndexMap<AccountId, f64>,
    /// The same if each entry knows only its own demand.
    pub local_only: IndexMap<AccountId, f64>,
}

/// Measures the product and the baseline that knows only local demand; keeps the shares of the
/// last repeat of each.
///
/// # Errors
/// Fails if entries cannot be started.
pub async fn run(bench: &mut Bench, experiment: &Shares) -> Result<SharesResult, MeasureError> {
    let extent = experiment.extents.choose(bench.quick);
    let weights = weights(bench)?;
    let mut result = SharesResult::default();
    for repeat in 0..extent.repeats {
        let shared = run_once(
            bench,
            experiment,
            extent,
            repeat,
            &weights,
            EntryProgram::Product,
        );
        result.shared = shared.await?;
        note_worst(bench, Figure::WorstShareToFair, &result.shared);
        let local = run_once(
            bench,
            experiment,
            extent,
            repeat,
            &weights,
            EntryProgram::LocalShares,
        );
        result.local_only = local.await?;
        note_worst(bench, Figure::WorstShareToFairLocalOnly, &result.local_only);
    }
    Ok(result)
}

async fn run_once(
    bench: &mut Bench,
    experiment: &Shares,
    extent: Extent,
    repeat: u64,
    weights: &IndexMap<AccountId, f64>,
    program: EntryProgram,
) -> Result<IndexMap<AccountId, f64>, MeasureError> {
    bench.start_entries(program).await?;
    let groups = skewed_groups(bench, experiment, weights);
    let load = Load::closed(&bench.fleet, &experiment.asked, repeat, &groups);
    let window = load.observe(extent.warm_up(), extent.window()).await;
    Ok(parts_of_fair(&window, weights))
}

/// Enough callers of every account to use more than its share.
fn skewed_groups(
    bench: &Bench,
    experiment: &Shares,
    weights: &IndexMap<AccountId, f64>,
) -> Vec<Group> {
    let one = bench.fleet.topology().entries[0].address;
    let groups = weights
        .iter()
        .enumerate()
        .map(|(index, (account, weight))| {
            let wanted = (f64::from(experiment.callers_per_weight) * weight) as u32;
            Group {
                account: account.clone(),
                callers: wanted.max(experiment.least_callers),
                entry: (index == 0).then_some(one),
            }
        });
    groups.collect()
}

/// What each account got over its part, by weight, of what all got.
fn parts_of_fair(window: &Window, weights: &IndexMap<AccountId, f64>) -> IndexMap<AccountId, f64> {
    let got = |account: &AccountId| {
        let served = window.served.get(account).copied().unwrap_or_default();
        cost_tokens(served.tokens, served.prompt_tokens)
    };
    let total: f64 = weights.keys().map(got).sum();
    let weight_sum: f64 = weights.values().sum();
    weights
        .iter()
        .map(|(account, weight)| {
            let fair = total * weight / weight_sum;
            (account.clone(), got(account) / fair.max(1.0))
        })
        .collect()
}

/// Weights of the accounts that ask, from the model's document.
fn weights(bench: &Bench) -> Result<IndexMap<AccountId, f64>, MeasureError> {
    let document = bench.model_document()?;
    let accounts = &bench.fleet.deployment().load.accounts;
    Ok(accounts
        .iter()
        .filter_map(|load| {
            let account = document.accounts.get(&load.name)?;
            Some((load.name.clone(), account.weight))
        })
        .collect())
}

fn note_worst(bench: &mut Bench, figure: Figure, parts: &IndexMap<AccountId, f64>) {
    let worst = parts.iter().min_by(|a, b| a.1.total_cmp(b.1));
    if let Some((account, part)) = worst {
        bench.say(&format!("{}: {part:.3} ({account})", figure.name()));
        bench.figures.push(figure, *part);
    }
}
