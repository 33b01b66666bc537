//! Throughput of the policies relative to the bound, in the fleet simulation.

use crate::routing::{FlowWeighted, LeastOutstanding, Policy, RandomChoice, RoundRobin};
use crate::wire::engine::LinkState;

use super::fleet::{Fleet, Kind, Spec};

fn kind(
    name: &'static str,
    zone: &'static str,
    ranges: &[(u16, u16)],
    layer_tokens_per_s: f64,
    batch_limit: u32,
) -> Kind {
    Kind {
        name,
        zone,
        ranges: ranges.to_vec(),
        replicas: 4,
        layer_tokens_per_s,
        batch_limit,
    }
}

/// Slow links between some kinds of engines and fast ones between the others.
fn links(from: &Kind, to: &Kind) -> LinkState {
    let (delay_us, bandwidth_bytes_per_s) = match (from.name, to.name) {
        ("large", "large") => (100, 400_000_000),
        ("small", "npu") | ("npu", "small") => (2_000, 4_000_000),
        ("medium", "npu") | ("npu", "medium") => (2_500, 4_000_000),
        _ if from.zone == to.zone => (200, 100_000_000),
        _ => (700, 20_000_000),
    };
    LinkState {
        delay_us,
        bandwidth_bytes_per_s,
    }
}

/// Sizes and rates like those of a deployment with four kinds of engines.
pub(super) fn four_kinds() -> Spec {
    let mut npu = kind("npu", "a", &[(4, 14), (12, 22)], 1500.0, 4);
    npu.replicas = 2;
    Spec {
        kinds: vec![
            kind("large", "a", &[(0, 12), (12, 24)], 4800.0, 8),
            kind("medium", "b", &[(0, 8), (8, 16), (16, 24)], 1600.0, 6),
            kind(
                "small",
                "c",
                &[(0, 6), (6, 12), (12, 18), (18, 24)],
                900.0,
                4,
            ),
            npu,
        ],
        links,
        layers: 24,
        activation_bytes: 8192,
        entries: 7,
        busy_entries: 7,
        prompt_tokens: 0,
        prompts: 1,
        answer_tokens: 24..72,
    }
}

/// Sizes and rates like those of a deployment with three kinds of engines, one of which has
/// overlapping ranges.
fn three_kinds() -> Spec {
    Spec {
        kinds: vec![
            kind("large", "a", &[(0, 16), (16, 32)], 6400.0, 8),
            kind(
                "medium",
                "b",
                &[(0, 8), (8, 16), (16, 24), (24, 32)],
                1400.0,
                6,
            ),
            kind(
                "npu",
                "c",
                &[(0, 12), (8, 20), (16, 26), (22, 32)],
                1800.0,
                4,
            ),
        ],
        layers: 32,
        activation_bytes: 10240,
        entries: 6,
        busy_entries: 6,
        ..four_kinds()
    }
}

fn run<P>(spec: &Spec, policy: P) -> f64
where
    P: Policy + Clone,
{
    let outcome = Fleet::new(spec.clone(), policy, 1).run(2, 5);
    println!("{} {outcome}", std::any::type_name::<P>());
    outcome.to_bound()
}

/// Asserts that the default policy comes close to the bound and outperforms every baseline.
fn assert_order(spec: &Spec) {
    let flow = run(spec, FlowWeighted);
    let baselines = [
        run(spec, RandomChoice),
        run(spec, RoundRobin),
        run(spec, LeastOutstanding),
    ];
    assert!(flow >= 0.93, "{flow} of the bound");
    for baseline in baselines {
        assert!(flow >= baseline + 0.02, "{flow} against {baseline}");
    }
}

#[test]
fn flow_leads_with_four_kinds_of_engines() {
    assert_order(&four_kinds());
}

#[test]
fn flow_leads_with_overlapping_ranges() {
    assert_order(&three_kinds());
}
