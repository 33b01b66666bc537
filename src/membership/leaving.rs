//! Signs that an endpoint is leaving. A sign from the list or the document sticks: lists lag, and
//! a lagging one still shows the endpoint as live.

use std::net::SocketAddr;

use indexmap::{IndexMap, IndexSet};

use crate::ids::EndpointId;
use crate::wire::operator::LeavingSource;

use super::listing::Listing;

/// How long a sign outlives its last source: longer than a list lags.
const STICKY_MS: u64 = 30_000;

/// Who says now that endpoints are leaving.
#[derive(Clone, Debug, Default)]
pub(crate) struct SignSources {
    /// By the instance list that this instance reads.
    pub(crate) list: IndexSet<EndpointId>,
    /// By documents in force.
    pub(crate) documents: IndexSet<EndpointId>,
    /// By peers, from the lists that they read.
    pub(crate) peers: IndexSet<EndpointId>,
    /// By the endpoints themselves. Holds only as long as it is said.
    pub(crate) draining: IndexSet<EndpointId>,
}

impl SignSources {
    fn sticky(&self) -> impl Iterator<Item = (&EndpointId, LeavingSource)> {
        let list = self.list.iter().map(|it| (it, LeavingSource::InstanceList));
        let documents = self
            .documents
            .iter()
            .map(|it| (it, LeavingSource::Document));
        let peers = self.peers.iter().map(|it| (it, LeavingSource::Peer));
        documents.chain(list).chain(peers)
    }
}

/// A first sign.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct NewSign {
    /// The endpoint.
    pub(crate) endpoint: EndpointId,
    /// Where the sign came from.
    pub(crate) source: LeavingSource,
}

#[derive(Clone, Debug)]
struct Sign {
    /// Where the endpoint was when the sign came; another address is another process.
    address: Option<SocketAddr>,
    /// When a source last said so.
    said_ms: u64,
}

/// The signs that hold.
#[derive(Clone, Debug, Default)]
pub(crate) struct LeavingSigns {
    signs: IndexMap<EndpointId, Sign>,
    draining: IndexSet<EndpointId>,
}

impl LeavingSigns {
    /// Takes what the sources say now; returns first signs.
    pub(crate) fn update(
        &mut self,
        sources: SignSources,
        listing: &Listing,
        now_ms: u64,
    ) -> Vec<NewSign> {
        let mut new = Vec::new();
        for (endpoint, source) in sources.sticky() {
            let address = listing.endpoint(endpoint).map(|record| record.address);
            match self.signs.get_mut(endpoint) {
                Some(sign) => sign.said_ms = now_ms,
                None => {
                    let sign = Sign {
                        address,
                        said_ms: now_ms,
                    };
                    self.signs.insert(endpoint.clone(), sign);
                    new.push(NewSign {
                        endpoint: endpoint.clone(),
                        source,
                    });
                }
            }
        }
        for endpoint in &sources.draining {
            if !self.draining.contains(endpoint) {
                new.push(NewSign {
                    endpoint: endpoint.clone(),
                    source: LeavingSource::Endpoint,
                });
            }
        }
        self.draining = sources.draining;
        self.forget(listing, now_ms);
        new
    }

    /// Whether the endpoint must get no new work.
    pub(crate) fn is_leaving(&self, endpoint: &EndpointId) -> bool {
        self.signs.contains_key(endpoint) || self.draining.contains(endpoint)
    }

    fn forget(&mut self, listing: &Listing, now_ms: u64) {
        self.signs.retain(|endpoint, sign| {
            let said_lately = now_ms.saturating_sub(sign.said_ms) < STICKY_MS;
            let record = listing.endpoint(endpoint);
            let moved = match (sign.address, record) {
                (Some(address), Some(record)) => record.address != address,
                _ => false,
            };
            let said_now = sign.said_ms == now_ms;
            said_now || (said_lately && !moved)
        });
    }
}
