//! A zone's instances and what passes between them.

use std::collections::VecDeque;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::super::*;
use crate::ids::{Incarnation, InstanceId, ServiceName};

pub(super) const HEARTBEAT_MS: u64 = 250;
pub(super) const STEP_MS: u64 = 10;
pub(super) const WINDOW_MS: u64 = 10_000;
pub(super) const RATIO: f64 = 0.2;
pub(super) const SLACK: f64 = 198.0;
pub(super) const RUN_MS: u64 = 32_000;

/// Where repeats are asked for.
#[derive(Clone, Copy, Debug)]
pub(super) enum Demand {
    /// By one instance.
    One,
    /// By all at once.
    All,
    /// By one after the other, each for so long.
    Moving { stay_ms: u64 },
    /// By a third of them.
    Some,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Trouble {
    pub(super) loss: f64,
    pub(super) most_delay_ms: u64,
    /// When each instance starts anew, if it does; each at most once in a window.
    pub(super) restarts: usize,
    /// When all start anew at once.
    pub(super) herd_ms: Option<u64>,
    pub(super) cuts: usize,
}

pub(super) const NO_TROUBLE: Trouble = Trouble {
    loss: 0.0,
    most_delay_ms: 2,
    restarts: 0,
    herd_ms: None,
    cuts: 0,
};

enum Message {
    Needs(Vec<RetryAmount>),
    Grants {
        loans: Vec<RetryLoan>,
        /// When the needs that are answered were told, and by which process.
        asked_ms: u64,
        asker_process: u32,
    },
    GivenBack {
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
    told_ms: u64,
    process: u32,
}

pub(super) struct Instance {
    pub(super) budget: RetryBudget,
    process: u32,
    next_heartbeat_ms: u64,
    /// Needs of each other instance that were not answered yet.
    heard: Vec<Option<Needs>>,
    cut: std::ops::Range<u64>,
    restart_ms: Option<u64>,
}

pub(super) struct Simulation {
    pub(super) instances: Vec<Instance>,
    zones: usize,
    pub(super) share: BudgetShare,
    pub(super) service: ServiceName,
    trouble: Trouble,
    rng: SmallRng,
    datagrams: Vec<Datagram>,
    requests_ms: VecDeque<u64>,
    pub(super) repeats_ms: VecDeque<u64>,
    pub(super) worst_overdraw: f64,
}

impl Simulation {
    pub(super) fn new(count: usize, zones: usize, trouble: Trouble, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let instances = (0..count)
            .map(|_| Instance {
                budget: RetryBudget::default(),
                process: 0,
                next_heartbeat_ms: rng.random_range(0..HEARTBEAT_MS) / STEP_MS * STEP_MS,
                heard: (0..count).map(|_| None).collect(),
                cut: 0..0,
                restart_ms: None,
            })
            .collect();
        let mut world = Self {
            instances,
            zones,
            share: BudgetShare {
                ratio: RATIO,
                slack: SLACK,
                window_ms: WINDOW_MS,
                instances: count as u32,
            },
            service: ServiceName::from("model"),
            trouble,
            rng,
            datagrams: Vec::new(),
            requests_ms: VecDeque::new(),
            repeats_ms: VecDeque::new(),
            worst_overdraw: f64::MIN,
        };
        world.draw_troubles(count);
        world
    }

    fn draw_troubles(&mut self, count: usize) {
        for _ in 0..self.trouble.restarts {
            let at_ms = self.rng.random_range(0..RUN_MS) / STEP_MS * STEP_MS;
            let chosen = self.rng.random_range(0..count);
            self.instances[chosen].restart_ms = Some(at_ms);
        }
        for _ in 0..self.trouble.cuts {
            let from_ms = self.rng.random_range(0..RUN_MS);
            let length_ms = self.rng.random_range(500..8_000);
            let chosen = self.rng.random_range(0..count);
            self.instances[chosen].cut = from_ms..from_ms + length_ms;
        }
    }

    fn zone(&self, index: usize) -> usize {
        index % self.zones
    }

    fn restart_due(&mut self, now_ms: u64) {
        let is_herd = self.trouble.herd_ms == Some(now_ms);
        let count = self.instances.len();
        for instance in &mut self.instances {
            if is_herd || (instance.restart_ms == Some(now_ms) && self.trouble.herd_ms.is_none()) {
                instance.budget = RetryBudget::starting(now_ms);
                instance.process += 1;
                instance.heard = (0..count).map(|_| None).collect();
            }
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
            let share = self.share;
            let instance = &mut self.instances[datagram.to];
            match datagram.message {
                Message::Needs(needs) => {
                    instance.heard[datagram.from] = Some(Needs {
                        needs,
                        told_ms: datagram.sent_ms,
                        process: datagram.process,
                    });
                }
                Message::Grants {
                    loans,
                    asked_ms,
                    asker_process,
                } if asker_process == instance.process => {
                    let lender = lender(datagram.from, datagram.process);
                    let budget = &mut instance.budget;
                    budget.borrow(&loans, &lender, share, asked_ms, now_ms);
                }
                Message::GivenBack { unused, lender }
                    if lender == self::lender(datagram.to, instance.process) =>
                {
                    instance.budget.reclaim(&[unused]);
                }
                Message::Grants { .. } | Message::GivenBack { .. } => {}
            }
        }
    }

