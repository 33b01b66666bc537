//! Which peer an instance asks for what it does not know, and when.

use std::cmp::Reverse;

use indexmap::IndexMap;

use super::peer::SyncSource;
use super::snapshot::KnownVersions;
use super::uplink::UNKNOWN_LINK_MBPS;
use crate::ids::InstanceId;

/// How long a peer must have had a newer table before it is asked: the own watch of the store brings
/// a new version within tens of milliseconds of the others'.
const BEHIND_MS: u64 = 500;
/// Age of the endpoint list from which a peer is asked for its own: a read of the store that waited
/// for a change in vain and the next one's timeout are over by then.
const OLD_LIST_MS: u64 = 3_000;
/// How long a document is waited for from the own zone before it is asked for elsewhere: its readers
/// have it within tens of milliseconds of other zones', unless the store answers none of them.
const FAR_PATIENCE_MS: u64 = 500;
/// How long a peer that gave nothing is left alone: if it has ended it is not heard any more by then.
const FAILED_MS: u64 = 800;

/// How fresh an instance's own knowledge is.
#[derive(Clone, Copy, Debug)]
pub(super) struct SyncState {
    /// Since when a peer has had a newer table.
    pub(super) behind_since_ms: Option<u64>,
    /// Whether the store is read here: its answers bring what peers know as soon as theirs do.
    pub(super) reads_store: bool,
    /// Whether the store answers here, or somebody in the zone.
    pub(super) is_fed: bool,
    /// Age of the list of endpoints.
    pub(super) list_age_ms: u64,
}

impl SyncState {
    /// Whether a peer is to be asked. A list that is old though the store answers has not changed: it
    /// reaches 3.65 s whenever two watches in a row end in vain.
    pub(super) fn needs_fetch(self, now_ms: u64) -> bool {
        let patience_ms = if self.reads_store { BEHIND_MS } else { 0 };
        let is_behind = self
            .behind_since_ms
            .is_some_and(|since| now_ms >= since + patience_ms);
        is_behind || self.is_list_old()
    }

    fn is_list_old(self) -> bool {
        !self.is_fed && self.list_age_ms >= OLD_LIST_MS
    }
}

/// What is to be done next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum FetchDecision {
    /// Nothing until the next look.
    Idle,
    /// Nothing until then, unless something new is heard.
    Wait {
        /// Time until then.
        wait_ms: u64,
    },
    /// This peer is asked.
    Fetch(FetchRequest),
}

/// Whom to ask, and for what.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct FetchRequest {
    pub(super) peer: SyncSource,
    /// Whether the document is asked for, beside the list of endpoints.
    pub(super) wants_document: bool,
}

/// What an instance remembers of those it has asked.
///
/// A document is taken from the own zone: whoever has it there hands it on, so that it spreads in
/// rounds and the way between zones carries it once a reader. The list of endpoints is short and urgent,
/// and never waits for a document.
#[derive(Debug, Default)]
pub(super) struct PeerSelector {
    /// Those that gave nothing, and until when they are left alone.
    failed: IndexMap<InstanceId, u64>,
    /// Those that had no room for a document, and until when.
    busy: IndexMap<InstanceId, u64>,
    /// Those that had no room for the whole list of endpoints, and until when.
    list_busy: IndexMap<InstanceId, u64>,
    /// Since when a peer has known more.
    behind_since_ms: Option<u64>,
    /// Since when a peer has had a newer document.
    lacks_document_since_ms: Option<u64>,
}

impl PeerSelector {
    /// Notes whether a peer knows more. Returns since when.
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

    /// Decides what to do, where `sync_sources` are the peers that are heard. `begun` says what is here in
    /// part already.
    pub(super) fn next(
        &mut self,
        sync_sources: &[SyncSource],
        knowledge: SyncState,
        known: KnownVersions,
        begun: PartialFetches<'_>,
        draw: u64,
        now_ms: u64,
    ) -> FetchDecision {
        self.failed.retain(|_, until_ms| now_ms < *until_ms);
        self.busy.retain(|_, until_ms| now_ms < *until_ms);
        self.list_busy.retain(|_, until_ms| now_ms < *until_ms);
        if !knowledge.needs_fetch(now_ms) {
            return FetchDecision::Idle;
        }
        let may_ask_far = self
            .lacks_document_since_ms
            .is_some_and(|since_ms| now_ms >= since_ms + FAR_PATIENCE_MS);
        let source = self.source(sync_sources, known, begun.document, may_ask_far, draw);
        if let Source::At(peer) = source {
            return FetchDecision::Fetch(FetchRequest {
                peer: peer.clone(),
                wants_document: true,
            });
        }
        let lister = self.lister(sync_sources, knowledge, known, begun.list_provider, draw);
        if let Source::At(peer) = lister {
            return FetchDecision::Fetch(FetchRequest {
                peer: peer.clone(),
                wants_document: false,
            });
        }
        let room_ms = [source.room_ms(), lister.room_ms()];
        match room_ms.into_iter().flatten().min() {
            Some(at_ms) => FetchDecision::Wait {
                wait_ms: at_ms.saturating_sub(now_ms).max(1),
            },
            None => FetchDecision::Idle,
        }
    }

    /// Notes that a peer gave nothing.
    pub(super) fn mark_failed(&mut self, peer: &InstanceId, now_ms: u64) {
        self.failed.insert(peer.clone(), now_ms + FAILED_MS);
    }

