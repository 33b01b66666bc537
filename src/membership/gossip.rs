//! Exchange of beats, states and demands between the controls of a cell.

use std::net::SocketAddr;

use indexmap::{IndexMap, IndexSet};
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::ids::{EndpointId, Incarnation, InstanceId, ServiceName, ZoneName};
use crate::wire::operator::DocumentReply;
use crate::wire::peer::{PeerDemand, PeerMessage, PeerPhase, PeerState, ServiceDemand};

use super::beat::Beat;
use super::listing::Listing;
use super::member::Member;

/// Beats follow the wall clock at this rate, so that a process begins above those of the last.
pub(super) const MS_PER_BEAT: u64 = 100;

/// Who this instance is.
#[derive(Clone, Debug)]
pub(crate) struct OwnNode {
    /// Instance.
    pub(crate) instance: InstanceId,
    /// Availability zone.
    pub(crate) zone: ZoneName,
    /// Where callers connect.
    pub(crate) address: SocketAddr,
    /// Where its control listens.
    pub(crate) control_address: SocketAddr,
    /// This control process.
    pub(crate) incarnation: Incarnation,
}

/// A message to send to a peer.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct GossipTo {
    /// Peer.
    pub(crate) peer: InstanceId,
    /// Where its control listens.
    pub(crate) address: SocketAddr,
    /// Message.
    pub(crate) message: PeerMessage,
    /// How long to wait.
    pub(crate) timeout_ms: u64,
    /// Whether an open connection must not be used.
    pub(crate) fresh_connection: bool,
}

/// What came of a message.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Merged {
    /// Whether a state or a demand was replaced.
    pub(crate) changed: bool,
    /// Documents that came along.
    pub(crate) documents: Vec<DocumentReply>,
}

/// This instance's knowledge of its cell.
#[derive(Debug)]
pub(crate) struct Gossip {
    pub(super) beat: Beat,
    pub(super) own: PeerState,
    pub(super) own_demand: PeerDemand,
    pub(super) members: IndexMap<InstanceId, Member>,
    pub(super) rng: StdRng,
    pub(super) next_round_ms: u64,
    /// Wall clock where `now_ms` is 0.
    pub(super) unix_offset_ms: u64,
    /// Whether peers must hear of the own state at once.
    pub(super) push_due: bool,
}

impl Gossip {
    /// Knows nobody yet. Beats begin at the wall clock's time, above those of an earlier process.
    pub(crate) fn new(own: OwnNode, unix_offset_ms: u64, now_ms: u64, seed: u64) -> Self {
        let number = (unix_offset_ms + now_ms) / MS_PER_BEAT;
        Self {
            beat: Beat {
                number,
                state: number,
                demand: number,
                age_ms: 0,
            },
            own_demand: PeerDemand {
                instance: own.instance.clone(),
                number,
                services: IndexMap::new(),
            },
            own: PeerState {
                instance: own.instance,
                incarnation: own.incarnation,
                number,
                zone: own.zone,
                address: own.address,
                control_address: own.control_address,
                phase: PeerPhase::NotReady,
                revisions: IndexMap::new(),
                leaving: Vec::new(),
                draining: Vec::new(),
            },
            members: IndexMap::new(),
            rng: StdRng::seed_from_u64(seed),
            next_round_ms: 0,
            unix_offset_ms,
            push_due: false,
        }
    }

    /// What this instance says of itself.
    pub(crate) fn own(&self) -> &PeerState {
        &self.own
    }

    /// What is asked of this instance.
    pub(crate) fn own_demand(&self) -> &PeerDemand {
        &self.own_demand
    }

    /// The peers, by instance; this instance is not among them.
    pub(crate) fn members(&self) -> &IndexMap<InstanceId, Member> {
        &self.members
    }

    /// The peers, to note on them that they are counted on.
    pub(crate) fn members_mut(&mut self) -> &mut IndexMap<InstanceId, Member> {
        &mut self.members
    }

    /// This instance and the peers heard of lately.
    pub(crate) fn live(&self, now_ms: u64) -> impl Iterator<Item = &InstanceId> {
        let peers = self.members.iter();
        let live = peers.filter(move |(_, member)| member.is_live(now_ms));
        std::iter::once(&self.own.instance).chain(live.map(|(instance, _)| instance))
    }

    /// Takes the instance list.
    pub(crate) fn set_listing(&mut self, listing: &Listing, now_ms: u64) {
        for member in self.members.values_mut() {
            member.listed = None;
        }
        for record in listing.entries() {
            let instance = InstanceId::from(record.name.as_str());
            if instance != self.own.instance {
                let member = self.members.entry(instance);
                let member = member.or_insert_with(|| Member::first_known(now_ms));
                member.listed = Some(record.clone());
            }
        }
    }

    /// Sets what this instance does; peers hear of a change at once.
    pub(crate) fn set_phase(&mut self, phase: PeerPhase) {
        if self.own.phase != phase {
            self.own.phase = phase;
            self.state_changed();
            self.push_due = true;
        }
    }

    /// Sets the revisions in force here.
    pub(crate) fn set_revisions(&mut self, revisions: IndexMap<ServiceName, u64>) {
        if self.own.revisions != revisions {
            self.own.revisions = revisions;
            self.state_changed();
        }
    }

    /// Sets the endpoints that are leaving as far as this instance sees for itself; peers hear at
    /// once of one that none of them has named.
    pub(crate) fn set_leaving(
        &mut self,
        leaving: &IndexSet<EndpointId>,
        draining: &IndexSet<EndpointId>,
    ) {
        let known_leaving = self.named_by_peers(|state| &state.leaving);
        let known_draining = self.named_by_peers(|state| &state.draining);
        let leaving: Vec<EndpointId> = leaving.iter().cloned().collect();
        let draining: Vec<EndpointId> = draining.iter().cloned().collect();
        if self.own.leaving == leaving && self.own.draining == draining {
            return;
        }
        let news = |now: &[EndpointId], before: &[EndpointId], known: &IndexSet<EndpointId>| {
            now.iter()
                .any(|it| !before.contains(it) && !known.contains(it))
        };
        self.push_due |= news(&leaving, &self.own.leaving, &known_leaving)
            || news(&draining, &self.own.draining, &known_draining);
        self.own.leaving = leaving;
        self.own.draining = draining;
        self.state_changed();
    }

    /// Endpoints that peers name in one of their lists.
    pub(crate) fn named_by_peers<F>(&self, list: F) -> IndexSet<EndpointId>
    where
        F: Fn(&PeerState) -> &Vec<EndpointId>,
    {
        let states = self.members.values().filter_map(|it| it.state.as_ref());
        states
            .flat_map(|state| list(state).iter().cloned())
            .collect()
    }

    /// Sets what is asked of this instance.
    pub(crate) fn set_demand(&mut self, services: IndexMap<ServiceName, ServiceDemand>) {
        if self.own_demand.services != services {
            self.own_demand.services = services;
            self.demand_changed();
        }
    }

    pub(super) fn demand_changed(&mut self) {
        self.beat.number += 1;
        self.beat.demand = self.beat.number;
        self.own_demand.number = self.beat.number;
    }

    pub(super) fn state_changed(&mut self) {
        self.beat.number += 1;
        self.beat.state = self.beat.number;
        self.own.number = self.beat.number;
    }
}
