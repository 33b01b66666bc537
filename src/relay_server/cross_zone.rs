//! Selects which instances of other zones receive a heartbeat. Traffic between zones may be expensive, and most
//! instances have nothing new for other zones most of the time. These send less often, and say so: recipients
//! derive their timeouts from the interval in the heartbeat.

use indexmap::IndexMap;

use super::heartbeat::{Availability, Heartbeat, HeldLoad, OwnState};
use super::locate::MAX_ADDRESSES;
use super::peer::Recipient;
use super::peer_book::{HEARTBEAT_INTERVAL_MS, PeerBook};
use crate::dissemination::Rotation;
use crate::ids::ZoneName;

/// Instances of other zones whose turn it is with each heartbeat of an instance that is neither top-ranked in
/// its zone nor answered by the store. Heartbeats with all loads to all 156 of them filled 20 Mbit/s links.
const CROSS_ZONE_FANOUT: usize = 8;
/// Number of heartbeats within which an instance that is top-ranked in its zone, or that the store answers,
/// reaches all instances of other zones.
const FAST_ROTATION_HEARTBEATS: usize = 2;
/// Interval in which an instance without news for a zone reaches all instances there, rounded down to whole
/// turns: two turns in a fleet of 300. The timeout of 25 s that follows is shorter than that of a fleet of 985,
/// whose turns take 21 s.
const QUIET_INTERVAL_MS: u64 = 12_500;
/// Turns for which an instance goes on sending to each recipient after its last news. Heartbeats may be lost.
const NEWS_TURNS: u64 = 2;

/// Which of this instance's loads are sent to instances of another zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CrossZoneLoads {
    /// Those on all engines. If a zone lacks engines, other zones may send to those of a third zone and need
    /// to know one another's load there.
    AllEngines,
    /// Those on engines of the recipient's zone, which it uses almost exclusively. In a fleet too large to
    /// send every heartbeat to every instance, other loads would be outdated on arrival and fill the links.
    RecipientZoneEngines,
}

/// State that tells whether this instance has news for other zones, and whose turn it is.
#[derive(Debug)]
pub(super) struct CrossZonePacing {
    rotation: Rotation,
    /// When a heartbeat last carried news for all zones.
    news_ms: u64,
    /// When this instance last had a load on an engine of each zone. The last heartbeats after it tell that
    /// the load has ended.
    loads_ms: IndexMap<ZoneName, u64>,
    /// Availability and version of the route table in the previous heartbeat.
    announced: Option<(Availability, u64)>,
}

impl CrossZonePacing {
    pub(super) fn new(now_ms: u64) -> Self {
        Self {
            rotation: Rotation::default(),
            news_ms: now_ms,
            loads_ms: IndexMap::new(),
            announced: None,
        }
    }

    /// Records what the next heartbeat carries. `is_urgent` if it was requested without delay or its process
    /// is starting.
    pub(super) fn update(
        &mut self,
        heartbeat: &Heartbeat,
        own: &OwnState,
        is_urgent: bool,
        now_ms: u64,
    ) {
        let announced = Some((heartbeat.availability, heartbeat.table));
        if is_urgent || self.announced != announced || has_news(heartbeat) {
            self.news_ms = now_ms;
        }
        self.announced = announced;
        for load in &own.held {
            self.loads_ms.insert(load.zone.clone(), now_ms);
        }
    }

    /// Whether there was news for `zone` within the last turns, of `turn_ms` each.
    fn has_recent_news(&self, zone: Option<&ZoneName>, turn_ms: u64, now_ms: u64) -> bool {
        let loads_ms = zone.and_then(|it| self.loads_ms.get(it)).copied();
        let newest_ms = self.news_ms.max(loads_ms.unwrap_or(0));
        now_ms <= newest_ms + NEWS_TURNS * turn_ms
    }
}

/// Whether a heartbeat carries what instances of all zones need soon. Loads are for single zones, and needs for
/// retries are for the own one.
fn has_news(heartbeat: &Heartbeat) -> bool {
    let updates = [
        heartbeat.unreached.is_empty(),
        heartbeat.unhealthy.is_empty(),
        heartbeat.leaving.is_empty(),
        heartbeat.self_reported_leaving.is_empty(),
        heartbeat.layer_moves.is_empty(),
        heartbeat.released_leases.is_empty(),
        heartbeat.evidence.is_empty(),
        heartbeat.limits.is_empty(),
    ];
    updates.contains(&false)
}

