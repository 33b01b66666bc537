//! Demand by availability zone, from the reports of instances.

use indexmap::{IndexMap, IndexSet};

use super::peak::Peak;
use super::report::{DemandReport, ZoneSum, sum_reports};
use super::zone_demand::ZoneDemand;
use crate::ids::{Incarnation, InstanceId, ServiceName, ZoneName};

/// Who sent a report, and how long it counts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReportSource<'a> {
    pub(crate) zone: &'a ZoneName,
    pub(crate) instance: &'a InstanceId,
    pub(crate) incarnation: Incarnation,
    /// Time of sending, on the sender's clock.
    pub(crate) sent_ms: u64,
    /// How long after its arrival the report counts unless a newer one arrives.
    pub(crate) ttl_ms: u64,
}

/// The newest report of an instance.
#[derive(Clone, Debug)]
struct KnownReport {
    zone: ZoneName,
    incarnation: Incarnation,
    sent_ms: u64,
    arrived_ms: u64,
    ttl_ms: u64,
    /// Number of instances that it covers.
    instances: u32,
    reports: Vec<DemandReport>,
}

impl KnownReport {
    fn is_live(&self, now_ms: u64) -> bool {
        now_ms < self.arrived_ms + self.ttl_ms
    }
}

/// Demand of all zones. Instances of the own zone report their own demand; of other zones, only the sums are
/// known.
#[derive(Debug, Default)]
pub(crate) struct DemandBook {
    /// At most one report for each instance, whichever its zone and incarnation.
    by_instance: IndexMap<InstanceId, KnownReport>,
    /// Sums of whole zones by the instance that reports them.
    by_reporter: IndexMap<InstanceId, KnownReport>,
    /// Recent maxima; only of services for which demand was known.
    peaks: IndexMap<(ZoneName, ServiceName), Peaks>,
}

/// Recent maxima of a zone's demand for a service.
#[derive(Clone, Copy, Debug)]
struct Peaks {
    streams: Peak,
    rejected: Peak,
}

impl Peaks {
    fn new(demand: &ZoneDemand, load_ms: u64, now_ms: u64) -> Self {
        Self {
            streams: Peak::new(demand.streams_per_s, load_ms, now_ms),
            rejected: Peak::new(demand.rejected_per_s, load_ms, now_ms),
        }
    }

    fn observe(&mut self, demand: &ZoneDemand, load_ms: u64, now_ms: u64) {
        self.streams.observe(demand.streams_per_s, load_ms, now_ms);
        self.rejected
            .observe(demand.rejected_per_s, load_ms, now_ms);
    }

    fn have_decayed(&self, now_ms: u64) -> bool {
        self.streams.has_decayed(now_ms)
    }
}

/// The reports that make up a zone's demand.
struct ZoneReports<'a> {
    reports: Vec<&'a DemandReport>,
    instances: u32,
    age_ms: u64,
}

impl DemandBook {
    /// Replaces the report of an instance. An empty one means that it has no streams.
    pub(crate) fn apply(
        &mut self,
        source: &ReportSource<'_>,
        reports: &[DemandReport],
        now_ms: u64,
    ) {
        replace(&mut self.by_instance, source, reports, 1, now_ms);
    }

    /// Replaces the report of an instance about its whole zone.
    pub(crate) fn apply_zone_sum(&mut self, source: &ReportSource<'_>, sum: &ZoneSum, now_ms: u64) {
        let (reports, instances) = (&sum.reports, sum.instances);
        replace(&mut self.by_reporter, source, reports, instances, now_ms);
    }

    /// Updates the peaks of a service, which decay within `load_ms`, and forgets reports that have aged out.
    pub(crate) fn observe(&mut self, service: &ServiceName, load_ms: u64, now_ms: u64) {
        self.by_instance.retain(|_, it| it.is_live(now_ms));
        self.by_reporter.retain(|_, it| it.is_live(now_ms));
        for zone in self.zones() {
            let Some(demand) = self.current_demand(service, &zone, now_ms) else {
                continue;
            };
            // Without streams, a peak only decays: demand is unknown again after that.
            if demand.by_priority.is_empty() {
                continue;
            }
            let peaks = self.peaks.entry((zone, service.clone()));
            let peaks = peaks.or_insert_with(|| Peaks::new(&demand, load_ms, now_ms));
            peaks.observe(&demand, load_ms, now_ms);
        }
        self.peaks
            .retain(|(_, of), peaks| of != service || !peaks.have_decayed(now_ms));
    }

