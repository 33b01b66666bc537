//! The platform's instance list.

use std::cell::RefCell;
use std::future::Future;

use actix_web::http::header::IF_NONE_MATCH;

use super::InstanceListFailure;
use super::http::{HttpCall, HttpPeer};
use crate::wire::platform::InstanceList;

const LIST_PATH: &str = "/v1/instances";
const REPLY_LIMIT_BYTES: usize = 16 << 20;

/// The platform's list of live and leaving instances; it lags.
pub trait InstanceSource {
    /// Reads the list; `None` if it is as it was when this reader last got it.
    fn list(
        &self,
        timeout_ms: u64,
    ) -> impl Future<Output = Result<Option<InstanceList>, InstanceListFailure>>;
}

/// The instance list over HTTP.
pub struct HttpInstances {
    peer: HttpPeer,
    path: String,
    /// Entity tag of the list that was last read.
    tag: RefCell<Option<String>>,
}

impl HttpInstances {
    /// The list under a base URL.
    pub fn new(base_url: &str) -> Self {
        Self {
            peer: HttpPeer::new(base_url),
            path: LIST_PATH.to_owned(),
            tag: RefCell::new(None),
        }
    }

    /// Names the reader in each request, as some platforms ask. `reader` is a name as settings
    /// have it and needs no escaping.
    pub fn with_reader(self, reader: &str) -> Self {
        let path = format!("{LIST_PATH}?reader={reader}");
        Self { path, ..self }
    }
}

impl InstanceSource for HttpInstances {
    async fn list(&self, timeout_ms: u64) -> Result<Option<InstanceList>, InstanceListFailure> {
        let known = self.tag.borrow().clone();
        let mut call = HttpCall::get(&self.path);
        call.headers
            .extend(known.iter().map(|tag| (IF_NONE_MATCH, tag.as_str())));
        let reply = self
            .peer
            .call(call, timeout_ms, REPLY_LIMIT_BYTES)
            .await
            .map_err(|_| InstanceListFailure::NoReply)?;
        match reply.status {
            200 => {
                let list = serde_json::from_slice(&reply.body);
                let list = list.map_err(|_| InstanceListFailure::Malformed)?;
                self.tag.replace(reply.tag);
                Ok(Some(list))
            }
            304 if known.is_some() => Ok(None),
            _ => Err(InstanceListFailure::NoReply),
        }
    }
}
