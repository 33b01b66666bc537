//! What an instance does with the word of endpoints on how they want to be sent requests.

use super::adapter::Adapter;
use super::node::Node;
use crate::clock::boot_ms;
use crate::fleet::{Pacing, PacingChange};
use crate::ids::EndpointId;

impl<A> Node<A>
where
    A: Adapter,
{
    /// Takes what an answer of an endpoint says, with a line on what is new.
    pub(super) fn heard_pacing(&self, endpoint: &EndpointId, said: Pacing) {
        let mut fleet = self.fleet.borrow_mut();
        let changes = fleet.pacing.hear(endpoint, said, boot_ms());
        drop(fleet);
        for change in changes {
            self.log_pacing(endpoint, change);
        }
    }

    fn log_pacing(&self, endpoint: &EndpointId, change: PacingChange) {
        let endpoint = endpoint.as_str();
        match change {
            PacingChange::Limit {
                before_per_s,
                now_per_s,
            } => {
                log::info!(endpoint, before_per_s, now_per_s; "endpoint names a rate limit");
                self.counters.count("relay.pacing.limits");
            }
            PacingChange::BackOff { for_ms } => {
                log::info!(endpoint, for_ms; "endpoint asks this instance to back off");
                self.counters.count("relay.pacing.back_offs");
            }
            PacingChange::Leaving => {
                log::info!(endpoint; "endpoint says that it is leaving");
                self.counters.count("relay.pacing.leaving");
            }
        }
    }
}
