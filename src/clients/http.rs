//! HTTP calls to one peer, with the truth about what may have left.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_web::http::Method;
use actix_web::http::header::{CONTENT_TYPE, ETAG, HeaderName, HeaderValue};
use awc::error::{ConnectError, SendRequestError};
use awc::{Client, ClientResponse, Connector};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use indexmap::IndexMap;
use serde::Serialize;
use thiserror::Error;

/// Longest time to wait for a connection. Past it nothing was sent.
const CONNECT_TIMEOUT_MS: u64 = 1_000;
/// Idle connections older than this are not used again: shorter than the usual keep-alive of a
/// server, so that a request seldom meets a connection that is just being closed.
const IDLE_CONNECTION_MS: u64 = 3_000;

/// Why an HTTP call has no whole reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum HttpFailure {
    /// No byte of the request left.
    #[error("no connection could be made")]
    NotSent,
    /// No byte of the request left: the peer's host says that no process listens there.
    #[error("no process listens at the address")]
    NoListener,
    /// Bytes may have left, and no whole reply came.
    #[error("no whole reply came")]
    ReplyLost,
}

/// One request.
pub struct HttpCall<'a> {
    /// Method.
    pub method: Method,
    /// Path and query; begins with a slash.
    pub path: &'a str,
    /// Headers.
    pub headers: Vec<(HeaderName, &'a str)>,
    /// Body.
    pub body: Bytes,
}

impl<'a> HttpCall<'a> {
    /// A request without body.
    pub fn get(path: &'a str) -> Self {
        Self {
            method: Method::GET,
            path,
            headers: Vec::new(),
            body: Bytes::new(),
        }
    }

    /// A request with a JSON body; `NotSent` if the value cannot be written as JSON.
    pub fn post_json<T>(path: &'a str, value: &T) -> Result<Self, HttpFailure>
    where
        T: Serialize,
    {
        let body = serde_json::to_vec(value).map_err(|_| HttpFailure::NotSent)?;
        Ok(Self {
            method: Method::POST,
            path,
            headers: vec![(CONTENT_TYPE, "application/json")],
            body: body.into(),
        })
    }
}

/// A whole reply.
#[derive(Debug)]
pub struct HttpReply {
    /// Status.
    pub status: u16,
    /// `Content-Type`, if any.
    pub content_type: Option<String>,
    /// `ETag`, if any.
    pub tag: Option<String>,
    /// Body.
    pub body: Bytes,
}

/// The head of a reply whose body is read piece by piece.
pub(crate) type HttpStream = ClientResponse;

/// A peer at one address and the pooled connections to it.
pub struct HttpPeer {
    base: String,
    client: RefCell<Client>,
    /// Grows each time the connections are thrown away, so that calls that fail together throw
    /// away only the connections they ran on.
    generation: Cell<u64>,
}

impl HttpPeer {
    /// A peer under a base URL such as `http://127.0.0.1:7100`.
    pub fn new(base_url: &str) -> Self {
        Self {
            base: base_url.trim_end_matches('/').to_owned(),
            client: RefCell::new(new_client()),
            generation: Cell::new(0),
        }
    }

    /// Throws the pooled connections away; calls under way keep theirs.
    pub fn discard_connections(&self) {
        self.generation.set(self.generation.get() + 1);
        self.client.replace(new_client());
    }

    #[cfg(test)]
    pub(super) fn generation(&self) -> u64 {
        self.generation.get()
    }

    /// Calls and waits for the whole reply.
    pub async fn call(
        &self,
        call: HttpCall<'_>,
        timeout_ms: u64,
        limit_bytes: usize,
    ) -> Result<HttpReply, HttpFailure> {
        let exchange = async {
            let response = self.send(call).await?;
            read_whole(response, limit_bytes).await
        };
        self.within(timeout_ms, exchange).await
    }

    /// Calls and waits for the head of the reply. Without timeout: the caller watches progress.
    pub(crate) async fn open(&self, call: HttpCall<'_>) -> Result<HttpStream, HttpFailure> {
        let generation = self.generation.get();
        let result = self.send(call).await;
        if result.is_err() {
            self.discard_generation(generation);
        }
        result
    }

