//! The caller's side of a stream: the response head once it is known, then events as they arrive.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use actix_http::body::{BodyStream, BoxBody};
use actix_http::header::HeaderMap;
use actix_http::{Response, StatusCode};
use bytes::Bytes;
use futures_util::Stream;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

use super::adapter::Adapter;
use super::event_queue::{EventReceiver, event_queue};
use super::held_body::HeldBody;
use super::node::Node;
use super::request::{RelayedRequest, close_if_stopping, error_response};
use super::stream::StreamRelay;
use crate::relay::FinalError;

/// The response head, once it is known.
pub(super) struct InitialResponse {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    /// The complete body, for a response that is not a stream.
    pub(super) body: Option<HeldBody>,
}

/// Relays a stream. The response body lasts as long as the caller reads it.
pub(crate) async fn relay_stream<A>(
    node: &Rc<Node<A>>,
    request: RelayedRequest,
) -> Response<BoxBody>
where
    A: Adapter,
{
    node.record_arrival(&request);
    let retry_conditions = request.retry_conditions(node);
    let (initial_sender, initial) = oneshot::channel();
    let (event_sender, events) = event_queue();
    let relay = StreamRelay::new(node, request, initial_sender, event_sender);
    let mut body = RelayBody {
        events,
        task: actix_rt::spawn(relay.run()),
    };
    match (&mut PendingResponse(initial)).await {
        Some(Ok(InitialResponse {
            status,
            headers,
            body: complete_body,
        })) => {
            let body = match complete_body {
                Some(held) => BoxBody::new(held),
                None => BoxBody::new(BodyStream::new(body)),
            };
            let mut response = Response::with_body(status, body);
            *response.headers_mut() = headers;
            close_if_stopping(node, response)
        }
        Some(Err(error)) => error_response(node, error, retry_conditions),
        None => {
            body.events.close();
            error_response(node, FinalError::Unknown, retry_conditions)
        }
    }
}

/// Waits for the initial response; `None` if the task ended without one.
struct PendingResponse(oneshot::Receiver<Result<InitialResponse, FinalError>>);

impl Future for &mut PendingResponse {
    type Output = Option<Result<InitialResponse, FinalError>>;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        Pin::new(&mut self.0).poll(cx).map(Result::ok)
    }
}

/// The body of a relayed stream. Dropping it, as the server does when the caller leaves, ends the
/// relay and with it the engines' work.
struct RelayBody {
    events: EventReceiver,
    task: JoinHandle<()>,
}

impl Stream for RelayBody {
    type Item = Result<Bytes, io::Error>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        Pin::new(&mut self.events).poll_next(cx)
    }
}

impl Drop for RelayBody {
    fn drop(&mut self) {
        self.task.abort();
    }
}
