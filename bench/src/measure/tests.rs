use std::net::SocketAddr;
use std::time::Duration;

use fescueshore::wire::engine::LayerRange;
use indexmap::IndexMap;

use super::bound::bound_tokens_per_s;
use super::experiment::{self, Overhead, Overload, Recovery, Retries, Shares, Throughput};
use super::figures::{Figure, Figures, Summary};
use super::load::Window;
use super::stats::Samples;
use crate::caller::Served;
use crate::deployment::{build_topology, read};
use crate::topology::Topology;

fn topology(ranges: &[(u16, u16, f64)]) -> Topology {
    let deployment = read("small").expect("deployment");
    let mut port = 1000;
    let mut topology = build_topology(&deployment, || {
        port += 1;
        SocketAddr::from(([127, 0, 0, 1], port))
    });
    let engine = topology.engines[0].clone();
    topology.engines = ranges
        .iter()
        .map(|&(first, end, layer_tokens_per_s)| {
            let mut engine = engine.clone();
            engine.layers = LayerRange { first, end };
            engine.layer_tokens_per_s = layer_tokens_per_s;
            engine
        })
        .collect();
    topology
}

#[test]
fn the_bound_of_a_chain_is_that_of_its_slowest_range() {
    let topology = topology(&[(0, 4, 400.0), (4, 8, 200.0)]);
    assert_eq!(bound_tokens_per_s(&topology, 8), 50.0);
}

#[test]
fn overlapping_ranges_share_their_layers() {
    // Each alone: 0..6 takes 600/6 = 100; together 0..8 takes 1200/8 = 150, but the layers that
    // only one holds bound it to 600/2 = 300; so 150 is left.
    let topology = topology(&[(0, 6, 600.0), (2, 8, 600.0)]);
    assert_eq!(bound_tokens_per_s(&topology, 8), 150.0);
}

#[test]
fn a_layer_that_nobody_holds_leaves_nothing() {
    let topology = topology(&[(0, 4, 400.0)]);
    assert_eq!(bound_tokens_per_s(&topology, 8), 0.0);
}

#[test]
fn medians_and_quantiles() {
    let samples: Samples = [4.0, 1.0, 3.0, 2.0].into_iter().collect();
    assert_eq!(samples.median(), Some(2.5));
    assert_eq!(samples.quantile(1.0), Some(4.0));
    assert_eq!(samples.spread(), Some((1.0, 4.0)));
    assert_eq!(Samples::default().median(), None);
}

#[test]
fn a_window_counts_what_grew() {
    let served = |tokens| {
        let served = Served {
            tokens,
            prompt_tokens: 0,
        };
        IndexMap::from([("grill-chain".into(), served)])
    };
    let window = Window::between(&served(10), &served(30), Duration::from_secs(2));
    assert_eq!(window.tokens_per_s(), 10.0);
}

#[test]
fn the_summary_names_every_figure_and_takes_the_worse_deployment() {
    let (mut one, mut two) = (Figures::default(), Figures::default());
    one.push(Figure::ThroughputToBound, 0.9);
    two.push(Figure::ThroughputToBound, 0.8);
    one.push(Figure::RecoveryMsP50, 10.0);
    two.push(Figure::RecoveryMsP50, 20.0);
    insta::assert_snapshot!(Summary::of(&[&one, &two]).to_string(), @r"
    throughput_to_bound 0.800
    throughput_to_bound_best_baseline not-run
    throughput_to_bound_overload2x not-run
    recovery_to_oracle not-run
    recovery_ms_p50 20.000
    recovery_ms_p99 not-run
    worst_share_to_fair not-run
    worst_share_to_fair_local_only not-run
    token_overhead_ms_p50 not-run
    token_overhead_ms_p99 not-run
    retry_amplification not-run
    control_core_percent not-run
    control_rss_mb not-run
    control_bytes_per_s not-run
    ");
}

#[test]
fn every_experiment_can_be_read() {
    experiment::read::<Overhead>("overhead").expect("overhead");
    experiment::read::<Throughput>("throughput").expect("throughput");
    experiment::read::<Overload>("overload").expect("overload");
    experiment::read::<Shares>("shares").expect("shares");
    experiment::read::<Recovery>("recovery").expect("recovery");
    experiment::read::<Retries>("retries").expect("retries");
}
