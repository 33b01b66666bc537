//! Selection of the entries a caller should use for a service.
//!
//! Rendezvous hashing gives each caller its own stable order of the entries, so that callers spread
//! over them without shared state, and an entry that leaves moves only its own callers. Entries in
//! the zone of the answering entry come first.

use xxhash_rust::xxh3::xxh3_64;

use crate::ids::{InstanceId, ServiceName, ZoneName};
use crate::wire::local::EntryRecord;
use crate::wire::locate::{LocateResponse, LocatedEntry};

/// Maximum number of addresses in one answer.
const MAX_ADDRESSES: usize = 4;
/// Minimum number of addresses from other zones, if any, so that callers survive a zone outage.
const MIN_OTHER_ZONES: usize = 2;
/// How long callers cache an answer.
const TTL_MS: u64 = 5_000;

/// Orders the serving entries for one caller of a service. `caller` is any stable text that
/// identifies the caller. Returns `None` if no entry is serving.
pub(crate) fn pick_entries(
    service: &ServiceName,
    caller: &str,
    zone: &ZoneName,
    entries: &[EntryRecord],
) -> Option<LocateResponse> {
    let mut ranked: Vec<&EntryRecord> = entries.iter().filter(|entry| entry.serving).collect();
    ranked.sort_by_cached_key(|entry| std::cmp::Reverse(score(service, caller, &entry.instance)));
    let (near, far): (Vec<_>, Vec<_>) = ranked.into_iter().partition(|entry| entry.zone == *zone);
    let near_count = near
        .len()
        .min(MAX_ADDRESSES - MIN_OTHER_ZONES.min(far.len()));
    let picked: Vec<LocatedEntry> = near
        .into_iter()
        .take(near_count)
        .chain(far)
        .take(MAX_ADDRESSES)
        .map(locate_entry)
        .collect();
    if picked.is_empty() {
        return None;
    }
    Some(LocateResponse {
        service: service.clone(),
        entries: picked,
        ttl_ms: TTL_MS,
    })
}

fn locate_entry(entry: &EntryRecord) -> LocatedEntry {
    LocatedEntry {
        instance: entry.instance.clone(),
        zone: entry.zone.clone(),
        address: entry.address,
    }
}

/// Rendezvous score of an entry for a caller of a service.
fn score(service: &ServiceName, caller: &str, instance: &InstanceId) -> u64 {
    let text = format!("{service}\n{caller}\n{instance}");
    xxh3_64(text.as_bytes())
}
