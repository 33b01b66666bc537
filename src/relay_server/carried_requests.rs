//! The requests that a connection to an endpoint has carried.

use std::hash::{BuildHasher, RandomState};

/// Maximum number of requests on one connection, which bounds the memory for their ids.
const MAX_REQUESTS: usize = 256;

/// The requests that a connection has carried, by their ids.
#[derive(Debug, Default)]
pub(super) struct CarriedRequests {
    hasher: RandomState,
    /// Hashes of the ids, which callers choose and which may be long.
    hashes: Vec<u64>,
}

impl CarriedRequests {
    /// Records that a request is sent on the connection.
    pub(super) fn record(&mut self, id: &str) {
        self.hashes.push(self.hasher.hash_one(id));
    }

    /// Whether the connection may carry no further request.
    pub(super) fn is_full(&self) -> bool {
        self.hashes.len() >= MAX_REQUESTS
    }

    /// Whether the connection has carried a request with this id.
    pub(super) fn contains(&self, id: &str) -> bool {
        self.hashes.contains(&self.hasher.hash_one(id))
    }
}
