//! Applies reads of the store and updates from peers to the endpoint list. Contains only the
//! decisions: no socket or clock is used here.

use serde::{Deserialize, Serialize};

use super::adapter::FeedRead;
use super::list_log::{ListDelta, ListLog, ListWatermark};
use super::store_position::StorePosition;
use crate::fleet::{Fleet, FleetChange, InfoSource, ListingRead};
use crate::ids::InstanceId;

/// A peer's update to the endpoint list.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct ListUpdate {
    /// How much of the list's history the peer knows.
    pub(super) watermark: ListWatermark,
    pub(super) delta: ListDelta,
}

/// Effect of a read of the store on this instance.
#[derive(Debug, Default)]
pub(super) struct AppliedRead {
    pub(super) changes: Vec<FleetChange>,
    /// Whether the read contained changes that peers must be notified of.
    pub(super) must_notify_peers: bool,
    /// Whether it was dropped because newer changes are known.
    pub(super) is_outdated: bool,
}

/// Applies a read of the store that was requested at `sent_ms`. `after_outage` says that the list
/// could not be read or updated in the store shortly before.
pub(super) fn apply_read(
    log: &mut ListLog,
    fleet: &mut Fleet,
    mut read: FeedRead<ListingRead>,
    after_outage: bool,
    sent_ms: u64,
    now_ms: u64,
) -> AppliedRead {
    let known = log.watermark();
    if read.position < known.position {
        // A peer has sent newer changes since the read was requested.
        fleet.confirm(sent_ms);
        return AppliedRead {
            is_outdated: true,
            ..AppliedRead::default()
        };
    }
    let is_restored = is_in_later_epoch(read.position, known);
    let mut changes = Vec::new();
    if is_restored {
        changes = fleet.prepare_for_restored_list(&mut read.content.entries, now_ms);
    }
    // What was written shortly before is gone and is written again soon.
    let after_outage = after_outage || is_restored;
    log.record(read.position, &read.content, after_outage);
    let must_notify_peers = log.watermark().last_change != known.last_change;
    changes.extend(fleet.apply_read(read.content, after_outage, now_ms));
    fleet.confirm(sent_ms);
    AppliedRead {
        changes,
        must_notify_peers,
        is_outdated: false,
    }
}

/// Whether the store was restored from a backup between what is known and `position`.
fn is_in_later_epoch(position: u64, known: ListWatermark) -> bool {
    let epoch = |position: u64| StorePosition::from(position).epoch;
    known.position > 0 && epoch(position) > epoch(known.position)
}

/// Returns the update for an instance at `position`, or `None` if the list is not known here.
pub(super) fn update_since(log: &ListLog, fleet: &Fleet, position: u64) -> Option<ListUpdate> {
    fleet.is_loaded().then(|| ListUpdate {
        watermark: log.watermark(),
        delta: log.delta_since(position, || fleet.listed_endpoints()),
    })
}

/// Applies a peer's update. `requested_position` is the list position that this instance sent with
/// its request; `newest_at_ms` is a time at which the peer's list is known to have been up to date.
pub(super) fn apply_update(
    log: &mut ListLog,
    fleet: &mut Fleet,
    peer: &InstanceId,
    update: ListUpdate,
    requested_position: u64,
    newest_at_ms: u64,
    now_ms: u64,
) -> Vec<FleetChange> {
    let ListUpdate { watermark, delta } = update;
    let path = InfoSource::PeerList(peer.clone());
    let own_position = log.watermark().position;
    let mut changes = Vec::new();
    match delta {
        ListDelta::Unchanged => {}
        // Changes apply only to the list at the position they were requested for.
        ListDelta::Changes(_) if own_position != requested_position => return changes,
        ListDelta::Changes(reads) => {
            for logged in reads {
                log.record(logged.position, &logged.read, logged.after_outage);
                changes.extend(fleet.apply_read_from(
                    &path,
                    logged.read,
                    logged.after_outage,
                    now_ms,
                ));
            }
        }
        ListDelta::Full(_) if own_position >= watermark.position => return changes,
        ListDelta::Full(mut entries) => {
            if is_in_later_epoch(watermark.position, log.watermark()) {
                changes = fleet.prepare_for_restored_list(&mut entries, now_ms);
            }
            log.reset(watermark);
            changes.extend(fleet.apply_peer_list(peer, entries, now_ms));
        }
    }
    log.advance_to(watermark);
    fleet.confirm_from(path, newest_at_ms);
    changes
}

/// Processes the watermark from a peer's heartbeat. `newest_at_ms` is a time, on the clock of this
/// instance, at which the peer's list is known to have been up to date; `None` if that time cannot
/// be determined. Returns whether this instance knows all changes that the peer knows.
pub(super) fn observe_peer_watermark(
    log: &mut ListLog,
    fleet: &mut Fleet,
    peer: &InstanceId,
    watermark: ListWatermark,
    newest_at_ms: Option<u64>,
) -> bool {
    let knows_all_changes = log.watermark().position >= watermark.last_change;
    if let Some(newest_at_ms) = newest_at_ms
        && knows_all_changes
        && watermark.position > 0
    {
        fleet.confirm_from(InfoSource::Heartbeat(peer.clone()), newest_at_ms);
        log.advance_to(watermark);
    }
    knows_all_changes
}
