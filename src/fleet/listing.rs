//! The platform's endpoint list, and how long missing entries are retained.

use indexmap::{IndexMap, IndexSet};

use super::leaving::LeavingReport;
use super::{
    EndpointFailure, EngineLoad, EntryError, FleetChange, InfoSource, KnownEndpoint,
    ListedEndpoint, ListingRead, ListingScope, PacingState, Phase, Provenance, ServiceReach,
    UnusableEntry,
};
use crate::ids::{EndpointId, EndpointName, InstanceId, ServiceName};
use crate::wire::engine::LayerRange;

/// How long an entry that is missing after an outage of the list is retained. The endpoint of an
/// expired entry, if alive, is listed again within about two seconds of the end of the outage.
const MISSING_RETENTION_MS: u64 = 2_200;
/// How long to remember the newest lifetime of an unlisted endpoint, that a lifetime has ended, and
/// reports of peers about unlisted endpoints. Information on earlier lifetimes arrives at most
/// seconds late, in a heartbeat or in the list of a peer.
pub(super) const LIFETIME_RETENTION_MS: u64 = 60_000;
/// Number of unusable entries to remember, so that each is logged once. Bounds the memory that a
/// faulty writer can use up.
const MAX_UNUSABLE: usize = 1_000;

/// The newest known lifetime of an endpoint name.
#[derive(Clone, Debug)]
struct Lifetime {
    id: EndpointId,
    /// When the list last showed it.
    seen_ms: u64,
}

/// All endpoints.
///
/// Invariant: of the lifetimes that share a name, only the newest is included.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    pub(super) endpoints: IndexMap<EndpointId, KnownEndpoint>,
    /// The newest lifetime of each name, kept for a while after its entry was removed.
    lifetimes: IndexMap<EndpointName, Lifetime>,
    /// Lifetimes that were succeeded by another one, and when this was seen.
    pub(super) ended: IndexMap<EndpointId, u64>,
    /// Peers' reports that an endpoint is leaving or was removed, which the list has not yet shown
    /// here, or does not show any more.
    pub(super) leaving_reports: IndexMap<EndpointId, LeavingReport>,
    /// Endpoints that were removed from the list, and when.
    pub(super) removed: IndexMap<EndpointId, u64>,
    /// Until when knowledge from before the newest restore of the store overrides the list; 0 if there was none.
    pub(super) restore_precedence_until_ms: u64,
    /// Unusable entries that have been reported.
    unusable: IndexMap<EndpointName, EntryError>,
    /// Rate limits, back-offs and departures announced by endpoints.
    pub(crate) pacing: PacingState,
    /// Whether this instance reaches endpoints.
    pub(crate) reach: ServiceReach,
    is_loaded: bool,
    /// Time as of which the list is known to be current. Never decreases.
    pub(super) fresh_as_of_ms: u64,
    /// Source of that knowledge.
    fresh_source: InfoSource,
}

impl Fleet {
    /// Whether the list has been read at least once.
    pub fn is_loaded(&self) -> bool {
        self.is_loaded
    }

    /// Records that the list is current as of `sent_ms`, when a read of it was sent.
    pub fn confirm(&mut self, sent_ms: u64) {
        self.confirm_from(InfoSource::Store, sent_ms);
    }

    /// Records that the list is current as of `at_ms` according to `source`.
    pub fn confirm_from(&mut self, source: InfoSource, at_ms: u64) {
        if at_ms > self.fresh_as_of_ms {
            self.fresh_as_of_ms = at_ms;
            self.fresh_source = source;
        }
    }

    /// Source by which the list was last known to be current.
    pub fn list_source(&self) -> &InfoSource {
        &self.fresh_source
    }

