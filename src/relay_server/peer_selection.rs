//! Selects the peer from which an instance fetches data that it lacks, and when.

use std::cmp::Reverse;

use indexmap::IndexMap;

use super::peer::SyncSource;
use super::snapshot::KnownVersions;
use super::uplink::UNKNOWN_LINK_MBPS;
use crate::ids::InstanceId;

/// How long a peer must have had a newer route table before it is asked. The instance's own watch
/// of the store delivers a new version within tens of milliseconds of the others.
const STORE_GRACE_MS: u64 = 500;
/// Age of the endpoint list from which a peer is asked for its list. By then one read of the store
/// that waited in vain for a change, and the timeout of the next one, have passed.
const STALE_LIST_MS: u64 = 3_000;
/// How long to wait for a document to be available in the own zone before fetching it from another
/// one. Readers of the store in this zone have it within tens of milliseconds of those in other
/// zones, unless the store answers none of them.
const REMOTE_ZONE_DELAY_MS: u64 = 500;
/// How long a peer that provided nothing is skipped. If it has exited, its heartbeats have stopped
/// by then.
const FAILURE_BACKOFF_MS: u64 = 800;

/// How up to date the data of an instance is.
#[derive(Clone, Copy, Debug)]
pub(super) struct SyncState {
    /// Since when a peer has had a newer route table.
    pub(super) behind_since_ms: Option<u64>,
    /// Whether this instance reads the store itself, and so gets updates as soon as its peers do.
    pub(super) reads_store: bool,
    /// Whether the store answers this instance or another one in its zone.
    pub(super) receives_store_updates: bool,
    /// Age of the endpoint list.
    pub(super) list_age_ms: u64,
}

impl SyncState {
    /// Whether to ask a peer. An old list has not changed if the store answers: its age reaches
    /// 3.65 s whenever two consecutive watches end without a change.
    pub(super) fn needs_fetch(self, now_ms: u64) -> bool {
        let grace_ms = if self.reads_store { STORE_GRACE_MS } else { 0 };
        let is_behind = self
            .behind_since_ms
            .is_some_and(|since| now_ms >= since + grace_ms);
        is_behind || self.is_list_old()
    }

    fn is_list_old(self) -> bool {
        !self.receives_store_updates && self.list_age_ms >= STALE_LIST_MS
    }
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum FetchDecision {
    /// Nothing until the next check.
    Idle,
    /// Wait, unless a peer announces something new.
    Wait {
        /// Time to wait.
        wait_ms: u64,
    },
    /// Send a request to this peer.
    Fetch(FetchRequest),
}

/// Which peer to ask, and for what.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct FetchRequest {
    pub(super) peer: SyncSource,
    /// Whether the document is requested in addition to the endpoint list.
    pub(super) wants_document: bool,
}

/// Selects peers and remembers the results of earlier requests.
///
/// A document is fetched within the own zone: each instance that has it provides it to others, so
/// that it spreads in rounds and crosses the link between zones once per reader of the store. The
/// endpoint list is short and urgent and never waits for a document.
#[derive(Debug, Default)]
pub(super) struct PeerSelector {
    /// Peers that provided nothing, and until when they are skipped.
    failed: IndexMap<InstanceId, u64>,
    /// Peers without capacity to send a document, and until when.
    document_busy: IndexMap<InstanceId, u64>,
    /// Peers without capacity to send the full endpoint list, and until when.
    list_busy: IndexMap<InstanceId, u64>,
    /// Since when a peer has had newer data.
    behind_since_ms: Option<u64>,
    /// Since when a peer has had a newer document.
    lacks_document_since_ms: Option<u64>,
}

impl PeerSelector {
    /// Records whether a peer has newer data. Returns since when.
    pub(super) fn update_lag(
        &mut self,
        sync_sources: &[SyncSource],
        known: KnownVersions,
        now_ms: u64,
    ) -> Option<u64> {
        let is_behind = sync_sources.iter().any(|it| it.is_ahead_of(known));
        let lacks_document = sync_sources.iter().any(|it| it.table > known.table);
        let since = |since_ms: Option<u64>| since_ms.unwrap_or(now_ms);
        self.behind_since_ms = is_behind.then_some(since(self.behind_since_ms));
        self.lacks_document_since_ms =
            lacks_document.then_some(since(self.lacks_document_since_ms));
        self.behind_since_ms
    }

