//! Counters, gauges and times of one process, kept through `cadence`.

use std::fmt;
use std::sync::Arc;

use cadence::{Counted, CountedExt, Gauged, StatsdClient, Timed};

use super::sink::{Series, SeriesSink};
use crate::invariant;

/// A handle on the process's counters; cheap to clone.
#[derive(Clone)]
pub struct Counters {
    client: Arc<StatsdClient>,
    series: Series,
}

impl Counters {
    /// Starts with nothing counted.
    pub fn new() -> Self {
        let series = Series::default();
        let sink = SeriesSink::new(series.clone());
        Self {
            client: Arc::new(StatsdClient::from_sink("", sink)),
            series,
        }
    }

    /// Counts one event. Names are words joined by dots, such as `entry.requests.refused`.
    pub fn count(&self, name: &str) {
        let _ = self.client.incr(name);
    }

    /// Counts `n` events.
    pub fn add(&self, name: &str, n: u64) {
        let _ = Counted::<u64>::count(&*self.client, name, n);
    }

    /// Sets the present value of something that rises and falls.
    pub fn gauge(&self, name: &str, value: u64) {
        let _ = Gauged::<u64>::gauge(&*self.client, name, value);
    }

    /// Records how long something took.
    pub fn time_ms(&self, name: &str, value_ms: u64) {
        let _ = Timed::<u64>::time(&*self.client, name, value_ms);
    }

    /// The present value of a counter or gauge, or how many times were recorded; 0 if unknown.
    pub fn value(&self, name: &str) -> u64 {
        self.series.value(name)
    }

    /// Every counter, gauge, time and violated invariant, in the text form that scrapers read.
    pub fn render_prometheus(&self) -> String {
        let mut page = self.series.page();
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
