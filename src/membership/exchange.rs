//! What a message changes, and what is answered to it.

use crate::ids::InstanceId;
use crate::wire::WIRE_VERSION;
use crate::wire::peer::{
    HeartbeatDigest, PeerDemand, PeerMessage, PeerReply, PeerState, PeerUpdates,
};

use super::beat::{Beat, BeatMap, decode, encode, order_hash};
use super::gossip::{Gossip, GossipTo, Merged};
use super::member::Member;

impl Gossip {
    /// Takes what a message says; its beats are `beats` as [`Gossip::read_beats`] gives them.
    pub(crate) fn merge(
        &mut self,
        message: PeerMessage,
        beats: Option<&BeatMap>,
        now_ms: u64,
    ) -> Merged {
        if let Some(beats) = beats {
            self.merge_beats(&message.from, beats, now_ms);
        }
        self.merge_news(message.news, now_ms)
    }

    /// Reads a peer's beats; `None` if it speaks of other instances than are known here.
    pub(crate) fn read_beats(
        &mut self,
        peer: &InstanceId,
        beats: &HeartbeatDigest,
    ) -> Option<BeatMap> {
        if let Some(member) = self.members.get_mut(peer) {
            member.order = Some(beats.order);
        }
        decode(&self.order(), beats)
    }

    /// Answers a message that had beats; `told` are those that could be read.
    pub(crate) fn reply(
        &self,
        peer: &InstanceId,
        told: Option<&BeatMap>,
        now_ms: u64,
    ) -> PeerReply {
        let mut reply = PeerReply {
            wire_version: WIRE_VERSION,
            ..PeerReply::default()
        };
        let mut digest = self.digest(now_ms);
        if let Some(told) = told {
            self.add_news(told, &digest, &mut reply.news);
            self.add_wants(told, &mut reply);
            digest.retain(|instance, beat| {
                told.get(instance).is_none_or(|it| it.number < beat.number)
            });
        }
        reply.beats = Some(self.write_beats(peer, &digest));
        reply
    }

    /// Takes a peer's answer; returns a message with what the peer lacks.
    pub(crate) fn answered(
        &mut self,
        peer: &InstanceId,
        reply: Option<PeerReply>,
        now_ms: u64,
    ) -> (Merged, Option<GossipTo>) {
        if let Some(member) = self.members.get_mut(peer) {
            member.asked = false;
            member.failed = reply.is_none();
            if reply.is_some() {
                member.answered_ms = Some(now_ms);
            }
        }
        let Some(reply) = reply else {
            return (Merged::default(), None);
        };
        let beats = reply.beats.as_ref();
        if let Some(beats) = beats.and_then(|beats| self.read_beats(peer, beats)) {
            self.merge_beats(peer, &beats, now_ms);
        }
        let merged = self.merge_news(reply.news, now_ms);
        let wanted = self.wanted(&reply.want_states, &reply.want_demands);
        let message = (!wanted.is_empty()).then(|| self.message(None, wanted));
        let follow_up = message.and_then(|message| self.address_to(peer, message));
        (merged, follow_up)
    }

    /// Writes beats for a peer, with names only where its list is another one.
    pub(super) fn write_beats(&self, peer: &InstanceId, beats: &BeatMap) -> HeartbeatDigest {
        let order = self.order();
        let known = self.members.get(peer).and_then(|member| member.order);
        encode(&order, beats, known != Some(order_hash(&order)))
    }

    /// The sorted names of all instances known here.
    fn order(&self) -> Vec<InstanceId> {
        let own = std::iter::once(&self.own.instance);
        let mut order: Vec<InstanceId> = own.chain(self.members.keys()).cloned().collect();
        order.sort();
        order
    }

    fn merge_beats(&mut self, from: &InstanceId, beats: &BeatMap, now_ms: u64) {
        for (instance, beat) in beats {
            self.merge_beat(instance, *beat, instance == from, now_ms);
        }
    }

