//! Demand of an availability zone for one service.

use indexmap::IndexMap;

use super::report::{DemandReport, TENTHS_PER_UNIT};

/// Demand at one priority.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct PriorityDemand {
    /// Streams that callers sent, including those that were not served.
    pub(crate) streams_per_s: f64,
    pub(crate) prompt_tokens_per_s: f64,
    /// Streams that ended unserved.
    pub(crate) unserved_per_s: f64,
    /// Rejections by engines that lacked capacity.
    pub(crate) rejected_per_s: f64,
}

/// Demand of a zone for one service, over all its instances.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ZoneDemand {
    /// The same by priority, in ascending order.
    pub(crate) by_priority: IndexMap<u32, PriorityDemand>,
    /// Streams that callers sent, including those that were not served.
    pub(crate) streams_per_s: f64,
    pub(crate) prompt_tokens_per_s: f64,
    /// Streams that ended unserved. They are also part of `streams_per_s`.
    pub(crate) unserved_per_s: f64,
    /// Recent maximum of `streams_per_s`, decayed; never below `streams_per_s`.
    pub(crate) peak_streams_per_s: f64,
    /// Rejections by engines that lacked capacity.
    pub(crate) rejected_per_s: f64,
    /// Recent maximum of `rejected_per_s`, decayed; never below `rejected_per_s`.
    pub(crate) peak_rejected_per_s: f64,
    /// Age of the oldest report that is included, since its arrival.
    pub(crate) age_ms: u64,
    /// Number of instances whose reports are included, including those without streams.
    pub(crate) instances: u32,
}

impl ZoneDemand {
    /// Demand without a peak, from the sums for one service.
    pub(super) fn from_sums(sums: &[DemandReport], age_ms: u64, instances: u32) -> Self {
        let mut demand = Self {
            by_priority: IndexMap::new(),
            streams_per_s: 0.0,
            prompt_tokens_per_s: 0.0,
            unserved_per_s: 0.0,
            peak_streams_per_s: 0.0,
            rejected_per_s: 0.0,
            peak_rejected_per_s: 0.0,
            age_ms,
            instances,
        };
        for sum in sums {
            let part = PriorityDemand {
                streams_per_s: per_s(u64::from(sum.streams_per_s)),
                prompt_tokens_per_s: per_s(sum.prompt_tokens_per_s),
                unserved_per_s: per_s(u64::from(sum.unserved_per_s)),
                rejected_per_s: per_s(u64::from(sum.rejected_per_s)),
            };
            demand.streams_per_s += part.streams_per_s;
            demand.prompt_tokens_per_s += part.prompt_tokens_per_s;
            demand.unserved_per_s += part.unserved_per_s;
            demand.rejected_per_s += part.rejected_per_s;
            demand.by_priority.insert(sum.priority, part);
        }
        demand.peak_streams_per_s = demand.streams_per_s;
        demand.peak_rejected_per_s = demand.rejected_per_s;
        demand
    }
}

fn per_s(tenths: u64) -> f64 {
    tenths as f64 / TENTHS_PER_UNIT as f64
}
