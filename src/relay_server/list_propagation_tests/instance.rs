//! A simulated instance. It uses the same components as a real one, but no sockets and no clock.

use std::net::SocketAddr;

use indexmap::IndexSet;
use rand::rngs::SmallRng;

use super::super::adapter::FeedRead;
use super::super::heartbeat::{Availability, Heartbeat, OwnState, PeerPart};
use super::super::list_log::ListLog;
use super::super::list_sync::{self, ListUpdate};
use super::super::pacing::update_limit_shares;
use super::super::peer::{InstanceRecord, Recipient, SyncSource};
use super::super::peer_book::PeerBook;
use super::super::peer_selection::{FetchDecision, PartialFetches, PeerSelector, SyncState};
use super::super::settings::RelaySettings;
use super::super::snapshot::KnownVersions;
use super::super::store_health::StoreHealth;
use super::super::test_settings;
use super::store::Access;
use crate::fleet::{Fleet, ListingRead, Pacing, Permit, Phase, RateLimitUpdate, pick_replica};
use crate::ids::{EndpointId, Incarnation, InstanceId, ZoneName};
use crate::quarantine::Quarantine;

/// An endpoint that stays in service for the whole run.
const PERMANENT_ENDPOINT: &str = "e29";

/// State of an instance's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Process {
    Running { since_ms: u64 },
    Frozen { until_ms: u64 },
    Killed,
}

impl Process {
    /// Whether the process has been running without a fault for at least `settle_ms`.
    pub(super) fn is_settled(self, settle_ms: u64, now_ms: u64) -> bool {
        matches!(self, Self::Running { since_ms } if now_ms >= since_ms + settle_ms)
    }
}

pub(super) struct Instance {
    pub(super) record: InstanceRecord,
    pub(super) book: PeerBook,
    pub(super) log: ListLog,
    pub(super) fleet: Fleet,
    pub(super) store: StoreHealth,
    pub(super) access: Access,
    pub(super) reads_store: bool,
    pub(super) process: Process,
    /// Incremented when the process is killed. Pending events of earlier generations are dropped.
    pub(super) generation: u32,
    /// Position from which the list is watched; `None` until it has been read.
    pub(super) position: Option<u64>,
    /// Whether the store did not answer the newest read or watch of the list.
    pub(super) has_failed_list_watch: bool,
    /// The same for the route table.
    pub(super) has_failed_table_watch: bool,
    /// Whether a request to a peer is in progress.
    pub(super) is_fetching: bool,
    /// Whether a heartbeat of a peer that knows more arrived since the last poll.
    pub(super) is_notified: bool,
    pub(super) selector: PeerSelector,
    pub(super) quarantine: Quarantine,
    /// Until when the instance neither sends nor receives heartbeats.
    pub(super) disconnected_until_ms: u64,
}

fn settings(record: &InstanceRecord) -> RelaySettings {
    test_settings::settings(
        record.instance.clone(),
        record.zone.clone(),
        record.front,
        record.peers,
        record.link_mbps,
    )
}

impl Instance {
    pub(super) fn new(number: usize, zone: usize, link_mbps: u32, rng: &mut SmallRng) -> Self {
        let octets = [10, 1, (number / 200) as u8, (number % 200) as u8];
        let record = InstanceRecord {
            instance: InstanceId::from(format!("i{number:03}")),
            incarnation: Incarnation::generate(rng),
            zone: ZoneName::from(format!("z{zone}")),
            front: (octets, 8_000).into(),
            peers: (octets, 9_000).into(),
            link_mbps,
        };
        let book = PeerBook::new(&settings(&record), record.incarnation, 0);
        Self {
            record,
            book,
            log: ListLog::default(),
            fleet: Fleet::default(),
            store: StoreHealth::default(),
            access: Access::Answers,
            reads_store: false,
            process: Process::Killed,
            generation: 0,
            position: None,
            has_failed_list_watch: false,
            has_failed_table_watch: false,
            is_fetching: false,
            is_notified: false,
            selector: PeerSelector::default(),
            quarantine: Quarantine::default(),
            disconnected_until_ms: 0,
        }
    }

