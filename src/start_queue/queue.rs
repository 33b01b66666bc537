//! The queue of one service.

use std::cmp::Ordering;
use std::hash::Hash;

use indexmap::IndexMap;

use super::rate::GrantRate;
use super::recent_service::RecentService;
use crate::ids::AccountId;

/// Longest wait of a request that has not run. Requests end and engines return many times per
/// second.
pub(super) const MAX_WAIT_BOUND_MS: u64 = 160;
/// One of this many turns goes to less urgent priorities while they wait. Among these, the same share of
/// turns goes to the next less urgent ones.
const TURNS_PER_RESERVED: u32 = 8;
/// Smallest length at which the queue counts as full: a rate measured from few grants is imprecise.
const MIN_CAPACITY: usize = 4;
/// Largest number of waiting requests without reserved places. More than an instance starts within the
/// longest wait bound.
const MAX_CAPACITY: usize = 64;
/// Largest number of waiting requests that have not run, including those with reserved places.
const MAX_NOT_RUN: usize = 2 * MAX_CAPACITY;

/// Longest wait of a request that has not run, on a route with this objective for the first event.
pub(crate) fn wait_bound_ms(objective_ms: u64) -> u64 {
    (objective_ms / 3).min(MAX_WAIT_BOUND_MS)
}

/// What determines the place of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Rank {
    /// Whether the request may have run. Such requests go first and are never refused.
    pub(crate) has_run: bool,
    /// 0 is the most urgent.
    pub(crate) priority: u32,
    pub(crate) account: Option<AccountId>,
    pub(crate) arrived_ms: u64,
}

impl Rank {
    /// Smaller is more urgent.
    fn urgency(&self) -> (bool, u32) {
        (!self.has_run, self.priority)
    }

    fn is_less_urgent_than(&self, other: &Self) -> bool {
        self.urgency() > other.urgency()
    }
}

/// The result of joining the queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Joined<Id> {
    Queued {
        /// `None` if the rate of turns is unknown.
        expected_wait_ms: Option<u64>,
        /// A less urgent request that was removed because the queue was full. It is to be refused.
        displaced: Option<Id>,
    },
    /// The wait would be too long, or the queue is full of requests that go before.
    Refused { expected_wait_ms: Option<u64> },
}

/// Why a request whose turn it was got no capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TurnOutcome {
    /// Nobody is likely to get any until capacity becomes available again.
    NoCapacity,
    /// The request cannot use all engines, so that the next request may get capacity.
    Restricted,
}

/// Requests of one service that wait for capacity.
///
/// A round begins when capacity may have become available. In each round requests get turns one
/// after the other until one finds no capacity.
#[derive(Clone, Debug)]
pub(crate) struct StartQueue<Id> {
    /// At most [`MAX_NOT_RUN`] of them have not run.
    waiting: IndexMap<Id, Waiting>,
    recent_service: RecentService,
    rate: GrantRate,
    /// By priority: turns since a less urgent request had one, while such a request waited.
    turns: IndexMap<u32, u32>,
    is_round_open: bool,
}

/// The queue is full of requests that go before a new one or may not be refused.
struct QueueFull;

#[derive(Clone, Debug)]
struct Waiting {
    rank: Rank,
    /// When the request stops waiting.
    until_ms: u64,
    /// Whether it got no capacity in this round although others may.
    is_skipped: bool,
}

impl Waiting {
    /// Whether the deadline is still ahead. After a freeze of the process, requests whose deadline has passed
    /// have not left yet.
    fn is_in_time(&self, now_ms: u64) -> bool {
        now_ms < self.until_ms
    }
}

impl<Id> Default for StartQueue<Id> {
    fn default() -> Self {
        Self {
            waiting: IndexMap::new(),
            recent_service: RecentService::default(),
            rate: GrantRate::default(),
            turns: IndexMap::new(),
            is_round_open: false,
        }
    }
}

