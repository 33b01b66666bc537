//! Measuring, exchanging and adding up demand.

use proptest::prelude::*;
use uuid::Uuid;

use super::{DemandBook, DemandMeter, DemandReport, ReportSource, ZoneDemand, ZoneSum};
use crate::ids::{Incarnation, InstanceId, ServiceName, ZoneName};

/// Load time of the model in tests.
const LOAD_MS: u64 = 8_000;
const TTL_MS: u64 = 3_000;

fn service() -> ServiceName {
    ServiceName::from("i-7f3a91c2")
}

fn zone(name: &str) -> ZoneName {
    ZoneName::from(name)
}

fn report(priority: u32, streams_per_s: u32) -> DemandReport {
    DemandReport {
        service: service(),
        priority,
        streams_per_s,
        prompt_tokens_per_s: u64::from(streams_per_s) * 700,
        unserved_per_s: streams_per_s / 5,
        rejected_per_s: 0,
    }
}

fn incarnation(number: u128) -> Incarnation {
    serde_json::from_value(serde_json::json!(Uuid::from_u128(number))).expect("it is one")
}

/// A heartbeat's demand part, as it arrives.
#[derive(Clone, Debug)]
struct Arrival {
    zone: &'static str,
    instance: String,
    incarnation: u128,
    sent_ms: u64,
    reports: Vec<DemandReport>,
}

impl Arrival {
    fn of(instance: &str, sent_ms: u64, reports: &[DemandReport]) -> Self {
        Self {
            zone: "lac",
            instance: instance.to_owned(),
            incarnation: 1,
            sent_ms,
            reports: reports.to_vec(),
        }
    }

