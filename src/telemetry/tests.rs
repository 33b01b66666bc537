use super::Counters;

#[test]
fn counts_add_up_and_gauges_replace() {
    let counters = Counters::new();
    let clone = counters.clone();
    counters.count("entry.requests");
    clone.add("entry.requests", 4);
    counters.gauge("entry.in_flight", 9);
    counters.gauge("entry.in_flight", 3);
    assert_eq!(counters.value("entry.requests"), 5);
    assert_eq!(counters.value("entry.in_flight"), 3);
    assert_eq!(counters.value("entry.nothing"), 0);
}

#[test]
fn page_lists_every_series_by_name() {
    let counters = Counters::new();
    counters.time_ms("store.read", 3);
    counters.time_ms("store.read", 40_000);
    counters.count("entry.requests.refused");
    counters.gauge("entry.in_flight", 2);
    insta::assert_snapshot!(counters.page());
}
