use super::DelegationHistory;
use crate::ids::{InstanceId, ServiceName};

#[test]
fn an_instance_that_could_not_serve_is_not_asked_for_a_while() {
    let (service, other) = (ServiceName::from("m"), ServiceName::from("n"));
    let [a, b] = ["a", "b"].map(InstanceId::from);
    let mut history = DelegationHistory::default();
    history.record_unavailable(&service, &a, 100);
    assert!(!history.may_ask(&service, &a, 399) && history.may_ask(&service, &a, 400));
    assert!(history.may_ask(&service, &b, 100) && history.may_ask(&other, &a, 100));
}

#[test]
fn nobody_is_asked_while_three_could_not_serve() {
    let service = ServiceName::from("m");
    let mut history = DelegationHistory::default();
    for (at_ms, name) in ["a", "b", "c"].into_iter().enumerate() {
        assert!(history.may_ask(&service, &InstanceId::from("d"), 100));
        history.record_unavailable(&service, &InstanceId::from(name), 100 + at_ms as u64);
    }
    assert!(!history.may_ask(&service, &InstanceId::from("d"), 102));
    assert!(history.may_ask(&service, &InstanceId::from("d"), 400));
}
