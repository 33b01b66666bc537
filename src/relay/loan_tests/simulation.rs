//! Instances of the simulated zones and the messages between them.

use std::collections::VecDeque;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::super::window::MAX_ARRIVAL_DELAY_MS;
use super::super::*;
use crate::ids::{Incarnation, InstanceId, ServiceName};

pub(super) const HEARTBEAT_MS: u64 = 250;
pub(super) const STEP_MS: u64 = 10;
pub(super) const WINDOW_MS: u64 = 10_000;
pub(super) const RATIO: f64 = 0.2;
pub(super) const SLACK: f64 = 198.0;
pub(super) const RUN_MS: u64 = 32_000;
/// How long an instance waits for an endpoint.
const ATTEMPT_TIMEOUT_MS: u64 = 300;

/// Which instances need retries.
#[derive(Clone, Copy, Debug)]
pub(super) enum Demand {
    /// One instance.
    One,
    /// All instances at once.
    All,
    /// One instance after the other, each for `stay_ms`.
    Moving { stay_ms: u64 },
    /// A third of the instances.
    Some,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Faults {
    pub(super) loss: f64,
    pub(super) max_delay_ms: u64,
    /// Number of restarts at random times; each instance restarts at most once within a window.
    pub(super) restarts: usize,
    /// When all instances restart at once.
    pub(super) restart_all_ms: Option<u64>,
    /// Interval in which all instances restart, over and over.
    pub(super) restart_interval_ms: Option<u64>,
    /// How long after its start a process does not know how many instances there are.
    pub(super) unknown_count_ms: u64,
    pub(super) partitions: usize,
}

pub(super) const NO_FAULTS: Faults = Faults {
    loss: 0.0,
    max_delay_ms: 2,
    restarts: 0,
    restart_all_ms: None,
    restart_interval_ms: None,
    unknown_count_ms: 0,
    partitions: 0,
};

enum Message {
    Needs(Vec<RetryAmount>),
    Grants {
        loans: Vec<RetryLoan>,
        /// When, and by which process, the needs were announced that this grant responds to.
        announced_ms: u64,
        asker_process: u32,
    },
    Returned {
        unused: RetryLoan,
        lender: Lender,
    },
}

struct Datagram {
    sent_ms: u64,
    due_ms: u64,
    from: usize,
    /// Process of the sender.
    process: u32,
    to: usize,
    message: Message,
}

struct Needs {
    needs: Vec<RetryAmount>,
    announced_ms: u64,
    process: u32,
}

pub(super) struct Instance {
    pub(super) budget: RetryBudget,
    process: u32,
    started_ms: Option<u64>,
    next_heartbeat_ms: u64,
    /// Needs of each other instance that have not been processed yet.
    received: Vec<Option<Needs>>,
    partition: std::ops::Range<u64>,
    restart_ms: Option<u64>,
}

pub(super) struct Simulation {
    pub(super) instances: Vec<Instance>,
    zones: usize,
    pub(super) share: BudgetShare,
    pub(super) service: ServiceName,
    faults: Faults,
    rng: SmallRng,
    datagrams: Vec<Datagram>,
    requests_ms: VecDeque<u64>,
    pub(super) retries_ms: VecDeque<u64>,
    pub(super) max_overdraw: f64,
    /// When endpoints read nothing.
    pub(super) silences_ms: Vec<std::ops::Range<u64>>,
}

impl Simulation {
    pub(super) fn new(count: usize, zones: usize, faults: Faults, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let instances = (0..count)
            .map(|_| Instance {
                budget: RetryBudget::default(),
                process: 0,
                started_ms: None,
                next_heartbeat_ms: rng.random_range(0..HEARTBEAT_MS) / STEP_MS * STEP_MS,
                received: (0..count).map(|_| None).collect(),
                partition: 0..0,
                restart_ms: None,
            })
            .collect();
        let mut simulation = Self {
            instances,
            zones,
            share: BudgetShare {
                ratio: RATIO,
                slack: SLACK,
                window_ms: WINDOW_MS,
                instances: Some(count as u32),
            },
            service: ServiceName::from("model"),
            faults,
            rng,
            datagrams: Vec::new(),
            requests_ms: VecDeque::new(),
            retries_ms: VecDeque::new(),
            max_overdraw: f64::MIN,
            silences_ms: Vec::new(),
        };
        simulation.schedule_faults(count);
        simulation
    }

    fn schedule_faults(&mut self, count: usize) {
        for _ in 0..self.faults.restarts {
            let at_ms = self.rng.random_range(0..RUN_MS) / STEP_MS * STEP_MS;
            let chosen = self.rng.random_range(0..count);
            self.instances[chosen].restart_ms = Some(at_ms);
        }
        for _ in 0..self.faults.partitions {
            let from_ms = self.rng.random_range(0..RUN_MS);
            let length_ms = self.rng.random_range(500..8_000);
            let chosen = self.rng.random_range(0..count);
            self.instances[chosen].partition = from_ms..from_ms + length_ms;
        }
    }

