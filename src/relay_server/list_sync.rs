//! How the list of endpoints gets to an instance: read from the store, or told by a peer. What is
//! decided on the way, without a socket or a clock.

use serde::{Deserialize, Serialize};

use super::adapter::FeedRead;
use super::list_log::{ListLog, ListNews, ListWatermark};
use crate::fleet::{Fleet, FleetChange, InfoSource, ListingRead};
use crate::ids::InstanceId;

/// What a peer tells of the list of endpoints.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct ListUpdate {
    /// How far the peer knows the list.
    pub(super) mark: ListWatermark,
    pub(super) news: ListNews,
}

/// What a read of the list has changed here.
#[derive(Debug, Default)]
pub(super) struct AppliedRead {
    pub(super) changes: Vec<FleetChange>,
    /// Whether it brought anything that peers must be told.
    pub(super) must_notify_peers: bool,
}

/// Takes a read of the store that was sent at `sent_ms`. `was_away` says that the list could not be read
/// or kept shortly before.
pub(super) fn apply_read(
    log: &mut ListLog,
    fleet: &mut Fleet,
    read: FeedRead<ListingRead>,
    was_away: bool,
    sent_ms: u64,
    now_ms: u64,
) -> AppliedRead {
    let known = log.watermark();
    if read.position < known.position {
        // A peer has told more since the call was sent.
        fleet.confirm(sent_ms);
        return AppliedRead::default();
    }
    log.note(read.position, &read.content, was_away);
    let must_notify_peers = log.watermark().last_change != known.last_change;
    let changes = fleet.apply_read(read.content, was_away, now_ms);
    fleet.confirm(sent_ms);
    AppliedRead {
        changes,
        must_notify_peers,
    }
}

/// What one that knows the list up to `position` is told, where the list is known here.
pub(super) fn update_since(log: &ListLog, fleet: &Fleet, position: u64) -> Option<ListUpdate> {
    fleet.is_loaded().then(|| ListUpdate {
        mark: log.watermark(),
        news: log.news_since(position, || fleet.listed_endpoints()),
    })
}

/// Takes what a peer has told one that asked with `asked_with` as its position in the list. The peer's
/// list was surely the newest at `newest_at_ms`.
pub(super) fn take_update(
    log: &mut ListLog,
    fleet: &mut Fleet,
    peer: &InstanceId,
    update: ListUpdate,
    asked_with: u64,
    newest_at_ms: u64,
    now_ms: u64,
) -> Vec<FleetChange> {
    let ListUpdate { mark, news } = update;
    let path = InfoSource::PeerList(peer.clone());
    let own = log.watermark().position;
    let mut changes = Vec::new();
    match news {
        ListNews::Nothing => {}
        // They fit only behind what was known when they were asked for.
        ListNews::Changes(_) if own != asked_with => return changes,
        ListNews::Changes(reads) => {
            for it in reads {
                log.note(it.position, &it.read, it.was_away);
                changes.extend(fleet.apply_read_from(&path, it.read, it.was_away, now_ms));
            }
        }
        ListNews::Whole(_) if own >= mark.position => return changes,
        ListNews::Whole(entries) => {
            log.restart(mark);
            changes = fleet.apply_peer_list(peer, entries, now_ms);
        }
    }
    log.confirm(mark);
    fleet.confirm_from(path, newest_at_ms);
    changes
}

/// Takes a peer's word on how far it knows the list: `newest_at_ms` is when its list was surely the
/// newest, where that can be told on the own clock. Returns whether this instance knows as much.
pub(super) fn observe_peer_watermark(
    log: &mut ListLog,
    fleet: &mut Fleet,
    peer: &InstanceId,
    mark: ListWatermark,
    newest_at_ms: Option<u64>,
) -> bool {
    let knows_list = log.watermark().position >= mark.last_change;
    if let Some(newest_at_ms) = newest_at_ms
        && knows_list
        && mark.position > 0
    {
        fleet.confirm_from(InfoSource::Heartbeat(peer.clone()), newest_at_ms);
        log.confirm(mark);
    }
    knows_list
}
