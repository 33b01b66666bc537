//! Attempts that an outage of every engine costs, from callers that honour `Retry-After`.

use std::time::{Duration, Instant};

use futures_util::future::join_all;

use super::experiment::Retries;
use super::figures::Figure;
use super::load::Load;
use super::{Bench, MeasureError, fitting_requests_per_s};
use crate::fleet::{EntryProgram, wait_until};
use crate::standin::faults::{Fault, FaultRequest};

/// How long the requests of the outage may take to settle.
const SETTLE_LIMIT: Duration = Duration::from_secs(20);

/// What came of the requests around one outage.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RetriesRepeat {
    /// Requests that began after the outage did.
    pub requests: u64,
    /// Their attempts.
    pub attempts: u64,
    /// Attempts answered `not-run`.
    pub refusals: u64,
    /// Attempts without a final word.
    pub broken: u64,
    /// Requests without a final word at the end.
    pub unfinished: u64,
}

/// Measures the product.
///
/// # Errors
/// Fails if entries cannot be started or engines cannot be told their fault.
pub async fn run(
    bench: &mut Bench,
    experiment: &Retries,
) -> Result<Vec<RetriesRepeat>, MeasureError> {
    let extent = experiment.extents.choose(bench.quick);
    let fitting = fitting_requests_per_s(bench.bound_tokens_per_s, &experiment.asked);
    let mut repeats = Vec::new();
    for repeat in 0..extent.repeats {
        bench.start_entries(EntryProgram::Product).await?;
        let load = Load::open(
            &bench.fleet,
            &experiment.asked,
            repeat,
            fitting * experiment.over_fitting,
            0,
            extent.warm_up() + extent.window(),
        );
        actix_rt::time::sleep(extent.warm_up()).await;
        let began = Instant::now();
        let ended_before = load.book().borrow().ended();
        kill_engines(bench, experiment.outage_ms).await?;
        let rest = extent.window().saturating_sub(began.elapsed());
        actix_rt::time::sleep(rest).await;
        let book = load.book();
        wait_until(SETTLE_LIMIT, async || {
            let book = book.borrow();
            book.ended() == book.asked()
        })
        .await;
        let found = count(&load, ended_before as usize);
        let amplification = found.attempts as f64 / found.requests.max(1) as f64;
        bench.say(&format!(
            "retries: {} attempts for {} requests around an outage, {amplification:.3} each; {} \
             refused, {} broken, {} unfinished",
            found.attempts, found.requests, found.refusals, found.broken, found.unfinished
        ));
        bench
            .figures
            .push(Figure::RetryAmplification, amplification);
        repeats.push(found);
    }
    Ok(repeats)
}

/// Kills every engine at once; each comes back, empty, after the outage.
async fn kill_engines(bench: &Bench, outage_ms: u64) -> Result<(), MeasureError> {
    let die = FaultRequest::here(Fault::Die {
        revive_after_ms: Some(outage_ms),
    });
    let standins = bench.fleet.standins();
    let engines = &bench.fleet.topology().engines;
    let telling = engines
        .iter()
        .map(|engine| standins.post(engine.address, "/standin/faults", &die));
    for told in join_all(telling).await {
        told?;
    }
    Ok(())
}

/// Counts the requests that ended after the outage began.
fn count(load: &Load, ended_before: usize) -> RetriesRepeat {
    let book = load.book().borrow();
    let mut found = RetriesRepeat {
        unfinished: book.asked() - book.ended(),
        ..RetriesRepeat::default()
    };
    for report in book.reports().iter().skip(ended_before) {
        found.requests += 1;
        found.attempts += u64::from(report.attempts);
        found.refusals += u64::from(report.refusals);
        found.broken += u64::from(report.broken);
    }
    found
}
