//! One instance: its own parts as they are in service, without sockets and clock.

use std::net::SocketAddr;

use indexmap::IndexSet;
use rand::rngs::SmallRng;

use super::super::adapter::FeedRead;
use super::super::heartbeat::{Availability, Echo, Heartbeat, OwnState};
use super::super::list_log::ListLog;
use super::super::list_sync::{self, ListUpdate};
use super::super::pacing::update_limit_shares;
use super::super::peer::{InstanceRecord, Recipient, SyncSource};
use super::super::peer_book::PeerBook;
use super::super::peer_selection::{FetchDecision, PartialFetches, PeerSelector, SyncState};
use super::super::settings::RelaySettings;
use super::super::snapshot::KnownVersions;
use super::super::store_contact::StoreHealth;
use super::super::test_settings;
use super::store::Access;
use crate::fleet::{
    Fleet, FleetChange, ListingRead, Pacing, Permit, Phase, RateLimitUpdate, pick_replica,
};
use crate::ids::{EndpointId, Incarnation, InstanceId, ZoneName};
use crate::quarantine::Quarantine;

/// An endpoint that stays in service for the whole run.
const STAYS: &str = "e29";

/// Whether the process runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Process {
    Runs { since_ms: u64 },
    Frozen { until_ms: u64 },
    Killed,
}

