//! Leases and engine orders over several instances.

use super::documents::{cell, wait};
use super::sim::Sim;
use super::texts::{EDITOR, SERVICE, document_with, request};
use crate::instance::OperatorCall;
use crate::wire::operator::AuditEvent;

fn accept_version(sim: &mut Sim, base: u64, version: &str) {
    let text = document_with(SERVICE, base + 1, version, "");
    let ask = OperatorCall::Accept(request(base, text, u128::from(base) + 1));
    let call = sim.ask(0, EDITOR, ask);
    wait(sim, call).unwrap();
}

fn fleet(sim: &mut Sim) {
    for (name, first) in [
        ("a1", 0),
        ("a2", 0),
        ("a3", 0),
        ("b1", 2),
        ("b2", 2),
        ("b3", 2),
    ] {
        sim.add_engine(name, first, first + 2);
    }
    sim.run(3_000);
}

fn all_hold(sim: &mut Sim, version: &str) -> bool {
    let now_ms = sim.now_ms;
    let mut engines = sim.engines.values_mut();
    engines.all(|engine| engine.read(now_ms).version == version)
}

fn run_until_all_hold(sim: &mut Sim, version: &str, limit_ms: u64) {
    let end_ms = sim.now_ms + limit_ms;
    while !all_hold(sim, version) {
        assert!(sim.now_ms < end_ms, "not all engines hold {version}");
        sim.run(100);
    }
}

#[test]
fn engines_are_brought_to_an_accepted_version_a_few_at_a_time() {
    let mut sim = cell(3, 1);
    fleet(&mut sim);
    accept_version(&mut sim, 1, "v2");
    let end_ms = sim.now_ms + 60_000;
    while !all_hold(&mut sim, "v2") {
        assert!(sim.now_ms < end_ms);
        sim.run(50);
        let whole = |version: &str, sim: &Sim| {
            let covers = |first: u16| {
                let mut engines = sim.engines.values();
                engines.any(|engine| {
                    let state = &engine.state;
                    state.version == version && state.layers.first == first && !engine.is_loading()
                })
            };
            covers(0) && covers(2)
        };
        assert!(
            whole("v1", &sim) || whole("v2", &sim),
            "no whole chain left"
        );
    }
}

#[test]
fn the_lease_is_given_back_when_there_is_nothing_to_order() {
    let mut sim = cell(3, 1);
    fleet(&mut sim);
    accept_version(&mut sim, 1, "v2");
    run_until_all_hold(&mut sim, "v2", 60_000);
    sim.run(20_000);
    let row = &sim.table.rows[&format!("lease/{SERVICE}")];
    assert!(row.value.contains(r#""released":true"#), "{}", row.value);
    let before = sim.table.calls;
    sim.run(60_000);
    let per_s = (sim.table.calls - before) as f64 / 60.0;
    assert!(
        per_s < 4.0,
        "{per_s} calls a second from three idle instances"
    );
}

#[test]
fn a_holder_that_dies_is_followed_and_one_that_wakes_orders_nothing() {
    for seed in 0..5 {
        let mut sim = cell(3, seed);
        fleet(&mut sim);
        accept_version(&mut sim, 1, "v2");
        sim.run_until(20_000, "a first order", |sim| !sim.fences.is_empty());
        let (holder, _) = sim.fences[0];
        sim.nodes[holder].frozen = true;
        run_until_all_hold(&mut sim, "v2", 90_000);
        assert!(sim.fences.len() >= 2, "another process took the lease");
        // The sim asserts on each order that its lease is in force and its fence is its own.
        sim.thaw(holder);
        sim.run(30_000);
        assert!(all_hold(&mut sim, "v2"));
    }
}

#[test]
fn without_fences_a_new_holder_waits_until_old_orders_have_ended() {
    let mut sim = cell(3, 1);
    let text =
        document_with(SERVICE, 2, "v2", "").replace("check_fence = true", "check_fence = false");
    fleet(&mut sim);
    for engine in sim.engines.values_mut() {
        engine.checks_fence = false;
    }
    let call = sim.ask(0, EDITOR, OperatorCall::Accept(request(1, text, 2)));
    wait(&mut sim, call).unwrap();
    sim.run_until(20_000, "a first order", |sim| !sim.fences.is_empty());
    let (holder, _) = sim.fences[0];
    sim.kill(holder);
    let died_ms = sim.now_ms;
    run_until_all_hold(&mut sim, "v2", 120_000);
    let orders = sim.engines.values().flat_map(|engine| &engine.taken);
    let later = orders
        .filter(|(_, fence)| *fence > 1)
        .map(|(at_ms, _)| *at_ms);
    let first_ms = later.min().unwrap();
    // The old lease ran out ten seconds after its last renewal, up to three seconds before.
    assert!(first_ms >= died_ms + 10_000 - 3_000 + 5_000);
}

#[test]
fn orders_and_leases_are_in_the_audit_trail() {
    let mut sim = cell(2, 1);
    fleet(&mut sim);
    accept_version(&mut sim, 1, "v2");
    run_until_all_hold(&mut sim, "v2", 60_000);
    let recorded: Vec<_> = sim.nodes.iter().flat_map(|node| &node.recorded).collect();
    let orders = recorded
        .iter()
        .filter(|entry| matches!(entry.event, AuditEvent::OrderSent { .. }));
    assert_eq!(orders.count(), 6);
    let mut leases = recorded.iter();
    assert!(leases.any(|entry| matches!(entry.event, AuditEvent::LeaseTaken { fence: 1, .. })));
}
