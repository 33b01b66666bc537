//! Membership, leaving endpoints and planned stops.

use super::documents::cell;
use super::sim::Sim;
use crate::ids::EndpointId;
use crate::instance::ControlMessage;
use crate::wire::operator::AuditEvent;
use crate::wire::platform::{InstancePhase, InstanceRecord};

fn names(sim: &Sim, at: usize, of: usize) -> bool {
    let instance = &sim.nodes[of].instance;
    let snapshot = sim.nodes[at].snapshot.as_ref();
    snapshot.is_some_and(|snapshot| {
        let mut entries = snapshot.entries.iter();
        entries.any(|entry| entry.instance == *instance && entry.serving)
    })
}

fn named_by_any(sim: &Sim, of: usize) -> bool {
    let mut others = (0..sim.nodes.len()).filter(|at| *at != of && sim.works(*at));
    others.any(|at| names(sim, at, of))
}

fn all_name_all(sim: &Sim) -> bool {
    let count = sim.nodes.len();
    (0..count).all(|at| (0..count).all(|of| names(sim, at, of)))
}

fn leaves(sim: &Sim, at: usize, endpoint: &str) -> bool {
    let snapshot = sim.nodes[at].snapshot.as_ref();
    snapshot.is_some_and(|snapshot| {
        let mut endpoints = snapshot.endpoints.iter();
        endpoints.any(|it| it.endpoint.as_str() == endpoint && it.phase == InstancePhase::Leaving)
    })
}

fn leaves_everywhere(sim: &Sim, endpoint: &str) -> bool {
    (0..sim.nodes.len()).all(|at| leaves(sim, at, endpoint))
}

fn set_phase(list: &mut [InstanceRecord], name: &str, phase: InstancePhase) {
    for record in list.iter_mut().filter(|record| record.name == name) {
        record.phase = phase;
    }
}

#[test]
fn every_instance_names_every_other_soon_after_the_start() {
    let sim = cell(7, 1);
    assert!(all_name_all(&sim));
}

#[test]
fn nobody_is_suspected_while_nothing_fails() {
    for count in [2, 7, 16] {
        let mut sim = cell(count, 7);
        for node in &mut sim.nodes {
            node.recorded.clear();
        }
        sim.run(60_000);
        let lost = |node: &super::node::Node| {
            let mut recorded = node.recorded.iter();
            recorded.any(|it| matches!(it.event, AuditEvent::InstanceLost { .. }))
        };
        assert!(!sim.nodes.iter().any(lost), "{count} instances");
    }
}

#[test]
fn a_dead_instance_is_named_nowhere_within_two_and_a_half_seconds() {
    for seed in 0..10 {
        let mut sim = cell(7, seed);
        sim.kill(3);
        sim.run_until(2_500, "nobody names it", |sim| !named_by_any(sim, 3));
    }
}

#[test]
fn a_frozen_instance_comes_back_when_it_wakes() {
    let mut sim = cell(5, 1);
    sim.nodes[2].frozen = true;
    sim.run_until(2_500, "nobody names it", |sim| !named_by_any(sim, 2));
    sim.run(30_000);
    sim.thaw(2);
    sim.run_until(3_000, "all name all", all_name_all);
}

#[test]
fn a_stopping_instance_is_named_nowhere_within_a_second() {
    let mut sim = cell(7, 1);
    sim.nodes[2].entry_stopping = true;
    sim.deliver(2, ControlMessage::Stop);
    sim.run_until(1_000, "nobody names it", |sim| !named_by_any(sim, 2));
    sim.run(60_000);
    assert!(!sim.nodes[2].stopped, "its entry still works");
    sim.nodes[2].entry_stopping = false;
    sim.run_until(8_000, "it goes", |sim| sim.nodes[2].stopped);
}

#[test]
fn a_leaving_endpoint_is_known_everywhere_within_three_seconds_of_the_first_sign() {
    for seed in 0..20 {
        let mut sim = cell(7, seed);
        sim.add_engine("e", 0, 4);
        sim.run(12_000);
        // One instance reads the list as it is; the others read it ten seconds old.
        let lags = (0..7).filter(|node| *node != 4).map(|node| (node, 10_000));
        sim.faults.list_lag_ms.extend(lags);
        sim.change_list(|list| set_phase(list, "e", InstancePhase::Leaving));
        sim.run_until(2_500, "leaving everywhere", |sim| {
            leaves_everywhere(sim, "e")
        });
    }
}

#[test]
fn a_sign_of_leaving_outlives_lists_that_lag() {
    let mut sim = cell(5, 1);
    sim.add_engine("e", 0, 4);
    sim.run(12_000);
    let lags = (1..5).map(|node| (node, 10_000));
    sim.faults.list_lag_ms.extend(lags);
    sim.change_list(|list| set_phase(list, "e", InstancePhase::Leaving));
    sim.run_until(2_500, "leaving everywhere", |sim| {
        leaves_everywhere(sim, "e")
    });
    // The only one that knew goes, while the others' lists still show the endpoint as live.
    sim.kill(0);
    for _ in 0..80 {
        sim.run(100);
        assert!((1..5).all(|at| leaves(&sim, at, "e")));
    }
}

#[test]
fn an_endpoint_that_is_live_again_gets_work_again() {
    let mut sim = cell(3, 1);
    sim.add_engine("e", 0, 4);
    sim.run(3_000);
    sim.change_list(|list| set_phase(list, "e", InstancePhase::Leaving));
    sim.run_until(2_500, "leaving everywhere", |sim| {
        leaves_everywhere(sim, "e")
    });
    sim.change_list(|list| set_phase(list, "e", InstancePhase::Live));
    sim.run(20_000);
    assert!(leaves_everywhere(&sim, "e"));
    sim.run_until(20_000, "live everywhere", |sim| {
        !(0..3).any(|at| leaves(sim, at, "e"))
    });
}

#[test]
fn a_draining_endpoint_gets_no_work_anywhere_as_long_as_it_says_so() {
    let mut sim = cell(5, 1);
    sim.add_engine("e", 0, 4);
    sim.run(3_000);
    sim.nodes[1].draining = vec![EndpointId::from("e")];
    sim.run_until(1_500, "leaving everywhere", |sim| {
        leaves_everywhere(sim, "e")
    });
    sim.nodes[1].draining.clear();
    sim.run_until(3_000, "live everywhere", |sim| {
        !(0..5).any(|at| leaves(sim, at, "e"))
    });
}

#[test]
fn peers_calls_grow_no_faster_than_the_cell() {
    let calls_per_node_s = |count: usize| {
        let mut sim = cell(count, 3);
        let before = sim.peer_calls;
        sim.run(60_000);
        (sim.peer_calls - before) as f64 / 60.0 / count as f64
    };
    assert!(calls_per_node_s(16) < 1.5 * calls_per_node_s(7));
}
