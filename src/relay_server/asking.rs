//! Which peer an instance asks for what it does not know, and when.

use std::cmp::Reverse;

use super::peer::Informant;
use super::snapshot::Known;
use crate::ids::InstanceId;

/// How long a peer must have had a newer table before it is asked: the own watch of the store brings
/// a new version within tens of milliseconds of the others'.
const BEHIND_MS: u64 = 500;
/// Age of the endpoint list from which a peer is asked for its own: a read of the store that waited
/// for a change in vain and the next one's timeout are over by then.
const OLD_LIST_MS: u64 = 3_000;

/// How fresh an instance's own knowledge is.
#[derive(Clone, Copy, Debug)]
pub(super) struct Knowledge {
    /// Since when a peer has had a newer table.
    pub(super) behind_since_ms: Option<u64>,
    /// Whether the store is read here: its answers bring what peers know as soon as theirs do.
    pub(super) reads_store: bool,
    /// Whether the store answers here, or somebody in the zone.
    pub(super) is_fed: bool,
    /// Age of the list of endpoints.
    pub(super) list_age_ms: u64,
}

impl Knowledge {
    /// Whether a peer is to be asked. A list that is old though the store answers has not changed: it
    /// reaches 3.65 s whenever two watches in a row end in vain.
    pub(super) fn is_wanting(self, now_ms: u64) -> bool {
        let patience_ms = if self.reads_store { BEHIND_MS } else { 0 };
        let is_behind = self
            .behind_since_ms
            .is_some_and(|since| now_ms >= since + patience_ms);
        let is_list_old = !self.is_fed && self.list_age_ms >= OLD_LIST_MS;
        is_behind || is_list_old
    }
}

/// What is to be done next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Next {
    /// Nothing until the next look.
    Nothing,
    /// This peer is asked.
    Ask(Informant),
}

/// What an instance remembers of those it has asked.
#[derive(Debug, Default)]
pub(super) struct Asking {
    /// The one that was asked last, if it gave nothing.
    failed: Option<InstanceId>,
}

impl Asking {
    /// Decides what to do, where `informants` are the peers that are heard.
    pub(super) fn next(
        &mut self,
        mut informants: Vec<Informant>,
        knowledge: Knowledge,
        known: Known,
        draw: u64,
        now_ms: u64,
    ) -> Next {
        if !knowledge.is_wanting(now_ms) {
            return Next::Nothing;
        }
        put_best_first(&mut informants, known, draw);
        let failed = self.failed.take();
        let mut others = informants.into_iter();
        let peer = others.find(|it| Some(&it.instance) != failed.as_ref());
        peer.map_or(Next::Nothing, Next::Ask)
    }

    /// Notes that a peer gave nothing.
    pub(super) fn failed(&mut self, peer: &InstanceId) {
        self.failed = Some(peer.clone());
    }
}

/// Puts those in front that know more, are in the zone, and are answered by the store. `draw` picks one
/// among equals, so that a zone's instances do not all ask the same.
pub(super) fn put_best_first(informants: &mut [Informant], known: Known, draw: u64) {
    let order = |it: &Informant| Reverse((it.knows_more(known), it.is_near, it.reaches_store));
    informants.sort_by_key(order);
    let Some(best) = informants.first().map(order) else {
        return;
    };
    let equals = informants.partition_point(|it| order(it) <= best);
    let chosen = draw % equals as u64;
    informants[..equals].rotate_left(chosen as usize);
}
