//! Selects the instances that serve requests for an instance that reaches no endpoints.

use std::net::SocketAddr;

use super::peer::Peer;
use super::peer_book::PeerBook;
use crate::ids::{InstanceId, ServiceName};

/// Part of the own zone's instances that must be able to serve for others, as a divisor. With fewer, those of all
/// zones share the requests, so that none gets more than about as many again as its own.
const MIN_ZONE_PART: usize = 2;

/// An instance that can serve requests for this one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Delegate {
    pub(super) instance: InstanceId,
    /// Its address for other instances.
    pub(super) address: SocketAddr,
    /// Speed of its link; 0 if unknown.
    pub(super) link_mbps: u32,
}

impl PeerBook {
    /// Heard instances that can serve requests for a service in this one's place: those of the own zone, or of
    /// all zones if the own one has too few.
    pub(super) fn delegates(&self, service: &ServiceName, now_ms: u64) -> Vec<Delegate> {
        self.delegates_among(service, |_| true, now_ms)
    }

    /// Like [`Self::delegates`], among the instances for which `may_ask` returns true.
    pub(super) fn delegates_among<F>(
        &self,
        service: &ServiceName,
        may_ask: F,
        now_ms: u64,
    ) -> Vec<Delegate>
    where
        F: Fn(&InstanceId) -> bool,
    {
        let able: Vec<(&InstanceId, &Peer)> = self
            .peers
            .iter()
            .filter(|(instance, peer)| self.is_heard(peer, now_ms) && may_ask(instance))
            .filter(|(_, peer)| peer.may_serve_for_others(service))
            .collect();
        let zone_size = 1 + self.heard_zone_peers(now_ms).count();
        let in_zone = able.iter().filter(|(_, peer)| peer.zone == self.own_zone);
        let in_zone: Vec<(&InstanceId, &Peer)> = in_zone.copied().collect();
        let chosen = if in_zone.len() * MIN_ZONE_PART >= zone_size {
            in_zone
        } else {
            able
        };
        let delegates = chosen.into_iter().map(|(instance, peer)| Delegate {
            instance: instance.clone(),
            address: peer.address,
            link_mbps: peer.link_mbps,
        });
        delegates.collect()
    }

    /// Whether heartbeats of an instance arrive.
    pub(super) fn hears(&self, instance: &InstanceId, now_ms: u64) -> bool {
        let peer = self.peers.get(instance);
        peer.is_some_and(|peer| self.is_heard(peer, now_ms))
    }
}