pub(super) struct Instance {
    pub(super) record: InstanceRecord,
    pub(super) book: PeerBook,
    pub(super) log: ListLog,
    pub(super) fleet: Fleet,
    pub(super) store: StoreHealth,
    pub(super) access: Access,
    pub(super) reads: bool,
    pub(super) process: Process,
    /// Grows with each process: what is under way for an earlier one is lost.
    pub(super) generation: u32,
    /// Where the watch of the list goes on.
    pub(super) position: Option<u64>,
    pub(super) is_asking: bool,
    pub(super) is_notified: bool,
    pub(super) asking: PeerSelector,
    pub(super) quarantine: Quarantine,
    /// Until when no heartbeat reaches it or leaves it.
    pub(super) cut_until_ms: u64,
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
            reads: false,
            process: Process::Killed,
            generation: 0,
            position: None,
            is_asking: false,
            is_notified: false,
            asking: PeerSelector::default(),
            quarantine: Quarantine::default(),
            cut_until_ms: 0,
        }
    }

    /// A new process begins, which has read the records of all.
    pub(super) fn start(&mut self, records: &[InstanceRecord], now_ms: u64, rng: &mut SmallRng) {
        self.record.incarnation = Incarnation::generate(rng);
        self.book = PeerBook::new(&settings(&self.record), self.record.incarnation, now_ms);
        for record in records {
            self.book.add_record(record.clone(), now_ms);
        }
        self.log = ListLog::default();
        self.fleet = Fleet::default();
        self.store = StoreHealth::default();
        self.reads = false;
        self.position = None;
        self.is_asking = false;
        self.is_notified = false;
        self.asking = PeerSelector::default();
        self.quarantine = Quarantine::default();
        self.process = Process::Runs { since_ms: now_ms };
    }

    /// Whether a request would be sent there, rather than to one that stays and has much to do.
    pub(super) fn would_choose(&mut self, id: &EndpointId, now_ms: u64) -> bool {
        let stays = EndpointId::from(STAYS);
        let known = self.fleet.get(id);
        if known.is_none_or(|known| known.listed.phase != Phase::Live) {
            return false;
        }
        let ids = self.fleet.iter().map(|known| known.id().clone());
        let others: IndexSet<EndpointId> = ids.filter(|it| it != id && *it != stays).collect();
        let Some(busy) = self.fleet.get_mut(&stays) else {
            return false;
        };
        busy.in_flight = 100;
        let service = busy.listed.service.clone();
        let zone = &self.record.zone;
        pick_replica(&self.fleet, &service, zone, &others, now_ms).as_ref() == Some(id)
    }

    /// Sends a request to an endpoint, if it may be sent one now.
    pub(super) fn sends_to(&mut self, id: &EndpointId, now_ms: u64) -> bool {
        self.fleet.pacing.acquire_permit(id, now_ms) != Permit::Missing
    }

    /// Takes an answer of an endpoint that names this limit.
    pub(super) fn hear_limit(&mut self, id: &EndpointId, limit_per_s: Option<f64>, now_ms: u64) {
        let said = Pacing {
            limit: limit_per_s.map_or(RateLimitUpdate::Unlimited, RateLimitUpdate::PerSecond),
            ..Pacing::default()
        };
        self.fleet.pacing.apply(id, said, now_ms);
        update_limit_shares(&mut self.fleet, &self.book, now_ms);
        if self.fleet.pacing.has_unsent_updates() {
            self.book.request_heartbeat();
        }
    }

    fn is_fed(&self, now_ms: u64) -> bool {
        if self.reads {
            self.store.is_answering()
        } else {
            self.book.zone_has_store_reader(now_ms)
        }
    }

    fn own_state(&mut self, now_ms: u64) -> OwnState {
        let answered_ms = self.store.last_answer_ms().filter(|_| self.reads);
        OwnState {
            availability: Availability {
                is_ready: self.fleet.is_loaded(),
                is_open: self.fleet.is_loaded(),
                reaches_store: self.reads && self.store.is_answering(),
                receives_store_updates: self.is_fed(now_ms),
            },
            table: 1,
            table_age_ms: 0,
            list: self.log.watermark(),
            list_age_ms: self.fleet.age_ms(now_ms),
            store_age_ms: answered_ms.map(|at_ms| now_ms.saturating_sub(at_ms)),
            held: Vec::new(),
            retry_needs: Vec::new(),
            evidence: self.quarantine.next_report(now_ms),
            limits: self.fleet.pacing.next_reports(now_ms),
        }
    }

    /// Decides anew whether the store is read here. Returns whether that begins now.
    pub(super) fn look_at_reading(&mut self, now_ms: u64) -> bool {
        let answered_ms = self.store.last_answer_ms();
        let view = self.book.store_reader_view(self.reads, answered_ms, now_ms);
        let should_read = view.should_read(now_ms);
        let begins = should_read && !self.reads;
        self.reads = should_read;
        begins
    }

    pub(super) fn heartbeat(&mut self, now_ms: u64) -> (Heartbeat, Vec<Recipient>) {
        let own = self.own_state(now_ms);
        let heartbeat = self.book.heartbeat(&own, now_ms);
        self.book.remove_expired(now_ms);
        update_limit_shares(&mut self.fleet, &self.book, now_ms);
        let recipients = self.book.recipients(own.availability, now_ms);
        (heartbeat, recipients)
    }

    /// Takes a heartbeat. Returns whether its sender knows more of the list.
    pub(super) fn hear(
        &mut self,
        heartbeat: &Heartbeat,
        from: SocketAddr,
        echo: Option<Echo>,
        now_ms: u64,
    ) -> bool {
        self.book.apply_heartbeat(heartbeat, from, now_ms);
        let sent_ms = self.book.acknowledged_sent_ms(echo);
        let newest_at_ms = sent_ms.map(|it| it.saturating_sub(heartbeat.list_age_ms));
        let (log, fleet) = (&mut self.log, &mut self.fleet);
        let peer = &heartbeat.instance;
        let knows_list =
            list_sync::observe_peer_watermark(log, fleet, peer, heartbeat.list, newest_at_ms);
        let relays = self.book.is_top_ranked_in_zone(now_ms);
        self.quarantine
            .apply_report(&heartbeat.evidence, relays, now_ms);
        let pacing = &mut self.fleet.pacing;
        let mut told = heartbeat.limits.iter();
        if told.any(|it| pacing.apply_reports(it, now_ms)) {
            update_limit_shares(&mut self.fleet, &self.book, now_ms);
        }
        for id in &heartbeat.leaving {
            self.fleet.record_peer_leaving(peer, id, now_ms);
        }
        !knows_list
    }

    /// Takes a read of the store. Returns whether peers are told at once.
    pub(super) fn take_read(
        &mut self,
        read: FeedRead<ListingRead>,
        sent_ms: u64,
        now_ms: u64,
    ) -> bool {
        self.store.record_answer(now_ms);
        self.position = Some(read.position);
        let was_away = self.store.is_unavailable(now_ms);
        let (log, fleet) = (&mut self.log, &mut self.fleet);
        let applied = list_sync::apply_read(log, fleet, read, was_away, sent_ms, now_ms);
        for change in &applied.changes {
            if let FleetChange::Leaving(id) | FleetChange::Removed(id) = change {
                self.book.announce_leaving(id);
            }
        }
        if applied.must_notify_peers {
            self.book.request_heartbeat();
        }
        applied.must_notify_peers
    }

    pub(super) fn known(&self) -> KnownVersions {
        KnownVersions {
            table: 1,
            list: self.log.watermark().position,
        }
    }

    /// Whom to ask for what is not known here, if anybody is to be asked.
    pub(super) fn whom_to_ask(&mut self, draw: u64, now_ms: u64) -> Option<SyncSource> {
        let sync_sources = self.book.sync_sources(now_ms);
        let known = self.known();
        let knowledge = SyncState {
            behind_since_ms: self.asking.update_lag(&sync_sources, known, now_ms),
            reads_store: self.reads,
            is_fed: self.is_fed(now_ms),
            list_age_ms: self.fleet.age_ms(now_ms),
        };
        let next = self.asking.next(
            &sync_sources,
            knowledge,
            known,
            PartialFetches::default(),
            draw,
            now_ms,
        );
        match next {
            FetchDecision::Fetch(question) => Some(question.peer),
            FetchDecision::Idle | FetchDecision::Wait { .. } => None,
        }
    }

    /// What it hands to a peer, and how old that is.
    pub(super) fn answer(&self, position: u64, now_ms: u64) -> Option<(ListUpdate, u64)> {
        let update = list_sync::update_since(&self.log, &self.fleet, position)?;
        Some((update, self.fleet.age_ms(now_ms)))
    }

    pub(super) fn take_update(
        &mut self,
        update: ListUpdate,
        asked_with: u64,
        newest_at_ms: u64,
        now_ms: u64,
    ) {
        let (log, fleet) = (&mut self.log, &mut self.fleet);
        // Only log lines tell which one it was.
        let peer = InstanceId::from("peer");
        list_sync::take_update(log, fleet, &peer, update, asked_with, newest_at_ms, now_ms);
    }
}
