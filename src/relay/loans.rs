//! Retries that instances of one availability zone lend to each other, and how they are allocated.
//!
//! The budget cannot be exceeded: an instance charges itself with a loan before anybody can use it,
//! and for as long as a window can contain a retry that was sent with it. Lost, delayed, repeated
//! or old heartbeats therefore never increase the total budget; at worst a loan is not used.

use std::collections::VecDeque;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::budget::RetryPurpose;
use crate::ids::{Incarnation, InstanceId, ServiceName};

/// One retry, in thousandths.
pub(super) const RETRY_MILLI: u64 = 1_000;

/// How long a loan may be used, counted from the announcement of the need: four heartbeats. It
/// arrives within two, and what is not used is returned at once.
pub(super) const LOAN_TTL_MS: u64 = 1_000;

/// Retries for a service: requested, or granted by another instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetryAmount {
    /// The service whose requests are retried.
    pub service: ServiceName,
    /// What the retries are for. Those for resuming are used for nothing else.
    pub purpose: RetryPurpose,
    /// Thousandths of a retry: an even share of a small budget is less than one.
    pub milli_retries: u32,
}

/// A loan, or the part of it that is returned.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetryLoan {
    /// Identifies the loan among those of the lending process.
    pub id: u32,
    /// The amount that is lent or returned.
    pub amount: RetryAmount,
}

/// The process that granted a loan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lender {
    /// Its instance.
    pub instance: InstanceId,
    /// Its incarnation; a later process of the instance is not the lender.
    pub incarnation: Incarnation,
}

/// Loans of one service granted by this instance, ordered by end time.
#[derive(Clone, Debug, Default)]
pub(super) struct GrantedLoans {
    loans: VecDeque<GrantedLoan>,
}

#[derive(Clone, Copy, Debug)]
struct GrantedLoan {
    id: u32,
    milli: u64,
    /// Last moment at which the loan is charged.
    until_ms: u64,
    /// Whether the unused part was returned, which is accepted once only.
    is_settled: bool,
}

impl GrantedLoans {
    pub(super) fn add(&mut self, id: u32, milli: u64, until_ms: u64) {
        self.loans.push_back(GrantedLoan {
            id,
            milli,
            until_ms,
            is_settled: false,
        });
    }

    /// Reclaims the unused part of a loan.
    pub(super) fn reclaim(&mut self, id: u32, milli: u64) {
        let mut loans = self.loans.iter_mut();
        if let Some(loan) = loans.find(|it| it.id == id && !it.is_settled) {
            loan.milli = loan.milli.saturating_sub(milli);
            loan.is_settled = true;
        }
    }

    pub(super) fn drop_expired(&mut self, now_ms: u64) {
        while self.loans.front().is_some_and(|it| it.until_ms < now_ms) {
            self.loans.pop_front();
        }
    }

    /// Each loan's last moment at which it is charged, and its amount.
    pub(super) fn charges(&self) -> impl Iterator<Item = (u64, u64)> {
        self.loans.iter().map(|it| (it.until_ms, it.milli))
    }

    /// The last moments at which the loans are charged.
    pub(super) fn expiries_ms(&self) -> impl Iterator<Item = u64> {
        self.loans.iter().map(|it| it.until_ms)
    }
}

/// Loans of one service for one purpose that this instance has received.
#[derive(Clone, Debug, Default)]
pub(super) struct BorrowedLoans {
    loans: Vec<BorrowedLoan>,
}

#[derive(Clone, Debug)]
struct BorrowedLoan {
    lender: Lender,
    id: u32,
    milli: u64,
    /// Last moment at which the loan may be used.
    until_ms: u64,
}

impl BorrowedLoans {
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

    /// The amount that may be used at a moment.
    pub(super) fn total_milli(&self, at_ms: u64) -> u64 {
        let usable = self.loans.iter().filter(|it| at_ms <= it.until_ms);
        usable.map(|it| it.milli).sum()
    }

    /// Uses up to `milli`, taking from the loans that expire first. Returns the amount used.
    pub(super) fn consume(&mut self, milli: u64, now_ms: u64) -> u64 {
        let mut remaining = milli;
        for loan in self.loans.iter_mut().filter(|it| now_ms <= it.until_ms) {
            let used = loan.milli.min(remaining);
            loan.milli -= used;
            remaining -= used;
        }
        milli - remaining
    }

    /// Removes expired loans and returns those with an unused remainder.
    pub(super) fn take_expired(&mut self, now_ms: u64) -> impl Iterator<Item = (Lender, u32, u64)> {
        let first = self.loans.partition_point(|it| it.until_ms < now_ms);
        let expired = self.loans.drain(..first).filter(|it| it.milli > 0);
        expired.map(|it| (it.lender, it.id, it.milli))
    }
}

/// The part of a need that each of `lenders` should grant, so that the grants add up to the need.
pub(crate) fn share_of_need(milli_retries: u32, lenders: usize) -> u32 {
    let lenders = u32::try_from(lenders.max(1)).unwrap_or(u32::MAX);
    milli_retries.div_ceil(lenders)
}

/// Allocates what can be spared in proportion to what is wanted, for resuming responses first.
/// Returns the loans in the order of `wanted`; some may be empty.
pub(super) fn allocate<S>(wanted: &[RetryAmount], source: &mut S) -> Vec<RetryLoan>
where
    S: LendingSource,
{
    let mut sums: IndexMap<(&ServiceName, RetryPurpose), u64> = IndexMap::new();
    for want in wanted {
        *sums.entry((&want.service, want.purpose)).or_default() += u64::from(want.milli_retries);
    }
    sums.sort_by_key(|(_, purpose), _| *purpose == RetryPurpose::Start);
    let mut loans: Vec<Option<RetryLoan>> = vec![None; wanted.len()];
    for ((service, purpose), sum) in sums {
        let spare = source.spare_milli(service, purpose).min(sum);
        for (want, loan) in wanted.iter().zip(&mut loans) {
            if (&want.service, want.purpose) != (service, purpose) {
                continue;
            }
            let granted = u64::from(want.milli_retries).saturating_mul(spare) / sum.max(1);
            let milli_retries = u32::try_from(granted).unwrap_or(want.milli_retries);
            let amount = RetryAmount {
                milli_retries,
                ..want.clone()
            };
            *loan = Some(source.lend(amount));
        }
    }
    loans.into_iter().flatten().collect()
}

/// A source of loans.
pub(super) trait LendingSource {
    /// The amount of a service's retries that may be lent for a purpose.
    fn spare_milli(&mut self, service: &ServiceName, purpose: RetryPurpose) -> u64;
    /// Grants a loan.
    fn lend(&mut self, amount: RetryAmount) -> RetryLoan;
}
