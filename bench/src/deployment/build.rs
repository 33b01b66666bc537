//! Gives a deployment its addresses.

use std::net::SocketAddr;

use fescueshore::ids::{EndpointId, InstanceId};
use fescueshore::wire::engine::LayerRange;

use super::model::{ApplicationGroup, Deployment, EngineGroup, EntryGroup, ModelShape};
use crate::topology::{ApplicationNode, EngineNode, EntryNode, PlatformNodes, Topology};

/// Streams that may wait at an engine, per stream that runs.
const QUEUE_PER_BATCH: u32 = 4;
/// Tokens of KV state that fit in an engine, per stream that runs.
const KV_TOKENS_PER_STREAM: u64 = 16_384;

/// Lists every process and engine of a deployment; `next` gives an address not given before.
pub fn build_topology<F>(deployment: &Deployment, mut next: F) -> Topology
where
    F: FnMut() -> SocketAddr,
{
    let platform = PlatformNodes {
        table: next(),
        objects: next(),
        instances: next(),
        weights: next(),
    };
    let entries = deployment
        .entries
        .iter()
        .flat_map(|group| entry_nodes(group, &mut next))
        .collect();
    let engines = deployment
        .engines
        .iter()
        .flat_map(|group| engine_nodes(group, &deployment.model, &mut next))
        .collect();
    let applications = deployment
        .applications
        .iter()
        .flat_map(|group| application_nodes(group, &mut next))
        .collect();
    Topology {
        platform,
        entries,
        engines,
        applications,
        links: deployment.links.clone(),
    }
}

fn entry_nodes<F>(group: &EntryGroup, next: &mut F) -> Vec<EntryNode>
where
    F: FnMut() -> SocketAddr,
{
    (1..=group.count)
        .map(|number| EntryNode {
            name: InstanceId::from(format!("entry-{}-{number}", lower(group.zone.as_str()))),
            zone: group.zone.clone(),
            address: next(),
            control_address: next(),
        })
        .collect()
}

fn engine_nodes<F>(group: &EngineGroup, model: &ModelShape, next: &mut F) -> Vec<EngineNode>
where
    F: FnMut() -> SocketAddr,
{
    let mut nodes = Vec::new();
    for &(first, end) in &group.ranges {
        for number in 1..=group.replicas {
            let zone = lower(group.zone.as_str());
            let name = format!("{zone}-{}-{first}-{end}-{number}", group.accelerator);
            nodes.push(EngineNode {
                name: EndpointId::from(name),
                service: model.service.clone(),
                zone: group.zone.clone(),
                address: next(),
                link_address: next(),
                accelerator: group.accelerator.clone(),
                model: model.name.clone(),
                version: model.version.clone(),
                adapters: model.adapters.clone(),
                layers: LayerRange { first, end },
                layer_tokens_per_s: group.layer_tokens_per_s,
                batch_limit: group.batch_limit,
                queue_limit: group.batch_limit * QUEUE_PER_BATCH,
                kv_capacity_tokens: u64::from(group.batch_limit) * KV_TOKENS_PER_STREAM,
                activation_bytes: model.activation_bytes,
                checks_fence: group.checks_fence,
            });
        }
    }
    nodes
}

fn application_nodes<F>(group: &ApplicationGroup, next: &mut F) -> Vec<ApplicationNode>
where
    F: FnMut() -> SocketAddr,
{
    group
        .zones
        .iter()
        .map(|zone| ApplicationNode {
            name: EndpointId::from(format!("{}-{}", group.service, lower(zone.as_str()))),
            service: group.service.clone(),
            zone: zone.clone(),
            address: next(),
            call_ms: group.call_ms,
            concurrency: group.concurrency,
            deduplicates: group.deduplicates,
        })
        .collect()
}

fn lower(zone: &str) -> String {
    zone.to_ascii_lowercase()
}
