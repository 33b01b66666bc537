//! What the engines of a process share.

use std::sync::{Arc, Mutex, PoisonError};

use fescueshore::ids::EndpointId;
use fescueshore::wire::engine::EngineAssignment;
use indexmap::IndexMap;

use super::core::Peer;
use super::ledger::RunLedger;
use super::link::link_between;
use crate::topology::{EngineNode, Topology};

/// What the engines of a process share.
#[derive(Debug)]
pub(crate) struct Fleet {
    /// The whole fleet, engines of other processes included.
    pub(crate) topology: Topology,
    /// Evidence of what ran.
    pub(crate) ledger: Arc<RunLedger>,
    /// What engines of this process hold now, where it is not what the topology says.
    held: Mutex<IndexMap<EndpointId, EngineAssignment>>,
}

impl Fleet {
    /// A fleet in which nothing has run.
    pub(crate) fn new(topology: Topology) -> Self {
        Self {
            topology,
            ledger: Arc::new(RunLedger::default()),
            held: Mutex::new(IndexMap::new()),
        }
    }

    /// All other engines as one engine sees them.
    pub(crate) fn peers_of(&self, node: &EngineNode) -> IndexMap<EndpointId, Peer> {
        let others = self.topology.engines.iter().filter(|n| n.name != node.name);
        others
            .map(|other| {
                let peer = Peer {
                    address: other.address,
                    link: link_between(&self.topology, node, other),
                };
                (other.name.clone(), peer)
            })
            .collect()
    }

    /// Number of layers of each model.
    pub(crate) fn model_layers(&self) -> IndexMap<String, u16> {
        let mut layers = IndexMap::new();
        for engine in &self.topology.engines {
            let known: &mut u16 = layers.entry(engine.model.clone()).or_default();
            *known = engine.layers.end.max(*known);
        }
        layers
    }

    /// Notes what an engine holds now.
    pub(crate) fn note_held(&self, endpoint: &EndpointId, held: &EngineAssignment) {
        self.lock().insert(endpoint.clone(), held.clone());
    }

    /// Engines of the same service that hold the layer behind an engine's last.
    pub(crate) fn behind(&self, node: &EngineNode, held: &EngineAssignment) -> Vec<EndpointId> {
        let changed = self.lock();
        let next = held.layers.end;
        let engines = self.topology.engines.iter();
        engines
            .filter(|other| other.service == node.service && other.name != node.name)
            .filter(|other| {
                let now = changed.get(&other.name).map(|held| held.layers);
                let layers = now.unwrap_or(other.layers);
                layers.first <= next && next < layers.end
            })
            .map(|other| other.name.clone())
            .collect()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, IndexMap<EndpointId, EngineAssignment>> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
