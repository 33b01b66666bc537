use fescueshore::wire::platform::{InstanceList, InstancePhase, InstanceRecord, InstanceRole};

use super::history::History;

fn record(name: &str) -> InstanceRecord {
    InstanceRecord {
        name: name.into(),
        role: InstanceRole::Engine,
        service: None,
        zone: "Lac".into(),
        address: ([127, 0, 0, 1], 1).into(),
        control_address: None,
        phase: InstancePhase::Live,
    }
}

fn history() -> History {
    let mut history = History::new(InstanceList {
        instances: vec![record("a")],
    });
    history.set_lag(2000, None);
    history
}

#[test]
fn a_reader_sees_a_change_only_after_the_lag() {
    let mut history = history();
    history.change(10_000, |list| list.push(record("b")));
    assert_eq!(history.read(None, 11_999).instances.len(), 1);
    assert_eq!(history.read(None, 12_000).instances.len(), 2);
}

#[test]
fn one_reader_may_lag_behind_the_others() {
    let mut history = history();
    history.set_lag(10_000, Some("far"));
    history.change(20_000, |list| list.clear());
    assert_eq!(history.read(Some("far"), 22_500).instances.len(), 1);
    assert_eq!(history.read(Some("near"), 22_500).instances.len(), 0);
}
