//! Load on a fleet: callers in a closed loop, or arrivals at a rate.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::task::JoinHandle;
use fescueshore::ids::AccountId;
use indexmap::IndexMap;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::experiment::Asked;
use crate::caller::{Caller, CallerOptions, Request, Served, SharedBook};
use crate::deployment::Deployment;
use crate::fleet::Fleet;
use crate::mix::{Mix, Parts};

/// Longest life of a load.
const LIMIT: Duration = Duration::from_secs(600);
/// Every request is a streamed completion.
const STREAMS: Parts = Parts {
    streams: 100,
    whole: 0,
    writes: 0,
};

/// Callers of one account.
#[derive(Clone, Debug)]
pub struct Group {
    /// The account.
    pub account: AccountId,
    /// Number of callers.
    pub callers: u32,
    /// The entry that all of them use; each its own, in turn, if `None`.
    pub entry: Option<SocketAddr>,
}

/// Load that runs until it is dropped.
pub struct Load {
    shared: Rc<Shared>,
    tasks: Tasks,
}

type Tasks = Rc<RefCell<Vec<JoinHandle<()>>>>;

struct Shared {
    book: SharedBook,
    mix: RefCell<Mix>,
    entries: Vec<SocketAddr>,
    until: Instant,
    seed: u64,
}

/// What was served in a window.
#[derive(Clone, Debug)]
pub struct Window {
    /// By account.
    pub served: IndexMap<AccountId, Served>,
    /// Length of the window.
    pub took: Duration,
}

impl Load {
    fn new(fleet: &Fleet, asked: &Asked, repeat: u64) -> Self {
        let seed = asked.seed + repeat;
        let mix = Mix::new(fleet.deployment(), STREAMS, asked.lengths(), seed);
        let shared = Shared {
            book: SharedBook::default(),
            mix: RefCell::new(mix),
            entries: fleet.entry_addresses(),
            until: Instant::now() + LIMIT,
            seed,
        };
        Self {
            shared: Rc::new(shared),
            tasks: Tasks::default(),
        }
    }

    /// Callers that ask again as soon as they have their answer.
    pub fn closed(fleet: &Fleet, asked: &Asked, repeat: u64, groups: &[Group]) -> Self {
        let load = Self::new(fleet, asked, repeat);
        let mut number = 0;
        for group in groups {
            for _ in 0..group.callers {
                let caller = load.shared.caller(number, group.entry, true);
                let asking = load.shared.clone().ask_on(caller, group.account.clone());
                load.tasks.borrow_mut().push(actix_rt::spawn(asking));
                number += 1;
            }
        }
        load
    }

    /// Requests that arrive at random times, at a rate, for as long as `arriving`.
    pub fn open(
        fleet: &Fleet,
        asked: &Asked,
        repeat: u64,
        rate_per_s: f64,
        impatient_percent: u64,
        arriving: Duration,
    ) -> Self {
        let load = Self::new(fleet, asked, repeat);
        let arrivals = load.shared.clone().arrive(
            load.tasks.clone(),
            rate_per_s,
            impatient_percent,
            Instant::now() + arriving,
        );
        let task = actix_rt::spawn(arrivals);
        load.tasks.borrow_mut().push(task);
        load
    }

    /// What the callers saw so far.
    pub fn book(&self) -> &SharedBook {
        &self.shared.book
    }

    /// Counts what is served after `warm_up` for as long as `window`.
    pub async fn observe(&self, warm_up: Duration, window: Duration) -> Window {
        actix_rt::time::sleep(warm_up).await;
        let before = self.shared.book.borrow().served().clone();
        let began = Instant::now();
        actix_rt::time::sleep(window).await;
        let after = self.shared.book.borrow().served().clone();
        Window::between(&before, &after, began.elapsed())
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        for task in self.tasks.borrow().iter() {
            task.abort();
        }
    }
}

impl Shared {
    fn caller(&self, number: u64, entry: Option<SocketAddr>, honours: bool) -> Caller {
        let limit = self.until.saturating_duration_since(Instant::now());
        let mut options = CallerOptions::new(self.seed.wrapping_mul(1_000_003) + number, limit);
        options.honours_retry_after = honours;
        let mut caller = Caller::new(self.entries.clone(), options, self.book.clone());
        let in_turn = self.entries[number as usize % self.entries.len()];
        caller.prefer(entry.unwrap_or(in_turn));
        caller
    }

    async fn ask_on(self: Rc<Self>, mut caller: Caller, account: AccountId) {
        while Instant::now() < self.until {
            let request = self.mix.borrow_mut().draw_for(&account);
            caller.ask(request).await;
        }
    }

    async fn arrive(
        self: Rc<Self>,
        tasks: Tasks,
        rate_per_s: f64,
        impatient_percent: u64,
        end: Instant,
    ) {
        let mut rng = StdRng::seed_from_u64(self.seed);
        let mut next = Instant::now();
        let mut number = 0;
        while next < end {
            actix_rt::time::sleep_until(next.into()).await;
            let honours = rng.random_range(0..100) >= impatient_percent;
            let caller = self.caller(number, None, honours);
            let request = self.mix.borrow_mut().draw();
            let task = actix_rt::spawn(ask_once(caller, request));
            tasks.borrow_mut().push(task);
            number += 1;
            // Exponential gaps: arrivals do not know of one another.
            let draw: f64 = rng.random_range(f64::EPSILON..1.0);
            next += Duration::from_secs_f64(-draw.ln() / rate_per_s);
        }
    }
}

async fn ask_once(mut caller: Caller, request: Request) {
    caller.ask(request).await;
}

impl Window {
    /// What was served between two looks.
    pub fn between(
        before: &IndexMap<AccountId, Served>,
        after: &IndexMap<AccountId, Served>,
        took: Duration,
    ) -> Self {
        let served = after.iter().map(|(account, after)| {
            let before = before.get(account).copied().unwrap_or_default();
            // Attempts that broke in the window may take back what came before it.
            let grown = Served {
                tokens: after.tokens.saturating_sub(before.tokens),
                prompt_tokens: after.prompt_tokens.saturating_sub(before.prompt_tokens),
            };
            (account.clone(), grown)
        });
        Self {
            served: served.collect(),
            took,
        }
    }

    /// All accounts together.
    pub fn total(&self) -> Served {
        self.served
            .values()
            .fold(Served::default(), |sum, part| Served {
                tokens: sum.tokens + part.tokens,
                prompt_tokens: sum.prompt_tokens + part.prompt_tokens,
            })
    }

    /// Tokens a second, of all accounts.
    pub fn tokens_per_s(&self) -> f64 {
        self.total().tokens as f64 / self.took.as_secs_f64()
    }
}

/// Callers split over the accounts by their demand; at least one each.
pub fn groups_by_demand(deployment: &Deployment, callers: u32) -> Vec<Group> {
    let accounts = &deployment.load.accounts;
    let demand: u32 = accounts.iter().map(|account| account.demand).sum();
    accounts
        .iter()
        .map(|account| Group {
            account: account.name.clone(),
            callers: (callers * account.demand / demand.max(1)).max(1),
            entry: None,
        })
        .collect()
}
