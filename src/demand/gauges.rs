//! Gauges of demand in the Prometheus text format.

use std::fmt::Write;

use indexmap::IndexMap;

use super::zone_demand::ZoneDemand;
use crate::ids::{ServiceName, ZoneName};

pub(super) const NAME_PREFIX: &str = "fescue_relay_demand_";

/// One gauge of demand.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct DemandGauge {
    /// Name without the prefix that all gauges of demand have, such as `streams_per_s`.
    pub(crate) name: String,
    pub(crate) service: ServiceName,
    pub(crate) zone: ZoneName,
    /// Missing in gauges that cover all priorities.
    pub(crate) priority: Option<u32>,
    pub(crate) value: f64,
}

/// Renders the demand of zones for services.
pub(crate) fn render_gauges(
    demands: &IndexMap<ServiceName, IndexMap<ZoneName, ZoneDemand>>,
) -> String {
    let mut gauges: Vec<DemandGauge> = Vec::new();
    for (service, zones) in demands {
        for (zone, demand) in zones {
            gauges.extend(gauges_of(service, zone, demand));
        }
    }
    // All lines of one metric must be together; the sort is stable.
    gauges.sort_by(|a, b| a.name.cmp(&b.name));
    let mut page = String::new();
    let mut previous: Option<&str> = None;
    for gauge in &gauges {
        if previous != Some(&gauge.name) {
            let _ = writeln!(page, "# TYPE {NAME_PREFIX}{} gauge", gauge.name);
            previous = Some(&gauge.name);
        }
        write_gauge(&mut page, gauge);
    }
    page
}

fn gauges_of(service: &ServiceName, zone: &ZoneName, demand: &ZoneDemand) -> Vec<DemandGauge> {
    let gauge = |name: &str, priority: Option<u32>, value: f64| DemandGauge {
        name: name.to_owned(),
        service: service.clone(),
        zone: zone.clone(),
        priority,
        value,
    };
    let mut gauges = vec![
        gauge("age_ms", None, demand.age_ms as f64),
        gauge("instances", None, f64::from(demand.instances)),
        gauge("peak_streams_per_s", None, demand.peak_streams_per_s),
        gauge("peak_rejected_per_s", None, demand.peak_rejected_per_s),
    ];
    for (priority, part) in &demand.by_priority {
        let priority = Some(*priority);
        gauges.extend([
            gauge("streams_per_s", priority, part.streams_per_s),
            gauge("prompt_tokens_per_s", priority, part.prompt_tokens_per_s),
            gauge("unserved_per_s", priority, part.unserved_per_s),
            gauge("rejected_per_s", priority, part.rejected_per_s),
        ]);
    }
    gauges
}

fn write_gauge(page: &mut String, gauge: &DemandGauge) {
    let service = escape(gauge.service.as_str());
    let zone = escape(gauge.zone.as_str());
    let _ = write!(
        page,
        "{NAME_PREFIX}{}{{service=\"{service}\",zone=\"{zone}\"",
        gauge.name
    );
    if let Some(priority) = gauge.priority {
        let _ = write!(page, ",priority=\"{priority}\"");
    }
    let _ = writeln!(page, "}} {}", gauge.value);
}

/// Escapes the value of a label as the text format requires.
fn escape(value: &str) -> String {
    value
        .replace('\\', "\\\\")
        .replace('"', "\\\"")
        .replace('\n', "\\n")
}
