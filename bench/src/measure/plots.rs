//! Plots of a report.

use std::path::Path;

use plotters::prelude::*;

use super::MeasureError;
use super::recovery::{Death, GapTrace};
use super::shares::SharesResult;
use super::stats::Samples;
use super::throughput::ThroughputResult;

/// Size of a plot.
const SIZE: (u32, u32) = (760, 400);
/// Part of a bar's place that the bar fills.
const BAR_PART: f64 = 0.8;
/// Streams drawn around a death.
const MOST_TRACES: usize = 12;
/// Time drawn before and after a death.
const AROUND_MS: (f64, f64) = (-500.0, 2_000.0);

/// Bars with a label each, before a line at `limit`.
struct Bars<'a> {
    title: String,
    unit: &'a str,
    bars: Vec<(String, f64, RGBColor)>,
    limit: f64,
}

/// Work done under each policy beside the bound.
pub(crate) fn throughput(
    path: &Path,
    bound_tokens_per_s: f64,
    result: &ThroughputResult,
) -> Result<(), MeasureError> {
    let bars = result.to_bound.iter().map(|(policy, samples)| {
        let part = samples.median().unwrap_or(0.0);
        ((*policy).to_owned(), part * bound_tokens_per_s, BLUE)
    });
    Bars {
        title: format!("Work beside the bound of {bound_tokens_per_s:.0} tokens/s"),
        unit: "tokens/s, prompts at their cost",
        bars: bars.collect(),
        limit: bound_tokens_per_s,
    }
    .draw(path)
}

/// Part of its fair share that each account got.
pub(crate) fn shares(path: &Path, result: &SharesResult) -> Result<(), MeasureError> {
    let mut bars = Vec::new();
    for (account, part) in &result.shared {
        bars.push((account.to_string(), *part, BLUE));
        let local = result.local_only.get(account).copied().unwrap_or(0.0);
        bars.push((String::new(), local, RED));
    }
    Bars {
        title: "Share over fair share (blue), local demand only (red)".to_owned(),
        unit: "share over fair share",
        bars,
        limit: 1.0,
    }
    .draw(path)
}

impl Bars<'_> {
    fn draw(&self, path: &Path) -> Result<(), MeasureError> {
        self.try_draw(path)
            .map_err(|cause| plot_error(path, &cause))
    }

    fn try_draw(&self, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
        let most = self.bars.iter().map(|(_, value, _)| *value);
        let top = most.fold(self.limit, f64::max) * 1.1;
        let count = self.bars.len().max(1);
        let area = SVGBackend::new(path, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(&self.title, ("sans-serif", 18))
            .margin(10)
            .x_label_area_size(30)
            .y_label_area_size(60)
            .build_cartesian_2d(0.0..count as f64, 0.0..top)?;
        chart
            .configure_mesh()
            .disable_x_mesh()
            .y_desc(self.unit)
            .x_labels(0)
            .draw()?;
        for (index, (label, value, color)) in self.bars.iter().enumerate() {
            let left = index as f64 + (1.0 - BAR_PART) / 2.0;
            let bar = [(left, 0.0), (left + BAR_PART, *value)];
            chart.draw_series([Rectangle::new(bar, color.mix(0.6).filled())])?;
            let font = ("sans-serif", 11).into_font();
            chart.draw_series([Text::new(label.clone(), (left, top * 0.04), font)])?;
        }
        let limit = [(0.0, self.limit), (count as f64, self.limit)];
        chart.draw_series(LineSeries::new(limit, BLACK.stroke_width(2)))?;
        area.present()?;
        Ok(())
    }
}

/// Gaps between tokens of streams around a death.
pub(crate) fn gaps(path: &Path, death: Death, traces: &[GapTrace]) -> Result<(), MeasureError> {
    draw_gaps(path, death, traces).map_err(|cause| plot_error(path, &cause))
}

fn draw_gaps(
    path: &Path,
    death: Death,
    traces: &[GapTrace],
) -> Result<(), Box<dyn std::error::Error>> {
    let gaps: Samples = traces
        .iter()
        .flat_map(|trace| trace.gaps_ms.iter().map(|(_, gap_ms)| *gap_ms))
        .collect();
    let top = gaps.quantile(1.0).unwrap_or(1.0) * 1.1;
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let title = format!(
        "Gaps between tokens around a stage's death ({})",
        death.name()
    );
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(AROUND_MS.0..AROUND_MS.1, 0.0..top)?;
    chart
        .configure_mesh()
        .x_desc("ms after the death")
        .y_desc("gap before the token, ms")
        .draw()?;
    for (index, trace) in traces.iter().take(MOST_TRACES).enumerate() {
        let points = trace.gaps_ms.iter().copied();
        let shown = points.filter(|(at_ms, _)| (AROUND_MS.0..AROUND_MS.1).contains(at_ms));
        chart.draw_series(LineSeries::new(
            shown,
            Palette99::pick(index).stroke_width(1),
        ))?;
    }
    area.present()?;
    Ok(())
}

fn plot_error(path: &Path, cause: &dyn std::fmt::Display) -> MeasureError {
    MeasureError::Plot {
        path: path.to_owned(),
        cause: cause.to_string(),
    }
}
