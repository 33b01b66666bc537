use fescueshore::ids::EndpointId;
use fescueshore::wire::engine::EngineErrorCode;

use super::rig::Rig;
use crate::standin::faults::{Fault, FaultRequest};

fn apply(rig: &mut Rig, fault: &Fault) {
    rig.with("front", |core, _| core.apply_fault(fault));
}

#[test]
fn a_draining_engine_takes_no_new_streams_and_says_so() {
    let mut rig = Rig::new();
    apply(&mut rig, &Fault::Drain);
    let open = rig.open_stream(5);
    assert_eq!(rig.open(&open), Err(EngineErrorCode::Draining));
    assert!(
        rig.with("front", |core, now_us| core.state(now_us, &[]))
            .draining
    );
    apply(&mut rig, &Fault::Clear);
    assert_eq!(rig.open(&open), Ok(()));
}

#[test]
fn a_degraded_link_shows_in_the_state() {
    let mut rig = Rig::new();
    let behind = [EndpointId::from("middle"), EndpointId::from("spare")];
    let fault = Fault::DegradeLinks {
        factor: 100.0,
        peer: Some("middle".into()),
    };
    apply(&mut rig, &fault);
    let links = rig
        .with("front", |core, now_us| core.state(now_us, &behind))
        .links;
    assert_eq!(
        links[&EndpointId::from("middle")].delay_us,
        100 * links[&EndpointId::from("spare")].delay_us
    );
}

#[test]
fn faults_read_as_the_readme_has_them() {
    let text = r#"{"endpoint": "engine-3", "fault": "die", "revive_after_ms": 500}"#;
    let fault = Fault::Die {
        revive_after_ms: Some(500),
    };
    let read: FaultRequest = serde_json::from_str(text).unwrap();
    assert_eq!(read, FaultRequest::at("engine-3".into(), fault));
}
