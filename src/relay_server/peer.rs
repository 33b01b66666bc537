//! What is known of one other instance from its record and its heartbeats.

use std::cmp::Reverse;
use std::net::SocketAddr;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::heartbeat::{Availability, Echo, Heartbeat};
use super::list_log::ListWatermark;
use super::peer_book::HEARTBEAT_INTERVAL_MS;
use super::snapshot::KnownVersions;
use super::store_readers::STORE_STALE_MS;
use crate::fleet::EngineLoad;
use crate::ids::{EndpointId, Incarnation, InstanceId, ServiceName, ZoneName};
use crate::relay::RetryAmount;

/// Silence after which callers are no longer sent to a peer. Two heartbeats in a row may be lost.
const PEER_TIMEOUT_MS: u64 = 800;
/// Added to two intervals of a peer's heartbeats for its timeout. Covers network delay and a heartbeat that
/// was sent late.
const INTERVAL_SLACK_MS: u64 = 300;
/// How long a silent peer's report of demand counts, unless its heartbeats arrive so rarely that its timeout is
/// longer. Short enough that callers who have moved on to other instances are counted twice only briefly.
pub(super) const MIN_DEMAND_TTL_MS: u64 = 3_000;

/// How long a silent peer is kept, unless its timeout is longer.
const MIN_PEER_TTL_MS: u64 = 60_000;

/// An instance's record in the store.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct InstanceRecord {
    pub(super) instance: InstanceId,
    pub(super) incarnation: Incarnation,
    pub(super) zone: ZoneName,
    pub(super) front: SocketAddr,
    pub(super) peers: SocketAddr,
    /// Missing in records of earlier releases.
    #[serde(default)]
    pub(super) link_mbps: u32,
}

impl InstanceRecord {
    /// Whether `records` lead to the instance at the same addresses.
    pub(super) fn is_recorded_in(&self, records: &IndexMap<InstanceId, Self>) -> bool {
        records.get(&self.instance).is_some_and(|it| {
            (&it.zone, it.front, it.peers) == (&self.zone, self.front, self.peers)
        })
    }
}

/// State of another instance.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub(super) address: SocketAddr,
    pub(super) incarnation: Incarnation,
    pub(super) zone: ZoneName,
    pub(super) front: SocketAddr,
    pub(super) link_mbps: u32,
    /// Interval in which its heartbeats reach every instance of other zones.
    pub(super) cross_zone_interval_ms: u32,
    /// Interval in which its heartbeats reach this instance, if it is of the same zone; 0 if unknown.
    pub(super) zone_interval_ms: u32,
    /// Whether heartbeats of this process reach it, as far as its newest one tells.
    pub(super) hears_own: bool,
    /// Whether it sends each heartbeat to its whole zone.
    pub(super) is_active: bool,
    pub(super) availability: Availability,
    /// Version of its route table.
    pub(super) table: u64,
    /// How much of the endpoint list it knows.
    pub(super) list: ListWatermark,
    /// When the store last answered it, if it reads the store.
    pub(super) store_answered_ms: Option<u64>,
    /// When its record was read, or its first heartbeat arrived.
    pub(super) known_since_ms: u64,
    /// When its most recent heartbeat arrived.
    pub(super) heard_ms: Option<u64>,
    /// When its most recent heartbeat was sent, on its own clock.
    pub(super) sent_ms: u64,
    /// The latest `sent_ms` received from its process. Differs from `sent_ms` when a heartbeat arrives
    /// after one that was sent later.
    pub(super) newest_sent_ms: u64,
    /// Until when the newest heartbeat to it promises the next one, if it is of another zone. A process that
    /// has just started has no promise, and gets a heartbeat at its next turn.
    pub(super) promised_ms: u64,
    /// Instances that it knows of.
    pub(super) known_instances: u32,
    /// Retries that it lacks; emptied when they have been answered.
    pub(super) retry_needs: Vec<RetryAmount>,
    /// Services of which no endpoint accepts its connections.
    pub(super) unreached: Vec<ServiceName>,
    /// Load that its streams put on engines.
    pub(super) held: Vec<(EndpointId, EngineLoad)>,
    /// Whether `held` is included in the sums returned last.
    pub(super) is_counted: bool,
}

/// A peer that can be asked for routes and endpoints that are not known here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct SyncSource {
    pub(crate) instance: InstanceId,
    pub(crate) address: SocketAddr,
    /// Version of its route table.
    pub(crate) table: u64,
    /// How much of the endpoint list it knows.
    pub(crate) list: ListWatermark,
    /// Speed of its link; 0 if unknown.
    pub(crate) link_mbps: u32,
    /// Whether the store answers it.
    pub(crate) reaches_store: bool,
    pub(crate) is_same_zone: bool,
}

impl SyncSource {
    /// Whether its route table or endpoint list is newer than `known`.
    pub(super) fn is_ahead_of(&self, known: KnownVersions) -> bool {
        self.table > known.table || self.list.last_change > known.list
    }
}

/// Destination of a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Recipient {
    pub(super) address: SocketAddr,
    pub(super) zone: ZoneName,
    pub(super) echo: Option<Echo>,
    /// Interval in which heartbeats reach it, as it is told; 0 in other zones, which the heartbeat tells.
    pub(super) interval_ms: u32,
}

