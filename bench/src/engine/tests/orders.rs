use fescueshore::wire::engine::{EngineAssignment, EngineErrorCode, EngineOrder};

use super::rig::{Rig, range};

fn version(version: &str) -> EngineAssignment {
    EngineAssignment {
        model: "m".into(),
        version: version.into(),
        adapters: vec!["a".into()],
        layers: range(0, 4),
    }
}

fn order(rig: &mut Rig, fence: u64, desired: EngineAssignment) -> Result<(), EngineErrorCode> {
    let taken = rig.with("front", |core, _| {
        core.order(EngineOrder { fence, desired })
    });
    taken.map_err(|error| error.code)
}

#[test]
fn an_old_fencing_number_is_refused_where_it_is_checked() {
    let mut rig = Rig::new();
    order(&mut rig, 5, version("1")).unwrap();
    assert_eq!(
        order(&mut rig, 4, version("2")),
        Err(EngineErrorCode::StaleFence)
    );
    rig.with("front", |core, _| core.node.checks_fence = false);
    assert_eq!(order(&mut rig, 4, version("2")), Ok(()));
    assert_eq!(rig.counters("front").stale_orders_taken, 1);
}

#[test]
fn streams_in_flight_finish_before_a_change_takes_effect() {
    let mut rig = Rig::new();
    let open = rig.open_stream(30);
    rig.open(&open).unwrap();
    order(&mut rig, 1, version("2")).unwrap();
    rig.with("front", |core, now_us| core.loaded(&version("2"), now_us));
    let late = rig.open_stream(30);
    assert_eq!(rig.open(&late), Err(EngineErrorCode::Draining));
    rig.run_until(|rig| rig.has_ended(open.stream));
    rig.run_until(|rig| rig.core("front").held.version == "2");
}

#[test]
fn a_further_adapter_disturbs_nobody() {
    let mut rig = Rig::new();
    let open = rig.open_stream(30);
    rig.open(&open).unwrap();
    let mut desired = version("1");
    desired.adapters.push("b".into());
    order(&mut rig, 1, desired.clone()).unwrap();
    rig.with("front", |core, now_us| core.loaded(&desired, now_us));
    assert_eq!(rig.core("front").held.adapters.len(), 2);
    assert!(!rig.core("front").is_draining());
}
