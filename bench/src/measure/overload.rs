//! Goodput at more arrivals than fit, from callers that retry for ever.

use super::experiment::Overload;
use super::figures::Figure;
use super::load::Load;
use super::throughput::work_to_bound;
use super::{Bench, MeasureError, fitting_requests_per_s};
use crate::fleet::EntryProgram;

/// What came of the requests of one repeat.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverloadRepeat {
    /// Work done over the bound.
    pub to_bound: f64,
    /// Requests that arrived.
    pub asked: u64,
    /// Those that had their whole answer by the end.
    pub answered: u64,
}

/// Measures the product at a multiple of the load that fits.
///
/// # Errors
/// Fails if entries cannot be started.
pub async fn run(
    bench: &mut Bench,
    experiment: &Overload,
) -> Result<Vec<OverloadRepeat>, MeasureError> {
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
            experiment.impatient_percent,
            extent.warm_up() + extent.window(),
        );
        let window = load.observe(extent.warm_up(), extent.window()).await;
        let counts = load.book().borrow().counts();
        let found = OverloadRepeat {
            to_bound: work_to_bound(&window, bench.bound_tokens_per_s),
            asked: counts.asked,
            answered: counts.answered,
        };
        bench.say(&format!(
            "overload: {:.3} of the bound; {} asked, {} answered so far",
            found.to_bound, found.asked, found.answered
        ));
        bench
            .figures
            .push(Figure::ThroughputToBoundOverload2x, found.to_bound);
        repeats.push(found);
    }
    Ok(repeats)
}
