//! Repeats that instances of one availability zone lend to one another, and how they are dealt out.
//!
//! Sound by construction: an instance charges itself with what it lends before anybody can use it,
//! and for as long as a window can hold a repeat that was sent with it. So no loss, delay, repetition
//! or age of a heartbeat makes more of the budget than there is; at worst a loan is used by nobody.

use std::collections::VecDeque;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::budget::RepeatPurpose;
use crate::ids::ServiceName;

/// One repeat, in thousandths.
pub(super) const REPEAT_MILLI: u64 = 1_000;

/// How long a loan may be used, from the moment at which it was asked for: eight heartbeats. It is
/// there when the callers refused now come back, and what is not used is soon lent to others.
pub(super) const LOAN_LIFE_MS: u64 = 2_000;

/// Repeats for a service: asked for, or granted by another instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RepeatAmount {
    /// The service whose requests are repeated.
    pub service: ServiceName,
    /// What they are for. Those to go on are used for nothing else.
    pub purpose: RepeatPurpose,
    /// Thousandths of a repeat: an even share of a small budget is less than one.
    pub milli_repeats: u32,
}

/// Loans of one service, given or taken.
#[derive(Clone, Debug, Default)]
pub(super) struct Loans {
    loans: VecDeque<Loan>,
}

#[derive(Clone, Copy, Debug)]
struct Loan {
    milli: u64,
    /// Last moment at which it counts.
    until_ms: u64,
}

impl Loans {
    pub(super) fn add(&mut self, milli: u64, until_ms: u64) {
        let loan = Loan { milli, until_ms };
        let place = self.loans.partition_point(|it| it.until_ms <= until_ms);
        self.loans.insert(place, loan);
    }

    /// What counts at a moment.
    pub(super) fn sum_milli(&self, at_ms: u64) -> u64 {
        let counted = self.loans.iter().filter(|it| at_ms <= it.until_ms);
        counted.map(|it| it.milli).sum()
    }

    /// Uses up to so much, first of what ends first. Returns how much was there.
    pub(super) fn use_up(&mut self, milli: u64, now_ms: u64) -> u64 {
        self.forget_ended(now_ms);
        let mut missing = milli;
        while let Some(loan) = self.loans.front_mut().filter(|_| missing > 0) {
            let used = loan.milli.min(missing);
            loan.milli -= used;
            missing -= used;
            if loan.milli == 0 {
                self.loans.pop_front();
            }
        }
        milli - missing
    }

    pub(super) fn forget_ended(&mut self, now_ms: u64) {
        while self.loans.front().is_some_and(|it| it.until_ms < now_ms) {
            self.loans.pop_front();
        }
    }

    /// The last moments at which the loans count.
    pub(super) fn ends_ms(&self) -> impl Iterator<Item = u64> {
        self.loans.iter().map(|it| it.until_ms)
    }
}

/// What each of the lenders that are asked should give, so that all together give what is needed.
pub(crate) fn part_of_need(milli_repeats: u32, lenders: usize) -> u32 {
    let lenders = u32::try_from(lenders.max(1)).unwrap_or(u32::MAX);
    milli_repeats.div_ceil(lenders)
}

/// Deals out what can be spared, by what is wanted: first to go on with answers. `lend` takes so much of
/// a service for a purpose and says how much there was.
pub(super) fn deal<F>(wanted: &[RepeatAmount], mut lend: F) -> Vec<RepeatAmount>
where
    F: FnMut(&ServiceName, RepeatPurpose, u64) -> u64,
{
    let mut sums: IndexMap<(&ServiceName, RepeatPurpose), u64> = IndexMap::new();
    for want in wanted {
        *sums.entry((&want.service, want.purpose)).or_default() += u64::from(want.milli_repeats);
    }
    sums.sort_by_key(|(_, purpose), _| *purpose == RepeatPurpose::Begin);
    let lent: IndexMap<(&ServiceName, RepeatPurpose), u64> = sums
        .iter()
        .map(|((service, purpose), sum)| ((*service, *purpose), lend(service, *purpose, *sum)))
        .collect();
    let part = |want: &RepeatAmount| {
        let key = (&want.service, want.purpose);
        let wanted = u64::from(want.milli_repeats);
        let dealt = wanted.saturating_mul(lent[&key]) / sums[&key].max(1);
        RepeatAmount {
            milli_repeats: u32::try_from(dealt).unwrap_or(want.milli_repeats),
            ..want.clone()
        }
    };
    wanted.iter().map(part).collect()
}
