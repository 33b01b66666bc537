//! How long streams take, as this instance has seen it.

use indexmap::IndexMap;

use crate::ids::ServiceName;

/// Taken for a stream's time before the first one is whole.
const FIRST_GUESS_MS: f64 = 3_000.0;
/// Weight of the newest stream in the running mean: the last twenty make up two thirds of it, a
/// second or two of an instance's streams.
const NEWEST_WEIGHT: f64 = 0.05;

/// Running means of the times of whole streams, by service.
#[derive(Clone, Debug, Default)]
pub struct RunTimes {
    means_ms: IndexMap<ServiceName, f64>,
}

impl RunTimes {
    /// Takes the time of a stream that came whole.
    pub fn note(&mut self, service: &ServiceName, took_ms: u64) {
        let newest_ms = took_ms as f64;
        let mean_ms = self.means_ms.entry(service.clone()).or_insert(newest_ms);
        *mean_ms += NEWEST_WEIGHT * (newest_ms - *mean_ms);
    }

    /// The time that a usual stream of the service takes.
    pub fn mean_ms(&self, service: &ServiceName) -> u64 {
        let mean_ms = self.means_ms.get(service).copied();
        mean_ms.unwrap_or(FIRST_GUESS_MS) as u64
    }
}
