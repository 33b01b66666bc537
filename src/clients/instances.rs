//! Client for the platform's instance list.

use std::cell::RefCell;
use std::future::Future;

use actix_web::http::header::{ETAG, IF_NONE_MATCH};

use super::InstanceListFailure;
use super::http::{HttpCall, HttpPeer};
use crate::wire::platform::InstanceList;

const LIST_PATH: &str = "/v1/instances";
const MAX_REPLY_BYTES: usize = 16 << 20;

/// The platform's list of live and leaving instances. The list is eventually consistent: it may
/// lag behind the actual state.
pub trait InstanceSource {
    /// Reads the list; `None` if it has not changed since the last read by this client.
    fn list(
        &self,
        timeout_ms: u64,
    ) -> impl Future<Output = Result<Option<InstanceList>, InstanceListFailure>>;
}

/// [`InstanceSource`] over HTTP.
pub struct HttpInstances {
    peer: HttpPeer,
    path: String,
    /// Entity tag of the most recently read list.
    etag: RefCell<Option<String>>,
}

impl HttpInstances {
    /// Creates a client for a base URL.
    pub fn new(base_url: &str) -> Self {
        Self {
            peer: HttpPeer::new(base_url),
            path: LIST_PATH.to_owned(),
            etag: RefCell::new(None),
        }
    }

    /// Adds the reader's name to each request, as some platforms require. `reader` is an instance
    /// name from the settings and needs no URL escaping.
    pub fn with_reader(self, reader: &str) -> Self {
        let path = format!("{LIST_PATH}?reader={reader}");
        Self { path, ..self }
    }
}

impl InstanceSource for HttpInstances {
    async fn list(&self, timeout_ms: u64) -> Result<Option<InstanceList>, InstanceListFailure> {
        let known_etag = self.etag.borrow().clone();
        let mut call = HttpCall::get(&self.path);
        call.headers
            .extend(known_etag.iter().map(|etag| (IF_NONE_MATCH, etag.as_str())));
        let reply = self
            .peer
            .call(call, timeout_ms, MAX_REPLY_BYTES)
            .await
            .map_err(|_| InstanceListFailure::NoReply)?;
        match reply.status {
            200 => {
                let list = serde_json::from_slice(&reply.body);
                let list = list.map_err(|_| InstanceListFailure::Malformed)?;
                let etag = reply.header(ETAG).map(str::to_owned);
                self.etag.replace(etag);
                Ok(Some(list))
            }
            304 if known_etag.is_some() => Ok(None),
            _ => Err(InstanceListFailure::NoReply),
        }
    }
}
