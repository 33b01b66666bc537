//! The budget for repeats: sends of a request beyond its first.
//!
//! All instances together may repeat a fixed part of the requests of a service in a window, and a
//! fixed number besides. Each instance has the part of its own requests and an even share of the
//! number, so that no message is needed to keep to the sum. Those of a zone lend one another
//! what they do not need; see [`loans`](super::loans).

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::loans::{Lender, RetryAmount, RetryLoan, Stock, deal};
use super::window::Window;
use crate::ids::ServiceName;

/// What a repeat is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RetryPurpose {
    /// To get an answer begun.
    Start,
    /// To go on with an answer of which the caller holds a part.
    Resume,
}

/// What all instances together may repeat in a window, and among how many it is shared.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetShare {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats beside that, over all instances.
    pub slack: f64,
    /// Length of the window.
    pub window_ms: u64,
    /// Instances that share the slack; at least 1.
    pub instances: u32,
}

/// What this instance has sent for each service in the last window.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    services: IndexMap<ServiceName, Window>,
    /// When this process started, if another may have run in its place shortly before.
    started_ms: Option<u64>,
    /// Names the next loan.
    next_loan: u32,
}

impl RetryBudget {
    /// The budget of a process that starts now, perhaps in place of one that has just ended.
    pub fn starting(now_ms: u64) -> Self {
        Self {
            started_ms: Some(now_ms),
            ..Self::default()
        }
    }

    /// Notes a caller's request.
    pub fn request(&mut self, service: &ServiceName, share: BudgetShare, now_ms: u64) {
        self.window(service, share, now_ms).request(now_ms);
    }

    /// Whether one more repeat is within the budget.
    pub fn has_left(
        &mut self,
        service: &ServiceName,
        share: BudgetShare,
        purpose: RetryPurpose,
        now_ms: u64,
    ) -> bool {
        let window = self.window(service, share, now_ms);
        window.has_left(share, purpose, now_ms)
    }

    /// Notes that a repeat is waited for, so that one is asked for of other instances.
    pub fn note_demand(
        &mut self,
        service: &ServiceName,
        share: BudgetShare,
        purpose: RetryPurpose,
        now_ms: u64,
    ) {
        self.window(service, share, now_ms).asked(purpose, now_ms);
    }

    /// Takes one repeat out of the budget, if it has one left.
    pub fn take(
        &mut self,
        service: &ServiceName,
        share: BudgetShare,
        purpose: RetryPurpose,
        now_ms: u64,
    ) -> bool {
        let window = self.window(service, share, now_ms);
        window.asked(purpose, now_ms);
        let is_left = window.has_left(share, purpose, now_ms);
        if is_left {
            window.repeat(purpose, now_ms);
        }
        is_left
    }

    /// Puts a repeat back that was taken and not sent.
    pub fn refund(&mut self, service: &ServiceName) {
        if let Some(window) = self.services.get_mut(service) {
            window.cancel_newest();
        }
    }

    /// Repeats within the budget that are left, for log lines.
    pub fn remaining(&mut self, service: &ServiceName, share: BudgetShare, now_ms: u64) -> u32 {
        let window = self.window(service, share, now_ms);
        window.left_repeats(share, now_ms)
    }

    /// When a repeat will be within the budget by the passing of time: `now_ms` if one is left now,
    /// [`u64::MAX`] if only a loan or more requests can bring one. A loan may bring it sooner.
    pub fn next_available_ms(
        &mut self,
        service: &ServiceName,
        share: BudgetShare,
        purpose: RetryPurpose,
        now_ms: u64,
    ) -> u64 {
        let window = self.window(service, share, now_ms);
        let next_ms = window.next_left_ms(share, purpose, now_ms);
        next_ms.unwrap_or(u64::MAX)
    }

    /// Repeats that this instance lacks, by service.
    pub fn needs(&mut self, share: BudgetShare, now_ms: u64) -> Vec<RetryAmount> {
        let needs = self.services.iter_mut().flat_map(|(service, window)| {
            window.forget_old(share, now_ms);
            [RetryPurpose::Resume, RetryPurpose::Start].map(|purpose| {
                let milli = window.need_milli(share, purpose, now_ms);
                amount(service, purpose, milli)
            })
        });
        needs.filter(|need| need.milli_retries > 0).collect()
    }

    /// What this instance could lend to get answers begun, of all services together, in thousandths of a
    /// repeat.
    pub fn spare_milli(&mut self, share: BudgetShare, now_ms: u64) -> u64 {
        let windows = self.services.values_mut();
        let spare = windows.map(|window| {
            window.forget_old(share, now_ms);
            window.spare_milli(share, RetryPurpose::Start, now_ms)
        });
        spare.sum()
    }

    /// Lends each of what other instances want as much as this one can do without, in the order in
    /// which it is wanted. What is lent is gone here, whether or not it arrives.
    pub fn lend(
        &mut self,
        wanted: &[RetryAmount],
        share: BudgetShare,
        now_ms: u64,
    ) -> Vec<RetryLoan> {
        let mut stock = OwnStock {
            budget: self,
            share,
            now_ms,
        };
        deal(wanted, &mut stock)
    }

    /// Takes in what another instance lends in answer to needs that were told at `asked_ms`. Each
    /// loan must be taken in once.
    pub fn borrow(
        &mut self,
        loans: &[RetryLoan],
        lender: &Lender,
        share: BudgetShare,
        asked_ms: u64,
        now_ms: u64,
    ) {
        for RetryLoan { id, amount } in loans {
            let window = self.window(&amount.service, share, now_ms);
            let milli = u64::from(amount.milli_retries);
            window.borrow(lender, *id, milli, amount.purpose, asked_ms);
        }
    }

    /// What is left of the loans that have ended since this was last asked. It is not used any more.
    pub fn take_expired(&mut self, now_ms: u64) -> Vec<(Lender, RetryLoan)> {
        let mut given = Vec::new();
        for (service, window) in &mut self.services {
            for purpose in [RetryPurpose::Resume, RetryPurpose::Start] {
                given.extend(
                    window
                        .give_back(purpose, now_ms)
                        .map(|(lender, id, milli)| {
                            let amount = amount(service, purpose, milli);
                            (lender, RetryLoan { id, amount })
                        }),
                );
            }
        }
        given
    }

    /// Takes back what others have not used of loans of this process.
    pub fn reclaim(&mut self, unused: &[RetryLoan]) {
        for RetryLoan { id, amount } in unused {
            if let Some(window) = self.services.get_mut(&amount.service) {
                window.take_back(*id, u64::from(amount.milli_retries));
            }
        }
    }

    fn window(&mut self, service: &ServiceName, share: BudgetShare, now_ms: u64) -> &mut Window {
        if !self.services.contains_key(service) {
            let window = Window::starting(self.started_ms, share);
            self.services.insert(service.clone(), window);
        }
        let window = &mut self.services[service];
        window.forget_old(share, now_ms);
        window
    }
}

/// What one instance can lend at one moment.
struct OwnStock<'a> {
    budget: &'a mut RetryBudget,
    share: BudgetShare,
    now_ms: u64,
}

impl Stock for OwnStock<'_> {
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
