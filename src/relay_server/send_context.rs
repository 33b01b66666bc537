//! What an instance knew about the endpoints that it sent a request to, for log lines about the
//! request.

use super::node::Node;
use crate::clock::boot_ms;
use crate::fleet::{describe_known, describe_list};
use crate::ids::EndpointId;

/// What was known when a request was sent. Updates that arrived later did not influence the send.
#[derive(Clone, Debug, Default)]
pub(super) struct SendContext {
    /// Source and age of the newest information on each endpoint.
    pub(super) endpoints: String,
    /// Source and age of the endpoint list.
    pub(super) list: String,
}

impl SendContext {
    /// Captures what is known now.
    pub(super) fn new<'a, A, I>(node: &Node<A>, endpoints: I) -> Self
    where
        I: IntoIterator<Item = &'a EndpointId>,
    {
        let now_ms = boot_ms();
        let fleet = node.fleet.borrow();
        Self {
            endpoints: describe_known(&fleet, endpoints, now_ms),
            list: describe_list(&fleet, now_ms),
        }
    }
}
