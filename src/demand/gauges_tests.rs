use indexmap::IndexMap;

use super::{DemandReport, ZoneDemand, render_gauges};
use crate::ids::{ServiceName, ZoneName};

fn demand() -> ZoneDemand {
    let reports = [(0, 35), (2, 1_200)].map(|(priority, streams_per_s)| DemandReport {
        service: ServiceName::from("draft"),
        priority,
        streams_per_s,
        prompt_tokens_per_s: 4_000,
        unserved_per_s: 5,
    });
    ZoneDemand::from_sums(&reports, 240, 24)
}

#[test]
fn the_lines_of_a_metric_are_together_under_one_type() {
    let zones = ["lac", "marsa"].map(|zone| (ZoneName::from(zone), demand()));
    let services = ["draft", "look"].map(ServiceName::from);
    let demands = services.map(|service| (service, IndexMap::from(zones.clone())));
    let page = render_gauges(&IndexMap::from(demands));
    let types: Vec<&str> = page.lines().filter(|it| it.starts_with('#')).collect();
    assert_eq!(types.len(), 6, "{page}");
}