    /// Starts a new process that has read the records of all instances.
    pub(super) fn start(&mut self, records: &[InstanceRecord], now_ms: u64, rng: &mut SmallRng) {
        self.record.incarnation = Incarnation::generate(rng);
        self.book = PeerBook::new(&settings(&self.record), self.record.incarnation, now_ms);
        for record in records {
            self.book.add_record(record.clone(), now_ms);
        }
        self.log = ListLog::default();
        self.fleet = Fleet::default();
        self.store = StoreHealth::default();
        self.reads_store = false;
        self.position = None;
        self.has_failed_list_watch = false;
        self.has_failed_table_watch = false;
        self.is_fetching = false;
        self.is_notified = false;
        self.selector = PeerSelector::default();
        self.quarantine = Quarantine::default();
        self.process = Process::Running { since_ms: now_ms };
    }

    /// Whether a request would be sent to this endpoint rather than to a busy one that stays in
    /// service.
    pub(super) fn would_choose(&mut self, id: &EndpointId, now_ms: u64) -> bool {
        let permanent = EndpointId::from(PERMANENT_ENDPOINT);
        let known = self.fleet.get(id);
        if known.is_none_or(|known| known.listed.phase != Phase::Live) {
            return false;
        }
        let ids = self.fleet.iter().map(|known| known.id().clone());
        let others: IndexSet<EndpointId> = ids.filter(|it| it != id && *it != permanent).collect();
        let Some(busy) = self.fleet.get_mut(&permanent) else {
            return false;
        };
        busy.in_flight = 100;
        let service = busy.listed.service.clone();
        let zone = &self.record.zone;
        pick_replica(&self.fleet, &service, zone, &others, now_ms).as_ref() == Some(id)
    }

    /// Sends a request to an endpoint if its rate limit permits. Returns whether it was sent.
    pub(super) fn try_send(&mut self, id: &EndpointId, now_ms: u64) -> bool {
        self.fleet.pacing.acquire_permit(id, now_ms) != Permit::Missing
    }

    /// Applies the rate limit from a response of an endpoint.
    pub(super) fn apply_limit(&mut self, id: &EndpointId, limit_per_s: Option<f64>, now_ms: u64) {
        let pacing = Pacing {
            limit: limit_per_s.map_or(RateLimitUpdate::Unlimited, RateLimitUpdate::PerSecond),
            ..Pacing::default()
        };
        self.fleet.pacing.apply(id, pacing, now_ms);
        update_limit_shares(&mut self.fleet, &self.book, now_ms);
        if self.fleet.pacing.has_unsent_updates() {
            self.book.request_heartbeat();
        }
    }

    fn receives_store_updates(&self, now_ms: u64) -> bool {
        if self.reads_store {
            self.store.is_answering()
        } else {
            self.book.zone_has_store_reader(now_ms)
        }
    }

    fn own_state(&mut self, now_ms: u64) -> OwnState {
        let answered_ms = self.store.last_answer_ms().filter(|_| self.reads_store);
        OwnState {
            availability: Availability {
                is_ready: self.fleet.is_loaded(),
                is_open: self.fleet.is_loaded(),
                reaches_store: self.reads_store && self.store.is_answering(),
                receives_store_updates: self.receives_store_updates(now_ms),
                reaches_endpoints: true,
            },
            table: 1,
            table_age_ms: 0,
            list: self.log.watermark(),
            list_age_ms: self.fleet.age_ms(now_ms),
            store_age_ms: answered_ms.map(|at_ms| now_ms.saturating_sub(at_ms)),
            unreached: Vec::new(),
            held: Vec::new(),
            retry_needs: Vec::new(),
            evidence: self.quarantine.next_report(now_ms),
            limits: self.fleet.pacing.next_reports(now_ms),
            demand: Vec::new(),
            zone_demand: None,
        }
    }

    /// Decides again whether this instance reads the store. Returns whether it starts to do so now.
    pub(super) fn update_store_reader(&mut self, now_ms: u64) -> bool {
        let answered_ms = self.store.last_answer_ms();
        let view = self
            .book
            .store_reader_view(self.reads_store, answered_ms, now_ms);
        let should_read = view.should_read(now_ms);
        let starts = should_read && !self.reads_store;
        self.reads_store = should_read;
        starts
    }