impl Peer {
    /// An instance of which only the record in the store is known.
    pub(super) fn from_record(record: &InstanceRecord, now_ms: u64) -> Self {
        Self {
            address: record.peers,
            incarnation: record.incarnation,
            zone: record.zone.clone(),
            front: record.front,
            link_mbps: record.link_mbps,
            cross_zone_interval_ms: 0,
            zone_interval_ms: 0,
            hears_own: false,
            is_active: false,
            availability: Availability::default(),
            table: 0,
            list: ListWatermark::default(),
            store_answered_ms: None,
            known_since_ms: now_ms,
            heard_ms: None,
            sent_ms: 0,
            newest_sent_ms: 0,
            promised_ms: 0,
            known_instances: 0,
            retry_needs: Vec::new(),
            unreached: Vec::new(),
            held: Vec::new(),
            is_counted: false,
        }
    }

    /// An instance whose heartbeat has just arrived.
    pub(super) fn from_heartbeat(heartbeat: &Heartbeat, address: SocketAddr, now_ms: u64) -> Self {
        let answered_ms = |age_ms| now_ms.saturating_sub(age_ms);
        Self {
            address,
            incarnation: heartbeat.incarnation,
            zone: heartbeat.zone.clone(),
            front: heartbeat.front,
            link_mbps: heartbeat.link_mbps,
            cross_zone_interval_ms: heartbeat.cross_zone_interval_ms,
            zone_interval_ms: 0,
            hears_own: false,
            is_active: heartbeat.is_active,
            availability: heartbeat.availability,
            table: heartbeat.table,
            list: heartbeat.list,
            store_answered_ms: heartbeat.store_age_ms.map(answered_ms),
            known_since_ms: now_ms,
            heard_ms: Some(now_ms),
            sent_ms: heartbeat.sent_ms,
            newest_sent_ms: heartbeat.sent_ms,
            promised_ms: 0,
            known_instances: heartbeat.known_instances,
            retry_needs: heartbeat.retry_needs.clone(),
            unreached: heartbeat.unreached.clone(),
            held: heartbeat.held.clone(),
            is_counted: true,
        }
    }

    /// The record of the instance, whose name is not part of this state.
    pub(super) fn to_record(&self, instance: &InstanceId) -> InstanceRecord {
        InstanceRecord {
            instance: instance.clone(),
            incarnation: self.incarnation,
            zone: self.zone.clone(),
            front: self.front,
            peers: self.address,
            link_mbps: self.link_mbps,
        }
    }

    /// Whether it can serve requests for a service that reach other instances.
    pub(super) fn may_serve_for_others(&self, service: &ServiceName) -> bool {
        self.availability.is_ready && !self.unreached.contains(service)
    }

    /// When its last heartbeat arrived, or else when it became known.
    pub(super) fn last_seen_ms(&self) -> u64 {
        self.heard_ms.unwrap_or(self.known_since_ms)
    }

    pub(super) fn is_heard(&self, within_ms: u64, now_ms: u64) -> bool {
        self.heard_ms
            .is_some_and(|at_ms| now_ms < at_ms + within_ms)
    }

    /// Extends the time in which it may be silent by a standstill of this process, in which nothing was heard.
    pub(super) fn extend_silence(&mut self, standstill_ms: u64, now_ms: u64) {
        let times_ms = [&mut self.known_since_ms];
        for at_ms in times_ms.into_iter().chain(&mut self.heard_ms) {
            *at_ms = (*at_ms + standstill_ms).min(now_ms);
        }
    }

    /// Whether the store has answered it recently.
    pub(super) fn has_recent_store_answer(&self, now_ms: u64) -> bool {
        self.store_answered_ms
            .is_some_and(|at_ms| now_ms < at_ms + STORE_STALE_MS)
    }

    /// Silence after which callers are no longer sent to it. Two heartbeats in a row may be lost, within
    /// the zone as well as between zones.
    pub(super) fn timeout_ms(&self, own_zone: &ZoneName) -> u64 {
        let interval_ms = if self.zone == *own_zone {
            self.zone_interval_ms
        } else {
            self.cross_zone_interval_ms
        };
        let two_intervals_ms = 2 * u64::from(interval_ms);
        PEER_TIMEOUT_MS.max(two_intervals_ms + INTERVAL_SLACK_MS)
    }

    /// How long its report of demand counts after its arrival.
    pub(super) fn demand_ttl_ms(&self, own_zone: &ZoneName) -> u64 {
        MIN_DEMAND_TTL_MS.max(self.timeout_ms(own_zone))
    }

    /// Whether its heartbeats reach this instance only in rotation, so that its end is noticed late.
    pub(super) fn is_rarely_heard(&self) -> bool {
        u64::from(self.zone_interval_ms) > HEARTBEAT_INTERVAL_MS
    }

    /// How long it is kept while it is silent. In a large fleet, more than a minute passes between two
    /// heartbeats of an instance of another zone.
    pub(super) fn ttl_ms(&self, own_zone: &ZoneName) -> u64 {
        MIN_PEER_TTL_MS.max(self.timeout_ms(own_zone))
    }

    /// Sort key among instances: those with the fastest links come first.
    pub(super) fn rank<'a>(&self, name: &'a InstanceId) -> (Reverse<u32>, &'a InstanceId) {
        (Reverse(self.link_mbps), name)
    }

    pub(super) fn to_recipient(&self, timeout_ms: u64, interval_ms: u32, now_ms: u64) -> Recipient {
        let is_heard = self.is_heard(timeout_ms, now_ms);
        Recipient {
            address: self.address,
            zone: self.zone.clone(),
            echo: is_heard.then_some(Echo {
                incarnation: self.incarnation,
                sent_ms: self.sent_ms,
            }),
            interval_ms,
        }
    }
}
