use std::net::SocketAddr;

use indexmap::IndexSet;

use super::{Deployment, build_topology, read};
use crate::topology::Topology;

fn topology(name: &str) -> (Deployment, Topology) {
    let deployment = read(name).expect("deployment");
    let mut port = 1000;
    let topology = build_topology(&deployment, || {
        port += 1;
        SocketAddr::from(([127, 0, 0, 1], port))
    });
    (deployment, topology)
}

/// Whether a chain of engines can cover every layer.
fn covers_all_layers(deployment: &Deployment, topology: &Topology) -> bool {
    let mut reached = 0;
    while reached < deployment.model.layers {
        let next = topology
            .engines
            .iter()
            .filter(|engine| engine.layers.first <= reached)
            .map(|engine| engine.layers.end)
            .max();
        match next {
            Some(end) if end > reached => reached = end,
            _ => return false,
        }
    }
    true
}

#[test]
fn deployments_have_the_sizes_of_today() {
    for name in ["kammoun", "consortium"] {
        let (deployment, topology) = topology(name);
        assert!((6..=7).contains(&topology.entries.len()));
        assert_eq!(topology.engines.len(), 40);
        assert_eq!(topology.applications.len(), 3);
        assert_eq!(deployment.load.accounts.len(), 10);
    }
}

#[test]
fn every_layer_is_held_and_every_name_and_address_is_unique() {
    for name in ["kammoun", "consortium", "small"] {
        let (deployment, topology) = topology(name);
        assert!(covers_all_layers(&deployment, &topology));
        let mut names = IndexSet::new();
        for engine in &topology.engines {
            assert!(names.insert(engine.name.as_str().to_owned()));
            assert_ne!(engine.address, engine.link_address);
        }
    }
}

#[test]
fn an_unknown_deployment_names_the_remedy() {
    let error = read("nowhere").expect_err("no such file");
    assert!(error.to_string().contains("bench/deployments"));
}
