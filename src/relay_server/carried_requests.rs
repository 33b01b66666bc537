//! The requests that a connection to an endpoint has carried.

use std::hash::{BuildHasher, RandomState};

use actix_http::Method;

/// Maximum number of requests on one connection, which bounds the memory for their ids.
const MAX_REQUESTS: usize = 256;

/// The requests that a connection has carried, by their ids.
#[derive(Debug, Default)]
pub(super) struct CarriedRequests {
    hasher: RandomState,
    requests: Vec<CarriedRequest>,
}

#[derive(Debug)]
struct CarriedRequest {
    /// Hash of its id, which its caller has chosen and which may be long.
    id_hash: u64,
    /// Whether its responses have no body, whatever their heads announce.
    is_head: bool,
}

impl CarriedRequests {
    /// Records that a request is sent on the connection.
    pub(super) fn record(&mut self, id: &str, method: &Method) {
        self.requests.push(CarriedRequest {
            id_hash: self.hasher.hash_one(id),
            is_head: *method == Method::HEAD,
        });
    }

    /// Whether the connection may carry no further request.
    pub(super) fn is_full(&self) -> bool {
        self.requests.len() >= MAX_REQUESTS
    }

    /// Whether the connection has carried a request with this id.
    pub(super) fn contains(&self, id: &str) -> bool {
        let id_hash = self.hasher.hash_one(id);
        self.requests.iter().any(|it| it.id_hash == id_hash)
    }

    /// Whether the connection has carried a request with this id, the end of whose responses can be told from their
    /// heads. While a response to a HEAD request is due, no body is read.
    pub(super) fn delimits_response_to(&self, id: &str) -> bool {
        let id_hash = self.hasher.hash_one(id);
        if self.requests.last().is_some_and(|it| it.is_head) {
            return false;
        }
        let mut requests = self.requests.iter();
        requests.any(|it| it.id_hash == id_hash && !it.is_head)
    }
}
