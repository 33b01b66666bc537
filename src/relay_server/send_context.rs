//! What an instance knew of the endpoints that it sent a request to, for the lines on the request.

use super::node::Node;
use crate::clock::boot_ms;
use crate::fleet::{describe_known, describe_list};
use crate::ids::EndpointId;

/// What was known when a request was sent: afterwards more may be, which the send had not.
#[derive(Clone, Debug, Default)]
pub(super) struct SendView {
    /// Path and age of the newest word on each endpoint.
    pub(super) endpoints: String,
    /// Path and age of the list of endpoints as a whole.
    pub(super) list: String,
}

impl SendView {
    /// What is known now.
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
