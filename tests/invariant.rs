//! A violated invariant is counted, shown on the metrics page and, here, fatal.

use std::panic::catch_unwind;

use fescueshore::invariant;
use fescueshore::telemetry::Counters;

#[test]
fn a_violation_is_counted_and_fatal() {
    for _ in 0..2 {
        let caught = catch_unwind(|| invariant::check(false, "layers-in-order", || "3 after 5"));
        assert!(caught.is_err());
    }
    assert_eq!(invariant::violations()["layers-in-order"], 2);
    let page = Counters::new().render_prometheus();
    assert!(page.contains("fescue_invariant_violations{invariant=\"layers-in-order\"} 2"));
}

#[test]
fn what_holds_is_not_counted() {
    invariant::check(true, "answers-not-crossed", || "no evidence is worked out");
    assert!(!invariant::violations().contains_key("answers-not-crossed"));
}
