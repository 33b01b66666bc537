use indexmap::IndexMap;

use super::{DemandReport, ZoneDemand, parse_gauges, render_gauges};
use crate::ids::{ServiceName, ZoneName};

fn demand() -> ZoneDemand {
    let reports = [(0, 35), (2, 1_200)].map(|(priority, streams_per_s)| DemandReport {
        service: ServiceName::from("draft"),
        priority,
        streams_per_s,
        prompt_tokens_per_s: 4_000,
        unserved_per_s: 5,
        rejected_per_s: 7,
    });
    ZoneDemand::from_sums(&reports, 240, 24)
}

/// Guards against names with special characters that break the page or are read back differently.
#[test]
fn gauges_are_read_back_as_they_were_written() {
    let service = ServiceName::from("dr\"af\\t,{x}=\"1\"\n");
    let zone = ZoneName::from("zone-a}");
    let zones = IndexMap::from([(zone.clone(), demand())]);
    let page = render_gauges(&IndexMap::from([(service.clone(), zones)]));
    let gauges = parse_gauges(&page);
    assert_eq!(gauges.len(), 12);
    assert!(
        gauges
            .iter()
            .all(|it| it.service == service && it.zone == zone)
    );
    let streams = gauges.iter().filter(|it| it.name == "streams_per_s");
    let streams: Vec<_> = streams.map(|it| (it.priority, it.value)).collect();
    assert_eq!(streams, [(Some(0), 3.5), (Some(2), 120.0)]);
    let rejected = gauges
        .iter()
        .filter(|it| it.name.ends_with("rejected_per_s"));
    let rejected: Vec<_> = rejected.map(|it| (it.priority, it.value)).collect();
    assert_eq!(rejected, [(None, 1.4), (Some(0), 0.7), (Some(2), 0.7)]);
}

#[test]
fn other_metrics_are_skipped() {
    let page = "# TYPE fescue_relay_open_requests gauge\nfescue_relay_open_requests 3\n";
    assert_eq!(parse_gauges(page), []);
}

#[test]
fn the_lines_of_a_metric_are_together_under_one_type() {
    let zones = ["lac", "marsa"].map(|zone| (ZoneName::from(zone), demand()));
    let services = ["draft", "look"].map(ServiceName::from);
    let demands = services.map(|service| (service, IndexMap::from(zones.clone())));
    let page = render_gauges(&IndexMap::from(demands));
    let types: Vec<&str> = page.lines().filter(|it| it.starts_with('#')).collect();
    assert_eq!(types.len(), 8, "{page}");
}
