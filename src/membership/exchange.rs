//! What a message changes, and what is answered to it.

use indexmap::IndexMap;

use crate::ids::InstanceId;
use crate::wire::WIRE_VERSION;
use crate::wire::peer::{Beat, News, PeerDemand, PeerMessage, PeerReply, PeerState};

use super::gossip::{Gossip, GossipTo, Merged};
use super::member::Member;

impl Gossip {
    /// Takes what a message says.
    pub(crate) fn merge(&mut self, message: PeerMessage, now_ms: u64) -> Merged {
        for (instance, beat) in &message.beats {
            self.merge_beat(instance, *beat, *instance == message.from, now_ms);
        }
        self.merge_news(message.news, now_ms)
    }

    /// Answers a message whose beats were `beats`.
    pub(crate) fn reply(&self, beats: &IndexMap<InstanceId, Beat>, now_ms: u64) -> PeerReply {
        let mut reply = PeerReply {
            wire_version: WIRE_VERSION,
            ..PeerReply::default()
        };
        if beats.is_empty() {
            return reply;
        }
        for (instance, beat) in self.digest(now_ms) {
            let told = beats.get(&instance);
            if told.is_none_or(|told| told.number < beat.number) {
                reply.beats.insert(instance.clone(), beat);
            }
            if told.is_none_or(|told| told.state < beat.state) {
                reply.news.states.extend(self.state_of(&instance).cloned());
            }
            if told.is_none_or(|told| told.demand < beat.demand) {
                reply
                    .news
                    .demands
                    .extend(self.demand_of(&instance).cloned());
            }
        }
        self.add_wants(beats, &mut reply);
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
        }
        let Some(reply) = reply else {
            return (Merged::default(), None);
        };
        for (instance, beat) in &reply.beats {
            self.merge_beat(instance, *beat, instance == peer, now_ms);
        }
        let merged = self.merge_news(reply.news, now_ms);
        let wanted = self.wanted(&reply.want_states, &reply.want_demands);
        let message = (!wanted.is_empty()).then(|| self.message(IndexMap::new(), wanted));
        let follow_up = message.and_then(|message| self.address_to(peer, message));
        (merged, follow_up)
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
            self.beat.demand = self.beat.number;
            self.own_demand.number = self.beat.number;
        }
    }

    fn merge_news(&mut self, news: News, now_ms: u64) -> Merged {
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
    fn add_wants(&self, beats: &IndexMap<InstanceId, Beat>, reply: &mut PeerReply) {
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

    fn wanted(&self, states: &[InstanceId], demands: &[InstanceId]) -> News {
        let states = states.iter().filter_map(|it| self.state_of(it));
        let demands = demands.iter().filter_map(|it| self.demand_of(it));
        News {
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
