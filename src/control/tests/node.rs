//! One instance of the simulated cell.

use std::net::SocketAddr;

use indexmap::IndexMap;

use crate::control::Control;
use crate::ids::{EndpointId, InstanceId, ServiceName, ZoneName};
use crate::instance::ControlMessage;
use crate::wire::local::{AccountDemand, DecisionRecord, ServiceCapacity, Snapshot};
use crate::wire::operator::AuditEntry;
use crate::wire::platform::{InstancePhase, InstanceRecord, InstanceRole};

/// One instance.
pub(super) struct Node {
    pub(super) instance: InstanceId,
    pub(super) control_address: SocketAddr,
    pub(super) address: SocketAddr,
    pub(super) control: Option<Control>,
    /// Grows with each process.
    pub(super) life: u64,
    pub(super) started_ms: u64,
    pub(super) frozen: bool,
    pub(super) inbox: Vec<ControlMessage>,
    pub(super) snapshot: Option<Snapshot>,
    /// The highest revision that the entry ever had, over all lives of the instance.
    pub(super) highest: IndexMap<ServiceName, u64>,
    pub(super) entry_stopping: bool,
    pub(super) draining: Vec<EndpointId>,
    pub(super) decisions: Vec<DecisionRecord>,
    pub(super) demands: Vec<AccountDemand>,
    pub(super) capacities: Vec<ServiceCapacity>,
    pub(super) stopped: bool,
    pub(super) recorded: Vec<AuditEntry>,
}

impl Node {
    pub(super) fn new(index: usize) -> Self {
        let host = [10, 0, 0, index as u8];
        Self {
            instance: InstanceId::from(format!("entry-{index}")),
            control_address: SocketAddr::from((host, 2)),
            address: SocketAddr::from((host, 1)),
            control: None,
            life: 0,
            started_ms: 0,
            frozen: false,
            inbox: Vec::new(),
            snapshot: None,
            highest: IndexMap::new(),
            entry_stopping: false,
            draining: Vec::new(),
            decisions: Vec::new(),
            demands: Vec::new(),
            capacities: Vec::new(),
            stopped: false,
            recorded: Vec::new(),
        }
    }

    pub(super) fn record(&self) -> InstanceRecord {
        InstanceRecord {
            name: self.instance.to_string(),
            role: InstanceRole::Entry,
            service: None,
            zone: ZoneName::from("z"),
            address: self.address,
            control_address: Some(self.control_address),
            phase: InstancePhase::Live,
        }
    }

    /// The entry takes a snapshot; no revision may fall below any that this instance ever had.
    pub(super) fn take(&mut self, snapshot: Snapshot) {
        for document in &snapshot.documents {
            let highest = self.highest.entry(document.service.clone()).or_insert(0);
            assert!(
                *highest <= document.revision,
                "{} goes back from revision {highest} to {}",
                self.instance,
                document.revision
            );
            *highest = document.revision;
        }
        self.snapshot = Some(snapshot);
    }
}
