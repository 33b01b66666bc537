//! Which messages are due: regular exchanges, questions to silent peers, news to all.

use rand::RngExt;

use crate::ids::InstanceId;
use crate::wire::WIRE_VERSION;
use crate::wire::operator::DocumentReply;
use crate::wire::peer::{HeartbeatDigest, PeerMessage, PeerUpdates};

use super::beat::{Beat, BeatMap};
use super::gossip::{Gossip, GossipTo, MS_PER_BEAT};
use super::member::PROBE_MS;

/// Pause between two regular exchanges.
const ROUND_MS: u64 = 500;
/// Pause between two direct questions to a peer that went silent lately.
const PROBE_AGAIN_MS: u64 = 500;
/// Pause between two direct questions to a peer that has been silent for long.
const PROBE_SILENT_MS: u64 = 3_000;
/// Silence after which direct questions become rare.
const SILENT_LONG_MS: u64 = 5_000;
/// Age of the last answer on a connection after which a direct question does not use it.
const CONNECTION_SILENT_MS: u64 = 5_000;
/// How long an exchange may take.
const TIMEOUT_MS: u64 = 700;
/// Numbers after which an unchanged state is told anew.
const TOLD_ANEW: u64 = 10_000;
/// How long a peer that the list does not name is remembered after its last beat.
const FORGET_MS: u64 = 60_000;

impl Gossip {
    /// Messages due now: the regular exchange, direct questions to silent peers, news to all.
    pub(crate) fn due(&mut self, now_ms: u64) -> Vec<GossipTo> {
        let mut messages = Vec::new();
        if std::mem::take(&mut self.push_due) {
            messages = self.push(Vec::new(), now_ms);
        }
        if now_ms >= self.next_round_ms {
            self.next_round_ms = now_ms + ROUND_MS + self.rng.random_range(0..ROUND_MS / 10);
            self.beat_again(now_ms);
            self.forget_unlisted(now_ms);
            messages.extend(self.regular(now_ms));
        }
        messages.extend(self.probes(now_ms));
        messages
    }

    /// Counts the own beat up, along with the wall clock, so that the numbers of a cell stay close
    /// together. A state or demand that has not changed for long is told anew, for the same
    /// reason.
    fn beat_again(&mut self, now_ms: u64) {
        let clock = (self.unix_offset_ms + now_ms) / MS_PER_BEAT;
        self.beat.number = clock.max(self.beat.number + 1);
        if self.beat.number - self.beat.state > TOLD_ANEW {
            self.state_changed();
        }
        if self.beat.number - self.beat.demand > TOLD_ANEW {
            self.demand_changed();
        }
    }

    /// A message to every peer with the own state and documents just accepted.
    pub(crate) fn push(&mut self, documents: Vec<DocumentReply>, now_ms: u64) -> Vec<GossipTo> {
        let peers: Vec<InstanceId> = self.members.keys().cloned().collect();
        let news = PeerUpdates {
            states: vec![self.own.clone()],
            demands: Vec::new(),
            documents,
        };
        let message = |gossip: &mut Self, peer: &InstanceId| {
            let beats = gossip.write_beats(peer, &gossip.digest(now_ms));
            let message = gossip.message(Some(beats), news.clone());
            gossip.address_to(peer, message)
        };
        let messages = peers.iter().filter_map(|peer| message(self, peer));
        messages.collect()
    }

    /// Asks the live peer that was heard of least lately.
    fn regular(&mut self, now_ms: u64) -> Option<GossipTo> {
        let live = self
            .members
            .iter()
            .filter(|(_, it)| it.is_live(now_ms) && !it.asked);
        let (peer, _) = live.max_by_key(|(_, it)| it.silent_ms(now_ms))?;
        self.ask(&peer.clone(), now_ms)
    }

    /// Direct questions to peers that have been silent for a while.
    fn probes(&mut self, now_ms: u64) -> Vec<GossipTo> {
        let mut silent = Vec::new();
        for (instance, member) in &mut self.members {
            let silent_ms = member.silent_ms(now_ms).unwrap_or(u64::MAX);
            if silent_ms <= PROBE_MS || now_ms < member.probe_at_ms || member.asked {
                continue;
            }
            let pause_ms = if silent_ms > SILENT_LONG_MS {
                PROBE_SILENT_MS
            } else {
                PROBE_AGAIN_MS
            };
            member.probe_at_ms = now_ms + pause_ms + self.rng.random_range(0..pause_ms / 5);
            let answered_ms = member.answered_ms.unwrap_or(member.known_ms);
            member.failed |= now_ms.saturating_sub(answered_ms) > CONNECTION_SILENT_MS;
            silent.push(instance.clone());
        }
        silent
            .iter()
            .filter_map(|peer| self.ask(peer, now_ms))
            .collect()
    }

    fn ask(&mut self, peer: &InstanceId, now_ms: u64) -> Option<GossipTo> {
        if self.members.get(peer)?.asked {
            return None;
        }
        let beats = self.write_beats(peer, &self.digest(now_ms));
        let message = self.message(Some(beats), PeerUpdates::default());
        let message = self.address_to(peer, message)?;
        self.members.get_mut(peer)?.asked = true;
        Some(message)
    }

    pub(super) fn message(&self, beats: Option<HeartbeatDigest>, news: PeerUpdates) -> PeerMessage {
        PeerMessage {
            wire_version: WIRE_VERSION,
            from: self.own.instance.clone(),
            beats,
            news,
        }
    }

    pub(super) fn address_to(&self, peer: &InstanceId, message: PeerMessage) -> Option<GossipTo> {
        let member = self.members.get(peer)?;
        Some(GossipTo {
            peer: peer.clone(),
            address: member.control_address()?,
            message,
            timeout_ms: TIMEOUT_MS,
            fresh_connection: member.failed,
        })
    }

    /// Beats of this instance and of the peers heard of lately. Silent ones are left out, so that
    /// nobody takes an old beat for a new one.
    pub(super) fn digest(&self, now_ms: u64) -> BeatMap {
        let live = self.members.iter().filter(|(_, it)| it.is_live(now_ms));
        let peers = live.filter_map(|(instance, it)| {
            let age_ms = it.silent_ms(now_ms)?;
            Some((instance.clone(), Beat { age_ms, ..it.beat? }))
        });
        std::iter::once((self.own.instance.clone(), self.beat))
            .chain(peers)
            .collect()
    }

    fn forget_unlisted(&mut self, now_ms: u64) {
        self.members.retain(|_, member| {
            let last_ms = member.heard_ms.unwrap_or(member.known_ms);
            member.listed.is_some() || now_ms.saturating_sub(last_ms) < FORGET_MS
        });
    }
}
