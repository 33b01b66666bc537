//! The retry budget: sends of a request beyond its first.
//!
//! All instances together may retry a fixed ratio of the requests of a service within a window,
//! plus a fixed slack. Each instance has the ratio of its own requests and an even share of the
//! slack, so that the total holds without coordination: each request counts at one instance only, and all
//! instances count those of the same windows. Endpoints count arrivals: a retry counts from the
//! moment at which it is taken until a window after its latest possible arrival. A retry that runs on a chain
//! arrives at each engine of it, and is charged for each. Instances of one zone lend each other what they do
//! not need; see [`loans`](super::loans).

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::loans::{Lender, LendingSource, RETRY_MILLI, RetryAmount, RetryLoan, allocate};
use super::window::{BudgetUsage, Window, retries_count_until_ms};
use crate::ids::ServiceName;

/// What a retry is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RetryPurpose {
    /// Starting a response.
    Start,
    /// Resuming a response of which the caller holds a part.
    Resume,
}

/// Identifies a retry that was taken from the budget of one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryId(u64);

/// What a retry is for, at how many engines it arrives, and how urgent its request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryClass {
    /// What it is for.
    pub purpose: RetryPurpose,
    /// Number of engines at which it arrives: the length of its chain. At least 1.
    pub engines: u32,
    /// Number of distinct priorities of the service that are more urgent than that of the request.
    pub more_urgent_priorities: u32,
}

impl RetryClass {
    /// What it is charged, in thousandths of a retry.
    pub(super) fn milli(self) -> u64 {
        charge_milli(self.engines)
    }
}

impl From<RetryPurpose> for RetryClass {
    /// The class of a retry at one engine where all requests of the service are equally urgent.
    fn from(purpose: RetryPurpose) -> Self {
        Self {
            purpose,
            engines: 1,
            more_urgent_priorities: 0,
        }
    }
}

/// What a retry at so many engines is charged, in thousandths of a retry.
fn charge_milli(engines: u32) -> u64 {
    u64::from(engines.max(1)) * RETRY_MILLI
}

/// What all instances together may retry within a window, and how many instances share it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetShare {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Additional retries, shared by all instances.
    pub slack: f64,
    /// Length of the window.
    pub window_ms: u64,
    /// Number of instances that share the slack; at least 1. `None` if it is not known, and then none of the slack is
    /// used.
    pub instances: Option<u32>,
}

/// Requests and retries of this instance within the last window, by service.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    services: IndexMap<ServiceName, Window>,
    /// How this process has started, which decides for how long it has no part of the slack.
    startup: Option<Startup>,
    /// Id of the next loan.
    next_loan: u32,
    /// Id of the next retry.
    next_retry: u64,
}

/// How this process has started.
#[derive(Clone, Copy, Debug)]
enum Startup {
    /// At `started_ms`, possibly in place of one that had just exited.
    Restart { started_ms: u64 },
    /// As the first in its place. It may not know the instances that start beside it before `until_ms`.
    First { until_ms: u64 },
}

impl Startup {
    /// Until when the process has no part of the slack.
    fn until_ms(self, share: BudgetShare) -> u64 {
        match self {
            Self::Restart { started_ms } => retries_count_until_ms(started_ms, share),
            Self::First { until_ms } => until_ms,
        }
    }
}

impl RetryBudget {
    /// Creates the budget of a process that starts now, possibly in place of one that has just
    /// exited.
    pub fn starting(now_ms: u64) -> Self {
        Self {
            startup: Some(Startup::Restart { started_ms: now_ms }),
            ..Self::default()
        }
    }

    /// Records that no other process has run in the place of this one. It may not know the instances that start beside
    /// it before `until_ms`.
    pub fn note_first_process(&mut self, until_ms: u64) {
        self.startup = Some(Startup::First { until_ms });
        for window in self.services.values_mut() {
            window.set_starting_until(until_ms);
        }
    }

    /// Whether this process has just started, so that it has no part of the slack.
    pub fn is_starting(&self, share: BudgetShare, now_ms: u64) -> bool {
        let startup = self.startup;
        startup.is_some_and(|it| now_ms <= it.until_ms(share))
    }

