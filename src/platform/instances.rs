//! The platform's instance list.

use std::future::Future;

use super::InstanceListFailure;
use super::http::{HttpCall, HttpPeer};
use crate::wire::platform::InstanceList;

const LIST_PATH: &str = "/v1/instances";
const REPLY_LIMIT_BYTES: usize = 16 << 20;

/// The platform's list of live and leaving instances; it lags.
pub trait InstanceSource {
    /// Reads the list.
    fn list(
        &self,
        timeout_ms: u64,
    ) -> impl Future<Output = Result<InstanceList, InstanceListFailure>>;
}

/// The instance list over HTTP.
pub struct HttpInstances {
    peer: HttpPeer,
    path: String,
}

impl HttpInstances {
    /// The list under a base URL.
    pub fn new(base_url: &str) -> Self {
        Self {
            peer: HttpPeer::new(base_url),
            path: LIST_PATH.to_owned(),
        }
    }

    /// Names the reader in each request, as some platforms ask. `reader` is a name as settings
    /// have it and needs no escaping.
    pub fn read_as(self, reader: &str) -> Self {
        let path = format!("{LIST_PATH}?reader={reader}");
        Self { path, ..self }
    }
}

impl InstanceSource for HttpInstances {
    async fn list(&self, timeout_ms: u64) -> Result<InstanceList, InstanceListFailure> {
        let call = HttpCall::get(&self.path);
        let reply = self
            .peer
            .call(call, timeout_ms, REPLY_LIMIT_BYTES)
            .await
            .map_err(|_| InstanceListFailure::NoReply)?;
        if reply.status != 200 {
            return Err(InstanceListFailure::NoReply);
        }
        serde_json::from_slice(&reply.body).map_err(|_| InstanceListFailure::Malformed)
    }
}
