//! The open connections of callers, and which idle ones to close when they take up too many sockets.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::rc::Rc;

use indexmap::IndexMap;
use tokio::task::AbortHandle;

use super::adapter::Adapter;
use super::node::Node;
use crate::clock::boot_ms;

/// Maximum number of sockets of an instance whose limit is unknown.
const DEFAULT_SOCKETS: usize = 1_024;
/// Part of the sockets, as a divisor, up to which connections of callers are not limited.
const UNCHECKED_PART: usize = 2;
/// Part of the sockets, as a divisor, that is reserved for endpoints, other instances and new callers.
const RESERVED_PART: usize = 4;

/// A connection of a caller.
#[derive(Debug)]
struct CallerConnection {
    /// Closes the connection.
    task: AbortHandle,
    /// Requests on it whose responses are not complete.
    open_requests: u32,
    /// When it was opened, or the last response was complete.
    idle_since_ms: u64,
}

/// The open connections of callers, by the caller's address.
#[derive(Debug)]
pub(crate) struct CallerConnections {
    open: IndexMap<SocketAddr, CallerConnection>,
    max_sockets: usize,
}

impl CallerConnections {
    /// No connections, at an instance that may open this many sockets; 0 if that is unknown.
    pub(super) fn new(max_sockets: u32) -> Self {
        let known = Some(max_sockets as usize).filter(|it| *it > 0);
        Self {
            open: IndexMap::new(),
            max_sockets: known.unwrap_or(DEFAULT_SOCKETS),
        }
    }

    /// Records a new connection, which `task` serves.
    pub(super) fn record_opened(&mut self, caller: SocketAddr, task: AbortHandle, now_ms: u64) {
        let connection = CallerConnection {
            task,
            open_requests: 0,
            idle_since_ms: now_ms,
        };
        self.open.insert(caller, connection);
    }

    /// Records that a connection is closed.
    pub(super) fn record_closed(&mut self, caller: SocketAddr) {
        self.open.swap_remove(&caller);
    }

    /// Records that a request has arrived.
    pub(super) fn record_request(&mut self, caller: SocketAddr) {
        if let Some(connection) = self.open.get_mut(&caller) {
            connection.open_requests += 1;
        }
    }

    /// Records that a response is complete.
    pub(super) fn record_response(&mut self, caller: SocketAddr, now_ms: u64) {
        if let Some(connection) = self.open.get_mut(&caller) {
            connection.open_requests = connection.open_requests.saturating_sub(1);
            connection.idle_since_ms = now_ms;
        }
    }

    /// The connections to close. Above half of the sockets these are the ones that have been idle for longer than
    /// `max_idle_ms`; above the reserve, also those that have been idle longest.
    pub(super) fn excess(&self, max_idle_ms: u64, now_ms: u64) -> Vec<SocketAddr> {
        let unchecked = self.max_sockets / UNCHECKED_PART;
        if self.open.len() <= unchecked {
            return Vec::new();
        }
        let is_idle = |connection: &CallerConnection| connection.open_requests == 0;
        let mut idle: Vec<(u64, SocketAddr)> = self
            .open
            .iter()
            .filter(|(_, connection)| is_idle(connection))
            .map(|(caller, connection)| (now_ms.saturating_sub(connection.idle_since_ms), *caller))
            .collect();
        idle.sort_unstable_by_key(|(idle_ms, _)| Reverse(*idle_ms));
        let overdue = idle
            .iter()
            .filter(|(idle_ms, _)| *idle_ms > max_idle_ms)
            .count();
        let most = self.max_sockets - self.max_sockets / RESERVED_PART;
        let beyond_reserve = self.open.len().saturating_sub(most);
        let excess = idle.into_iter().take(overdue.max(beyond_reserve));
        excess.map(|(_, caller)| caller).collect()
    }

    /// Closes connections.
    fn close(&mut self, callers: &[SocketAddr]) {
        for caller in callers {
            if let Some(connection) = self.open.swap_remove(caller) {
                connection.task.abort();
            }
        }
    }
}

/// Closes connections of callers that take up too many sockets.
pub(super) fn close_excess<A>(node: &Node<A>)
where
    A: Adapter,
{
    let table = node.table.borrow();
    let max_idle_ms = table
        .table()
        .map_or(0, |table| table.limits.idle_timeout_ms);
    let mut connections = node.caller_connections.borrow_mut();
    let excess = connections.excess(max_idle_ms, boot_ms());
    if excess.is_empty() {
        return;
    }
    let open = connections.open.len();
    connections.close(&excess);
    node.counters.count("relay.idle_connections_closed");
    log::info!(closed = excess.len(), open, max_idle_ms; "idle connections of callers are closed");
}

/// Removes a connection from the record when it is closed.
pub(super) struct RecordOnClose<A>
where
    A: Adapter,
{
    pub(super) node: Rc<Node<A>>,
    pub(super) caller: SocketAddr,
}

impl<A> Drop for RecordOnClose<A>
where
    A: Adapter,
{
    fn drop(&mut self) {
        // The record is borrowed only by `close`, which has already removed this connection.
        if let Ok(mut connections) = self.node.caller_connections.try_borrow_mut() {
            connections.record_closed(self.caller);
        }
    }
}