    fn with_source<F>(&self, apply: F)
    where
        F: FnOnce(&ReportSource<'_>),
    {
        apply(&ReportSource {
            zone: &zone(self.zone),
            instance: &InstanceId::from(self.instance.as_str()),
            incarnation: incarnation(self.incarnation),
            sent_ms: self.sent_ms,
            ttl_ms: TTL_MS,
        });
    }

    fn apply(&self, book: &mut DemandBook, now_ms: u64) {
        self.with_source(|source| book.apply(source, &self.reports, now_ms));
    }

    fn apply_sum(&self, book: &mut DemandBook, instances: u32, now_ms: u64) {
        let reports = self.reports.clone();
        let sum = ZoneSum { instances, reports };
        self.with_source(|source| book.apply_zone_sum(source, &sum, now_ms));
    }
}

fn demand_of(book: &DemandBook, of: &str, now_ms: u64) -> Option<ZoneDemand> {
    book.zone_demand(&service(), &zone(of), now_ms)
}

fn streams_per_s(book: &DemandBook, of: &str, now_ms: u64) -> Option<f64> {
    demand_of(book, of, now_ms).map(|demand| demand.streams_per_s)
}

/// Guards against rates that depend on the time within a slot, and against arrivals that are lost or counted
/// longer than the window.
#[test]
fn a_steady_rate_is_measured_exactly_and_ends_with_the_window() {
    let mut meter = DemandMeter::default();
    for at_ms in (0..10_000).step_by(125) {
        meter.record_arrival(&service(), 1, 700, at_ms);
        if at_ms >= 2_250 {
            let reports = meter.reports(at_ms);
            assert_eq!(reports.len(), 1);
            assert_eq!(reports[0].streams_per_s, 80, "at {at_ms} ms");
            assert_eq!(reports[0].prompt_tokens_per_s, 56_000);
        }
    }
    assert_eq!(meter.reports(11_000)[0].streams_per_s, 40);
    assert_eq!(meter.reports(12_000), []);
    // A record counts once its slot is complete.
    meter.record_arrival(&service(), 1, 700, 20_000);
    assert_eq!(meter.reports(20_100), []);
    assert_eq!(meter.reports(20_300)[0].streams_per_s, 5);
}

/// Guards against a layout that looks sufficient because refused streams are missing from demand, and against
/// counting them both as arrivals and beside them.
#[test]
fn unserved_streams_are_reported_and_part_of_the_arrivals() {
    let mut meter = DemandMeter::default();
    for index in 0..20 {
        meter.record_arrival(&service(), 0, 100, index * 100);
        meter.record_unserved(&service(), 0, index * 100 + 5);
    }
    let reports = meter.reports(2_000);
    assert_eq!(reports[0].streams_per_s, 100);
    assert_eq!(reports[0].unserved_per_s, 100);
    let mut book = DemandBook::default();
    Arrival::of("a", 1, &reports).apply(&mut book, 2_000);
    book.observe(&service(), LOAD_MS, 2_000);
    let demand = demand_of(&book, "lac", 2_000).expect("it is known");
    assert_eq!(demand.streams_per_s, 10.0);
    assert_eq!(demand.unserved_per_s, 10.0);
    assert_eq!(demand.peak_streams_per_s, 10.0);
}

#[test]
fn priorities_and_services_are_kept_apart() {
    let mut meter = DemandMeter::default();
    meter.record_arrival(&service(), 2, 10, 0);
    meter.record_arrival(&service(), 0, 10, 0);
    meter.record_arrival(&ServiceName::from("other"), 0, 10, 0);
    let mut book = DemandBook::default();
    Arrival::of("a", 1, &meter.reports(500)).apply(&mut book, 500);
    let demand = demand_of(&book, "lac", 500).expect("it is known");
    let priorities: Vec<u32> = demand.by_priority.keys().copied().collect();
    assert_eq!(priorities, [0, 2]);
    assert_eq!(demand.streams_per_s, 1.0);
}

/// Guards against adding the report of a restarted process to that of its predecessor.
#[test]
fn a_restarted_peer_counts_once() {
    let mut book = DemandBook::default();
    Arrival::of("a", 9_000, &[report(1, 80)]).apply(&mut book, 0);
    let restarted = Arrival {
        incarnation: 2,
        ..Arrival::of("a", 10, &[report(1, 30)])
    };
    restarted.apply(&mut book, 100);
    let demand = demand_of(&book, "lac", 100).expect("it is known");
    assert_eq!((demand.streams_per_s, demand.instances), (3.0, 1));
}

/// Guards against a zone's demand that drops as soon as one heartbeat is lost, and against one that never drops.
#[test]
fn a_silent_peer_counts_until_its_report_ages_out() {
    let mut book = DemandBook::default();
    Arrival::of("a", 0, &[report(1, 50)]).apply(&mut book, 0);
    for now_ms in (0..4_000).step_by(250) {
        Arrival::of("b", now_ms, &[report(1, 20)]).apply(&mut book, now_ms);
        book.observe(&service(), 0, now_ms);
        let expected = if now_ms < TTL_MS { 7.0 } else { 2.0 };
        assert_eq!(streams_per_s(&book, "lac", now_ms), Some(expected));
    }
}

/// Guards against a report that arrives late and undoes a newer one.
#[test]
fn a_report_that_was_sent_earlier_is_ignored() {
    let mut book = DemandBook::default();
    Arrival::of("a", 500, &[report(1, 50)]).apply(&mut book, 600);
    Arrival::of("a", 250, &[report(1, 20)]).apply(&mut book, 610);
    assert_eq!(streams_per_s(&book, "lac", 610), Some(5.0));
}

/// Guards against counting a zone once for each of its readers.
#[test]
fn a_zone_sum_from_several_readers_counts_once() {
    let mut book = DemandBook::default();
    Arrival::of("r1", 0, &[report(1, 900)]).apply_sum(&mut book, 40, 0);
    Arrival::of("r2", 0, &[report(1, 500)]).apply_sum(&mut book, 3, 100);
    assert_eq!(streams_per_s(&book, "lac", 100), Some(90.0));
    // Among sums over as many instances, the newest.
    Arrival::of("r3", 0, &[report(1, 910)]).apply_sum(&mut book, 40, 200);
    let demand = demand_of(&book, "lac", 200).expect("it is known");
    assert_eq!((demand.streams_per_s, demand.instances), (91.0, 40));
    // The others count once the best ones have aged out.
    Arrival::of("r2", 3_000, &[report(1, 500)]).apply_sum(&mut book, 3, 3_000);
    assert_eq!(streams_per_s(&book, "lac", 3_300), Some(50.0));
}

/// Guards against demand that is taken for zero although it is unknown.
#[test]
fn demand_is_unknown_without_reports() {
    let mut book = DemandBook::default();
    assert_eq!(demand_of(&book, "lac", 0), None);
    Arrival::of("a", 0, &[]).apply(&mut book, 0);
    book.observe(&service(), LOAD_MS, 0);
    assert_eq!(demand_of(&book, "lac", 0), None);
    Arrival::of("r", 0, &[report(1, 50)]).apply_sum(&mut book, 4, 0);
    let cut_off = Arrival {
        zone: "marsa",
        ..Arrival::of("r", 0, &[report(1, 50)])
    };
    cut_off.apply_sum(&mut book, 4, 0);
    book.observe(&service(), LOAD_MS, 0);
    assert_eq!(streams_per_s(&book, "marsa", 2_999), Some(5.0));
    // The peak of a zone that is not heard any more does not stand for its demand.
    assert_eq!(demand_of(&book, "marsa", 3_000), None);
}

#[test]
fn a_peak_decays_to_the_current_value_within_the_load_time() {
    let mut book = DemandBook::default();
    let mut peaks = Vec::new();
    for now_ms in (0..=12_000).step_by(250) {
        let rate = if now_ms < 1_000 { 1_000 } else { 200 };
        Arrival::of("a", now_ms, &[report(1, rate)]).apply(&mut book, now_ms);
        book.observe(&service(), LOAD_MS, now_ms);
        let demand = demand_of(&book, "lac", now_ms).expect("it is known");
        peaks.push((now_ms, demand.peak_streams_per_s));
    }
    let at = |at_ms: u64| peaks.iter().find(|(now_ms, _)| *now_ms == at_ms);
    // The last maximum was seen at 750 ms.
    assert_eq!(at(750), Some(&(750, 100.0)));
    assert_eq!(at(4_750), Some(&(4_750, 60.0)));
    assert_eq!(at(8_750), Some(&(8_750, 20.0)));
    assert!(peaks.windows(2).all(|pair| pair[1].1 <= pair[0].1));
}

/// Guards against a layout that goes back to the normal reserve while its load is only paused.
#[test]
fn rejections_are_summed_and_their_peak_decays_within_the_load_time() {
    let mut meter = DemandMeter::default();
    meter.record_arrival(&service(), 1, 700, 0);
    for _ in 0..4 {
        meter.record_rejected(&service(), 1, 0);
    }
    let reports = meter.reports(1_000);
    assert_eq!(reports[0].rejected_per_s, 20);
    let mut book = DemandBook::default();
    for instance in ["a", "b"] {
        Arrival::of(instance, 1_000, &reports).apply(&mut book, 1_000);
    }
    book.observe(&service(), LOAD_MS, 1_000);
    let demand = demand_of(&book, "lac", 1_000).expect("it is known");
    assert_eq!(demand.rejected_per_s, 4.0);
    for instance in ["a", "b"] {
        Arrival::of(instance, 5_000, &[report(1, 10)]).apply(&mut book, 5_000);
    }
    book.observe(&service(), LOAD_MS, 5_000);
    let demand = demand_of(&book, "lac", 5_000).expect("it is known");
    assert_eq!(
        (demand.rejected_per_s, demand.peak_rejected_per_s),
        (0.0, 2.0)
    );
}

/// Guards against a peak that ends with the last stream: the callers of a zone may pause briefly.
#[test]
fn a_peak_outlasts_the_streams_for_the_load_time() {
    let mut book = DemandBook::default();
    Arrival::of("a", 0, &[report(1, 100)]).apply(&mut book, 0);
    book.observe(&service(), LOAD_MS, 0);
    for now_ms in (250..=LOAD_MS).step_by(250) {
        Arrival::of("a", now_ms, &[]).apply(&mut book, now_ms);
        book.observe(&service(), LOAD_MS, now_ms);
        let demand = demand_of(&book, "lac", now_ms);
        assert_eq!(demand.is_some(), now_ms < LOAD_MS, "at {now_ms} ms");
        if now_ms == 2_000 {
            let demand = demand.expect("it is known");
            assert_eq!(demand.streams_per_s, 0.0);
            assert_eq!(demand.peak_streams_per_s, 7.5);
        }
    }
}

fn arrivals() -> impl Strategy<Value = Vec<Arrival>> {
    let rates = prop::collection::vec((0_u32..3, 0_u32..1_000), 0..4);
    let one = (0_u32..6, 0_u64..50, rates);
    prop::collection::vec(one, 1..40).prop_map(|arrivals| {
        let arrival = |(instance, sent_ms, rates): (u32, u64, Vec<(u32, u32)>)| {
            // Reports with the same time of sending are the same.
            let rates = rates
                .into_iter()
                .map(|(priority, rate)| report(priority, rate));
            Arrival::of(&format!("i{instance}"), sent_ms, &rates.collect::<Vec<_>>())
        };
        let arrivals = arrivals.into_iter().map(arrival);
        let mut distinct: Vec<Arrival> = Vec::new();
        for arrival in arrivals {
            let key = (&arrival.instance, arrival.sent_ms);
            if distinct.iter().all(|it| (&it.instance, it.sent_ms) != key) {
                distinct.push(arrival);
            }
        }
        distinct
    })
}

proptest! {
    /// Guards against sums that differ among instances, since heartbeats arrive in any order.
    #[test]
    fn sums_do_not_depend_on_the_order_of_reports(
        (sorted, shuffled) in arrivals().prop_flat_map(|it| (Just(it.clone()), Just(it).prop_shuffle()))
    ) {
        let sum_of = |arrivals: &[Arrival]| {
            let mut book = DemandBook::default();
            for arrival in arrivals {
                arrival.apply(&mut book, 100);
            }
            let demand = demand_of(&book, "lac", 200);
            (book.zone_sum(&zone("lac"), 200), demand)
        };
        prop_assert_eq!(sum_of(&sorted), sum_of(&shuffled));
    }

    /// Guards against sums that differ among instances of other zones.
    #[test]
    fn the_best_zone_sum_does_not_depend_on_the_order_of_reports(
        (sorted, shuffled) in arrivals().prop_flat_map(|it| (Just(it.clone()), Just(it).prop_shuffle()))
    ) {
        let sum_of = |arrivals: &[Arrival]| {
            let mut book = DemandBook::default();
            for arrival in arrivals {
                arrival.apply_sum(&mut book, arrival.sent_ms as u32 % 3 + 1, 100);
            }
            demand_of(&book, "lac", 200)
        };
        prop_assert_eq!(sum_of(&sorted), sum_of(&shuffled));
    }
}
