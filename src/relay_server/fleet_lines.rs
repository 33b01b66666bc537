//! The log lines on changes of the endpoint list.

use crate::fleet::{Fleet, FleetChange, describe_known, describe_list};

/// Writes a line on each change, which `fleet` has by now.
pub(super) fn log_changes(fleet: &Fleet, changes: &[FleetChange], now_ms: u64) {
    for change in changes {
        log_change(fleet, change, now_ms);
    }
}

fn log_change(fleet: &Fleet, change: &FleetChange, now_ms: u64) {
    match change {
        FleetChange::Joined(id) => {
            log::info!(endpoint = id.as_str(); "endpoint joined");
        }
        FleetChange::Restarted { ended, begun, .. } => {
            log::info!(
                endpoint = begun.as_str(),
                ended = ended.as_str();
                "endpoint has started again"
            );
        }
        FleetChange::Unusable(entry) => {
            log::warn!(
                entry = entry.name.as_str(),
                fault:% = entry.fault;
                "entry of the endpoint list is not used"
            );
        }
        FleetChange::Leaving(id) => {
            log::info!(
                endpoint = id.as_str(),
                known = describe_known(fleet, [id], now_ms),
                list = describe_list(fleet, now_ms);
                "endpoint is leaving"
            );
        }
        FleetChange::LiveAgain(live) => {
            log::info!(
                endpoint = live.endpoint.as_str(),
                reason = live.reason.name(),
                peer = live.reported_by.as_str(),
                told_age_ms = now_ms.saturating_sub(live.reported_ms),
                known = describe_known(fleet, [&live.endpoint], now_ms),
                list = describe_list(fleet, now_ms);
                "endpoint is not leaving, though a peer has said so"
            );
        }
        FleetChange::Removed(id) => {
            log::info!(endpoint = id.as_str(); "endpoint is gone");
        }
        FleetChange::Expired(id) => {
            log::info!(endpoint = id.as_str(); "endpoint has lapsed");
        }
        FleetChange::Layers(id, layers) => {
            let (first, end) = layers.map_or((0, 0), |it| (it.first, it.end));
            log::info!(endpoint = id.as_str(), first, end; "endpoint holds other layers");
        }
    }
}
