//! Shares worked out alike everywhere from the demand at every entry.

use rand::RngExt;

use super::documents::cell;
use super::sim::Sim;
use super::texts::SERVICE;
use crate::ids::{AccountId, RequestId, ServiceName};
use crate::outcome::{Refusal, RefusalCode};
use crate::wire::local::{AccountDemand, Decision, DecisionRecord, ServiceCapacity};
use crate::wire::operator::AuditEvent;

fn wants(sim: &mut Sim, node: usize, demands: &[(&str, f64)]) {
    let service = ServiceName::from(SERVICE);
    let demand = |(account, wanted): &(&str, f64)| AccountDemand {
        service: service.clone(),
        account: AccountId::from(*account),
        wanted_tokens_per_s: *wanted,
        spent_tokens_per_s: 0.0,
    };
    sim.nodes[node].demands = demands.iter().map(demand).collect();
    sim.nodes[node].capacities = vec![ServiceCapacity {
        service: service.clone(),
        tokens_per_s: 400.0,
    }];
}

fn share(sim: &Sim, node: usize, account: &str) -> f64 {
    let snapshot = sim.nodes[node].snapshot.as_ref().unwrap();
    let mut shares = snapshot.shares.iter();
    let share = shares.find(|share| share.account.as_str() == account);
    share.map_or(0.0, |share| share.tokens_per_s)
}

fn assert_near(found: f64, wanted: f64) {
    assert!(
        (found - wanted).abs() <= 0.1 * wanted,
        "{found}, not {wanted}"
    );
}

#[test]
fn an_account_on_one_entry_gets_as_much_as_one_on_all() {
    let mut sim = cell(3, 1);
    // Weights 1 and 3, both want more than there is: 100 and 300 of 400 tokens a second.
    wants(&mut sim, 0, &[("a", 500.0), ("b", 400.0)]);
    wants(&mut sim, 1, &[("b", 400.0)]);
    wants(&mut sim, 2, &[("b", 400.0)]);
    sim.run(15_000);
    assert_near(share(&sim, 0, "a"), 100.0);
    for node in 0..3 {
        assert_near(share(&sim, node, "b"), 100.0);
    }
}

#[test]
fn what_one_account_does_not_want_the_other_gets() {
    let mut sim = cell(3, 1);
    wants(&mut sim, 0, &[("a", 500.0)]);
    wants(&mut sim, 1, &[("b", 40.0)]);
    sim.run(15_000);
    // Its demand and a quarter more as room to grow.
    assert_near(share(&sim, 1, "b"), 50.0);
    assert_near(share(&sim, 0, "a"), 350.0);
}

#[test]
fn the_demand_of_a_dead_entry_is_given_to_the_others() {
    let mut sim = cell(3, 1);
    wants(&mut sim, 0, &[("b", 1_000.0)]);
    wants(&mut sim, 1, &[("b", 1_000.0)]);
    sim.run(15_000);
    assert_near(share(&sim, 0, "b"), 200.0);
    sim.kill(1);
    sim.run(5_000);
    assert_near(share(&sim, 0, "b"), 400.0);
}

/// Every entry is asked by every account, with bursts and pauses.
fn bytes_per_s(count: usize) -> f64 {
    let mut sim = cell(count, 5);
    let seconds = 60;
    for second in 0..2 * seconds {
        if second == seconds {
            sim.peer_bytes = 0;
        }
        for node in 0..count {
            let noise = sim.rng.random_range(0.0..60.0);
            let pause = sim.rng.random_range(0..3) == 0;
            let accounts = (0..10).map(|account| (format!("a{account}"), noise));
            let demands: Vec<(String, f64)> = accounts.filter(|_| !pause).collect();
            let demands: Vec<(&str, f64)> = demands
                .iter()
                .map(|(name, it)| (name.as_str(), *it))
                .collect();
            wants(&mut sim, node, &demands);
        }
        sim.run(1_000);
    }
    // Each byte is sent by one and received by another.
    2.0 * sim.peer_bytes as f64 / seconds as f64 / count as f64
}

#[test]
fn telling_of_noisy_demand_keeps_within_the_budget() {
    let (small, large) = (bytes_per_s(7), bytes_per_s(16));
    println!("{small:.0} and {large:.0} bytes a second");
    assert!(small < 4_000.0 && large < 6_000.0);
}

#[test]
fn shares_and_refusals_come_into_the_trail_as_counts() {
    let mut sim = cell(2, 1);
    wants(&mut sim, 0, &[("a", 500.0)]);
    let refused = DecisionRecord {
        at_unix_ms: 1,
        request: RequestId::from("r"),
        account: AccountId::from("a"),
        service: ServiceName::from(SERVICE),
        endpoints: Vec::new(),
        decision: Decision::Refused {
            refusal: Refusal::not_run(RefusalCode::Overloaded, Some(100)),
        },
    };
    sim.nodes[0].decisions = vec![refused; 3];
    sim.run(130_000);
    let events: Vec<&AuditEvent> = sim
        .nodes
        .iter()
        .flat_map(|node| node.recorded.iter().map(|entry| &entry.event))
        .collect();
    let counted = |event: &&AuditEvent| match event {
        AuditEvent::Refusals { counts } => counts.get("overloaded") == Some(&3),
        _ => false,
    };
    assert!(events.iter().any(counted));
    let shares = events
        .iter()
        .filter(|event| matches!(event, AuditEvent::SharesChanged { .. }));
    assert_eq!(shares.count(), 1);
}
