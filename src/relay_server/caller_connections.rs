//! The open connections of callers, and which of them to close: those that exceed the operator's limits, and unused ones
//! when they take up too many sockets.

use std::cmp::Reverse;
use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexMap;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::sleep;

use super::adapter::Adapter;
use super::caller_link::Readable;
use super::connection_activity::{ConnectionActivity, ConnectionState};
use super::connection_timeouts::{TimeoutHistory, Timeouts};
use super::node::Node;
use crate::clock::boot_ms;

/// Maximum number of sockets of an instance whose limit is unknown.
const DEFAULT_SOCKETS: usize = 1_024;
/// Part of the sockets, as a divisor, that is reserved for endpoints, other instances and new callers.
const RESERVED_PART: usize = 4;
/// Part of the sockets, as a divisor, that callers never take.
const ENDPOINTS_PART: usize = 8;
/// Part of the sockets, as a divisor, that is made free at once when none can be opened.
const FREED_PART: usize = 16;
/// Time after which a caller gives up on a new connection. Until then its first request may be on the way.
const FIRST_REQUEST_MS: u64 = 1_000;
/// Time after a request in which a connection used for several requests is in use. The platform asks once a second
/// whether the instance is ready.
const RECENT_USE_MS: u64 = 2_000;
/// Interval between checks of all connections.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// The response to a request whose head has not arrived in time.
const HEAD_TIMEOUT_RESPONSE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";

/// Number of a connection, in the order of their opening.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct ConnectionId(u64);

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseCause {
    /// The head of a request has not arrived in time.
    HeadTimeout,
    /// It was idle for longer than the operator allows, or its caller has not read for so long.
    IdleTimeout,
    /// Others need the socket.
    Sockets,
}

/// A connection of a caller.
#[derive(Debug)]
struct CallerConnection {
    activity: Rc<ConnectionActivity>,
    /// What serves it, once that is running.
    server: Option<ConnectionServer>,
}

/// What serves a connection.
#[derive(Debug)]
pub(super) struct ConnectionServer {
    /// Aborting it closes the connection.
    pub(super) task: AbortHandle,
    pub(super) stream: Rc<TcpStream>,
}

/// The open connections of callers.
#[derive(Debug)]
pub(crate) struct CallerConnections {
    open: IndexMap<ConnectionId, CallerConnection>,
    next_id: u64,
    max_sockets: usize,
    timeouts: TimeoutHistory,
}

impl CallerConnections {
    /// No connections, at an instance that may open this many sockets; 0 if that is unknown.
    pub(super) fn new(max_sockets: u32) -> Self {
        let known = Some(max_sockets as usize).filter(|it| *it > 0);
        Self {
            open: IndexMap::new(),
            next_id: 0,
            max_sockets: known.unwrap_or(DEFAULT_SOCKETS),
            timeouts: TimeoutHistory::default(),
        }
    }

    /// Records a new connection.
    pub(super) fn record_opened(&mut self, now_ms: u64) -> (ConnectionId, Rc<ConnectionActivity>) {
        let id = ConnectionId(self.next_id);
        self.next_id += 1;
        let activity = Rc::new(ConnectionActivity::opened(now_ms));
        let connection = CallerConnection {
            activity: Rc::clone(&activity),
            server: None,
        };
        self.open.insert(id, connection);
        (id, activity)
    }

    /// Records what serves a connection.
    pub(super) fn record_server(&mut self, id: ConnectionId, server: ConnectionServer) {
        if let Some(connection) = self.open.get_mut(&id) {
            connection.server = Some(server);
        }
    }

    /// Records that a connection is closed.
    pub(super) fn record_closed(&mut self, id: ConnectionId) {
        self.open.swap_remove(&id);
    }

    /// Records the limits of the document in force.
    pub(super) fn update_timeouts(&mut self, timeouts: Timeouts, now_ms: u64) {
        self.timeouts.update(timeouts, now_ms);
    }

    /// Maximum number of sockets.
    pub(super) fn max_sockets(&self) -> usize {
        self.max_sockets
    }

    /// Number of open connections.
    pub(super) fn count(&self) -> usize {
        self.open.len()
    }

    /// Whether callers have all the sockets that they may take.
    pub(super) fn is_full(&self) -> bool {
        self.open.len() >= self.max_sockets - self.max_sockets / ENDPOINTS_PART
    }

    /// Number of connections on which a complete response has not been sent to its end.
    pub(super) fn unsent_responses(&self) -> usize {
        let activities = self.open.values().map(|it| &it.activity);
        activities.filter(|it| it.has_unsent_response()).count()
    }

    /// The connections that exceed the operator's limits.
    pub(super) fn overdue(&self, now_ms: u64) -> Vec<(ConnectionId, CloseCause)> {
        let open = self.open.iter();
        open.filter_map(|(id, it)| Some((*id, self.overdue_cause(&it.activity, now_ms)?)))
            .collect()
    }

    fn overdue_cause(&self, activity: &ConnectionActivity, now_ms: u64) -> Option<CloseCause> {
        let (since_ms, cause) = match activity.state() {
            ConnectionState::Serving => return None,
            ConnectionState::ReceivingHead { since_ms } => (since_ms, CloseCause::HeadTimeout),
            ConnectionState::Unsent { since_ms } | ConnectionState::Idle { since_ms } => {
                (since_ms, CloseCause::IdleTimeout)
            }
        };
        let timeouts = self.timeouts.since(since_ms);
        let limit_ms = match cause {
            CloseCause::HeadTimeout => timeouts.head_ms,
            CloseCause::IdleTimeout | CloseCause::Sockets => timeouts.idle_ms,
        };
        (now_ms > since_ms + limit_ms).then_some(cause)
    }

