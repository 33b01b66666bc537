//! Where `cadence` delivers: a map of name to value in this process.

use std::fmt::Write;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cadence::MetricSink;
use indexmap::IndexMap;

/// Upper bounds of the buckets that times are counted in.
const BUCKETS_MS: [u64; 12] = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 5_000, 30_000];

/// Every series of the process.
#[derive(Clone, Debug, Default)]
pub(super) struct Series(Arc<Mutex<IndexMap<String, Metric>>>);

#[derive(Clone, Debug)]
enum Metric {
    Counter(u64),
    Gauge(u64),
    Time(Times),
}

#[derive(Clone, Debug, Default)]
struct Times {
    count: u64,
    sum_ms: u64,
    /// Times at most as long as the bound at the same place in [`BUCKETS_MS`].
    within: [u64; BUCKETS_MS.len()],
}

impl Times {
    fn record(&mut self, value_ms: u64) {
        self.count += 1;
        self.sum_ms = self.sum_ms.saturating_add(value_ms);
        for (bound_ms, within) in BUCKETS_MS.iter().zip(&mut self.within) {
            if value_ms <= *bound_ms {
                *within += 1;
            }
        }
    }
}

impl Series {
    pub(super) fn value(&self, name: &str) -> u64 {
        match self.lock().get(name) {
            Some(Metric::Counter(value) | Metric::Gauge(value)) => *value,
            Some(Metric::Time(times)) => times.count,
            None => 0,
        }
    }

    pub(super) fn page(&self) -> String {
        let mut series: Vec<(String, Metric)> = self
            .lock()
            .iter()
            .map(|(name, metric)| (page_name(name), metric.clone()))
            .collect();
        series.sort_by(|a, b| a.0.cmp(&b.0));
        let mut page = String::new();
        for (name, metric) in &series {
            write_metric(&mut page, name, metric);
        }
        page
    }

    fn record(&self, name: &str, sample: &Sample) {
        let mut series = self.lock();
        // Two steps, so that a known name is not copied.
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
            Sample::Time(_) => Self::Time(Times::default()),
        };
        metric.record(sample);
        metric
    }

    /// Records a sample; one of another kind than the series is dropped.
    fn record(&mut self, sample: &Sample) {
        match (self, sample) {
            (Self::Counter(value), Sample::Count(n)) => *value = value.saturating_add(*n),
            (Self::Gauge(value), Sample::Gauge(now)) => *value = *now,
            (Self::Time(times), Sample::Time(value_ms)) => times.record(*value_ms),
            _ => {}
        }
    }
}

enum Sample {
    Count(u64),
    Gauge(u64),
    Time(u64),
}

/// Reads `name:value|kind`, the form in which `cadence` writes.
fn read_sample(line: &str) -> Option<(&str, Sample)> {
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

fn page_name(name: &str) -> String {
    let safe: String = name
        .chars()
        .map(|c| if c.is_ascii_alphanumeric() { c } else { '_' })
        .collect();
    format!("fescue_{safe}")
}

fn write_metric(page: &mut String, name: &str, metric: &Metric) {
    let _ = match metric {
        Metric::Counter(value) => writeln!(page, "# TYPE {name} counter\n{name} {value}"),
        Metric::Gauge(value) => writeln!(page, "# TYPE {name} gauge\n{name} {value}"),
        Metric::Time(times) => write_times(page, name, times),
    };
}

fn write_times(page: &mut String, name: &str, times: &Times) -> std::fmt::Result {
    let Times {
        count,
        sum_ms,
        within,
    } = times;
    writeln!(page, "# TYPE {name}_ms histogram")?;
    for (bound_ms, within) in BUCKETS_MS.iter().zip(within) {
        writeln!(page, "{name}_ms_bucket{{le=\"{bound_ms}\"}} {within}")?;
    }
    writeln!(page, "{name}_ms_bucket{{le=\"+Inf\"}} {count}")?;
    writeln!(page, "{name}_ms_sum {sum_ms}")?;
    writeln!(page, "{name}_ms_count {count}")
}

/// Hands each sample to the map.
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
        if let Some((name, sample)) = read_sample(line) {
            self.series.record(name, &sample);
        }
        Ok(line.len())
    }
}