    fn heartbeats(&mut self, now_ms: u64) {
        for from in 0..self.instances.len() {
            if self.instances[from].next_heartbeat_ms != now_ms {
                continue;
            }
            self.instances[from].next_heartbeat_ms += HEARTBEAT_MS;
            let needs = self.instances[from].budget.needs(self.share, now_ms);
            let near = (0..self.instances.len()).filter(|to| *to != from);
            let near: Vec<usize> = near
                .filter(|to| self.zone(*to) == self.zone(from))
                .collect();
            for to in &near {
                self.send(from, *to, Message::Needs(needs.clone()), now_ms);
            }
            self.grant(from, &near, now_ms);
            for (lender, unused) in self.instances[from].budget.take_expired(now_ms) {
                let to = lender.instance.as_str().parse().expect("it is a number");
                self.send(from, to, Message::GivenBack { unused, lender }, now_ms);
            }
        }
    }

    fn grant(&mut self, from: usize, near: &[usize], now_ms: u64) {
        let share = self.share;
        let lender = &mut self.instances[from];
        let lacks = |at: usize, purpose| {
            let heard = lender.heard[at].as_ref();
            heard.is_some_and(|it| it.needs.iter().any(|need| need.purpose == purpose))
        };
        let lenders = [RetryPurpose::Start, RetryPurpose::Resume].map(|purpose| {
            let in_need = near.iter().filter(|at| lacks(**at, purpose)).count();
            near.len() + 1 - in_need
        });
        let mut asked = Vec::new();
        let mut wanted = Vec::new();
        for to in near {
            let Some(heard) = lender.heard[*to].take() else {
                continue;
            };
            for need in heard.needs {
                let lenders = lenders[usize::from(need.purpose == RetryPurpose::Resume)];
                asked.push((*to, heard.told_ms, heard.process));
                wanted.push(RetryAmount {
                    milli_retries: loans::share_of_need(need.milli_retries, lenders),
                    ..need
                });
            }
        }
        let granted = lender.budget.lend(&wanted, share, now_ms);
        for (loan, (to, asked_ms, asker_process)) in granted.into_iter().zip(asked) {
            if loan.amount.milli_retries > 0 {
                let message = Message::Grants {
                    loans: vec![loan],
                    asked_ms,
                    asker_process,
                };
                self.send(from, to, message, now_ms);
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message, now_ms: u64) {
        let is_cut = [from, to].map(|it| self.instances[it].cut.contains(&now_ms));
        if is_cut.contains(&true) || self.rng.random::<f64>() < self.trouble.loss {
            return;
        }
        let delay_ms = self.rng.random_range(1..=self.trouble.most_delay_ms);
        self.datagrams.push(Datagram {
            sent_ms: now_ms,
            due_ms: now_ms + delay_ms,
            from,
            process: self.instances[from].process,
            to,
            message,
        });
    }

    /// Callers' requests, at any instance or only at these.
    pub(super) fn requests(&mut self, per_s: u64, only_at: &[usize], now_ms: u64) {
        for _ in 0..per_s * STEP_MS / 1_000 {
            let at = if only_at.is_empty() {
                self.rng.random_range(0..self.instances.len())
            } else {
                only_at[self.rng.random_range(0..only_at.len())]
            };
            let budget = &mut self.instances[at].budget;
            budget.request(&self.service, self.share, now_ms);
            self.requests_ms.push_back(now_ms);
        }
    }

    pub(super) fn repeat(&mut self, at: usize, purpose: RetryPurpose, now_ms: u64) -> bool {
        let budget = &mut self.instances[at].budget;
        let is_taken = budget.take(&self.service, self.share, purpose, now_ms);
        if is_taken {
            self.repeats_ms.push_back(now_ms);
        }
        is_taken
    }

    pub(super) fn askers(&self, demand: Demand, now_ms: u64) -> Vec<usize> {
        let count = self.instances.len();
        match demand {
            Demand::One => vec![0],
            Demand::All => (0..count).collect(),
            Demand::Moving { stay_ms } => vec![(now_ms / stay_ms) as usize % count],
            Demand::Some => (0..count).step_by(3).collect(),
        }
    }

    pub(super) fn ask(&mut self, askers: &[usize], now_ms: u64) {
        for at in askers.iter().copied() {
            let purpose = if self.rng.random::<bool>() {
                RetryPurpose::Start
            } else {
                RetryPurpose::Resume
            };
            self.repeat(at, purpose, now_ms);
        }
    }

    pub(super) fn step(&mut self, now_ms: u64) {
        self.restart_due(now_ms);
        self.deliver(now_ms);
        self.heartbeats(now_ms);
    }

    /// Repeats in the window that ends now beyond what the requests allow.
    pub(super) fn note_overdraw(&mut self, now_ms: u64) {
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
        let overdraw = within(&self.repeats_ms, now_ms) as f64 - allowed;
        self.worst_overdraw = self.worst_overdraw.max(overdraw);
    }
}

fn lender(at: usize, process: u32) -> Lender {
    Lender {
        instance: InstanceId::from(at.to_string()),
        incarnation: Incarnation::generate(&mut SmallRng::seed_from_u64(process.into())),
    }
}