    async fn within<T, F>(&self, timeout_ms: u64, exchange: F) -> Result<T, HttpFailure>
    where
        F: Future<Output = Result<T, HttpFailure>>,
    {
        let generation = self.generation.get();
        let limit = Duration::from_millis(timeout_ms);
        let result = tokio::time::timeout(limit, exchange)
            .await
            .unwrap_or(Err(HttpFailure::ReplyLost));
        if result.is_err() {
            self.discard_generation(generation);
        }
        result
    }

    /// Throws the connections away unless a call that failed before has done so.
    pub(super) fn discard_generation(&self, generation: u64) {
        if self.generation.get() == generation {
            self.discard_connections();
        }
    }

    async fn send(&self, call: HttpCall<'_>) -> Result<HttpStream, HttpFailure> {
        let client = self.client.borrow().clone();
        let url = format!("{}{}", self.base, call.path);
        let mut request = client.request(call.method, url);
        for (name, value) in call.headers {
            let value = HeaderValue::from_str(value).map_err(|_| HttpFailure::NotSent)?;
            request = request.insert_header((name, value));
        }
        let sent = if call.body.is_empty() {
            request.send()
        } else {
            request.send_body(call.body)
        };
        sent.await.map_err(|error| classify(&error))
    }
}

/// Peers by address, made when first used.
#[derive(Default)]
pub struct HttpPeers {
    peers: RefCell<IndexMap<SocketAddr, Rc<HttpPeer>>>,
}

impl HttpPeers {
    /// Returns the peer at an address.
    pub fn at(&self, address: SocketAddr) -> Rc<HttpPeer> {
        let mut peers = self.peers.borrow_mut();
        let peer = peers
            .entry(address)
            .or_insert_with(|| Rc::new(HttpPeer::new(&format!("http://{address}"))));
        Rc::clone(peer)
    }

    /// Forgets the peers for which `keep` is false.
    pub fn retain<F>(&self, mut keep: F)
    where
        F: FnMut(SocketAddr) -> bool,
    {
        self.peers.borrow_mut().retain(|address, _| keep(*address));
    }
}

fn new_client() -> Client {
    let connector = Connector::new()
        .timeout(Duration::from_millis(CONNECT_TIMEOUT_MS))
        .conn_keep_alive(Duration::from_millis(IDLE_CONNECTION_MS))
        .limit(0);
    Client::builder()
        .connector(connector)
        .no_default_headers()
        .disable_redirects()
        .disable_timeout()
        .finish()
}

/// Tells what may have left. The client library says `Disconnected` when a connection closes
/// before the head of the reply has come, which is after the request was written.
fn classify(error: &SendRequestError) -> HttpFailure {
    match error {
        SendRequestError::Url(_) => HttpFailure::NotSent,
        SendRequestError::Connect(ConnectError::Disconnected | ConnectError::H2(_)) => {
            HttpFailure::ReplyLost
        }
        SendRequestError::Connect(ConnectError::Io(cause))
            if cause.kind() == io::ErrorKind::ConnectionRefused =>
        {
            HttpFailure::NoListener
        }
        SendRequestError::Connect(_) => HttpFailure::NotSent,
        _ => HttpFailure::ReplyLost,
    }
}

async fn read_whole(
    mut response: HttpStream,
    limit_bytes: usize,
) -> Result<HttpReply, HttpFailure> {
    let mut body = BytesMut::new();
    while let Some(piece) = response.next().await {
        let piece = piece.map_err(|_| HttpFailure::ReplyLost)?;
        if body.len() + piece.len() > limit_bytes {
            return Err(HttpFailure::ReplyLost);
        }
        body.extend_from_slice(&piece);
    }
    Ok(HttpReply {
        status: response.status().as_u16(),
        content_type: header(&response, &CONTENT_TYPE),
        tag: header(&response, &ETAG),
        body: body.freeze(),
    })
}

fn header(response: &HttpStream, name: &HeaderName) -> Option<String> {
    let value = response.headers().get(name)?;
    value.to_str().ok().map(str::to_owned)
}
