//! This instance's share of the retry budget: what it depends on, and how that becomes visible.

use super::adapter::Adapter;
use super::node::Node;
use crate::relay::BudgetShare;

/// What the share of this instance depends on, besides its own requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ShareBasis {
    /// Number of instances that share the slack, if it is known.
    instances: Option<u32>,
    /// Whether retries of an earlier process of this instance may still count.
    is_starting: bool,
}

impl<A> Node<A>
where
    A: Adapter,
{
    /// The retry budget of all instances together, as far as this instance knows them.
    pub(super) fn budget_share(&self) -> BudgetShare {
        let bounds = &self.settings.bounds;
        BudgetShare {
            ratio: bounds.retry_ratio,
            slack: bounds.retry_slack,
            window_ms: bounds.retry_window_ms,
            instances: self.peers.borrow().known_instances(),
        }
    }

    /// Updates the gauges of the share, and logs what it depends on if that has changed.
    pub(super) fn report_retry_share(&self, share: BudgetShare, now_ms: u64) {
        let usage = self.budget.borrow_mut().total_usage(share, now_ms);
        let gauge = |name, value| self.counters.gauge(name, value);
        gauge("relay.repeats.share_milli", usage.allowed_milli);
        gauge("relay.repeats.used_milli", usage.charged_milli);
        gauge(
            "relay.repeats.instances",
            u64::from(share.instances.unwrap_or(0)),
        );
        let basis = ShareBasis {
            instances: share.instances,
            is_starting: self.budget.borrow().is_starting(share, now_ms),
        };
        if self.reported_share_basis.replace(Some(basis)) == Some(basis) {
            return;
        }
        log::info!(
            instances = basis.instances,
            is_starting = basis.is_starting,
            started_ago_ms = now_ms.saturating_sub(self.started_ms),
            own_share_milli = usage.allowed_milli,
            own_used_milli = usage.charged_milli;
            "share of the retry budget has changed"
        );
    }
}