impl PeerBook {
    /// Recipients of the newest heartbeat in other zones: those whose turn it is, except those that can wait
    /// for their next turn.
    pub(super) fn cross_zone_recipients(
        &mut self,
        own: Availability,
        now_ms: u64,
    ) -> Vec<Recipient> {
        let fanout = self.cross_zone_fanout(own, now_ms);
        let turn_ms = self.turn_ms(fanout);
        let in_order = self.peers.iter().enumerate();
        let elsewhere = in_order.filter(|(_, (_, it))| it.zone != self.own_zone);
        let elsewhere: Vec<usize> = elsewhere.map(|(index, _)| index).collect();
        let batch = self.cross_zone.rotation.next_batch(&elsewhere, fanout);
        let batch: Vec<usize> = batch.copied().collect();
        let may_be_quiet = self.may_be_quiet(own, now_ms);
        let mut recipients = Vec::with_capacity(batch.len());
        for index in batch {
            let Some((_, peer)) = self.peers.get_index_mut(index) else {
                continue;
            };
            let has_news = self
                .cross_zone
                .has_recent_news(Some(&peer.zone), turn_ms, now_ms);
            let is_quiet = may_be_quiet && !has_news;
            if is_quiet && now_ms + turn_ms <= peer.promised_ms {
                continue;
            }
            let interval_ms = if is_quiet {
                quiet_interval_ms(turn_ms)
            } else {
                turn_ms
            };
            peer.promised_ms = now_ms + interval_ms;
            let timeout_ms = peer.timeout_ms(&self.own_zone);
            recipients.push(peer.to_recipient(timeout_ms, 0, now_ms));
        }
        recipients
    }

    /// The newest heartbeat as recipients in `zone` get it. Other zones than the own one get no retry needs:
    /// their heartbeats are too infrequent for a loan to arrive in time. They also get no time of the store's
    /// answer, which only decides who reads the store for its own zone.
    pub(super) fn heartbeat_for_zone(
        &self,
        heartbeat: &Heartbeat,
        own: &OwnState,
        zone: &ZoneName,
        now_ms: u64,
    ) -> Heartbeat {
        if *zone == self.own_zone {
            return heartbeat.clone();
        }
        let all_engines = self.cross_zone_loads() == CrossZoneLoads::AllEngines;
        let is_sent = |load: &&HeldLoad| all_engines || load.zone == *zone;
        let held = own.held.iter().filter(is_sent);
        Heartbeat {
            cross_zone_interval_ms: self.cross_zone_interval_ms(
                own.availability,
                Some(zone),
                now_ms,
            ),
            held: held
                .map(|load| (load.endpoint.clone(), load.load))
                .collect(),
            retry_needs: Vec::new(),
            store_age_ms: None,
            demand: own.zone_demand.clone().into(),
            ..heartbeat.clone()
        }
    }

    /// Whether this instance may send to other zones less often while it has nothing new for them. Not one
    /// that reads the store, may be named to callers or is ahead of others, and not one that depends on other
    /// zones: the age of its lists is confirmed by answers to its own heartbeats.
    fn may_be_quiet(&self, own: Availability, now_ms: u64) -> bool {
        !own.reaches_store
            && own.is_current()
            && own.reaches_endpoints
            && self.ranked_ahead(now_ms).count() >= MAX_ADDRESSES
    }

    /// Number of instances of other zones whose turn it is with a heartbeat. The instance that issues orders
    /// sends each heartbeat to everyone, so that its end is noticed within a second.
    fn cross_zone_fanout(&self, own: Availability, now_ms: u64) -> usize {
        let peers = self.cross_zone_peers();
        let fanout = if own.may_lead() && self.is_preferred_leader(now_ms) {
            peers
        } else if own.reaches_store || self.is_top_ranked_in_zone(now_ms) {
            peers
                .div_ceil(FAST_ROTATION_HEARTBEATS)
                .max(CROSS_ZONE_FANOUT)
        } else {
            CROSS_ZONE_FANOUT
        };
        fanout.min(peers)
    }

    /// Which loads are sent to instances of other zones.
    fn cross_zone_loads(&self) -> CrossZoneLoads {
        if self.cross_zone_peers() <= CROSS_ZONE_FANOUT {
            CrossZoneLoads::AllEngines
        } else {
            CrossZoneLoads::RecipientZoneEngines
        }
    }

    fn cross_zone_peers(&self) -> usize {
        let peers = self.peers.values();
        peers.filter(|it| it.zone != self.own_zone).count()
    }

    /// Interval in which it is the turn of each instance of other zones.
    fn turn_ms(&self, fanout: usize) -> u64 {
        let heartbeats = self.cross_zone_peers().div_ceil(fanout.max(1)).max(1) as u64;
        heartbeats * HEARTBEAT_INTERVAL_MS
    }

    /// Interval in which heartbeats reach every instance of `zone`; without one, of a zone on whose engines
    /// this instance has had no load lately.
    pub(super) fn cross_zone_interval_ms(
        &self,
        own: Availability,
        zone: Option<&ZoneName>,
        now_ms: u64,
    ) -> u32 {
        let turn_ms = self.turn_ms(self.cross_zone_fanout(own, now_ms));
        let has_news = self.cross_zone.has_recent_news(zone, turn_ms, now_ms);
        let interval_ms = if !has_news && self.may_be_quiet(own, now_ms) {
            quiet_interval_ms(turn_ms)
        } else {
            turn_ms
        };
        u32::try_from(interval_ms).unwrap_or(u32::MAX)
    }
}

/// The longest interval of whole turns up to [`QUIET_INTERVAL_MS`], or one turn if that is longer. A fleet in
/// which each heartbeat reaches all instances of other zones keeps its interval, as its timeouts may not grow.
fn quiet_interval_ms(turn_ms: u64) -> u64 {
    if turn_ms <= HEARTBEAT_INTERVAL_MS {
        return turn_ms;
    }
    (QUIET_INTERVAL_MS / turn_ms).max(1) * turn_ms
}