    /// Decides what to do. `sync_sources` are the peers whose heartbeats arrive, `partial` describes
    /// what has been fetched in part.
    pub(super) fn next(
        &mut self,
        sync_sources: &[SyncSource],
        sync_state: SyncState,
        known: KnownVersions,
        partial: PartialFetches<'_>,
        random: u64,
        now_ms: u64,
    ) -> FetchDecision {
        self.failed.retain(|_, until_ms| now_ms < *until_ms);
        self.document_busy.retain(|_, until_ms| now_ms < *until_ms);
        self.list_busy.retain(|_, until_ms| now_ms < *until_ms);
        if !sync_state.needs_fetch(now_ms) {
            return FetchDecision::Idle;
        }
        let may_ask_other_zones = self
            .lacks_document_since_ms
            .is_some_and(|since_ms| now_ms >= since_ms + REMOTE_ZONE_DELAY_MS);
        let document_peer = self.document_peer(
            sync_sources,
            known,
            partial.document,
            may_ask_other_zones,
            random,
        );
        if let Availability::From(peer) = document_peer {
            return FetchDecision::Fetch(FetchRequest {
                peer: peer.clone(),
                wants_document: true,
            });
        }
        let list_peer = self.list_peer(
            sync_sources,
            sync_state,
            known,
            partial.list_provider,
            random,
        );
        if let Availability::From(peer) = list_peer {
            return FetchDecision::Fetch(FetchRequest {
                peer: peer.clone(),
                wants_document: false,
            });
        }
        let available_ms = [document_peer.available_ms(), list_peer.available_ms()];
        match available_ms.into_iter().flatten().min() {
            Some(at_ms) => FetchDecision::Wait {
                wait_ms: at_ms.saturating_sub(now_ms).max(1),
            },
            None => FetchDecision::Idle,
        }
    }

    /// Records that a peer provided nothing.
    pub(super) fn mark_failed(&mut self, peer: &InstanceId, now_ms: u64) {
        self.failed
            .insert(peer.clone(), now_ms + FAILURE_BACKOFF_MS);
    }

    /// Records that a peer has no capacity to send a document for `wait_ms`.
    pub(super) fn mark_document_busy(&mut self, peer: &InstanceId, wait_ms: u64, now_ms: u64) {
        self.document_busy.insert(peer.clone(), now_ms + wait_ms);
    }

    /// Records that a peer has no capacity to send the full endpoint list for `wait_ms`.
    pub(super) fn mark_list_busy(&mut self, peer: &InstanceId, wait_ms: u64, now_ms: u64) {
        self.list_busy.insert(peer.clone(), now_ms + wait_ms);
    }