    /// The connections to close because callers take up the reserve.
    pub(super) fn excess(&self, now_ms: u64) -> Vec<ConnectionId> {
        let most = self.max_sockets - self.max_sockets / RESERVED_PART;
        self.least_used(self.open.len().saturating_sub(most), now_ms)
    }

    /// The connections to close because no socket can be opened.
    fn dispensable(&self, now_ms: u64) -> Vec<ConnectionId> {
        self.least_used(self.max_sockets / FREED_PART, now_ms)
    }

    /// Up to `count` unused connections: first those used once, then the others, the longest idle ones first.
    fn least_used(&self, count: usize, now_ms: u64) -> Vec<ConnectionId> {
        if count == 0 {
            return Vec::new();
        }
        let mut unused: Vec<UnusedConnection> = self
            .open
            .iter()
            .filter_map(|(id, it)| UnusedConnection::of(*id, &it.activity, now_ms))
            .collect();
        unused.sort_unstable_by_key(|it| (it.is_reused, Reverse(it.idle_ms), it.id));
        unused.into_iter().take(count).map(|it| it.id).collect()
    }

    /// Closes a connection, unless bytes have arrived on it that are not read yet. Returns whether it is closed.
    fn close(&mut self, id: ConnectionId, cause: CloseCause) -> bool {
        let Some(connection) = self.open.get(&id) else {
            return false;
        };
        // Unread bytes may be a request that this process had no time to read. Those of a caller that does not
        // read are left unread.
        let may_close = |server: &&ConnectionServer| {
            connection.activity.has_unsent_bytes()
                || Readable::of(&server.stream) != Readable::Bytes
        };
        let Some(server) = connection.server.as_ref().filter(may_close) else {
            return false;
        };
        if cause == CloseCause::HeadTimeout {
            // The caller learns that its request has not run; one that does not read sees the close.
            let _ = server.stream.try_write(HEAD_TIMEOUT_RESPONSE);
        }
        server.task.abort();
        self.open.swap_remove(&id);
        true
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
    /// `None` if a request is under way or to be expected, or a response has not been sent to its end.
    fn of(id: ConnectionId, activity: &ConnectionActivity, now_ms: u64) -> Option<Self> {
        let since_ms = match activity.state() {
            ConnectionState::Serving | ConnectionState::Unsent { .. } => return None,
            ConnectionState::ReceivingHead { .. } => activity.active_at_ms(),
            ConnectionState::Idle { since_ms } => since_ms,
        };
        let idle_ms = now_ms.saturating_sub(since_ms);
        let in_use_ms = match activity.requests() {
            0 => FIRST_REQUEST_MS,
            1 => 0,
            _ => RECENT_USE_MS,
        };
        (idle_ms >= in_use_ms).then_some(Self {
            id,
            is_reused: activity.requests() > 1,
            idle_ms,
        })
    }
}

/// Closes connections that exceed the operator's limits or take up too many sockets, for as long as the process runs.
pub(super) async fn limit_connections<A>(node: Rc<Node<A>>)
where
    A: Adapter,
{
    loop {
        sleep(CHECK_INTERVAL).await;
        let now_ms = boot_ms();
        if let Some(table) = node.routes() {
            let mut connections = node.caller_connections.borrow_mut();
            connections.update_timeouts(Timeouts::from(&table.limits), now_ms);
        }
        close_overdue(&node, now_ms);
        let excess = node.caller_connections.borrow().excess(now_ms);
        close_for_sockets(&node, &excess);
    }
}

/// Closes connections of callers because no socket can be opened.
pub(super) fn free_sockets<A>(node: &Node<A>, now_ms: u64)
where
    A: Adapter,
{
    let dispensable = node.caller_connections.borrow().dispensable(now_ms);
    close_for_sockets(node, &dispensable);
}

fn close_overdue<A>(node: &Node<A>, now_ms: u64)
where
    A: Adapter,
{
    let mut connections = node.caller_connections.borrow_mut();
    let (mut head_timeouts, mut idle_timeouts) = (0_u64, 0_u64);
    for (id, cause) in connections.overdue(now_ms) {
        let is_closed = u64::from(connections.close(id, cause));
        match cause {
            CloseCause::HeadTimeout => head_timeouts += is_closed,
            CloseCause::IdleTimeout | CloseCause::Sockets => idle_timeouts += is_closed,
        }
    }
    if head_timeouts + idle_timeouts == 0 {
        return;
    }
    node.counters.add("relay.head_timeouts", head_timeouts);
    node.counters.add("relay.idle_timeouts", idle_timeouts);
    let Timeouts { head_ms, idle_ms } = connections.timeouts.since(now_ms);
    log::info!(
        head_timeouts,
        idle_timeouts,
        open = connections.count(),
        head_timeout_ms = head_ms,
        idle_timeout_ms = idle_ms;
        "connections of callers exceed the document's limits and are closed"
    );
}

fn close_for_sockets<A>(node: &Node<A>, ids: &[ConnectionId])
where
    A: Adapter,
{
    let mut connections = node.caller_connections.borrow_mut();
    let open = connections.count();
    let closed = ids
        .iter()
        .filter(|id| connections.close(**id, CloseCause::Sockets))
        .count();
    if closed == 0 {
        return;
    }
    node.counters
        .add("relay.idle_connections_closed", closed as u64);
    log::info!(closed, open, max_sockets = connections.max_sockets; "idle connections of callers are closed");
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
        // The record is borrowed only by `close`, which removes the connection itself.
        if let Ok(mut connections) = self.node.caller_connections.try_borrow_mut() {
            connections.record_closed(self.id);
        }
    }
}