    fn zone(&self, index: usize) -> usize {
        index % self.zones
    }

    fn restart_due(&mut self, now_ms: u64) {
        let interval_ms = self.faults.restart_interval_ms;
        let is_in_series = interval_ms.is_some_and(|it| now_ms > 0 && now_ms.is_multiple_of(it));
        let restarts_all = self.faults.restart_all_ms == Some(now_ms) || is_in_series;
        let count = self.instances.len();
        for instance in &mut self.instances {
            if restarts_all
                || (instance.restart_ms == Some(now_ms) && self.faults.restart_all_ms.is_none())
            {
                instance.budget = RetryBudget::starting(now_ms);
                instance.process += 1;
                instance.started_ms = Some(now_ms);
                instance.received = (0..count).map(|_| None).collect();
            }
        }
    }

    /// The share of the budget as an instance knows it.
    fn share_of(&self, at: usize, now_ms: u64) -> BudgetShare {
        let started_ms = self.instances[at].started_ms;
        let unknown_ms = self.faults.unknown_count_ms;
        let is_unknown = started_ms.is_some_and(|it| now_ms < it + unknown_ms);
        BudgetShare {
            instances: self.share.instances.filter(|_| !is_unknown),
            ..self.share
        }
    }

    fn deliver(&mut self, now_ms: u64) {
        let (due, later) = std::mem::take(&mut self.datagrams)
            .into_iter()
            .partition(|it| it.due_ms <= now_ms);
        self.datagrams = later;
        let mut due: Vec<Datagram> = due;
        due.sort_by_key(|it| it.due_ms);
        for datagram in due {
            let share = self.share_of(datagram.to, now_ms);
            let instance = &mut self.instances[datagram.to];
            match datagram.message {
                Message::Needs(needs) => {
                    instance.received[datagram.from] = Some(Needs {
                        needs,
                        announced_ms: datagram.sent_ms,
                        process: datagram.process,
                    });
                }
                Message::Grants {
                    loans,
                    announced_ms,
                    asker_process,
                } if asker_process == instance.process => {
                    let lender = lender(datagram.from, datagram.process);
                    let budget = &mut instance.budget;
                    budget.borrow(&loans, &lender, share, announced_ms, now_ms);
                }
                Message::Returned { unused, lender }
                    if lender == self::lender(datagram.to, instance.process) =>
                {
                    instance.budget.reclaim(&[unused]);
                }
                Message::Grants { .. } | Message::Returned { .. } => {}
            }
        }
    }

    fn heartbeats(&mut self, now_ms: u64) {
        for from in 0..self.instances.len() {
            if self.instances[from].next_heartbeat_ms != now_ms {
                continue;
            }
            self.instances[from].next_heartbeat_ms += HEARTBEAT_MS;
            let share = self.share_of(from, now_ms);
            let needs = self.instances[from].budget.needs(share, now_ms);
            let same_zone = (0..self.instances.len()).filter(|to| *to != from);
            let same_zone: Vec<usize> = same_zone
                .filter(|to| self.zone(*to) == self.zone(from))
                .collect();
            for to in &same_zone {
                self.send(from, *to, Message::Needs(needs.clone()), now_ms);
            }
            self.grant(from, &same_zone, now_ms);
            for (lender, unused) in self.instances[from].budget.take_expired(now_ms) {
                let to = lender
                    .instance
                    .as_str()
                    .parse()
                    .expect("instance ids are numbers");
                self.send(from, to, Message::Returned { unused, lender }, now_ms);
            }
        }
    }