    pub(super) fn heartbeat(&mut self, now_ms: u64) -> (Heartbeat, Vec<Recipient>) {
        let own = self.own_state(now_ms);
        let heartbeat = self.book.heartbeat(&own, now_ms);
        self.book.remove_expired(now_ms);
        update_limit_shares(&mut self.fleet, &self.book, now_ms);
        let recipients = self.book.recipients(own.availability, now_ms);
        (heartbeat, recipients)
    }

    /// Processes a heartbeat. Returns whether its sender knows changes to the list that are not
    /// known here.
    pub(super) fn on_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        from: SocketAddr,
        peer_part: &PeerPart,
        now_ms: u64,
    ) -> bool {
        self.book.apply_heartbeat(heartbeat, from, now_ms);
        self.book.apply_peer_part(&heartbeat.instance, peer_part);
        let sent_ms = self.book.acknowledged_sent_ms(peer_part.echo);
        let newest_at_ms = sent_ms.map(|it| it.saturating_sub(heartbeat.list_age_ms));
        let (log, fleet) = (&mut self.log, &mut self.fleet);
        let peer = &heartbeat.instance;
        let knows_all_changes =
            list_sync::observe_peer_watermark(log, fleet, peer, heartbeat.list, newest_at_ms);
        let forwards = self.book.is_top_ranked_in_zone(now_ms);
        self.quarantine
            .apply_report(&heartbeat.evidence, forwards, now_ms);
        let pacing = &mut self.fleet.pacing;
        let mut reports = heartbeat.limits.iter();
        if reports.any(|it| pacing.apply_reports(it, now_ms)) {
            update_limit_shares(&mut self.fleet, &self.book, now_ms);
        }
        for id in &heartbeat.leaving {
            self.fleet.apply_leaving_report(peer, id, now_ms);
        }
        !knows_all_changes
    }

    /// Applies a read of the store. Returns whether peers must be notified immediately.
    pub(super) fn apply_read(
        &mut self,
        read: FeedRead<ListingRead>,
        sent_ms: u64,
        now_ms: u64,
    ) -> bool {
        self.store.record_answer(now_ms);
        self.position = Some(read.position);
        let after_outage = self.store.is_unavailable(now_ms);
        let (log, fleet) = (&mut self.log, &mut self.fleet);
        let applied = list_sync::apply_read(log, fleet, read, after_outage, sent_ms, now_ms);
        for change in &applied.changes {
            if let Some(id) = change.departed() {
                self.book.announce_leaving(id);
            }
        }
        if applied.must_notify_peers {
            self.book.request_heartbeat();
        }
        applied.must_notify_peers
    }

    pub(super) fn known_versions(&self) -> KnownVersions {
        KnownVersions {
            table: 1,
            list: self.log.watermark().position,
        }
    }

    /// The peer to request updates from, if a request is needed now.
    pub(super) fn peer_to_fetch_from(&mut self, draw: u64, now_ms: u64) -> Option<SyncSource> {
        let sync_sources = self.book.sync_sources(now_ms);
        let known = self.known_versions();
        let state = SyncState {
            behind_since_ms: self.selector.update_lag(&sync_sources, known, now_ms),
            reads_store: self.reads_store,
            receives_store_updates: self.receives_store_updates(now_ms),
            list_age_ms: self.fleet.age_ms(now_ms),
        };
        let next = self.selector.next(
            &sync_sources,
            state,
            known,
            PartialFetches::default(),
            draw,
            now_ms,
        );
        match next {
            FetchDecision::Fetch(request) => Some(request.peer),
            FetchDecision::Idle | FetchDecision::Wait { .. } => None,
        }
    }

    /// Returns the update for a peer at `position`, and the age of the list.
    pub(super) fn update_for(&self, position: u64, now_ms: u64) -> Option<(ListUpdate, u64)> {
        let update = list_sync::update_since(&self.log, &self.fleet, position)?;
        Some((update, self.fleet.age_ms(now_ms)))
    }

    pub(super) fn apply_update(
        &mut self,
        update: ListUpdate,
        requested_position: u64,
        newest_at_ms: u64,
        now_ms: u64,
    ) {
        let (log, fleet) = (&mut self.log, &mut self.fleet);
        // The name is used in log lines only.
        let peer = InstanceId::from("peer");
        list_sync::apply_update(
            log,
            fleet,
            &peer,
            update,
            requested_position,
            newest_at_ms,
            now_ms,
        );
    }
}