    /// Records a caller's request.
    pub fn request(&mut self, service: &ServiceName, share: BudgetShare, now_ms: u64) {
        self.window(service, share, now_ms).record_request(now_ms);
    }

    /// Whether another retry is within the budget.
    pub fn has_left<C>(
        &mut self,
        service: &ServiceName,
        share: BudgetShare,
        class: C,
        now_ms: u64,
    ) -> bool
    where
        C: Into<RetryClass>,
    {
        let window = self.window(service, share, now_ms);
        window.has_left(share, class.into(), now_ms)
    }

    /// Records demand for a retry, so that other instances are asked to lend one.
    pub fn note_demand<C>(
        &mut self,
        service: &ServiceName,
        share: BudgetShare,
        class: C,
        now_ms: u64,
    ) where
        C: Into<RetryClass>,
    {
        let window = self.window(service, share, now_ms);
        window.record_demand(class.into(), now_ms);
    }

    /// Takes one retry from the budget, if one is left. It counts until it is refunded, or for a window after
    /// the arrival that is recorded for it.
    pub fn take<C>(
        &mut self,
        service: &ServiceName,
        share: BudgetShare,
        class: C,
        now_ms: u64,
    ) -> Option<RetryId>
    where
        C: Into<RetryClass>,
    {
        let class = class.into();
        let id = RetryId(self.next_retry);
        let window = self.window(service, share, now_ms);
        window.record_demand(class, now_ms);
        if !window.has_left(share, class, now_ms) {
            return None;
        }
        window.record_retry(id, class, now_ms);
        self.next_retry += 1;
        Some(id)
    }

    /// Changes the number of engines at which a retry arrives, once its chain is known. Of a longer chain than
    /// expected the rest is charged even if it is not left, so that later retries wait for it.
    pub fn set_engines(&mut self, service: &ServiceName, id: RetryId, engines: u32) {
        if let Some(window) = self.services.get_mut(service) {
            window.set_charge(id, charge_milli(engines));
        }
    }

    /// Refunds a retry that was taken but not sent.
    pub fn refund(&mut self, service: &ServiceName, id: RetryId) {
        if let Some(window) = self.services.get_mut(service) {
            window.remove(id);
        }
    }

    /// Records when a retry has arrived at the latest, which may be later than now.
    pub fn record_arrival(&mut self, service: &ServiceName, id: RetryId, arrived_by_ms: u64) {
        if let Some(window) = self.services.get_mut(service) {
            window.record_arrival(id, arrived_by_ms);
        }
    }

    /// Number of retries left in the budget, for log lines.
    pub fn remaining(&mut self, service: &ServiceName, share: BudgetShare, now_ms: u64) -> u32 {
        let window = self.window(service, share, now_ms);
        window.retries_left(share, now_ms)
    }

    /// What this instance may retry in the newest window and what of it is used, for log lines.
    pub fn usage(&mut self, service: &ServiceName, share: BudgetShare, now_ms: u64) -> BudgetUsage {
        self.window(service, share, now_ms).usage(share, now_ms)
    }

    /// What this instance may retry in the newest window and what of it is used, summed over all services.
    pub fn total_usage(&mut self, share: BudgetShare, now_ms: u64) -> BudgetUsage {
        let windows = self.services.values_mut();
        let usages = windows.map(|window| {
            window.drop_old(share, now_ms);
            window.usage(share, now_ms)
        });
        usages.sum()
    }

    /// When a retry becomes available by the passage of time: `now_ms` if one is available now,
    /// [`u64::MAX`] if only a loan or more requests can provide one. A loan may provide one sooner.
    pub fn next_available_ms<C>(
        &mut self,
        service: &ServiceName,
        share: BudgetShare,
        class: C,
        now_ms: u64,
    ) -> u64
    where
        C: Into<RetryClass>,
    {
        let window = self.window(service, share, now_ms);
        let next_ms = window.next_available_ms(share, class.into(), now_ms);
        next_ms.unwrap_or(u64::MAX)
    }

    /// Retries that this instance lacks, by service.
    pub fn needs(&mut self, share: BudgetShare, now_ms: u64) -> Vec<RetryAmount> {
        let needs = self.services.iter_mut().flat_map(|(service, window)| {
            window.drop_old(share, now_ms);
            [RetryPurpose::Resume, RetryPurpose::Start].map(|purpose| {
                let milli = window.need_milli(share, purpose, now_ms);
                amount(service, purpose, milli)
            })
        });
        needs.filter(|need| need.milli_retries > 0).collect()
    }

