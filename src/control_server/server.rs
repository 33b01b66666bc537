//! The JSON-RPC listener.

use std::future::Future;
use std::time::Duration;

use jsonrpsee::Methods;
use jsonrpsee::core::middleware::{Batch, Notification, RpcServiceBuilder, RpcServiceT};
use jsonrpsee::server::{
    Server, ServerConfig, StopHandle, serve_with_graceful_shutdown, stop_channel,
};
use jsonrpsee::types::Request;
use tokio::net::{TcpListener, TcpStream};

use super::counted::CountedStream;
use super::traffic::{OtherSide, Side, Traffic};
use crate::rpc::{MAX_MESSAGE_BYTES, MAX_REQUEST_BYTES};

/// Most connections at once: entry, peers and operators.
const MAX_CONNECTIONS: u32 = 256;
/// How long open connections may take to end.
const STOP_GRACE_MS: u64 = 300;
/// Pause after a connection could not be accepted.
const ACCEPT_RETRY_MS: u64 = 50;

/// Serves the methods on a listener until `stopped` ends.
pub(super) async fn serve<F>(listener: TcpListener, methods: Methods, traffic: Traffic, stopped: F)
where
    F: Future<Output = ()>,
{
    let (stop_handle, server_handle) = stop_channel();
    tokio::pin!(stopped);
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => serve_one(stream, &methods, &traffic, stop_handle.clone()),
                Err(_) => tokio::time::sleep(Duration::from_millis(ACCEPT_RETRY_MS)).await,
            },
            () = &mut stopped => break,
        }
    }
    let _ = server_handle.stop();
    drop(stop_handle);
    // Answers that are already given still leave.
    let grace = Duration::from_millis(STOP_GRACE_MS);
    let _ = tokio::time::timeout(grace, server_handle.stopped()).await;
}

fn serve_one(stream: TcpStream, methods: &Methods, traffic: &Traffic, stop: StopHandle) {
    let _ = stream.set_nodelay(true);
    let side = Side::new(OtherSide::Unknown);
    let stream = CountedStream::new(stream, side.clone(), traffic.clone());
    let config = ServerConfig::builder()
        .max_connections(MAX_CONNECTIONS)
        .max_request_body_size(MAX_REQUEST_BYTES)
        .max_response_body_size(MAX_MESSAGE_BYTES)
        .ws_only()
        .build();
    let middleware = RpcServiceBuilder::new().layer_fn(move |inner| MarkSide {
        inner,
        side: side.clone(),
    });
    let service = Server::builder()
        .set_config(config)
        .set_rpc_middleware(middleware)
        .to_service_builder()
        .build(methods.clone(), stop.clone());
    tokio::spawn(serve_with_graceful_shutdown(
        stream,
        service,
        stop.shutdown(),
    ));
}

/// Notes on the connection who calls.
#[derive(Clone, Debug)]
struct MarkSide<S> {
    inner: S,
    side: Side,
}

impl<S> RpcServiceT for MarkSide<S>
where
    S: RpcServiceT,
{
    type MethodResponse = S::MethodResponse;
    type NotificationResponse = S::NotificationResponse;
    type BatchResponse = S::BatchResponse;

    fn call<'a>(
        &self,
        request: Request<'a>,
    ) -> impl Future<Output = Self::MethodResponse> + Send + 'a {
        self.side.set(OtherSide::of_method(request.method_name()));
        self.inner.call(request)
    }

    fn batch<'a>(
        &self,
        requests: Batch<'a>,
    ) -> impl Future<Output = Self::BatchResponse> + Send + 'a {
        self.inner.batch(requests)
    }

    fn notification<'a>(
        &self,
        notification: Notification<'a>,
    ) -> impl Future<Output = Self::NotificationResponse> + Send + 'a {
        self.inner.notification(notification)
    }
}
