//! HTTP client for a single peer. Failures tell whether any part of the request may have been sent.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_web::http::Method;
use actix_web::http::header::{AsHeaderName, CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue};
use awc::error::{ConnectError, SendRequestError};
use awc::{Client, ClientResponse, Connector};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use indexmap::IndexMap;
use serde::Serialize;
use thiserror::Error;

use crate::event_loop;

/// Time to wait for a connection. A request that hits this timeout has not been sent.
const CONNECT_TIMEOUT_MS: u64 = 1_000;
/// Idle connections older than this are not reused. Shorter than the usual keep-alive timeout of a
/// server, so that a request is rarely sent on a connection that the server is closing.
const IDLE_CONNECTION_TTL_MS: u64 = 3_000;

/// Why an HTTP call got no complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum HttpFailure {
    /// No part of the request was sent.
    #[error("cannot connect")]
    NotSent,
    /// The connection was refused: no process listens at the address, and no part of the request
    /// was sent.
    #[error("connection refused: no process listens at the address")]
    NoListener,
    /// Part of the request may have been sent, and no complete response arrived.
    #[error("no complete response received")]
    ReplyLost,
}

/// An HTTP request.
pub struct HttpCall<'a> {
    /// Request method.
    pub method: Method,
    /// Path and query, starting with a slash.
    pub path: &'a str,
    /// Headers in addition to those that the client sets, such as `Host`.
    pub headers: Vec<(HeaderName, &'a str)>,
    /// Request body; empty for none.
    pub body: Bytes,
}

impl<'a> HttpCall<'a> {
    /// Creates a GET request without a body.
    pub fn get(path: &'a str) -> Self {
        Self {
            method: Method::GET,
            path,
            headers: Vec::new(),
            body: Bytes::new(),
        }
    }

    /// Creates a POST request with a JSON body. Fails with `NotSent` if the value cannot be
    /// serialized.
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

/// A complete HTTP response.
#[derive(Debug)]
pub struct HttpReply {
    /// Status code.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Response body.
    pub body: Bytes,
}

impl HttpReply {
    /// Value of a header; `None` if it is absent or not text.
    pub fn header<N>(&self, name: N) -> Option<&str>
    where
        N: AsHeaderName,
    {
        self.headers.get(name)?.to_str().ok()
    }
}

/// A response whose body has not been read yet.
pub(crate) type HttpStream = ClientResponse;

/// A peer at one address and its connection pool.
pub struct HttpPeer {
    base: String,
    client: RefCell<Client>,
    /// Incremented whenever the pool is discarded, so that calls that fail at the same time only
    /// discard the pool that they used.
    generation: Cell<u64>,
}

impl HttpPeer {
    /// Creates a client for a base URL such as `http://127.0.0.1:7100`.
    pub fn new(base_url: &str) -> Self {
        Self {
            base: base_url.trim_end_matches('/').to_owned(),
            client: RefCell::new(new_client()),
            generation: Cell::new(0),
        }
    }

    /// Discards the pooled connections. Calls in progress keep theirs.
    pub fn discard_connections(&self) {
        self.generation.set(self.generation.get() + 1);
        self.client.replace(new_client());
    }

    #[cfg(test)]
    pub(super) fn generation(&self) -> u64 {
        self.generation.get()
    }

    /// Sends a request and waits for the complete response, whose body may have at most
    /// `max_bytes`.
    pub async fn call(
        &self,
        call: HttpCall<'_>,
        timeout_ms: u64,
        max_bytes: usize,
    ) -> Result<HttpReply, HttpFailure> {
        let exchange = async {
            let response = self.send(call).await?;
            read_reply(response, max_bytes).await
        };
        self.with_timeout(timeout_ms, exchange).await
    }

    /// Sends a request and waits for the response head. Has no timeout: the caller watches for
    /// progress.
    pub(crate) async fn open(&self, call: HttpCall<'_>) -> Result<HttpStream, HttpFailure> {
        let generation = self.generation.get();
        let result = self.send(call).await;
        if result.is_err() {
            self.discard_generation(generation);
        }
        result
    }

    /// Runs an exchange with a timeout, and discards the connection pool if it fails.
    async fn with_timeout<T, F>(&self, timeout_ms: u64, exchange: F) -> Result<T, HttpFailure>
    where
        F: Future<Output = Result<T, HttpFailure>>,
    {
        let generation = self.generation.get();
        let timeout = Duration::from_millis(timeout_ms);
        let result = event_loop::timeout(timeout, exchange)
            .await
            .unwrap_or(Err(HttpFailure::ReplyLost));
        if result.is_err() {
            self.discard_generation(generation);
        }
        result
    }

    /// Discards the connection pool unless another failed call has already replaced it.
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

/// Clients by peer address, created on first use.
#[derive(Default)]
pub struct HttpPeers {
    peers: RefCell<IndexMap<SocketAddr, Rc<HttpPeer>>>,
}

impl HttpPeers {
    /// Returns the client for an address, creating it if needed.
    pub fn at(&self, address: SocketAddr) -> Rc<HttpPeer> {
        let mut peers = self.peers.borrow_mut();
        let peer = peers
            .entry(address)
            .or_insert_with(|| Rc::new(HttpPeer::new(&format!("http://{address}"))));
        Rc::clone(peer)
    }

    /// Drops the clients for which `keep` returns false.
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
        .conn_keep_alive(Duration::from_millis(IDLE_CONNECTION_TTL_MS))
        .limit(0);
    Client::builder()
        .connector(connector)
        .no_default_headers()
        .disable_redirects()
        .disable_timeout()
        .finish()
}

/// Maps a client error to whether the request may have been sent. The client library reports
/// `Disconnected` when a connection closes before the response head arrives, which is after the
/// request was written.
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

async fn read_reply(mut response: HttpStream, max_bytes: usize) -> Result<HttpReply, HttpFailure> {
    let mut body = BytesMut::new();
    while let Some(chunk) = response.next().await {
        let chunk = chunk.map_err(|_| HttpFailure::ReplyLost)?;
        if body.len() + chunk.len() > max_bytes {
            return Err(HttpFailure::ReplyLost);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(HttpReply {
        status: response.status().as_u16(),
        headers: response.headers().clone(),
        body: body.freeze(),
    })
}
