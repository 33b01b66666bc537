//! The caller's side of a stream: the answer's head once it is known, then events as they come.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use actix_http::body::{BodyStream, BoxBody};
use actix_http::header::HeaderMap;
use actix_http::{Response, StatusCode};
use bytes::Bytes;
use futures_util::Stream;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;

use super::adapter::Adapter;
use super::node::Node;
use super::request::{RelayedRequest, error_response, finish};
use super::stream::StreamRelay;
use crate::relay::FinalError;

/// Pieces that wait for a caller who reads slowly.
const WAITING_PIECES: usize = 64;
/// The head of the answer, once it is known.
pub(super) struct Opening {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    /// The whole body, for an answer that is no stream.
    pub(super) body: Option<Bytes>,
}

/// Relays a stream. The answer's body goes on for as long as the caller reads it.
pub(crate) async fn relay_stream<A>(
    node: &Rc<Node<A>>,
    request: RelayedRequest,
) -> Response<BoxBody>
where
    A: Adapter,
{
    let outlook = request.retry_conditions(node);
    let (opening_sender, opening) = oneshot::channel();
    let (pieces_sender, pieces) = mpsc::channel(WAITING_PIECES);
    let relay = StreamRelay::new(node, request, opening_sender, pieces_sender);
    let mut body = RelayBody {
        pieces,
        task: actix_rt::spawn(relay.run()),
    };
    match (&mut PendingOpening(opening)).await {
        Some(Ok(Opening {
            status,
            headers,
            body: whole,
        })) => {
            let body = match whole {
                Some(bytes) => BoxBody::new(bytes),
                None => BoxBody::new(BodyStream::new(body)),
            };
            let mut response = Response::with_body(status, body);
            *response.headers_mut() = headers;
            finish(node, response)
        }
        Some(Err(word)) => error_response(node, word, outlook),
        None => {
            body.pieces.close();
            error_response(node, FinalError::Unknown, outlook)
        }
    }
}

/// Waits for the opening; `None` if the task ended without one.
struct PendingOpening(oneshot::Receiver<Result<Opening, FinalError>>);

impl Future for &mut PendingOpening {
    type Output = Option<Result<Opening, FinalError>>;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        Pin::new(&mut self.0).poll(cx).map(Result::ok)
    }
}

/// The body of a relayed stream. Dropping it, as the server does when the caller leaves, ends the
/// relay and with it the engines' work.
struct RelayBody {
    pieces: mpsc::Receiver<Result<Bytes, io::Error>>,
    task: JoinHandle<()>,
}

impl Stream for RelayBody {
    type Item = Result<Bytes, io::Error>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.pieces.poll_recv(cx)
    }
}

impl Drop for RelayBody {
    fn drop(&mut self) {
        self.task.abort();
    }
}
