//! The platform's instance list.

use std::future::Future;

use super::InstanceListFailure;
use super::http::{HttpCall, HttpPeer};
use crate::wire::platform::InstanceList;

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
}

impl HttpInstances {
    /// The list under a base URL.
    pub fn new(base_url: &str) -> Self {
        Self {
            peer: HttpPeer::new(base_url),
        }
    }
}

impl InstanceSource for HttpInstances {
    async fn list(&self, timeout_ms: u64) -> Result<InstanceList, InstanceListFailure> {
        let call = HttpCall::get("/v1/instances");
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