impl<Id> StartQueue<Id>
where
    Id: Clone + Eq + Hash,
{
    /// Number of waiting requests.
    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether a new request may start without joining: no request of the same or higher urgency
    /// waits, and no less urgent one has the next turn.
    pub(crate) fn may_start(&self, rank: &Rank, now_ms: u64) -> bool {
        let mut waiting = self.contenders(now_ms).map(|(_, it)| &it.rank);
        let is_reserved = !rank.has_run && self.is_reserved_turn_due(rank.priority);
        waiting.all(|it| it.is_less_urgent_than(rank) && !is_reserved)
    }

    /// Records that a request started without joining.
    pub(crate) fn record_started(&mut self, rank: &Rank, now_ms: u64) {
        self.record_service(rank, now_ms);
    }

    /// Adds a request that waits until `until_ms` at most.
    pub(crate) fn join(&mut self, id: Id, rank: Rank, until_ms: u64, now_ms: u64) -> Joined<Id> {
        self.rate.observe(self.has_contenders(), now_ms);
        let expected_wait_ms = self.expected_wait_ms(&rank, now_ms);
        let bound_ms = until_ms.saturating_sub(now_ms);
        let is_too_long = expected_wait_ms.is_some_and(|it| it > bound_ms);
        if is_too_long && !rank.has_run {
            return Joined::Refused { expected_wait_ms };
        }
        let displaced = match self.make_place(&rank, now_ms) {
            Ok(displaced) => displaced,
            Err(QueueFull) if rank.has_run => None,
            Err(QueueFull) => return Joined::Refused { expected_wait_ms },
        };
        if let Some(id) = &displaced {
            self.waiting.shift_remove(id);
        }
        let waiting = Waiting {
            rank,
            until_ms,
            is_skipped: false,
        };
        self.waiting.insert(id, waiting);
        self.rate.observe(true, now_ms);
        Joined::Queued {
            expected_wait_ms,
            displaced,
        }
    }

    /// Removes a request whose caller has left or whose deadline has passed.
    pub(crate) fn leave(&mut self, id: &Id, now_ms: u64) {
        if self.waiting.shift_remove(id).is_some() {
            self.rate.observe(self.has_contenders(), now_ms);
        }
    }

    /// Begins a round: capacity may have become available.
    pub(crate) fn begin_round(&mut self, now_ms: u64) {
        self.is_round_open = true;
        for waiting in self.waiting.values_mut() {
            waiting.is_skipped = false;
        }
        self.rate.observe(self.has_contenders(), now_ms);
    }

    /// The request whose turn it is; `None` if nobody waits or the round has ended.
    pub(crate) fn next_turn(&self, now_ms: u64) -> Option<&Id> {
        if !self.is_round_open {
            return None;
        }
        let candidates = || self.contenders(now_ms);
        let order = |a: &Waiting, b: &Waiting| self.order(&a.rank, &b.rank, now_ms);
        let (first, waiting) = candidates().min_by(|a, b| order(a.1, b.1))?;
        if waiting.rank.has_run {
            return Some(first);
        }
        let turn = self.turn_priority(candidates().map(|(_, it)| it.rank.priority));
        let has_turn = candidates().filter(|(_, it)| Some(it.rank.priority) == turn);
        let (first, _) = has_turn.min_by(|a, b| order(a.1, b.1))?;
        Some(first)
    }

    /// Records that a request got capacity in its turn, and removes it.
    pub(crate) fn record_served(&mut self, id: &Id, now_ms: u64) {
        let Some(served) = self.waiting.shift_remove(id) else {
            return;
        };
        self.rate.record_grant(self.has_contenders(), now_ms);
        self.record_service(&served.rank, now_ms);
    }

    /// Records that a request got no capacity in its turn.
    pub(crate) fn record_unserved(&mut self, id: &Id, outcome: TurnOutcome, now_ms: u64) {
        match (outcome, self.waiting.get_mut(id)) {
            (TurnOutcome::Restricted, Some(waiting)) => waiting.is_skipped = true,
            (TurnOutcome::Restricted, None) => {}
            (TurnOutcome::NoCapacity, _) => self.is_round_open = false,
        }
        self.rate.observe(self.has_contenders(), now_ms);
    }

    /// Expected wait of a request: the requests ahead of it divided by the rate of turns. `None` if
    /// the rate is unknown.
    pub(crate) fn expected_wait_ms(&self, rank: &Rank, now_ms: u64) -> Option<u64> {
        let waiting = || self.contenders(now_ms).map(|(_, it)| &it.rank);
        let goes_before = |it: &&Rank| self.order(it, rank, now_ms).is_le();
        let ahead = waiting().filter(goes_before).count();
        self.rate
            .expected_wait_ms(self.turns_before(rank, ahead, now_ms), now_ms)
    }

    /// Turns before that of a request with `ahead` requests before it in the order: the reserved
    /// turns bring a less urgent one forward.
    fn turns_before(&self, rank: &Rank, ahead: usize, now_ms: u64) -> usize {
        let waiting = || self.contenders(now_ms).map(|(_, it)| &it.rank);
        if rank.has_run || waiting().any(|it| it.has_run) {
            return ahead;
        }
        let most_urgent = waiting().map(|it| it.priority).min();
        if most_urgent.is_none_or(|it| rank.priority <= it) {
            return ahead;
        }
        let less_urgent = waiting().filter(|it| Some(it.priority) != most_urgent);
        let reserved = less_urgent.count() + 1;
        ahead.min(reserved * TURNS_PER_RESERVED as usize)
    }

    fn record_service(&mut self, rank: &Rank, now_ms: u64) {
        self.recent_service.record(rank.account.as_ref(), now_ms);
        if rank.has_run {
            return;
        }
        let has_less_urgent = self
            .in_time(now_ms)
            .any(|(_, it)| it.rank.is_less_urgent_than(rank));
        self.turns.retain(|priority, _| *priority >= rank.priority);
        let turns = self.turns.entry(rank.priority).or_default();
        *turns = if has_less_urgent { *turns + 1 } else { 0 };
    }

    /// The priority that has the next turn, of those that wait: the most urgent unless a turn is
    /// reserved for less urgent ones, among which the same holds. Thus none starves.
    fn turn_priority<I>(&self, priorities: I) -> Option<u32>
    where
        I: Iterator<Item = u32>,
    {
        let mut priorities: Vec<u32> = priorities.collect();
        priorities.sort_unstable();
        let least_urgent = priorities.last().copied();
        let mut more_urgent = priorities.into_iter();
        let has_turn = more_urgent.find(|it| !self.is_reserved_turn_due(*it));
        has_turn.or(least_urgent)
    }

    /// Whether the next turn is reserved for requests that are less urgent than this priority.
    fn is_reserved_turn_due(&self, priority: u32) -> bool {
        let turns = self.turns.get(&priority);
        turns.is_some_and(|turns| *turns + 1 >= TURNS_PER_RESERVED)
    }

    /// Requests that may still get a turn in this round. A skipped one does not hold others back: it
    /// may wait for one particular engine while others have capacity.
    fn contenders(&self, now_ms: u64) -> impl Iterator<Item = (&Id, &Waiting)> {
        self.in_time(now_ms).filter(|(_, it)| !it.is_skipped)
    }

    /// Whether requests wait that could get a turn, so that time without a grant counts for the rate.
    fn has_contenders(&self) -> bool {
        self.waiting.values().any(|it| !it.is_skipped)
    }

    fn in_time(&self, now_ms: u64) -> impl Iterator<Item = (&Id, &Waiting)> {
        let waiting = self.waiting.iter();
        waiting.filter(move |(_, it)| it.is_in_time(now_ms))
    }

    /// How many may wait beside those with reserved places: as many as get a turn within the longest
    /// wait bound.
    fn capacity(&self, now_ms: u64) -> usize {
        let turns = self.rate.turns_within(MAX_WAIT_BOUND_MS, now_ms);
        let turns = turns.map_or(MAX_CAPACITY, |it| usize::try_from(it).unwrap_or(usize::MAX));
        turns.clamp(MIN_CAPACITY, MAX_CAPACITY)
    }

    /// The request to remove so that one with this rank can join, if one has to be: the last in the
    /// order, of those that may be refused and have no reserved place.
    fn make_place(&self, rank: &Rank, now_ms: u64) -> Result<Option<Id>, QueueFull> {
        let capacity = self.capacity(now_ms);
        let not_run = || self.waiting.iter().filter(|(_, it)| !it.rank.has_run);
        let own_priority = (!rank.has_run).then_some(rank.priority);
        let priorities = not_run().map(|(_, it)| it.rank.priority);
        let most_urgent = priorities.chain(own_priority).min();
        let is_less_urgent = |it: &Rank| !it.has_run && Some(it.priority) > most_urgent;
        // Per priority, as many as get reserved turns within the longest wait bound. Otherwise more
        // urgent requests would displace all that the reserved turns are for.
        let places = capacity.div_ceil(TURNS_PER_RESERVED as usize);
        let is_peer = |it: &Rank| it.priority == rank.priority;
        let peers = not_run().filter(|(_, it)| is_peer(&it.rank)).count();
        let gets_reserved = is_less_urgent(rank) && peers < places;
        if gets_reserved && not_run().count() < MAX_NOT_RUN {
            return Ok(None);
        }
        let less_urgent = not_run().filter(|(_, it)| is_less_urgent(&it.rank));
        let reserved = with_reserved_places(less_urgent, places);
        if self.waiting.len() - reserved.len() < capacity {
            return Ok(None);
        }
        let has_reserved = |id: &Id| reserved.contains(&id);
        let last = not_run()
            .filter(|(id, _)| !has_reserved(id))
            .max_by(|a, b| self.order(&a.1.rank, &b.1.rank, now_ms));
        let last = last.filter(|(_, it)| self.order(rank, &it.rank, now_ms).is_lt());
        last.map(|(id, _)| Some(id.clone())).ok_or(QueueFull)
    }

    fn order(&self, a: &Rank, b: &Rank, now_ms: u64) -> Ordering {
        let served = |it: &Rank| self.recent_service.of(it.account.as_ref(), now_ms);
        a.urgency()
            .cmp(&b.urgency())
            .then_with(|| served(a).total_cmp(&served(b)))
            .then_with(|| a.arrived_ms.cmp(&b.arrived_ms))
    }
}

/// The first requests of each priority, in the order of joining: as many as have reserved places.
fn with_reserved_places<'a, Id, I>(less_urgent: I, places: usize) -> Vec<&'a Id>
where
    I: Iterator<Item = (&'a Id, &'a Waiting)>,
{
    let mut taken: IndexMap<u32, usize> = IndexMap::new();
    let mut reserved = Vec::new();
    for (id, it) in less_urgent {
        let taken = taken.entry(it.rank.priority).or_default();
        if *taken < places {
            *taken += 1;
            reserved.push(id);
        }
    }
    reserved
}
