//! Reports of demand, as they are sent in heartbeats.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::ids::ServiceName;

/// Units of a report's rates in one per second.
pub(super) const TENTHS_PER_UNIT: u64 = 10;

/// Demand for one service at one priority. Rates are in tenths, which makes sums exact.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct DemandReport {
    pub(crate) service: ServiceName,
    pub(crate) priority: u32,
    /// Tenths of streams per second that callers sent, including those that were not served.
    pub(crate) streams_per_s: u32,
    /// Tenths of prompt tokens per second.
    pub(crate) prompt_tokens_per_s: u64,
    /// Tenths of streams per second that ended unserved. They are counted at their end, so that this may
    /// briefly exceed `streams_per_s`.
    pub(crate) unserved_per_s: u32,
    /// Tenths of rejections per second by engines that lacked capacity. A stream may be rejected several times.
    pub(crate) rejected_per_s: u32,
}

impl DemandReport {
    pub(super) fn is_zero(&self) -> bool {
        self.streams_per_s == 0
            && self.prompt_tokens_per_s == 0
            && self.unserved_per_s == 0
            && self.rejected_per_s == 0
    }
}

/// Total demand of an availability zone, as one of its instances reports it to other zones.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ZoneSum {
    /// Number of instances whose reports are included.
    pub(crate) instances: u32,
    pub(crate) reports: Vec<DemandReport>,
}

/// Adds up reports by service and priority, in the order of service and priority.
pub(super) fn sum_reports<'a, I>(reports: I) -> Vec<DemandReport>
where
    I: IntoIterator<Item = &'a DemandReport>,
{
    let mut sums: IndexMap<(&ServiceName, u32), DemandReport> = IndexMap::new();
    for report in reports {
        let sum = sums
            .entry((&report.service, report.priority))
            .or_insert_with(|| DemandReport {
                service: report.service.clone(),
                priority: report.priority,
                streams_per_s: 0,
                prompt_tokens_per_s: 0,
                unserved_per_s: 0,
                rejected_per_s: 0,
            });
        sum.streams_per_s = sum.streams_per_s.saturating_add(report.streams_per_s);
        sum.prompt_tokens_per_s = sum
            .prompt_tokens_per_s
            .saturating_add(report.prompt_tokens_per_s);
        sum.unserved_per_s = sum.unserved_per_s.saturating_add(report.unserved_per_s);
        sum.rejected_per_s = sum.rejected_per_s.saturating_add(report.rejected_per_s);
    }
    sums.sort_unstable_keys();
    sums.into_values().filter(|sum| !sum.is_zero()).collect()
}
