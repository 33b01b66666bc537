//! The `cadence` sink: an in-process map from metric name to value.

use std::fmt::Write;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cadence::MetricSink;
use indexmap::IndexMap;

/// Upper bounds of the histogram buckets.
const BUCKETS_MS: [u64; 12] = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 5_000, 30_000];

/// All metrics of the process.
#[derive(Clone, Debug, Default)]
pub(super) struct Series(Arc<Mutex<IndexMap<String, Metric>>>);

#[derive(Clone, Debug)]
enum Metric {
    Counter(u64),
    Gauge(u64),
    Histogram(Histogram),
}

#[derive(Clone, Debug, Default)]
struct Histogram {
    count: u64,
    sum_ms: u64,
    /// Cumulative counts per bucket: values up to the bound at the same index in [`BUCKETS_MS`].
    cumulative: [u64; BUCKETS_MS.len()],
}

impl Histogram {
    fn record(&mut self, value_ms: u64) {
        self.count += 1;
        self.sum_ms = self.sum_ms.saturating_add(value_ms);
        for (bound_ms, cumulative) in BUCKETS_MS.iter().zip(&mut self.cumulative) {
            if value_ms <= *bound_ms {
                *cumulative += 1;
            }
        }
    }
}

impl Series {
    pub(super) fn value(&self, name: &str) -> u64 {
        match self.lock().get(name) {
            Some(Metric::Counter(value) | Metric::Gauge(value)) => *value,
            Some(Metric::Histogram(histogram)) => histogram.count,
            None => 0,
        }
    }

    pub(super) fn render(&self) -> String {
        let mut series: Vec<(String, Metric)> = self
            .lock()
            .iter()
            .map(|(name, metric)| (metric_name(name), metric.clone()))
            .collect();
        series.sort_by(|a, b| a.0.cmp(&b.0));
        let mut output = String::new();
        for (name, metric) in &series {
            write_metric(&mut output, name, metric);
        }
        output
    }

    fn record(&self, name: &str, sample: &Sample) {
        let mut series = self.lock();
        // `entry` would allocate the name on every call.
        match series.get_mut(name) {
            Some(metric) => metric.record(sample),
            None => {
                series.insert(name.to_owned(), Metric::first(sample));
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<String, Metric>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Metric {
    fn first(sample: &Sample) -> Self {
        let mut metric = match sample {
            Sample::Count(_) => Self::Counter(0),
            Sample::Gauge(_) => Self::Gauge(0),
            Sample::Time(_) => Self::Histogram(Histogram::default()),
        };
        metric.record(sample);
        metric
    }

    /// Records a sample. A sample of a different kind than the metric is dropped.
    fn record(&mut self, sample: &Sample) {
        match (self, sample) {
            (Self::Counter(value), Sample::Count(n)) => *value = value.saturating_add(*n),
            (Self::Gauge(value), Sample::Gauge(now)) => *value = *now,
            (Self::Histogram(histogram), Sample::Time(value_ms)) => histogram.record(*value_ms),
            _ => {}
        }
    }
}

enum Sample {
    Count(u64),
    Gauge(u64),
    Time(u64),
}

/// Parses `name:value|kind`, the format written by `cadence`.
fn parse_sample(line: &str) -> Option<(&str, Sample)> {
    let (name, rest) = line.rsplit_once(':')?;
    let (value, kind) = rest.split_once('|')?;
    let value: u64 = value.parse().ok()?;
    let sample = match kind {
        "c" => Sample::Count(value),
        "g" => Sample::Gauge(value),
        "ms" => Sample::Time(value),
        _ => return None,
    };
    Some((name, sample))
}

fn metric_name(name: &str) -> String {
    let safe: String = name
        .chars()
        .map(|c| if c.is_ascii_alphanumeric() { c } else { '_' })
        .collect();
    format!("fescue_{safe}")
}

fn write_metric(output: &mut String, name: &str, metric: &Metric) {
    let _ = match metric {
        Metric::Counter(value) => writeln!(output, "# TYPE {name} counter\n{name} {value}"),
        Metric::Gauge(value) => writeln!(output, "# TYPE {name} gauge\n{name} {value}"),
        Metric::Histogram(histogram) => write_histogram(output, name, histogram),
    };
}

fn write_histogram(output: &mut String, name: &str, histogram: &Histogram) -> std::fmt::Result {
    let Histogram {
        count,
        sum_ms,
        cumulative,
    } = histogram;
    writeln!(output, "# TYPE {name}_ms histogram")?;
    for (bound_ms, cumulative) in BUCKETS_MS.iter().zip(cumulative) {
        writeln!(output, "{name}_ms_bucket{{le=\"{bound_ms}\"}} {cumulative}")?;
    }
    writeln!(output, "{name}_ms_bucket{{le=\"+Inf\"}} {count}")?;
    writeln!(output, "{name}_ms_sum {sum_ms}")?;
    writeln!(output, "{name}_ms_count {count}")
}

/// Records each sample emitted by `cadence`.
#[derive(Debug)]
pub(super) struct SeriesSink {
    series: Series,
}

impl SeriesSink {
    pub(super) fn new(series: Series) -> Self {
        Self { series }
    }
}

impl MetricSink for SeriesSink {
    fn emit(&self, line: &str) -> io::Result<usize> {
        if let Some((name, sample)) = parse_sample(line) {
            self.series.record(name, &sample);
        }
        Ok(line.len())
    }
}
