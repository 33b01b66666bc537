//! Delay and bandwidth of the links between engines.

use fescueshore::wire::engine::LinkState;

use crate::topology::{EngineNode, Topology};

/// Link of two engines that no class matches.
const UNMATCHED: LinkState = LinkState {
    delay_us: 100,
    bandwidth_bytes_per_s: 1 << 30,
};

/// The link from one engine to another as the topology has it.
pub(crate) fn link_between(topology: &Topology, from: &EngineNode, to: &EngineNode) -> LinkState {
    let matches = |wanted: &Option<String>, kind: &str| wanted.as_ref().is_none_or(|w| w == kind);
    topology
        .links
        .iter()
        .find(|class| {
            matches(&class.from_accelerator, &from.accelerator)
                && matches(&class.to_accelerator, &to.accelerator)
                && class
                    .same_zone
                    .is_none_or(|same| same == (from.zone == to.zone))
        })
        .map_or(UNMATCHED, |class| LinkState {
            delay_us: class.delay_us,
            bandwidth_bytes_per_s: class.bandwidth_bytes_per_s,
        })
}

/// A link that is so many times worse.
pub(crate) fn degrade(link: LinkState, factor: f64) -> LinkState {
    let factor = factor.max(0.001);
    LinkState {
        delay_us: (link.delay_us as f64 * factor) as u64,
        bandwidth_bytes_per_s: ((link.bandwidth_bytes_per_s as f64 / factor) as u64).max(1),
    }
}

/// One direction of a link: bytes go over it one after the other.
#[derive(Clone, Debug, Default)]
pub(crate) struct Shaper {
    free_at_us: u64,
    last_due_us: u64,
}

impl Shaper {
    /// Sends bytes; returns when the last of them arrives, never before an earlier frame.
    pub(crate) fn send(&mut self, link: LinkState, bytes: u64, at_us: u64) -> u64 {
        let transfer_us =
            u128::from(bytes) * 1_000_000 / u128::from(link.bandwidth_bytes_per_s.max(1));
        self.free_at_us = self.free_at_us.max(at_us) + transfer_us as u64;
        self.last_due_us = self.last_due_us.max(self.free_at_us + link.delay_us);
        self.last_due_us
    }
}
