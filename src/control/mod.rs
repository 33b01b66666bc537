//! The control's state machine: documents, membership, shares, orders, audit trail, operators.
//!
//! [`Control::handle`] takes a message and the present time and returns effects. Nothing in here
//! reads a clock, a socket or a random source; [`crate::instance`] shows all messages and effects.

mod calls;
mod cell;
mod config;
mod documents;
mod engine_book;
mod engines;
mod entry_link;
mod exchange;
mod explain;
mod kept;
mod operators;
mod readiness;
mod shares;
mod stopping;
mod tallies;
#[cfg(test)]
pub(crate) mod tests;

use indexmap::IndexMap;

pub use config::ControlConfig;

use crate::audit::AuditQueue;
use crate::instance::{CallId, ControlEffect, ControlMessage};
use crate::invariant;
use crate::membership::{Gossip, LeavingSigns, Listing, OwnNode};
use crate::revision::{Acceptance, Documents, Watch};
use crate::wire::operator::{AuditActor, AuditEntry, AuditEvent};
use calls::Calls;
use engines::EngineOrders;
use entry_link::EntryLink;
use exchange::SnapshotKeeper;
use explain::Gathering;
use kept::KeptDecisions;
use readiness::Readiness;
use shares::Shares;
use stopping::Stopping;
use tallies::Tallies;

/// The control of one instance.
#[derive(Debug)]
pub struct Control {
    config: ControlConfig,
    documents: Documents,
    watch: Watch,
    readiness: Readiness,
    listing: Listing,
    gossip: Gossip,
    signs: LeavingSigns,
    entry: EntryLink,
    shares: Shares,
    snapshots: SnapshotKeeper,
    orders: EngineOrders,
    /// Acceptances under way, by the operator's call.
    acceptances: IndexMap<CallId, Acceptance>,
    /// Explanations for which peers are being asked, by the operator's call.
    gatherings: IndexMap<CallId, Gathering>,
    audit: AuditQueue,
    kept: KeptDecisions,
    tallies: Tallies,
    calls: Calls,
    stopping: Stopping,
    effects: Vec<ControlEffect>,
    next_look_ms: u64,
}

/// Pause between two looks at what only time changes.
const LOOK_MS: u64 = 100;

impl Control {
    /// A control that knows nothing yet.
    pub fn new(config: ControlConfig, now_ms: u64) -> Self {
        let unix_ms = config.unix_ms(now_ms);
        let own = OwnNode {
            instance: config.instance.clone(),
            zone: config.zone.clone(),
            address: config.address,
            control_address: config.control_address,
            incarnation: config.incarnation,
        };
        Self {
            documents: Documents::default(),
            watch: Watch::new(now_ms),
            readiness: Readiness::default(),
            listing: Listing::default(),
            gossip: Gossip::new(own, config.unix_offset_ms, now_ms, config.seed),
            signs: LeavingSigns::default(),
            entry: EntryLink::default(),
            shares: Shares::default(),
            snapshots: SnapshotKeeper::new(unix_ms),
            orders: EngineOrders::default(),
            acceptances: IndexMap::new(),
            gatherings: IndexMap::new(),
            audit: AuditQueue::new(config.instance.clone(), config.incarnation),
            kept: KeptDecisions::default(),
            tallies: Tallies::default(),
            calls: Calls::default(),
            stopping: Stopping::default(),
            effects: Vec::new(),
            next_look_ms: 0,
            config,
        }
    }

    /// Takes one message and returns what is to be done.
    pub fn handle(&mut self, message: ControlMessage, now_ms: u64) -> Vec<ControlEffect> {
        let before = self.documents.revisions();
        self.take(message, now_ms);
        self.run(now_ms);
        invariant::check(
            before
                .iter()
                .all(|(service, revision)| self.documents.revision(service) >= *revision),
            "revision_never_falls",
            || format!("{before:?} before, {:?} after", self.documents.revisions()),
        );
        std::mem::take(&mut self.effects)
    }

    /// Whether documents from the store, or from a peer that has heard from it, are in force.
    pub fn is_ready(&self) -> bool {
        self.readiness.is_ready()
    }

    fn take(&mut self, message: ControlMessage, now_ms: u64) {
        match message {
            ControlMessage::EntryReported { call, report } => {
                self.entry_reported(call, report, now_ms);
            }
            ControlMessage::PeerAsked { call, ask } => self.peer_asked(call, ask, now_ms),
            ControlMessage::PeerAnswered { call, result } => {
                self.peer_answered(call, result, now_ms);
            }
            ControlMessage::OperatorAsked { call, key, ask } => {
                self.operator_asked(call, key, ask, now_ms);
            }
            ControlMessage::InstancesRead { call, result } => {
                self.instances_read(call, result, now_ms);
            }
            ControlMessage::TableAnswered { call, result } => {
                self.table_answered(call, result, now_ms);
            }
            ControlMessage::EngineAnswered { call, result } => {
                self.engine_answered(call, result, now_ms);
            }
            ControlMessage::Tick => {}
            ControlMessage::Stop => self.stop(now_ms),
        }
    }

    /// Does what is due after any message.
    fn run(&mut self, now_ms: u64) {
        self.wake_acceptances(now_ms);
        if now_ms >= self.next_look_ms {
            self.next_look_ms = now_ms + LOOK_MS;
            self.look_around(now_ms);
        }
        self.settle_phase(now_ms);
        self.send_gossip(now_ms);
        self.write_audit(now_ms);
        self.end_stop(now_ms);
    }

    /// What only the passing of time changes.
    fn look_around(&mut self, now_ms: u64) {
        self.poll_store(now_ms);
        self.read_instances(now_ms);
        self.fetch_documents(now_ms);
        self.settle_readiness(now_ms);
        self.settle_leaving(now_ms);
        self.note_members(now_ms);
        self.settle_orders(now_ms);
        self.settle_shares(now_ms);
        self.settle_tallies(now_ms);
        self.settle_snapshot(now_ms);
    }

    fn emit(&mut self, effect: ControlEffect) {
        self.effects.push(effect);
    }

    /// Notes a change of state in the audit trail and, through the driver, in the log.
    fn record(&mut self, event: AuditEvent, now_ms: u64) {
        let entry = self.audit_entry(event, now_ms);
        self.audit.push(entry.clone());
        self.emit(ControlEffect::Recorded { entry });
    }

    /// Notes in the log only what another instance writes to the audit trail.
    fn log_only(&mut self, event: AuditEvent, now_ms: u64) {
        let entry = self.audit_entry(event, now_ms);
        self.emit(ControlEffect::Recorded { entry });
    }

    fn audit_entry(&self, event: AuditEvent, now_ms: u64) -> AuditEntry {
        AuditEntry {
            at_unix_ms: self.config.unix_ms(now_ms),
            instance: self.config.instance.clone(),
            actor: AuditActor::System,
            event,
        }
    }
}