    /// Time since the list was last known to be current.
    pub fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.fresh_as_of_ms)
    }

    /// The list as read by this instance, for a peer that cannot read it. Phases and layers
    /// reported by others are left out, since two instances that pass on each other's reports would
    /// keep them forever. Retained entries are left out too: a peer that saw one removed would use
    /// it again.
    pub fn listed_endpoints(&self) -> Vec<ListedEndpoint> {
        let is_listed = |known: &&KnownEndpoint| !known.is_retained();
        let listed = self.iter().filter(is_listed);
        listed.map(KnownEndpoint::as_listed).collect()
    }

    /// The endpoint with this id.
    pub fn get(&self, id: &EndpointId) -> Option<&KnownEndpoint> {
        self.endpoints.get(id)
    }

    /// The endpoint with this id, mutable.
    pub fn get_mut(&mut self, id: &EndpointId) -> Option<&mut KnownEndpoint> {
        self.endpoints.get_mut(id)
    }

    /// All endpoints.
    pub fn iter(&self) -> impl Iterator<Item = &KnownEndpoint> {
        self.endpoints.values()
    }

    /// Endpoints of one service.
    pub fn of_service<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a KnownEndpoint> {
        self.iter().filter(move |it| it.listed.service == *service)
    }

    /// Mean number of layers that the engines of a service hold, over engines that hold any; 0 if
    /// none does.
    pub fn mean_layers(&self, service: &ServiceName) -> f64 {
        let held = self.of_service(service);
        let held: Vec<u16> = held
            .filter_map(|known| known.listed.layers)
            .map(LayerRange::len)
            .collect();
        let sum: f64 = held.iter().map(|layers| f64::from(*layers)).sum();
        sum / held.len().max(1) as f64
    }

    /// Whether this lifetime of an endpoint has ended: another process answers at its address or has
    /// registered under its name, or it refuses connections while others of its service accept them.
    pub fn has_ended(&self, id: &EndpointId) -> bool {
        let is_gone = |known: &KnownEndpoint| {
            let refused_ms = known.health.refused_ms();
            known.health.has_ended()
                || refused_ms
                    .is_some_and(|at_ms| self.reach.is_shown_since(&known.listed.service, at_ms))
        };
        self.ended.contains_key(id) || self.get(id).is_some_and(is_gone)
    }

    /// Whether an endpoint has exited or is partitioned from this instance, as refused connections show. A
    /// stopped or overloaded endpoint does not respond instead, and neither does an endpoint behind a partition
    /// that drops packets: these cases cannot be distinguished.
    pub(crate) fn is_gone(&self, id: &EndpointId) -> bool {
        let known = self.get(id);
        self.has_ended(id) || known.is_some_and(|known| known.health.refused_ms().is_some())
    }

    /// Forgets that endpoints of a service were found unreachable after `at_ms`, when a connection to any of
    /// them was last attempted with success: this instance was partitioned from them. Returns how many were.
    pub(crate) fn forgive_unreachable_since(&mut self, service: &ServiceName, at_ms: u64) -> usize {
        let is_unproven = |known: &&mut KnownEndpoint| {
            let unreachable_ms = known.health.unreachable_ms();
            known.listed.service == *service
                && unreachable_ms.is_some_and(|it| it > at_ms)
                && !known.health.has_ended()
        };
        let unproven = self.endpoints.values_mut().filter(is_unproven);
        unproven.map(|known| known.health.clear()).count()
    }

    /// Applies a read of the list. If `after_outage` is set, the list could not be read or updated
    /// shortly before, and missing entries are retained for a while.
    pub fn apply_read(
        &mut self,
        read: ListingRead,
        after_outage: bool,
        now_ms: u64,
    ) -> Vec<FleetChange> {
        self.apply_read_from(&InfoSource::Store, read, after_outage, now_ms)
    }

    /// Applies a read that reached this instance by `source`.
    pub fn apply_read_from(
        &mut self,
        source: &InfoSource,
        read: ListingRead,
        after_outage: bool,
        now_ms: u64,
    ) -> Vec<FleetChange> {
        let mut changes = Vec::new();
        let missing = match &read.scope {
            ListingScope::Full => self.endpoints_not_in(&read),
            ListingScope::Changes { removed } => self.current_lifetimes(removed),
        };
        for entry in read.entries {
            self.apply_entry(entry, source, now_ms, &mut changes);
        }
        self.remove(&missing, after_outage, now_ms, &mut changes);
        for entry in read.unusable {
            self.apply_unusable(entry, &mut changes);
        }
        changes.extend(self.expire(now_ms));
        self.is_loaded = true;
        changes
    }

    /// Applies the list of a peer while this instance cannot read it. Endpoints that the list has
    /// shown leaving here stay so, since the peer may not have read that yet.
    pub fn apply_peer_list(
        &mut self,
        peer: &InstanceId,
        mut entries: Vec<ListedEndpoint>,
        now_ms: u64,
    ) -> Vec<FleetChange> {
        self.keep_leaving(&mut entries);
        let source = InfoSource::PeerList(peer.clone());
        self.apply_read_from(&source, ListingRead::full(entries), true, now_ms)
    }

    /// Drops expired state: layers reported by engines, peers' reports of leaving endpoints,
    /// retained entries, and old lifetimes. Runs without a read of the list too: there may be none
    /// for seconds, and a retained entry would remain selectable for as long.
    pub fn expire(&mut self, now_ms: u64) -> Vec<FleetChange> {
        let mut changes = self.expire_leaving_reports(now_ms);
        for known in self.endpoints.values_mut() {
            known.expire_reported_layers(now_ms);
        }
        let is_recent = |at_ms: &u64| now_ms < *at_ms + LIFETIME_RETENTION_MS;
        self.ended.retain(|_, seen_ms| is_recent(seen_ms));
        self.removed.retain(|_, removed_ms| is_recent(removed_ms));
        let endpoints = &self.endpoints;
        self.lifetimes.retain(|_, lifetime| {
            endpoints.contains_key(&lifetime.id)
                || now_ms < lifetime.seen_ms + LIFETIME_RETENTION_MS
        });
        self.pacing.expire(|id| endpoints.contains_key(id), now_ms);
        changes.extend(self.drop_expired(now_ms));
        changes
    }

    /// Sets the load of each engine that is due to requests of other instances.
    pub fn set_peers_load(&mut self, loads: &IndexMap<EndpointId, EngineLoad>) {
        for (id, known) in &mut self.endpoints {
            known.peers_load = loads.get(id).copied().unwrap_or_default();
        }
    }

    /// Updates the load that the requests of another instance put on an engine, from `before` to
    /// `now`.
    pub fn update_peers_load(&mut self, id: &EndpointId, before: EngineLoad, now: EngineLoad) {
        if let Some(known) = self.endpoints.get_mut(id) {
            known.peers_load = known.peers_load.minus(before).plus(now);
        }
    }

    /// Records a failure of an endpoint. Returns whether the endpoint has become paused.
    pub fn record_failure(
        &mut self,
        id: &EndpointId,
        failure: EndpointFailure,
        now_ms: u64,
    ) -> bool {
        let known = self.endpoints.get_mut(id);
        known.is_some_and(|known| known.health.record_failure(failure, now_ms))
    }

    /// Endpoints that are not in a full list.
    fn endpoints_not_in(&self, read: &ListingRead) -> Vec<EndpointId> {
        let usable = read.entries.iter().map(|it| it.id.name());
        let unusable = read.unusable.iter().map(|it| it.name.clone());
        let listed: IndexSet<EndpointName> = usable.chain(unusable).collect();
        let ids = self.endpoints.keys();
        ids.filter(|id| !listed.contains(&id.name()))
            .cloned()
            .collect()
    }

    fn current_lifetimes(&self, names: &[EndpointName]) -> Vec<EndpointId> {
        let newest = names.iter().filter_map(|name| self.lifetimes.get(name));
        newest.map(|lifetime| lifetime.id.clone()).collect()
    }

    fn apply_entry(
        &mut self,
        mut entry: ListedEndpoint,
        source: &InfoSource,
        now_ms: u64,
        changes: &mut Vec<FleetChange>,
    ) {
        let id = entry.id.clone();
        if !self.advance_lifetime(&entry, now_ms, changes) {
            return;
        }
        self.unusable.swap_remove(&id.name());
        let phase_in_list = entry.phase;
        let mut phase = entry.phase;
        if let Some(report) = self.leaving_reports.get_mut(&id) {
            report.listed_live_since = entry.phase == Phase::Live;
            phase = Phase::Leaving;
        }
        if self.pacing.is_leaving(&id) {
            phase = Phase::Leaving;
        }
        let provenance = Provenance {
            source: source.clone(),
            received_ms: now_ms,
        };
        self.removed.swap_remove(&id);
        let Some(known) = self.endpoints.get_mut(&id) else {
            entry.phase = phase;
            let mut known = KnownEndpoint::new(entry, provenance);
            known.phase_in_list = phase_in_list;
            self.endpoints.insert(id, known);
            return;
        };
        let layers_before = known.listed.layers;
        if known.listed.phase == Phase::Live && phase == Phase::Leaving {
            changes.push(FleetChange::Leaving(id.clone()));
        }
        known.update(entry, phase, provenance);
        if known.listed.layers != layers_before {
            changes.push(FleetChange::Layers(id, known.listed.layers));
        }
    }

    /// Tracks the lifetime of an entry. If it is a new one, the previous lifetime ends and
    /// everything known about it is dropped. Returns false for an entry of an earlier lifetime,
    /// which must be ignored.
    fn advance_lifetime(
        &mut self,
        entry: &ListedEndpoint,
        now_ms: u64,
        changes: &mut Vec<FleetChange>,
    ) -> bool {
        let started = &entry.id;
        let name = started.name();
        let known = self.lifetimes.get(&name).map(|it| it.id.clone());
        if let Some(known) = &known
            && known.started_unix_ms() > started.started_unix_ms()
        {
            return false;
        }
        let seen = Lifetime {
            id: started.clone(),
            seen_ms: now_ms,
        };
        self.lifetimes.insert(name, seen);
        let ended = known.filter(|known| known != started);
        if let Some(ended) = &ended {
            self.ended.insert(ended.clone(), now_ms);
        }
        match ended.and_then(|ended| self.endpoints.shift_remove_entry(&ended)) {
            Some((ended, known)) => changes.push(FleetChange::Restarted {
                ended,
                address: known.listed.address,
                started: started.clone(),
            }),
            None if !self.endpoints.contains_key(started) => {
                changes.push(FleetChange::Joined(started.clone()));
            }
            None => {}
        }
        true
    }

    fn remove(
        &mut self,
        ids: &[EndpointId],
        after_outage: bool,
        now_ms: u64,
        changes: &mut Vec<FleetChange>,
    ) {
        for id in ids {
            if let Some(report) = self.leaving_reports.get_mut(id) {
                report.listed_live_since = false;
            }
            let Some(known) = self.endpoints.get_mut(id) else {
                continue;
            };
            if after_outage {
                known.missing_since_ms.get_or_insert(now_ms);
            } else if known.missing_since_ms.is_none() {
                self.endpoints.shift_remove(id);
                self.removed.insert(id.clone(), now_ms);
                changes.push(FleetChange::Removed(id.clone()));
            }
        }
    }

    /// Applies an unusable entry: the endpoint that it named before is no longer used.
    fn apply_unusable(&mut self, entry: UnusableEntry, changes: &mut Vec<FleetChange>) {
        let known = self.current_lifetimes(std::slice::from_ref(&entry.name));
        for id in known {
            if self.endpoints.shift_remove(&id).is_some() {
                changes.push(FleetChange::Expired(id));
            }
        }
        if self.unusable.get(&entry.name) == Some(&entry.fault) {
            return;
        }
        if self.unusable.len() >= MAX_UNUSABLE {
            self.unusable.shift_remove_index(0);
        }
        self.unusable
            .insert(entry.name.clone(), entry.fault.clone());
        changes.push(FleetChange::Unusable(entry));
    }

    /// Drops entries whose retention period is over.
    fn drop_expired(&mut self, now_ms: u64) -> Vec<FleetChange> {
        let mut changes = Vec::new();
        self.endpoints.retain(|id, known| {
            let overdue = known
                .missing_since_ms
                .is_some_and(|since| now_ms >= since + MISSING_RETENTION_MS);
            if overdue {
                changes.push(FleetChange::Expired(id.clone()));
            }
            !overdue
        });
        changes
    }
}
