//! Tests of plans for streams that lost a stage.

use std::net::SocketAddr;

use crate::ids::EndpointId;
use crate::routing::EndpointFault;
use crate::wire::engine::Stage;
use crate::wire::platform::InstancePhase;

use super::fixture::{RouterFixture, names};

/// Two engines for each third of the layers.
fn thirds() -> RouterFixture {
    let third = |first| (first, first + 4, 400.0, 4);
    RouterFixture::new(&[0, 0, 4, 4, 8, 8].map(third))
}

/// Plans a stream, makes one of its stages fail and plans again; returns both chains.
fn lose_stage(
    fixture: &mut RouterFixture,
    lost: usize,
    fault: EndpointFault,
) -> (Vec<Stage>, Vec<Stage>) {
    let stream = fixture.stream();
    let before = fixture.plan_for(stream, &[], &[], 0).expect("chain");
    for now_ms in 0..20 {
        fixture.router.observe_token(stream, 40, now_ms);
    }
    let engine = before[lost].endpoint.clone();
    fixture.router.observe_fault(&engine, fault, 100);
    let after = fixture
        .plan_for(stream, &before, &[engine], 100)
        .expect("chain");
    (before, after)
}

fn marks(chain: &[Stage]) -> Vec<(bool, Option<SocketAddr>)> {
    chain
        .iter()
        .map(|stage| (stage.recompute, stage.import_from))
        .collect()
}

#[test]
fn only_the_lost_stage_is_replaced_and_later_ones_keep_their_state() {
    let mut fixture = thirds();
    let (before, after) = lose_stage(&mut fixture, 1, EndpointFault::Unreachable);
    assert!(fixture.covers_all_layers(&after));
    assert_eq!(before[0].endpoint, after[0].endpoint);
    assert_ne!(before[1].endpoint, after[1].endpoint);
    assert_eq!(before[2].endpoint, after[2].endpoint);
    assert_eq!(marks(&after), [(true, None), (true, None), (false, None)]);
}

#[test]
fn a_leaving_stage_exports_its_state() {
    let mut fixture = thirds();
    let (before, after) = lose_stage(&mut fixture, 1, EndpointFault::Draining);
    let source = Some(before[1].address);
    assert_eq!(
        marks(&after),
        [(false, None), (false, source), (false, None)]
    );
}

#[test]
fn a_leaving_engine_that_failed_exports_nothing() {
    let mut fixture = thirds();
    fixture.records[2].phase = InstancePhase::Leaving;
    fixture.records[3].phase = InstancePhase::Live;
    let stream = fixture.stream();
    let before = fixture.plan_for(stream, &[], &[], 0).expect("chain");
    for record in &mut fixture.records {
        if record.endpoint == before[1].endpoint {
            record.phase = InstancePhase::Leaving;
        } else {
            record.phase = InstancePhase::Live;
        }
    }
    fixture.update_router(50);
    let lost = before[1].endpoint.clone();
    fixture
        .router
        .observe_fault(&lost, EndpointFault::Silent, 60);
    let after = fixture.plan_for(stream, &before, &[], 60).expect("chain");
    assert_eq!(marks(&after), [(true, None), (true, None), (false, None)]);
}

#[test]
fn a_rebuilt_stream_does_not_wait_for_slots() {
    let mut fixture = thirds();
    let stream = fixture.stream();
    let before = fixture.plan_for(stream, &[], &[], 0).expect("chain");
    while fixture.plan(0).is_ok() {}
    let lost = before[0].endpoint.clone();
    fixture
        .router
        .observe_fault(&lost, EndpointFault::Unreachable, 10);
    let after = fixture
        .plan_for(stream, &before, &[lost], 10)
        .expect("chain");
    assert_eq!(names(&after)[1..], names(&before)[1..]);
}

#[test]
fn a_kept_stage_keeps_a_boundary_that_no_engine_has() {
    let mut fixture = RouterFixture::new(&[(0, 8, 400.0, 4), (4, 12, 400.0, 4), (0, 12, 100.0, 4)]);
    let stream = fixture.stream();
    let address = |fixture: &RouterFixture, number: usize| fixture.records[number].address;
    let stage = |fixture: &RouterFixture, number: usize, first, end| Stage {
        endpoint: EndpointId::from(format!("e{number}")),
        address: address(fixture, number),
        layers: crate::wire::engine::LayerRange { first, end },
        recompute: true,
        import_from: None,
    };
    let before = [stage(&fixture, 0, 0, 5), stage(&fixture, 1, 5, 12)];
    let lost = [EndpointId::from("e0")];
    let after = fixture.plan_for(stream, &before, &lost, 0).expect("chain");
    assert!(fixture.covers_all_layers(&after));
    assert_eq!(names(&after).last(), Some(&"e1"));
    assert_eq!(after.last().map(|stage| stage.layers.first), Some(5));
}