    /// Adds what the other side knows less well.
    fn add_news(&self, told: &BeatMap, digest: &BeatMap, news: &mut PeerUpdates) {
        for (instance, beat) in digest {
            let told = told.get(instance);
            if told.is_none_or(|told| told.state < beat.state) {
                news.states.extend(self.state_of(instance).cloned());
            }
            if told.is_none_or(|told| told.demand < beat.demand) {
                news.demands.extend(self.demand_of(instance).cloned());
            }
        }
    }

    fn merge_beat(&mut self, instance: &InstanceId, beat: Beat, first_hand: bool, now_ms: u64) {
        if *instance == self.own.instance {
            self.rise_above(beat);
            return;
        }
        let member = self
            .members
            .entry(instance.clone())
            .or_insert_with(|| Member::first_known(now_ms));
        match member.beat {
            Some(known) if known.number >= beat.number => {}
            Some(_) => {
                member.beat = Some(beat);
                // The sender's age may be wrong by what the message waited, never to the future.
                let at_ms = now_ms.saturating_sub(beat.age_ms);
                member.heard_ms = member.heard_ms.max(Some(at_ms));
            }
            None => {
                member.beat = Some(beat);
                member.heard_ms = first_hand.then_some(now_ms);
            }
        }
    }

    /// Peers know a higher beat under this name, of an earlier process with a faster clock.
    fn rise_above(&mut self, beat: Beat) {
        if beat.number > self.beat.number {
            self.beat.number = beat.number;
            self.state_changed();
            self.demand_changed();
        }
    }

    fn merge_news(&mut self, news: PeerUpdates, now_ms: u64) -> Merged {
        let mut changed = false;
        for state in news.states {
            changed |= self.merge_state(state, now_ms);
        }
        for demand in news.demands {
            changed |= self.merge_demand(demand, now_ms);
        }
        Merged {
            changed,
            documents: news.documents,
        }
    }

    fn merge_state(&mut self, state: PeerState, now_ms: u64) -> bool {
        if state.instance == self.own.instance {
            return false;
        }
        let member = self
            .members
            .entry(state.instance.clone())
            .or_insert_with(|| Member::first_known(now_ms));
        let known = member.state.as_ref().map(|known| known.number);
        let newer = known.is_none_or(|known| known < state.number);
        if newer {
            member.state = Some(state);
        }
        newer
    }

    fn merge_demand(&mut self, demand: PeerDemand, now_ms: u64) -> bool {
        if demand.instance == self.own.instance {
            return false;
        }
        let member = self
            .members
            .entry(demand.instance.clone())
            .or_insert_with(|| Member::first_known(now_ms));
        let known = member.demand.as_ref().map(|known| known.number);
        let newer = known.is_none_or(|known| known < demand.number);
        if newer {
            member.demand = Some(demand);
        }
        newer
    }

    /// Asks for states and demands that the other side knows better.
    fn add_wants(&self, beats: &BeatMap, reply: &mut PeerReply) {
        for (instance, beat) in beats {
            if *instance == self.own.instance {
                continue;
            }
            let state = self.state_of(instance).map(|state| state.number);
            if state.is_none_or(|number| number < beat.state) {
                reply.want_states.push(instance.clone());
            }
            let demand = self.demand_of(instance).map(|demand| demand.number);
            if demand.is_none_or(|number| number < beat.demand) {
                reply.want_demands.push(instance.clone());
            }
        }
    }

    fn wanted(&self, states: &[InstanceId], demands: &[InstanceId]) -> PeerUpdates {
        let states = states.iter().filter_map(|it| self.state_of(it));
        let demands = demands.iter().filter_map(|it| self.demand_of(it));
        PeerUpdates {
            states: states.cloned().collect(),
            demands: demands.cloned().collect(),
            documents: Vec::new(),
        }
    }

    pub(super) fn state_of(&self, instance: &InstanceId) -> Option<&PeerState> {
        if *instance == self.own.instance {
            return Some(&self.own);
        }
        self.members.get(instance)?.state.as_ref()
    }

    fn demand_of(&self, instance: &InstanceId) -> Option<&PeerDemand> {
        if *instance == self.own.instance {
            return Some(&self.own_demand);
        }
        self.members.get(instance)?.demand.as_ref()
    }
}