    /// Demand of a zone for a service. `None` if no report from the zone counts, or if no stream was seen for
    /// as long as peaks are remembered: then demand is unknown.
    pub(crate) fn zone_demand(
        &self,
        service: &ServiceName,
        zone: &ZoneName,
        now_ms: u64,
    ) -> Option<ZoneDemand> {
        let mut demand = self.current_demand(service, zone, now_ms)?;
        let peaks = self.peaks.get(&(zone.clone(), service.clone()));
        let peaks = peaks.filter(|it| !it.have_decayed(now_ms));
        if demand.by_priority.is_empty() && peaks.is_none() {
            return None;
        }
        if let Some(Peaks { streams, rejected }) = peaks {
            demand.peak_streams_per_s = streams.value_per_s(demand.streams_per_s, now_ms);
            demand.peak_rejected_per_s = rejected.value_per_s(demand.rejected_per_s, now_ms);
        }
        Some(demand)
    }

    /// The sum to report to other zones.
    pub(crate) fn zone_sum(&self, zone: &ZoneName, now_ms: u64) -> Option<ZoneSum> {
        let known = self.instance_reports(zone, now_ms)?;
        Some(ZoneSum {
            instances: known.instances,
            reports: sum_reports(known.reports),
        })
    }

    /// Zones from which reports are known.
    pub(crate) fn zones(&self) -> IndexSet<ZoneName> {
        let known = self.by_instance.values().chain(self.by_reporter.values());
        let mut zones: IndexSet<ZoneName> = known.map(|it| it.zone.clone()).collect();
        zones.sort_unstable();
        zones
    }

    /// Demand of a zone without its peak. Has no priorities if the zone has no streams for the service.
    fn current_demand(
        &self,
        service: &ServiceName,
        zone: &ZoneName,
        now_ms: u64,
    ) -> Option<ZoneDemand> {
        let known = self.instance_reports(zone, now_ms);
        let known = known.or_else(|| self.best_zone_sum(zone, now_ms))?;
        let reports = known.reports.into_iter();
        let sums = sum_reports(reports.filter(|it| it.service == *service));
        Some(ZoneDemand::from_sums(&sums, known.age_ms, known.instances))
    }

    fn instance_reports(&self, zone: &ZoneName, now_ms: u64) -> Option<ZoneReports<'_>> {
        let known = self.by_instance.values();
        let live = known.filter(|it| it.zone == *zone && it.is_live(now_ms));
        let mut sum = ZoneReports {
            reports: Vec::new(),
            instances: 0,
            age_ms: 0,
        };
        for known in live {
            sum.reports.extend(&known.reports);
            sum.instances += known.instances;
            sum.age_ms = sum.age_ms.max(now_ms.saturating_sub(known.arrived_ms));
        }
        (sum.instances > 0).then_some(sum)
    }

    /// The sum over the most instances, and among equals the newest. The name of the reporter decides among
    /// those that arrived at the same time, so that the result does not depend on their order.
    fn best_zone_sum(&self, zone: &ZoneName, now_ms: u64) -> Option<ZoneReports<'_>> {
        let known = self.by_reporter.iter();
        let live = known.filter(|(_, it)| it.zone == *zone && it.is_live(now_ms));
        let (_, best) = live.max_by_key(|(name, it)| (it.instances, it.arrived_ms, *name))?;
        Some(ZoneReports {
            reports: best.reports.iter().collect(),
            instances: best.instances,
            age_ms: now_ms.saturating_sub(best.arrived_ms),
        })
    }
}

/// Replaces the report of an instance, unless the known one was sent later by the same process.
fn replace(
    known: &mut IndexMap<InstanceId, KnownReport>,
    source: &ReportSource<'_>,
    reports: &[DemandReport],
    instances: u32,
    now_ms: u64,
) {
    let before = known.get(source.instance);
    let is_outdated = before
        .is_some_and(|it| it.incarnation == source.incarnation && it.sent_ms > source.sent_ms);
    if is_outdated {
        return;
    }
    let report = KnownReport {
        zone: source.zone.clone(),
        incarnation: source.incarnation,
        sent_ms: source.sent_ms,
        arrived_ms: now_ms,
        ttl_ms: source.ttl_ms,
        instances,
        reports: reports.to_vec(),
    };
    known.insert(source.instance.clone(), report);
}
