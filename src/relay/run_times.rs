//! Stream durations as observed by this instance.

use indexmap::IndexMap;

use crate::ids::ServiceName;

/// Assumed duration of a stream before the first one has completed.
const INITIAL_ESTIMATE_MS: f64 = 3_000.0;
/// Weight of the newest stream in the running mean: the last twenty, which are a second or two of
/// an instance's streams, make up two thirds of it.
const NEWEST_WEIGHT: f64 = 0.05;

/// Running means of the durations of complete streams, by service.
#[derive(Clone, Debug, Default)]
pub struct RunTimes {
    means_ms: IndexMap<ServiceName, f64>,
}

impl RunTimes {
    /// Records the duration of a complete stream.
    pub fn record(&mut self, service: &ServiceName, took_ms: u64) {
        let newest_ms = took_ms as f64;
        let mean_ms = self.means_ms.entry(service.clone()).or_insert(newest_ms);
        *mean_ms += NEWEST_WEIGHT * (newest_ms - *mean_ms);
    }

    /// Mean duration of a stream of the service.
    pub fn mean_ms(&self, service: &ServiceName) -> u64 {
        let mean_ms = self.means_ms.get(service).copied();
        mean_ms.unwrap_or(INITIAL_ESTIMATE_MS) as u64
    }
}
