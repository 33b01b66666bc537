//! Rows of `fescuectl demand` from the gauges of an instance.

use indexmap::IndexMap;
use serde::Serialize;

use crate::demand::DemandGauge;
use crate::ids::{ServiceName, ZoneName};

/// Demand of a zone for a service, at one priority or over all priorities.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(super) struct DemandRow {
    pub(super) service: ServiceName,
    pub(super) zone: ZoneName,
    /// `None` in the row that sums up all priorities.
    pub(super) priority: Option<u32>,
    /// Including those that were not served.
    pub(super) streams_per_s: f64,
    pub(super) unserved_per_s: f64,
    pub(super) prompt_tokens_per_s: f64,
    /// Only in the row that sums up all priorities, like the two fields below.
    pub(super) peak_streams_per_s: Option<f64>,
    pub(super) age_ms: Option<u64>,
    pub(super) instances: Option<u32>,
}

impl DemandRow {
    fn new(service: &ServiceName, zone: &ZoneName, priority: Option<u32>) -> Self {
        Self {
            service: service.clone(),
            zone: zone.clone(),
            priority,
            streams_per_s: 0.0,
            unserved_per_s: 0.0,
            prompt_tokens_per_s: 0.0,
            peak_streams_per_s: None,
            age_ms: None,
            instances: None,
        }
    }

    /// Adds a gauge. Unknown ones, which a later release may have, are ignored.
    fn add(&mut self, gauge: &DemandGauge) {
        let value = gauge.value;
        match gauge.name.as_str() {
            "streams_per_s" => self.streams_per_s += value,
            "unserved_per_s" => self.unserved_per_s += value,
            "prompt_tokens_per_s" => self.prompt_tokens_per_s += value,
            "peak_streams_per_s" => self.peak_streams_per_s = Some(value),
            "age_ms" => self.age_ms = Some(value as u64),
            "instances" => self.instances = Some(value as u32),
            _ => {}
        }
    }
}

/// Rows in the order of service, zone and priority; the sum of a zone comes first.
pub(super) fn demand_rows(gauges: &[DemandGauge]) -> Vec<DemandRow> {
    let mut rows: IndexMap<(&ServiceName, &ZoneName, Option<u32>), DemandRow> = IndexMap::new();
    for gauge in gauges {
        let (service, zone) = (&gauge.service, &gauge.zone);
        let mut add = |priority: Option<u32>| {
            rows.entry((service, zone, priority))
                .or_insert_with(|| DemandRow::new(service, zone, priority))
                .add(gauge);
        };
        add(None);
        if gauge.priority.is_some() {
            add(gauge.priority);
        }
    }
    rows.sort_unstable_keys();
    rows.into_values().collect()
}