    /// What this instance could lend for starting responses, summed over all services, in
    /// thousandths of a retry.
    pub fn spare_milli(&mut self, share: BudgetShare, now_ms: u64) -> u64 {
        let windows = self.services.values_mut();
        let spare = windows.map(|window| {
            window.drop_old(share, now_ms);
            window.spare_milli(share, RetryPurpose::Start, now_ms)
        });
        spare.sum()
    }

    /// Lends to other instances as much of what they want as this instance can spare. The loans are
    /// in the order of `wanted`. What is lent is charged here whether or not it arrives.
    pub fn lend(
        &mut self,
        wanted: &[RetryAmount],
        share: BudgetShare,
        now_ms: u64,
    ) -> Vec<RetryLoan> {
        let mut source = BudgetLender {
            budget: self,
            share,
            now_ms,
        };
        allocate(wanted, &mut source)
    }

    /// Accepts loans that another instance grants in response to needs announced at `asked_ms`.
    /// Each loan must be accepted once only.
    pub fn borrow(
        &mut self,
        loans: &[RetryLoan],
        lender: &Lender,
        share: BudgetShare,
        announced_ms: u64,
        now_ms: u64,
    ) {
        for RetryLoan { id, amount } in loans {
            let window = self.window(&amount.service, share, now_ms);
            let milli = u64::from(amount.milli_retries);
            window.borrow(lender, *id, milli, amount.purpose, announced_ms);
        }
    }

    /// Returns the unused remainder of the loans that have expired since the last call. It is not
    /// used afterwards.
    pub fn take_expired(&mut self, now_ms: u64) -> Vec<(Lender, RetryLoan)> {
        let mut expired = Vec::new();
        for (service, window) in &mut self.services {
            for purpose in [RetryPurpose::Resume, RetryPurpose::Start] {
                expired.extend(
                    window
                        .take_expired(purpose, now_ms)
                        .map(|(lender, id, milli)| {
                            let amount = amount(service, purpose, milli);
                            (lender, RetryLoan { id, amount })
                        }),
                );
            }
        }
        expired
    }

    /// Reclaims what others have not used of loans granted by this process.
    pub fn reclaim(&mut self, unused: &[RetryLoan]) {
        for RetryLoan { id, amount } in unused {
            if let Some(window) = self.services.get_mut(&amount.service) {
                window.reclaim(*id, u64::from(amount.milli_retries));
            }
        }
    }

    fn window(&mut self, service: &ServiceName, share: BudgetShare, now_ms: u64) -> &mut Window {
        if !self.services.contains_key(service) {
            let window = Window::starting(self.startup.map(|it| it.until_ms(share)));
            self.services.insert(service.clone(), window);
        }
        let window = &mut self.services[service];
        window.drop_old(share, now_ms);
        window
    }
}

/// What an instance can lend at one moment.
struct BudgetLender<'a> {
    budget: &'a mut RetryBudget,
    share: BudgetShare,
    now_ms: u64,
}

impl LendingSource for BudgetLender<'_> {
    fn spare_milli(&mut self, service: &ServiceName, purpose: RetryPurpose) -> u64 {
        let window = self.budget.window(service, self.share, self.now_ms);
        window.spare_milli(self.share, purpose, self.now_ms)
    }

    fn lend(&mut self, amount: RetryAmount) -> RetryLoan {
        let id = self.budget.next_loan;
        self.budget.next_loan = id.wrapping_add(1);
        if amount.milli_retries > 0 {
            let window = self.budget.window(&amount.service, self.share, self.now_ms);
            let milli = u64::from(amount.milli_retries);
            window.lend(id, milli, self.share, self.now_ms);
        }
        RetryLoan { id, amount }
    }
}

fn amount(service: &ServiceName, purpose: RetryPurpose, milli: u64) -> RetryAmount {
    RetryAmount {
        service: service.clone(),
        purpose,
        milli_retries: u32::try_from(milli).unwrap_or(u32::MAX),
    }
}
