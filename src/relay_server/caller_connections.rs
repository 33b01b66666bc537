//! The open connections of callers, and which of them to close: those that exceed the operator's limits, and unused ones
//! when they take up too many sockets.

use std::cmp::Reverse;
use std::rc::Rc;

use indexmap::IndexMap;
use tokio::task::AbortHandle;

use super::adapter::Adapter;
use super::connection_activity::{ConnectionActivity, ConnectionState};
use super::node::Node;
use crate::clock::boot_ms;

/// Maximum number of sockets of an instance whose limit is unknown.
const DEFAULT_SOCKETS: usize = 1_024;
/// Part of the sockets, as a divisor, up to which connections of callers are not limited.
const UNCHECKED_PART: usize = 2;
/// Part of the sockets, as a divisor, that is reserved for endpoints, other instances and new callers.
const RESERVED_PART: usize = 4;
/// Time after which a caller gives up on a new connection. Until then its first request may be on the way.
const FIRST_REQUEST_MS: u64 = 1_000;

/// Number of a connection, in the order of their opening.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct ConnectionId(u64);

/// A connection of a caller.
#[derive(Debug)]
struct CallerConnection {
    /// Serves the connection; aborting it closes the connection.
    task: Option<AbortHandle>,
    activity: Rc<ConnectionActivity>,
}

/// The open connections of callers.
#[derive(Debug)]
pub(crate) struct CallerConnections {
    open: IndexMap<ConnectionId, CallerConnection>,
    next_id: u64,
    max_sockets: usize,
}

impl CallerConnections {
    /// No connections, at an instance that may open this many sockets; 0 if that is unknown.
    pub(super) fn new(max_sockets: u32) -> Self {
        let known = Some(max_sockets as usize).filter(|it| *it > 0);
        Self {
            open: IndexMap::new(),
            next_id: 0,
            max_sockets: known.unwrap_or(DEFAULT_SOCKETS),
        }
    }

    /// Records a new connection.
    pub(super) fn record_opened(&mut self, now_ms: u64) -> (ConnectionId, Rc<ConnectionActivity>) {
        let id = ConnectionId(self.next_id);
        self.next_id += 1;
        let activity = Rc::new(ConnectionActivity::opened(now_ms));
        let connection = CallerConnection {
            task: None,
            activity: Rc::clone(&activity),
        };
        self.open.insert(id, connection);
        (id, activity)
    }

    /// Records the task that serves a connection.
    pub(super) fn record_task(&mut self, id: ConnectionId, task: AbortHandle) {
        if let Some(connection) = self.open.get_mut(&id) {
            connection.task = Some(task);
        }
    }

    /// Records that a connection is closed.
    pub(super) fn record_closed(&mut self, id: ConnectionId) {
        self.open.swap_remove(&id);
    }

    /// Number of connections on which a complete response has not been sent to its end.
    pub(super) fn unsent_responses(&self) -> usize {
        let activities = self.open.values().map(|it| &it.activity);
        activities.filter(|it| it.has_unsent_response()).count()
    }

    /// The connections to close. Above half of the sockets these are the ones that have been idle for longer than
    /// `max_idle_ms`; above the reserve, also those least likely to be used again.
    pub(super) fn excess(&self, max_idle_ms: u64, now_ms: u64) -> Vec<ConnectionId> {
        let unchecked = self.max_sockets / UNCHECKED_PART;
        if self.open.len() <= unchecked {
            return Vec::new();
        }
        let mut unused: Vec<UnusedConnection> = self
            .open
            .iter()
            .filter_map(|(id, it)| UnusedConnection::of(*id, &it.activity, now_ms))
            .collect();
        let is_overdue = |it: &UnusedConnection| it.idle_ms > max_idle_ms;
        unused
            .sort_unstable_by_key(|it| (!is_overdue(it), it.is_reused, Reverse(it.idle_ms), it.id));
        let overdue = unused.iter().filter(|it| is_overdue(it)).count();
        let most = self.max_sockets - self.max_sockets / RESERVED_PART;
        let beyond_reserve = self.open.len().saturating_sub(most);
        let excess = unused.into_iter().take(overdue.max(beyond_reserve));
        excess.map(|it| it.id).collect()
    }

    /// Closes connections.
    fn close(&mut self, ids: &[ConnectionId]) {
        for id in ids {
            if let Some(task) = self.open.swap_remove(id).and_then(|it| it.task) {
                task.abort();
            }
        }
    }
}

/// A connection that may be closed without breaking off a request.
#[derive(Clone, Copy, Debug)]
struct UnusedConnection {
    id: ConnectionId,
    /// Whether its caller has sent several requests on it, and is likely to send another.
    is_reused: bool,
    idle_ms: u64,
}

impl UnusedConnection {
    /// `None` if a request is under way, or a response has not been sent to its end.
    fn of(id: ConnectionId, activity: &ConnectionActivity, now_ms: u64) -> Option<Self> {
        let since_ms = match activity.state() {
            ConnectionState::Serving | ConnectionState::Unsent { .. } => return None,
            ConnectionState::ReceivingHead { .. } => activity.active_at_ms(),
            ConnectionState::Idle { since_ms } => since_ms,
        };
        let idle_ms = now_ms.saturating_sub(since_ms);
        let is_new = activity.requests() == 0 && idle_ms < FIRST_REQUEST_MS;
        (!is_new).then_some(Self {
            id,
            is_reused: activity.requests() > 1,
            idle_ms,
        })
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
    pub(super) id: ConnectionId,
}

impl<A> Drop for RecordOnClose<A>
where
    A: Adapter,
{
    fn drop(&mut self) {
        // The record is borrowed only by `close`, which has already removed this connection.
        if let Ok(mut connections) = self.node.caller_connections.try_borrow_mut() {
            connections.record_closed(self.id);
        }
    }
}
