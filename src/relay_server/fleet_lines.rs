//! Logging of changes to the endpoint list.

use crate::fleet::{Fleet, FleetChange, describe_known, describe_list};
use crate::ids::InstanceId;

/// Logs each change; `fleet` already contains them.
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
        FleetChange::Restarted { ended, started, .. } => {
            log::info!(
                endpoint = started.as_str(),
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
                peer = live.reported_by.as_ref().map(InstanceId::as_str),
                told_age_ms = now_ms.saturating_sub(live.reported_ms),
                known = describe_known(fleet, [&live.endpoint], now_ms),
                list = describe_list(fleet, now_ms);
                "endpoint is not leaving, contrary to a peer's report"
            );
        }
        FleetChange::KeptOut(id) => {
            log::info!(endpoint = id.as_str(); "endpoint left before the store was restored and stays out of service");
        }
        FleetChange::Removed(id) => {
            log::info!(endpoint = id.as_str(); "endpoint is gone");
        }
        FleetChange::Expired(id) => {
            log::info!(endpoint = id.as_str(); "endpoint has expired");
        }
        FleetChange::Layers(id, layers) => {
            let (first, end) = layers.map_or((0, 0), |it| (it.first, it.end));
            log::info!(endpoint = id.as_str(), first, end; "endpoint has changed its layers");
        }
    }
}
