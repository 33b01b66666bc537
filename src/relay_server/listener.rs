//! Accepts connections of callers and other instances, and serves the requests on them.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{HttpService, KeepAlive, Request, Response};
use actix_service::{Service, ServiceFactory, fn_service};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::sleep;

use super::adapter::Adapter;
use super::caller_connections::{ConnectionServer, RecordOnClose, free_sockets};
use super::caller_link::CallerLink;
use super::caller_stream::CallerStream;
use super::connection_activity::{AnswerBody, ConnectionActivity, RequestOnConnection};
use super::node::Node;
use super::{delegation, front, peer_list, reach_inquiry, snapshot_reply};
use crate::clock::boot_ms;

/// Length of the queue of connections that wait to be accepted.
const BACKLOG: u32 = 1_024;
/// How long an idle connection of another instance is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);
/// Timeout for the arrival of the head of another instance's request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause after a connection could not be accepted.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// What a listener serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListenerKind {
    /// Callers' requests.
    Front,
    /// The pages of the instance itself, which are needed also when callers have all their sockets.
    LocalPages,
    Metrics,
    Peers,
}

/// Listens on an address. The kernel is asked for receive buffers of this size for the connections.
pub(super) fn listen(address: SocketAddr, receive_buffer_bytes: u32) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.set_recv_buffer_size(receive_buffer_bytes)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

impl ListenerKind {
    /// Whether callers connect to it, so that the document's limits on their connections hold.
    fn is_for_callers(self) -> bool {
        matches!(self, Self::Front | Self::LocalPages)
    }

    async fn respond<A>(self, node: Rc<Node<A>>, request: Request) -> Response<BoxBody>
    where
        A: Adapter,
    {
        match self {
            Self::Front | Self::LocalPages => front::handle_request(node, request).await,
            Self::Metrics => front::metrics_page(&node),
            Self::Peers => handle_peer_request(node, request).await,
        }
    }

    /// Idle timeout and timeout for the arrival of a head. Those of callers are kept by `caller_connections`, since
    /// they change with the document.
    fn timeouts(self) -> (KeepAlive, Duration) {
        if self.is_for_callers() {
            (KeepAlive::Os, Duration::ZERO)
        } else {
            (KeepAlive::Timeout(IDLE_TIMEOUT), HEAD_TIMEOUT)
        }
    }
}

/// Accepts and serves connections for as long as the process runs.
pub(super) async fn serve<A>(node: Rc<Node<A>>, listener: TcpListener, kind: ListenerKind)
where
    A: Adapter,
{
    let served = Rc::clone(&node);
    let service = fn_service(move |mut request: Request| {
        let node = Rc::clone(&served);
        let on_connection = RequestOnConnection::begin(&mut request);
        async move {
            let response = kind.respond(node, request).await;
            Ok::<_, Infallible>(response.map_body(|_, body| AnswerBody {
                body,
                _on_connection: on_connection,
            }))
        }
    });
    let (idle_timeout, head_timeout) = kind.timeouts();
    let factory = HttpService::build()
        .keep_alive(idle_timeout)
        .client_request_timeout(head_timeout)
        // A caller that closes its side has disconnected: its request is dropped with all its
        // resources.
        .h1_allow_half_closed(false)
        .on_connect_ext(|stream: &CallerStream, data| {
            data.insert(CallerLink::of(stream));
        })
        .h1(service);
    let Ok(connections) = factory.new_service(()).await else {
        log::error!("cannot create the HTTP service");
        return;
    };
    loop {
        if kind == ListenerKind::Front {
            wait_for_free_socket(&node).await;
        }
        let (stream, caller) = accept(&node, &listener).await;
        if kind == ListenerKind::Front {
            node.record_accept();
        }
        let stream = Rc::new(stream);
        let (record, activity) = if kind.is_for_callers() {
            let (record, activity) = record_opened(&node);
            (Some(record), activity)
        } else {
            (None, Rc::new(ConnectionActivity::opened(boot_ms())))
        };
        let id = record.as_ref().map(|it| it.id);
        let connection = connections.call((
            CallerStream::new(Rc::clone(&stream), activity),
            Some(caller),
        ));
        let task = actix_rt::spawn(async move {
            let _record = record;
            // Errors of a connection concern only its requests, which are logged separately.
            let _ = connection.await;
        });
        if let Some(id) = id {
            let server = ConnectionServer {
                task: task.abort_handle(),
                stream,
            };
            node.caller_connections
                .borrow_mut()
                .record_server(id, server);
        }
    }
}

/// Records a new connection of a caller.
fn record_opened<A>(node: &Rc<Node<A>>) -> (RecordOnClose<A>, Rc<ConnectionActivity>)
where
    A: Adapter,
{
    let mut connections = node.caller_connections.borrow_mut();
    let (id, activity) = connections.record_opened(boot_ms());
    let node = Rc::clone(node);
    (RecordOnClose { node, id }, activity)
}

async fn handle_peer_request<A>(node: Rc<Node<A>>, request: Request) -> Response<BoxBody>
where
    A: Adapter,
{
    if delegation::is_delegated(request.head()) {
        return front::handle_delegated(node, request).await;
    }
    let query = request.uri().query().unwrap_or("");
    match request.path() {
        peer_list::PEER_LIST_PATH => peer_list::respond(&node, query),
        reach_inquiry::REACH_PATH => reach_inquiry::respond(&node, query).await,
        _ => snapshot_reply::respond(&node, query, request.peer_addr()),
    }
}

/// Waits while callers have all the sockets that they may take. New ones wait in the listener's queue meanwhile.
async fn wait_for_free_socket<A>(node: &Node<A>)
where
    A: Adapter,
{
    while node.caller_connections.borrow().is_full() {
        node.record_accept_failure(boot_ms());
        free_sockets(node, boot_ms());
        sleep(ACCEPT_RETRY_INTERVAL).await;
    }
}

/// Waits for the next connection.
async fn accept<A>(node: &Node<A>, listener: &TcpListener) -> (TcpStream, SocketAddr)
where
    A: Adapter,
{
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                // Events are small and would wait for acknowledgements with Nagle's algorithm. A
                // failure costs only latency.
                let _ = stream.set_nodelay(true);
                return (stream, peer);
            }
            Err(error) => {
                log::warn!(
                    error:% = error,
                    caller_connections = node.caller_connections.borrow().count();
                    "cannot accept a connection"
                );
                node.record_accept_failure(boot_ms());
                node.upstreams.discard_idle();
                node.delegates.discard_idle();
                free_sockets(node, boot_ms());
                sleep(ACCEPT_RETRY_INTERVAL).await;
            }
        }
    }
}
