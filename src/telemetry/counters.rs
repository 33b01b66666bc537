//! Counters, gauges and timings of one process, recorded through `cadence`.

use std::fmt;
use std::sync::Arc;

use cadence::{Counted, CountedExt, Gauged, StatsdClient, Timed};

use super::sink::{Series, SeriesSink};
use crate::invariant;

/// A handle to the metrics of the process; cheap to clone.
#[derive(Clone)]
pub struct Counters {
    client: Arc<StatsdClient>,
    series: Series,
}

impl Counters {
    /// Creates an empty set of metrics.
    pub fn new() -> Self {
        let series = Series::default();
        let sink = SeriesSink::new(series.clone());
        Self {
            client: Arc::new(StatsdClient::from_sink("", sink)),
            series,
        }
    }

    /// Increments a counter. Names are words separated by dots, such as `entry.requests.refused`.
    pub fn count(&self, name: &str) {
        let _ = self.client.incr(name);
    }

    /// Adds `n` to a counter.
    pub fn add(&self, name: &str, n: u64) {
        let _ = Counted::<u64>::count(&*self.client, name, n);
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &str, value: u64) {
        let _ = Gauged::<u64>::gauge(&*self.client, name, value);
    }

    /// Records a duration in a histogram.
    pub fn time_ms(&self, name: &str, value_ms: u64) {
        let _ = Timed::<u64>::time(&*self.client, name, value_ms);
    }

    /// The value of a counter or gauge, or the number of recorded durations; 0 if the name is unknown.
    pub fn value(&self, name: &str) -> u64 {
        self.series.value(name)
    }

    /// All metrics and invariant violations in the Prometheus text format.
    pub fn render_prometheus(&self) -> String {
        let mut page = self.series.render();
        for (name, times) in invariant::violations() {
            page.push_str(&format!(
                "fescue_invariant_violations{{invariant=\"{name}\"}} {times}\n"
            ));
        }
        page
    }
}

impl Default for Counters {
    fn default() -> Self {
        Self::new()
    }
}

impl fmt::Debug for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Counters").finish_non_exhaustive()
    }
}