    /// Selects the peer for the document.
    fn document_peer<'a>(
        &self,
        sync_sources: &'a [SyncSource],
        known: KnownVersions,
        partial_version: Option<u64>,
        may_ask_other_zones: bool,
        random: u64,
    ) -> Availability<'a> {
        let newer = sync_sources
            .iter()
            .filter(|it| it.table > known.table && !self.failed.contains_key(&it.instance));
        let (same_zone, other_zones): (Vec<_>, Vec<_>) = newer.partition(|it| it.is_same_zone);
        let all = if same_zone.is_empty() && may_ask_other_zones {
            other_zones
        } else {
            same_zone
        };
        // Prefer peers that can continue a partial transfer.
        let matching = all
            .iter()
            .copied()
            .filter(|it| Some(it.table) == partial_version);
        let matching: Vec<&SyncSource> = matching.collect();
        let all = if matching.is_empty() { all } else { matching };
        let (busy, free): (Vec<&SyncSource>, Vec<&SyncSource>) = all
            .into_iter()
            .partition(|it| self.document_busy.contains_key(&it.instance));
        if let Some(peer) = weighted_by_link(&free, |it| it.link_mbps, random) {
            return Availability::From(peer);
        }
        first_available(&busy, &self.document_busy)
    }

    /// Selects the peer for the endpoint list, if it is needed. The full list is long, so any peer
    /// that has it may provide it, with preference for fast links.
    fn list_peer<'a>(
        &self,
        sync_sources: &'a [SyncSource],
        sync_state: SyncState,
        known: KnownVersions,
        provider: Option<&InstanceId>,
        random: u64,
    ) -> Availability<'a> {
        let candidates = sync_sources
            .iter()
            .filter(|it| !self.failed.contains_key(&it.instance))
            .filter(|it| sync_state.is_list_old() || it.list.last_change > known.list);
        let (busy, free): (Vec<&SyncSource>, Vec<&SyncSource>) =
            candidates.partition(|it| self.list_busy.contains_key(&it.instance));
        if let Some(peer) = free.iter().find(|it| Some(&it.instance) == provider) {
            return Availability::From(peer);
        }
        let chosen = if known.list == 0 {
            let same_zone: Vec<&SyncSource> =
                free.iter().copied().filter(|it| it.is_same_zone).collect();
            weighted_by_link(
                if same_zone.is_empty() {
                    &free
                } else {
                    &same_zone
                },
                |it| it.link_mbps,
                random,
            )
        } else {
            Self::preferred_list_peer(&free, known, random)
        };
        if let Some(peer) = chosen {
            return Availability::From(peer);
        }
        first_available(&busy, &self.list_busy)
    }

    /// One of the preferred peers for a list of changes.
    fn preferred_list_peer<'a>(
        candidates: &[&'a SyncSource],
        known: KnownVersions,
        random: u64,
    ) -> Option<&'a SyncSource> {
        let order = |it: &SyncSource| {
            let has_changes = it.list.last_change > known.list;
            Reverse((has_changes, it.is_same_zone, it.reaches_store))
        };
        let best = candidates.iter().map(|it| order(it)).min()?;
        let best: Vec<&SyncSource> = candidates
            .iter()
            .copied()
            .filter(|it| order(it) == best)
            .collect();
        best.get(random as usize % best.len().max(1)).copied()
    }
}

/// What has been fetched in part.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PartialFetches<'a> {
    /// Version of the partially fetched document.
    pub(super) document: Option<u64>,
    /// Peer that has provided part of the endpoint list and has the rest.
    pub(super) list_provider: Option<&'a InstanceId>,
}

/// Where a document or the list is available.
#[derive(Clone, Copy, Debug)]
enum Availability<'a> {
    From(&'a SyncSource),
    /// All candidates are busy until then.
    Later {
        at_ms: u64,
    },
    Nowhere,
}

impl Availability<'_> {
    /// When a peer has capacity, if known.
    fn available_ms(self) -> Option<u64> {
        match self {
            Self::Later { at_ms } => Some(at_ms),
            Self::From(_) | Self::Nowhere => None,
        }
    }
}

/// When the first of these peers has capacity, given until when each is busy.
fn first_available<'a>(
    peers: &[&'a SyncSource],
    until_ms: &IndexMap<InstanceId, u64>,
) -> Availability<'a> {
    let free_at_ms = peers.iter().filter_map(|it| until_ms.get(&it.instance));
    free_at_ms
        .min()
        .map_or(Availability::Nowhere, |at_ms| Availability::Later {
            at_ms: *at_ms,
        })
}

/// A random peer, weighted by the speed of its link as `link_mbps` tells it.
pub(super) fn weighted_by_link<'a, T, F>(
    peers: &[&'a T],
    link_mbps: F,
    random: u64,
) -> Option<&'a T>
where
    F: Fn(&T) -> u32,
{
    let weight = |it: &T| match link_mbps(it) {
        0 => u64::from(UNKNOWN_LINK_MBPS),
        known => u64::from(known),
    };
    let sum: u64 = peers.iter().map(|it| weight(it)).sum();
    let mut left = random.checked_rem(sum)?;
    peers.iter().copied().find(|it| {
        let is_chosen = left < weight(it);
        left = left.saturating_sub(weight(it));
        is_chosen
    })
}
