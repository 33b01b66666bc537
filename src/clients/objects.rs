//! Client for the platform's object store.

use std::future::Future;

use actix_web::http::Method;
use bytes::Bytes;

use super::ObjectFailure;
use super::http::{HttpCall, HttpPeer, HttpReply};

const MAX_OBJECT_BYTES: usize = 64 << 20;

/// The platform's object store. Keys are slash-separated paths that need no URL escaping.
pub trait ObjectStore {
    /// Creates or replaces an object.
    fn put(
        &self,
        key: &str,
        bytes: Bytes,
        timeout_ms: u64,
    ) -> impl Future<Output = Result<(), ObjectFailure>>;

    /// Reads an object; `None` if it does not exist.
    fn get(
        &self,
        key: &str,
        timeout_ms: u64,
    ) -> impl Future<Output = Result<Option<Bytes>, ObjectFailure>>;

    /// Deletes an object if it exists.
    fn delete(&self, key: &str, timeout_ms: u64)
    -> impl Future<Output = Result<(), ObjectFailure>>;

    /// Lists the keys that start with `prefix`.
    fn list(
        &self,
        prefix: &str,
        timeout_ms: u64,
    ) -> impl Future<Output = Result<Vec<String>, ObjectFailure>>;
}

/// [`ObjectStore`] over HTTP.
pub struct HttpObjects {
    peer: HttpPeer,
}

impl HttpObjects {
    /// Creates a client for a base URL.
    pub fn new(base_url: &str) -> Self {
        Self {
            peer: HttpPeer::new(base_url),
        }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout_ms: u64,
    ) -> Result<HttpReply, ObjectFailure> {
        let call = HttpCall {
            method,
            path,
            headers: Vec::new(),
            body,
        };
        let reply = self.peer.call(call, timeout_ms, MAX_OBJECT_BYTES).await?;
        match reply.status {
            200..=299 | 404 => Ok(reply),
            429 | 503 => Err(ObjectFailure::Throttled),
            _ => Err(ObjectFailure::ReplyLost),
        }
    }
}

impl ObjectStore for HttpObjects {
    async fn put(&self, key: &str, bytes: Bytes, timeout_ms: u64) -> Result<(), ObjectFailure> {
        let path = object_path(key);
        let reply = self.call(Method::PUT, &path, bytes, timeout_ms).await?;
        match reply.status {
            404 => Err(ObjectFailure::ReplyLost),
            _ => Ok(()),
        }
    }

    async fn get(&self, key: &str, timeout_ms: u64) -> Result<Option<Bytes>, ObjectFailure> {
        let path = object_path(key);
        let reply = self
            .call(Method::GET, &path, Bytes::new(), timeout_ms)
            .await?;
        match reply.status {
            404 => Ok(None),
            _ => Ok(Some(reply.body)),
        }
    }

    async fn delete(&self, key: &str, timeout_ms: u64) -> Result<(), ObjectFailure> {
        let path = object_path(key);
        self.call(Method::DELETE, &path, Bytes::new(), timeout_ms)
            .await?;
        Ok(())
    }

    async fn list(&self, prefix: &str, timeout_ms: u64) -> Result<Vec<String>, ObjectFailure> {
        let path = format!("/v1/objects?prefix={prefix}");
        let reply = self
            .call(Method::GET, &path, Bytes::new(), timeout_ms)
            .await?;
        serde_json::from_slice(&reply.body).map_err(|_| ObjectFailure::ReplyLost)
    }
}

fn object_path(key: &str) -> String {
    format!("/v1/objects/{key}")
}
