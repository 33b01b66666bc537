//! One other instance, as its record and its heartbeats show it.

use std::cmp::Reverse;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::heartbeat::{Availability, Echo, Heartbeat};
use super::list_log::ListWatermark;
use super::snapshot::KnownVersions;
use super::store_readers::STALE_MS;
use crate::fleet::EngineLoad;
use crate::ids::{EndpointId, Incarnation, InstanceId, ZoneName};
use crate::relay::RetryAmount;

/// Silence after which a peer is not named to callers any more: two heartbeats may be lost.
const SILENT_MS: u64 = 800;
/// Silence beyond two turns after which a peer of another zone is not named any more: the network, and
/// a period that began late.
const FAR_SLACK_MS: u64 = 300;

/// An instance's record in the store.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct InstanceRecord {
    pub(super) instance: InstanceId,
    pub(super) incarnation: Incarnation,
    pub(super) zone: ZoneName,
    pub(super) front: SocketAddr,
    pub(super) peers: SocketAddr,
    /// Speed of its link; records of earlier releases lack it.
    #[serde(default)]
    pub(super) link_mbps: u32,
}

/// What is known of another instance.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub(super) address: SocketAddr,
    pub(super) incarnation: Incarnation,
    pub(super) zone: ZoneName,
    pub(super) front: SocketAddr,
    pub(super) link_mbps: u32,
    /// How long it takes until it has told everybody in other zones.
    pub(super) turn_ms: u32,
    pub(super) availability: Availability,
    /// Version of its table of routes.
    pub(super) table: u64,
    /// How far it knows the list of endpoints.
    pub(super) list: ListWatermark,
    /// When the store last answered it, if it reads the store.
    pub(super) store_answered_ms: Option<u64>,
    /// When its record was read, or its first heartbeat came.
    pub(super) known_since_ms: u64,
    /// When its newest heartbeat came.
    pub(super) heard_ms: Option<u64>,
    /// When its newest heartbeat was sent, on its own clock.
    pub(super) sent_ms: u64,
    /// The latest sending time heard of its process; a heartbeat may come twice, or after a later one.
    pub(super) newest_sent_ms: u64,
    /// Instances that it knows of.
    pub(super) known_instances: u32,
    /// Repeats that it lacks, until they were answered.
    pub(super) retry_needs: Vec<RetryAmount>,
    pub(super) held: Vec<(EndpointId, EngineLoad)>,
    /// Whether `held` is in the sums that were handed out last.
    pub(super) is_counted: bool,
}

/// A peer that may know what the store does not tell here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct SyncSource {
    /// Its name.
    pub(crate) instance: InstanceId,
    /// Where it is asked.
    pub(crate) address: SocketAddr,
    /// Version of its table of routes.
    pub(crate) table: u64,
    /// How far it knows the list of endpoints.
    pub(crate) list: ListWatermark,
    /// Speed of its link; 0 if that is not known.
    pub(crate) link_mbps: u32,
    /// Whether the store answers it.
    pub(crate) reaches_store: bool,
    /// Whether it is in the own zone.
    pub(crate) is_same_zone: bool,
}

impl SyncSource {
    /// Whether it knows what one that knows so far does not.
    pub(super) fn is_ahead_of(&self, known: KnownVersions) -> bool {
        self.table > known.table || self.list.last_change > known.list
    }
}

/// Where a heartbeat goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Recipient {
    pub(super) address: SocketAddr,
    /// Availability zone of the recipient.
    pub(super) zone: ZoneName,
    pub(super) echo: Option<Echo>,
}

impl Peer {
    /// An instance of which only the record in the store is known.
    pub(super) fn on_record(record: &InstanceRecord, now_ms: u64) -> Self {
        Self {
            address: record.peers,
            incarnation: record.incarnation,
            zone: record.zone.clone(),
            front: record.front,
            link_mbps: record.link_mbps,
            turn_ms: 0,
            availability: Availability::default(),
            table: 0,
            list: ListWatermark::default(),
            store_answered_ms: None,
            known_since_ms: now_ms,
            heard_ms: None,
            sent_ms: 0,
            newest_sent_ms: 0,
            known_instances: 0,
            retry_needs: Vec::new(),
            held: Vec::new(),
            is_counted: false,
        }
    }

    /// An instance that was just heard.
    pub(super) fn heard(heartbeat: &Heartbeat, address: SocketAddr, now_ms: u64) -> Self {
        let answered_ms = |age_ms| now_ms.saturating_sub(age_ms);
        Self {
            address,
            incarnation: heartbeat.incarnation,
            zone: heartbeat.zone.clone(),
            front: heartbeat.front,
            link_mbps: heartbeat.link_mbps,
            turn_ms: heartbeat.turn_ms,
            availability: heartbeat.availability,
            table: heartbeat.table,
            list: heartbeat.list,
            store_answered_ms: heartbeat.store_age_ms.map(answered_ms),
            known_since_ms: now_ms,
            heard_ms: Some(now_ms),
            sent_ms: heartbeat.sent_ms,
            newest_sent_ms: heartbeat.sent_ms,
            known_instances: heartbeat.known_instances,
            retry_needs: heartbeat.retry_needs.clone(),
            held: heartbeat.held.clone(),
            is_counted: true,
        }
    }

    /// When the last sign of it came.
    pub(super) fn last_sign_ms(&self) -> u64 {
        self.heard_ms.unwrap_or(self.known_since_ms)
    }

    pub(super) fn is_heard(&self, within_ms: u64, now_ms: u64) -> bool {
        self.heard_ms
            .is_some_and(|at_ms| now_ms < at_ms + within_ms)
    }

    /// Whether the store has lately answered it.
    pub(super) fn is_answered(&self, now_ms: u64) -> bool {
        self.store_answered_ms
            .is_some_and(|at_ms| now_ms < at_ms + STALE_MS)
    }

    /// Silence after which it is not named any more. Of the heartbeats to another zone, as of those to
    /// the own, two may be lost.
    pub(super) fn silent_after_ms(&self, own_zone: &ZoneName) -> u64 {
        if self.zone == *own_zone {
            SILENT_MS
        } else {
            SILENT_MS.max(2 * u64::from(self.turn_ms) + FAR_SLACK_MS)
        }
    }

    /// Place among instances: those with the fastest links come first.
    pub(super) fn rank<'a>(&self, name: &'a InstanceId) -> (Reverse<u32>, &'a InstanceId) {
        (Reverse(self.link_mbps), name)
    }

    pub(super) fn as_recipient(&self, silent_after_ms: u64, now_ms: u64) -> Recipient {
        let is_heard = self.is_heard(silent_after_ms, now_ms);
        Recipient {
            address: self.address,
            zone: self.zone.clone(),
            echo: is_heard.then_some(Echo {
                incarnation: self.incarnation,
                sent_ms: self.sent_ms,
            }),
        }
    }
}