    /// Notes that a peer has no room for a document for so long.
    pub(super) fn mark_document_busy(&mut self, peer: &InstanceId, wait_ms: u64, now_ms: u64) {
        self.busy.insert(peer.clone(), now_ms + wait_ms);
    }

    /// Notes that a peer has no room for the whole list of endpoints for so long.
    pub(super) fn mark_list_busy(&mut self, peer: &InstanceId, wait_ms: u64, now_ms: u64) {
        self.list_busy.insert(peer.clone(), now_ms + wait_ms);
    }

    /// Who is asked for the document.
    fn source<'a>(
        &self,
        sync_sources: &'a [SyncSource],
        known: KnownVersions,
        part_of: Option<u64>,
        may_ask_far: bool,
        draw: u64,
    ) -> Source<'a> {
        let newer = sync_sources
            .iter()
            .filter(|it| it.table > known.table && !self.failed.contains_key(&it.instance));
        let (near, far): (Vec<_>, Vec<_>) = newer.partition(|it| it.is_same_zone);
        let all = if near.is_empty() && may_ask_far {
            far
        } else {
            near
        };
        // Those that can go on with what was begun, if there are any.
        let same = all.iter().copied().filter(|it| Some(it.table) == part_of);
        let same: Vec<&SyncSource> = same.collect();
        let all = if same.is_empty() { all } else { same };
        let (busy, free): (Vec<&SyncSource>, Vec<&SyncSource>) = all
            .into_iter()
            .partition(|it| self.busy.contains_key(&it.instance));
        if let Some(peer) = by_link(&free, draw) {
            return Source::At(peer);
        }
        soonest(&busy, &self.busy)
    }

    /// Who is asked for the list of endpoints, if it is wanting. The whole of it is long, so that whoever
    /// has it hands it on, those with fast links rather than others.
    fn lister<'a>(
        &self,
        sync_sources: &'a [SyncSource],
        knowledge: SyncState,
        known: KnownVersions,
        giver: Option<&InstanceId>,
        draw: u64,
    ) -> Source<'a> {
        let others = sync_sources
            .iter()
            .filter(|it| !self.failed.contains_key(&it.instance))
            .filter(|it| knowledge.is_list_old() || it.list.last_change > known.list);
        let (busy, free): (Vec<&SyncSource>, Vec<&SyncSource>) =
            others.partition(|it| self.list_busy.contains_key(&it.instance));
        if let Some(peer) = free.iter().find(|it| Some(&it.instance) == giver) {
            return Source::At(peer);
        }
        let chosen = if known.list == 0 {
            let near: Vec<&SyncSource> =
                free.iter().copied().filter(|it| it.is_same_zone).collect();
            by_link(if near.is_empty() { &free } else { &near }, draw)
        } else {
            Self::best_lister(&free, known, draw)
        };
        if let Some(peer) = chosen {
            return Source::At(peer);
        }
        soonest(&busy, &self.list_busy)
    }

    /// One of those that are asked first for what has changed.
    fn best_lister<'a>(
        others: &[&'a SyncSource],
        known: KnownVersions,
        draw: u64,
    ) -> Option<&'a SyncSource> {
        let order = |it: &SyncSource| {
            let has_news = it.list.last_change > known.list;
            Reverse((has_news, it.is_same_zone, it.reaches_store))
        };
        let best = others.iter().map(|it| order(it)).min()?;
        let best: Vec<&SyncSource> = others
            .iter()
            .copied()
            .filter(|it| order(it) == best)
            .collect();
        best.get(draw as usize % best.len().max(1)).copied()
    }
}

/// What of the two is here in part.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PartialFetches<'a> {
    /// Version of the document of which parts are here.
    pub(super) document: Option<u64>,
    /// Who has given parts of the list of endpoints and has the rest.
    pub(super) list_provider: Option<&'a InstanceId>,
}

/// Where a document, or the list, is to be had.
#[derive(Clone, Copy, Debug)]
enum Source<'a> {
    At(&'a SyncSource),
    /// There is room then.
    Later {
        at_ms: u64,
    },
    Nowhere,
}

impl Source<'_> {
    /// When there is room, where that is known.
    fn room_ms(self) -> Option<u64> {
        match self {
            Self::Later { at_ms } => Some(at_ms),
            Self::At(_) | Self::Nowhere => None,
        }
    }
}

/// When the first of these peers has room, where `until_ms` says when each has.
fn soonest<'a>(peers: &[&'a SyncSource], until_ms: &IndexMap<InstanceId, u64>) -> Source<'a> {
    let room = peers.iter().filter_map(|it| until_ms.get(&it.instance));
    room.min()
        .map_or(Source::Nowhere, |at_ms| Source::Later { at_ms: *at_ms })
}

/// One of those, the likelier the faster its link.
fn by_link<'a>(sync_sources: &[&'a SyncSource], draw: u64) -> Option<&'a SyncSource> {
    let speed = |it: &SyncSource| match it.link_mbps {
        0 => u64::from(UNKNOWN_LINK_MBPS),
        known => u64::from(known),
    };
    let sum: u64 = sync_sources.iter().map(|it| speed(it)).sum();
    let mut left = draw.checked_rem(sum)?;
    sync_sources.iter().copied().find(|it| {
        let is_it = left < speed(it);
        left = left.saturating_sub(speed(it));
        is_it
    })
}