    fn grant(&mut self, from: usize, same_zone: &[usize], now_ms: u64) {
        let share = self.share_of(from, now_ms);
        let lender = &mut self.instances[from];
        let lacks = |at: usize, purpose| {
            let received = lender.received[at].as_ref();
            received.is_some_and(|it| it.needs.iter().any(|need| need.purpose == purpose))
        };
        let lenders = [RetryPurpose::Start, RetryPurpose::Resume].map(|purpose| {
            let in_need = same_zone.iter().filter(|at| lacks(**at, purpose)).count();
            same_zone.len() + 1 - in_need
        });
        let mut requests = Vec::new();
        let mut wanted = Vec::new();
        for to in same_zone {
            let Some(received) = lender.received[*to].take() else {
                continue;
            };
            for need in received.needs {
                let lenders = lenders[usize::from(need.purpose == RetryPurpose::Resume)];
                requests.push((*to, received.announced_ms, received.process));
                wanted.push(RetryAmount {
                    milli_retries: loans::share_of_need(need.milli_retries, lenders),
                    ..need
                });
            }
        }
        let granted = lender.budget.lend(&wanted, share, now_ms);
        for (loan, (to, announced_ms, asker_process)) in granted.into_iter().zip(requests) {
            if loan.amount.milli_retries > 0 {
                let message = Message::Grants {
                    loans: vec![loan],
                    announced_ms,
                    asker_process,
                };
                self.send(from, to, message, now_ms);
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message, now_ms: u64) {
        let is_partitioned = [from, to].map(|it| self.instances[it].partition.contains(&now_ms));
        if is_partitioned.contains(&true) || self.rng.random::<f64>() < self.faults.loss {
            return;
        }
        let delay_ms = self.rng.random_range(1..=self.faults.max_delay_ms);
        self.datagrams.push(Datagram {
            sent_ms: now_ms,
            due_ms: now_ms + delay_ms,
            from,
            process: self.instances[from].process,
            to,
            message,
        });
    }

    /// Callers' requests, at any instance or only at the given ones.
    pub(super) fn requests(&mut self, per_s: u64, only_at: &[usize], now_ms: u64) {
        for _ in 0..per_s * STEP_MS / 1_000 {
            let at = if only_at.is_empty() {
                self.rng.random_range(0..self.instances.len())
            } else {
                only_at[self.rng.random_range(0..only_at.len())]
            };
            let share = self.share_of(at, now_ms);
            let budget = &mut self.instances[at].budget;
            budget.request(&self.service, share, now_ms);
            self.requests_ms.push_back(now_ms);
        }
    }

    pub(super) fn retry(&mut self, at: usize, purpose: RetryPurpose, now_ms: u64) -> bool {
        let arrives_ms = self.arrival_ms(now_ms);
        let share = self.share_of(at, now_ms);
        let budget = &mut self.instances[at].budget;
        let Some(id) = budget.take(&self.service, share, purpose, now_ms) else {
            return false;
        };
        let abandoned_ms = now_ms + ATTEMPT_TIMEOUT_MS;
        let arrived_by_ms = if arrives_ms > abandoned_ms {
            abandoned_ms + MAX_ARRIVAL_DELAY_MS
        } else {
            arrives_ms
        };
        budget.record_arrival(&self.service, id, arrived_by_ms);
        let place = self.retries_ms.partition_point(|it| *it <= arrives_ms);
        self.retries_ms.insert(place, arrives_ms);
        true
    }

    /// When a request that is sent now is read: once the silence of the endpoints has ended, if there is one.
    fn arrival_ms(&self, now_ms: u64) -> u64 {
        let mut silences = self.silences_ms.iter();
        let silence = silences.find(|it| it.contains(&now_ms));
        silence.map_or(now_ms, |it| it.end)
    }

    pub(super) fn instances_in_need(&self, demand: Demand, now_ms: u64) -> Vec<usize> {
        let count = self.instances.len();
        match demand {
            Demand::One => vec![0],
            Demand::All => (0..count).collect(),
            Demand::Moving { stay_ms } => vec![(now_ms / stay_ms) as usize % count],
            Demand::Some => (0..count).step_by(3).collect(),
        }
    }

    pub(super) fn request_retries(&mut self, askers: &[usize], now_ms: u64) {
        for at in askers.iter().copied() {
            let purpose = if self.rng.random::<bool>() {
                RetryPurpose::Start
            } else {
                RetryPurpose::Resume
            };
            self.retry(at, purpose, now_ms);
        }
    }

    pub(super) fn step(&mut self, now_ms: u64) {
        self.restart_due(now_ms);
        self.deliver(now_ms);
        self.heartbeats(now_ms);
    }

    /// Tracks by how much the retries in the window ending now exceed what the requests allow.
    pub(super) fn record_overdraw(&mut self, now_ms: u64) {
        let within = |times: &VecDeque<u64>, until_ms: u64| {
            let until = times.partition_point(|at| *at <= until_ms);
            let from = until_ms.checked_sub(WINDOW_MS);
            until - from.map_or(0, |from| times.partition_point(|at| *at < from))
        };
        let requests = [0, WINDOW_MS / 2, WINDOW_MS]
            .into_iter()
            .filter_map(|before_ms| now_ms.checked_sub(before_ms))
            .map(|until_ms| within(&self.requests_ms, until_ms))
            .max()
            .unwrap_or(0);
        let allowed = RATIO * requests as f64 + SLACK;
        let overdraw = within(&self.retries_ms, now_ms) as f64 - allowed;
        self.max_overdraw = self.max_overdraw.max(overdraw);
    }
}

fn lender(at: usize, process: u32) -> Lender {
    Lender {
        instance: InstanceId::from(at.to_string()),
        incarnation: Incarnation::generate(&mut SmallRng::seed_from_u64(process.into())),
    }
}
