//! Plans of streams that lost a stage.

use std::net::SocketAddr;

use crate::ids::EndpointId;
use crate::routing::EndpointFault;
use crate::wire::engine::Stage;
use crate::wire::platform::InstancePhase;

use super::world::{World, names};

/// Two engines for each third of the layers.
fn thirds() -> World {
    let third = |first| (first, first + 4, 400.0, 4);
    World::new(&[0, 0, 4, 4, 8, 8].map(third))
}

/// Plans a stream, loses a stage of it and plans again; returns both chains.
fn lose(world: &mut World, lost: usize, fault: EndpointFault) -> (Vec<Stage>, Vec<Stage>) {
    let stream = world.stream();
    let before = world.plan_for(stream, &[], &[], 0).expect("chain");
    for now_ms in 0..20 {
        world.router.observe_token(stream, 40, now_ms);
    }
    let engine = before[lost].endpoint.clone();
    world.router.observe_fault(&engine, fault, 100);
    let after = world
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
    let mut world = thirds();
    let (before, after) = lose(&mut world, 1, EndpointFault::Unreachable);
    assert!(world.is_whole(&after));
    assert_eq!(before[0].endpoint, after[0].endpoint);
    assert_ne!(before[1].endpoint, after[1].endpoint);
    assert_eq!(before[2].endpoint, after[2].endpoint);
    assert_eq!(marks(&after), [(true, None), (true, None), (false, None)]);
}

#[test]
fn a_stage_that_leaves_hands_its_state_over() {
    let mut world = thirds();
    let (before, after) = lose(&mut world, 1, EndpointFault::Draining);
    let source = Some(before[1].address);
    assert_eq!(
        marks(&after),
        [(false, None), (false, source), (false, None)]
    );
}

#[test]
fn an_engine_that_leaves_and_fails_hands_nothing_over() {
    let mut world = thirds();
    world.records[2].phase = InstancePhase::Leaving;
    world.records[3].phase = InstancePhase::Live;
    let stream = world.stream();
    let before = world.plan_for(stream, &[], &[], 0).expect("chain");
    for record in &mut world.records {
        if record.endpoint == before[1].endpoint {
            record.phase = InstancePhase::Leaving;
        } else {
            record.phase = InstancePhase::Live;
        }
    }
    world.tell(50);
    let lost = before[1].endpoint.clone();
    world.router.observe_fault(&lost, EndpointFault::Silent, 60);
    let after = world.plan_for(stream, &before, &[], 60).expect("chain");
    assert_eq!(marks(&after), [(true, None), (true, None), (false, None)]);
}

#[test]
fn a_rebuilt_stream_does_not_wait_for_slots() {
    let mut world = thirds();
    let stream = world.stream();
    let before = world.plan_for(stream, &[], &[], 0).expect("chain");
    while world.plan(0).is_ok() {}
    let lost = before[0].endpoint.clone();
    world
        .router
        .observe_fault(&lost, EndpointFault::Unreachable, 10);
    let after = world.plan_for(stream, &before, &[lost], 10).expect("chain");
    assert_eq!(names(&after)[1..], names(&before)[1..]);
}

#[test]
fn cuts_that_no_engine_has_any_more_still_hold_for_a_kept_stage() {
    let mut world = World::new(&[(0, 8, 400.0, 4), (4, 12, 400.0, 4), (0, 12, 100.0, 4)]);
    let stream = world.stream();
    let address = |world: &World, number: usize| world.records[number].address;
    let stage = |world: &World, number: usize, first, end| Stage {
        endpoint: EndpointId::from(format!("e{number}")),
        address: address(world, number),
        layers: crate::wire::engine::LayerRange { first, end },
        recompute: true,
        import_from: None,
    };
    let before = [stage(&world, 0, 0, 5), stage(&world, 1, 5, 12)];
    let lost = [EndpointId::from("e0")];
    let after = world.plan_for(stream, &before, &lost, 0).expect("chain");
    assert!(world.is_whole(&after));
    assert_eq!(names(&after).last(), Some(&"e1"));
    assert_eq!(after.last().map(|stage| stage.layers.first), Some(5));
}
