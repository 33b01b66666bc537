//! Calls of the control that have no answer yet.

use indexmap::IndexMap;

use crate::ids::{EndpointId, InstanceId, ServiceName};
use crate::instance::{CallId, ControlEffect, PeerCall, TableCall};
use crate::membership::GossipTo;
use crate::wire::platform::ScanRows;

/// How long a call to the table service may take.
pub(super) const TABLE_TIMEOUT_MS: u64 = 1_000;

/// What a call was for.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Purpose {
    /// Polls the store for accepted documents.
    Watch,
    /// Accepts a document for this operator's call.
    Accept(CallId),
    /// Writes a batch of the audit trail.
    WriteAudit,
    /// Reads a page of the audit trail for this operator's call.
    ReadAudit(CallId, ScanRows),
    /// Reads a past document for this operator's call.
    ReadDocument(CallId),
    /// Reads accepted revisions for this operator's call.
    ReadHistory(CallId, ServiceName),
    /// Reads the instance list.
    Instances,
    /// Exchanges what is known with a peer.
    Gossip(InstanceId),
    /// Fetches documents from a peer.
    Fetch(InstanceId),
    /// Works on the lease of a service.
    Lease(ServiceName),
    /// Asks an engine of a service what it holds.
    ReadEngine(ServiceName, EndpointId),
    /// Sends an order to an engine of a service, under a fencing token.
    Order(ServiceName, EndpointId, u64),
    /// Asks a peer to explain, for this operator's call.
    Explain(CallId, InstanceId),
}

/// Calls without an answer. Their numbers are of another space than those that the driver gives to
/// calls from outside.
#[derive(Clone, Debug, Default)]
pub(super) struct Calls {
    pending: IndexMap<CallId, Purpose>,
    last: u64,
}

impl Calls {
    /// Notes a new call.
    pub(super) fn start(&mut self, purpose: Purpose) -> CallId {
        self.last += 1;
        let call = CallId(self.last);
        self.pending.insert(call, purpose);
        call
    }

    /// Ends a call; `None` if it is not pending.
    pub(super) fn finish(&mut self, call: CallId) -> Option<Purpose> {
        self.pending.swap_remove(&call)
    }

    /// Whether a call for this purpose is pending.
    pub(super) fn is_pending(&self, purpose: &Purpose) -> bool {
        self.pending.values().any(|pending| pending == purpose)
    }
}

impl super::Control {
    pub(super) fn call_table(&mut self, purpose: Purpose, table: TableCall) {
        let call = self.calls.start(purpose);
        self.emit(ControlEffect::CallTable {
            call,
            table,
            timeout_ms: TABLE_TIMEOUT_MS,
        });
    }

    pub(super) fn call_gossip(&mut self, to: GossipTo) {
        let call = self.calls.start(Purpose::Gossip(to.peer));
        self.emit(ControlEffect::CallPeer {
            call,
            address: to.address,
            ask: PeerCall::Gossip(to.message),
            timeout_ms: to.timeout_ms,
            fresh_connection: to.fresh_connection,
        });
    }
}
