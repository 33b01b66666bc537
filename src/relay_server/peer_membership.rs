//! Which instances the peer book knows: records and peer lists that add some, and lists for others.

use std::net::SocketAddr;

use indexmap::IndexMap;

use super::peer::{InstanceRecord, Peer};
use super::peer_book::PeerBook;
use super::peer_list::ListedPeer;
use super::peer_selection::weighted_by_link;
use crate::ids::InstanceId;

/// How long after its start a process leaves it to others to have more instances in their lists, before it asks one
/// that reads the store whether it knows all.
const SETTLE_MS: u64 = 3_000;

impl PeerBook {
    /// Adds a peer from its record in the store, unless the peer is known already: its heartbeats are more
    /// recent. Returns whether it was unknown.
    pub(super) fn add_record(&mut self, record: InstanceRecord, now_ms: u64) -> bool {
        if record.instance == self.own_instance || self.peers.contains_key(&record.instance) {
            return false;
        }
        let peer = Peer::from_record(&record, now_ms);
        self.peers.insert(record.instance, peer);
        true
    }

    /// Adds the unknown instances of a peer's list. One that nobody has seen for long stays forgotten.
    pub(super) fn add_listed(&mut self, entries: Vec<ListedPeer>, now_ms: u64) {
        for entry in entries {
            let unseen_ms = u64::from(entry.unseen_ms);
            let instance = &entry.record.instance;
            if *instance == self.own_instance || self.peers.contains_key(instance) {
                continue;
            }
            let peer = Peer {
                cross_zone_interval_ms: entry.cross_zone_interval_ms,
                ..Peer::from_record(&entry.record, now_ms.saturating_sub(unseen_ms))
            };
            if unseen_ms < peer.ttl_ms(&self.own_zone) {
                self.peers.insert(entry.record.instance, peer);
            }
        }
    }

    /// The known instances for a peer's list, from index `from` on in the order of their names.
    pub(super) fn listed(&self, from: usize, now_ms: u64) -> Vec<ListedPeer> {
        let mut names: Vec<(&InstanceId, &Peer)> = self.peers.iter().collect();
        names.sort_unstable_by_key(|(name, _)| *name);
        let listed = names.into_iter().skip(from);
        listed
            .map(|(name, peer)| ListedPeer {
                record: peer.to_record(name),
                cross_zone_interval_ms: peer.cross_zone_interval_ms,
                unseen_ms: u32::try_from(now_ms.saturating_sub(peer.last_seen_ms()))
                    .unwrap_or(u32::MAX),
            })
            .collect()
    }

    /// The peer to ask for its list: one of the own zone that knows more instances than this one, or one
    /// that reads the store if this one `lacks_key` or may not know all. The likelier the faster its link.
    pub(super) fn peer_list_source(
        &self,
        lacks_key: bool,
        random: u64,
        now_ms: u64,
    ) -> Option<SocketAddr> {
        let own_known = self.own_known_instances();
        let is_reader = |peer: &Peer| peer.has_recent_store_answer(now_ms);
        let is_useful = |peer: &&Peer| {
            let knows_more = peer.known_instances > own_known;
            knows_more || (lacks_key && is_reader(peer))
        };
        let is_settled = now_ms >= self.listening_since_ms + SETTLE_MS;
        let must_complete = !self.knows_all() && is_settled;
        let heard = || self.heard_zone_peers(now_ms).map(|(_, peer)| peer);
        let mut sources: Vec<&Peer> = heard().filter(is_useful).collect();
        if sources.is_empty() && must_complete {
            sources = heard().filter(|peer| is_reader(peer)).collect();
        }
        let chosen = weighted_by_link(&sources, |peer| peer.link_mbps, random);
        chosen.map(|peer| peer.address)
    }

    /// Whether heartbeats of an instance of the own zone arrive.
    pub(super) fn hears_zone_peer(&self, now_ms: u64) -> bool {
        self.heard_zone_peers(now_ms).next().is_some()
    }

    /// Whether this instance writes the records of its zone: no other one of the zone ranks ahead of it.
    pub(super) fn is_zone_registrar(&self, now_ms: u64) -> bool {
        self.ranked_ahead(now_ms).next().is_none()
    }

    /// Records of heard peers of the own zone that are missing from the records in the store, or have other
    /// addresses there.
    pub(super) fn unrecorded(
        &self,
        recorded: &IndexMap<InstanceId, InstanceRecord>,
        now_ms: u64,
    ) -> Vec<InstanceRecord> {
        let heard = self.heard_zone_peers(now_ms);
        let records = heard.map(|(name, peer)| peer.to_record(name));
        records.filter(|it| !it.is_recorded_in(recorded)).collect()
    }

    /// Peers of the own zone whose heartbeats arrive.
    pub(super) fn heard_zone_peers(
        &self,
        now_ms: u64,
    ) -> impl Iterator<Item = (&InstanceId, &Peer)> {
        self.peers
            .iter()
            .filter(move |(_, peer)| peer.zone == self.own_zone && self.is_heard(peer, now_ms))
    }
}
