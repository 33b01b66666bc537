//! Repeats that instances of one availability zone lend to one another, and how they are dealt out.
//!
//! Sound by construction: an instance charges itself with what it lends before anybody can use it,
//! and for as long as a window can hold a repeat that was sent with it. So no loss, delay, repetition
//! or age of a heartbeat makes more of the budget than there is; at worst a loan is used by nobody.

use std::collections::VecDeque;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::budget::RetryPurpose;
use crate::ids::{Incarnation, InstanceId, ServiceName};

/// One repeat, in thousandths.
pub(super) const REPEAT_MILLI: u64 = 1_000;

/// How long a loan may be used, from the moment at which it was asked for: four heartbeats. It is there
/// within two, and what is not used goes back at once.
pub(super) const LOAN_LIFE_MS: u64 = 1_000;

/// Repeats for a service: asked for, or granted by another instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetryAmount {
    /// The service whose requests are repeated.
    pub service: ServiceName,
    /// What they are for. Those to go on are used for nothing else.
    pub purpose: RetryPurpose,
    /// Thousandths of a repeat: an even share of a small budget is less than one.
    pub milli_retries: u32,
}

/// A loan, or what is given back of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetryLoan {
    /// Names the loan among those of the lending process.
    pub id: u32,
    /// What is lent, or was not used.
    pub amount: RetryAmount,
}

/// The process that lent something.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lender {
    /// Its instance.
    pub instance: InstanceId,
    /// Its lifetime; a later process has not lent it.
    pub incarnation: Incarnation,
}

/// Loans of one service that this instance has given, in the order in which they end.
#[derive(Clone, Debug, Default)]
pub(super) struct Lent {
    loans: VecDeque<LentLoan>,
}

#[derive(Clone, Copy, Debug)]
struct LentLoan {
    id: u32,
    milli: u64,
    /// Last moment at which it is charged.
    until_ms: u64,
    /// Whether what was not used came back; that counts once.
    is_settled: bool,
}

impl Lent {
    pub(super) fn add(&mut self, id: u32, milli: u64, until_ms: u64) {
        self.loans.push_back(LentLoan {
            id,
            milli,
            until_ms,
            is_settled: false,
        });
    }

    /// Takes back what was not used of a loan.
    pub(super) fn take_back(&mut self, id: u32, milli: u64) {
        let mut loans = self.loans.iter_mut();
        if let Some(loan) = loans.find(|it| it.id == id && !it.is_settled) {
            loan.milli = loan.milli.saturating_sub(milli);
            loan.is_settled = true;
        }
    }

    /// What is charged at a moment.
    pub(super) fn sum_milli(&self, at_ms: u64) -> u64 {
        let charged = self.loans.iter().filter(|it| at_ms <= it.until_ms);
        charged.map(|it| it.milli).sum()
    }

    pub(super) fn forget_ended(&mut self, now_ms: u64) {
        while self.loans.front().is_some_and(|it| it.until_ms < now_ms) {
            self.loans.pop_front();
        }
    }

    /// The last moments at which the loans are charged.
    pub(super) fn ends_ms(&self) -> impl Iterator<Item = u64> {
        self.loans.iter().map(|it| it.until_ms)
    }
}

/// Loans of one service for one purpose that this instance has taken.
#[derive(Clone, Debug, Default)]
pub(super) struct Borrowed {
    loans: Vec<BorrowedLoan>,
}

#[derive(Clone, Debug)]
struct BorrowedLoan {
    lender: Lender,
    id: u32,
    milli: u64,
    /// Last moment at which it may be used.
    until_ms: u64,
}

impl Borrowed {
    pub(super) fn add(&mut self, lender: &Lender, id: u32, milli: u64, until_ms: u64) {
        let lender = lender.clone();
        self.loans.push(BorrowedLoan {
            lender,
            id,
            milli,
            until_ms,
        });
        self.loans.sort_by_key(|it| it.until_ms);
    }

    /// What may be used at a moment.
    pub(super) fn sum_milli(&self, at_ms: u64) -> u64 {
        let usable = self.loans.iter().filter(|it| at_ms <= it.until_ms);
        usable.map(|it| it.milli).sum()
    }

    /// Uses up to so much, first of what ends first. Returns how much was there.
    pub(super) fn use_up(&mut self, milli: u64, now_ms: u64) -> u64 {
        let mut missing = milli;
        for loan in self.loans.iter_mut().filter(|it| now_ms <= it.until_ms) {
            let used = loan.milli.min(missing);
            loan.milli -= used;
            missing -= used;
        }
        milli - missing
    }

    /// Drops the loans that have ended, and returns those of which something is left.
    pub(super) fn take_ended(&mut self, now_ms: u64) -> impl Iterator<Item = (Lender, u32, u64)> {
        let first = self.loans.partition_point(|it| it.until_ms < now_ms);
        let ended = self.loans.drain(..first).filter(|it| it.milli > 0);
        ended.map(|it| (it.lender, it.id, it.milli))
    }
}

/// What each of the lenders that are asked should give, so that all together give what is needed.
pub(crate) fn share_of_need(milli_retries: u32, lenders: usize) -> u32 {
    let lenders = u32::try_from(lenders.max(1)).unwrap_or(u32::MAX);
    milli_retries.div_ceil(lenders)
}

/// Deals out what can be spared, by what is wanted: first to go on with answers. The loans come
/// in the order of what is wanted; some may be of nothing.
pub(super) fn deal<S>(wanted: &[RetryAmount], stock: &mut S) -> Vec<RetryLoan>
where
    S: Stock,
{
    let mut sums: IndexMap<(&ServiceName, RetryPurpose), u64> = IndexMap::new();
    for want in wanted {
        *sums.entry((&want.service, want.purpose)).or_default() += u64::from(want.milli_retries);
    }
    sums.sort_by_key(|(_, purpose), _| *purpose == RetryPurpose::Start);
    let mut loans: Vec<Option<RetryLoan>> = vec![None; wanted.len()];
    for ((service, purpose), sum) in sums {
        let spare = stock.spare_milli(service, purpose).min(sum);
        for (want, loan) in wanted.iter().zip(&mut loans) {
            if (&want.service, want.purpose) != (service, purpose) {
                continue;
            }
            let dealt = u64::from(want.milli_retries).saturating_mul(spare) / sum.max(1);
            let milli_retries = u32::try_from(dealt).unwrap_or(want.milli_retries);
            let amount = RetryAmount {
                milli_retries,
                ..want.clone()
            };
            *loan = Some(stock.lend(amount));
        }
    }
    loans.into_iter().flatten().collect()
}

/// Where loans come from.
pub(super) trait Stock {
    /// What may be lent of a service for a purpose.
    fn spare_milli(&mut self, service: &ServiceName, purpose: RetryPurpose) -> u64;
    /// Lends it.
    fn lend(&mut self, amount: RetryAmount) -> RetryLoan;
}
