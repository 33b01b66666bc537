//! What one instance may still repeat for one service, in a window that moves with time.

use std::collections::VecDeque;

use super::budget::{BudgetShare, RetryPurpose};
use super::loans::{Borrowed, LOAN_LIFE_MS, Lender, Lent, REPEAT_MILLI};

/// Part of the allowance that is used. The rest covers requests that are counted in the window
/// of another instance, and processes that start with an empty memory.
const USED_PART: f64 = 0.7;

/// Part of the even share that a process uses while repeats of an earlier process in its place may
/// still count in the window. Together with [`USED_PART`] it is one whole share, so that engines get no
/// more repeats than they may even if all instances start anew at once.
const STARTING_PART: f64 = 1.0 - USED_PART;

/// Part of the repeats of a window that is kept for answers of which the caller holds a part: it
/// cannot ask for the rest again, while one that is refused can come back.
const GO_ON_PART: f64 = 0.25;

/// Part of the own share that is not lent to get answers begun, so that callers here need not wait for a
/// loan when the next engine fails.
const KEPT_PART: f64 = 0.5;

/// Part of the own share that is not lent to go on with answers: half of what is kept for answers of this
/// instance, so that the other half is there for loans. An engine that ends cuts ten and more streams of
/// one instance at once, more than its own share bears.
const KEPT_TO_GO_ON_PART: f64 = GO_ON_PART / 2.0;

/// How far back the demand is looked at; as many repeats again are to be at hand. Callers who were refused
/// come back within it.
const DEMAND_MS: u64 = 1_000;

/// One service's requests and repeats of the last window.
#[derive(Clone, Debug, Default)]
pub(super) struct Window {
    requests_ms: VecDeque<u64>,
    repeats: VecDeque<SentRepeat>,
    /// When repeats were asked for, whether or not one was left.
    asked: VecDeque<AskedRepeat>,
    /// Parts of the own share that others use.
    lent: Lent,
    /// Parts of others' shares to use here.
    borrowed: Borrowed,
    /// The same, only to go on with answers.
    borrowed_to_go_on: Borrowed,
    /// Until when a process that ended here may count in a window.
    starting_until_ms: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
struct AskedRepeat {
    at_ms: u64,
    purpose: RetryPurpose,
}

#[derive(Clone, Copy, Debug)]
struct SentRepeat {
    at_ms: u64,
    purpose: RetryPurpose,
    /// How much of it the own share bears.
    own_milli: u64,
}

/// What is left at one moment.
#[derive(Clone, Copy, Debug)]
struct Remaining {
    /// Of the own share.
    own_milli: u64,
    /// Of loans for any purpose.
    borrowed_milli: u64,
    /// Of loans to go on with answers.
    borrowed_to_go_on_milli: u64,
    /// All that was sent in the window.
    sent_milli: u64,
    /// What was sent to get answers begun.
    begun_milli: u64,
}

impl Remaining {
    fn left_milli(self, purpose: RetryPurpose) -> u64 {
        let left = self.own_milli + self.borrowed_milli;
        match purpose {
            RetryPurpose::Resume => left + self.borrowed_to_go_on_milli,
            RetryPurpose::Start => {
                let all = (self.sent_milli + left) as f64;
                let to_begin = (all * (1.0 - GO_ON_PART)) as u64;
                left.min(to_begin.saturating_sub(self.begun_milli))
            }
        }
    }
}

impl Window {
    /// The window of a process that started lately, if a time is given.
    pub(super) fn starting(started_ms: Option<u64>, share: BudgetShare) -> Self {
        Self {
            starting_until_ms: started_ms.map(|at_ms| at_ms + share.window_ms + LOAN_LIFE_MS),
            ..Self::default()
        }
    }

    pub(super) fn request(&mut self, now_ms: u64) {
        self.requests_ms.push_back(now_ms);
    }

    pub(super) fn asked(&mut self, purpose: RetryPurpose, now_ms: u64) {
        let at_ms = now_ms;
        self.asked.push_back(AskedRepeat { at_ms, purpose });
    }

    /// Drops what counts no more.
    pub(super) fn forget_old(&mut self, share: BudgetShare, now_ms: u64) {
        let from_ms = now_ms.saturating_sub(share.window_ms);
        drop_while(&mut self.requests_ms, |at_ms| *at_ms < from_ms);
        drop_while(&mut self.repeats, |repeat| repeat.at_ms < from_ms);
        drop_while(&mut self.asked, |it| it.at_ms + DEMAND_MS < now_ms);
        self.lent.forget_ended(now_ms);
    }

    pub(super) fn has_left(&self, share: BudgetShare, purpose: RetryPurpose, at_ms: u64) -> bool {
        self.remaining(share, at_ms).left_milli(purpose) >= REPEAT_MILLI
    }

    /// Whole repeats left to get answers begun, for log lines.
    pub(super) fn left_repeats(&self, share: BudgetShare, now_ms: u64) -> u32 {
        let milli = self
            .remaining(share, now_ms)
            .left_milli(RetryPurpose::Start);
        u32::try_from(milli / REPEAT_MILLI).unwrap_or(u32::MAX)
    }

    /// Counts a repeat; loans are used first, since they end.
    pub(super) fn repeat(&mut self, purpose: RetryPurpose, now_ms: u64) {
        let mut own_milli = REPEAT_MILLI;
        if purpose == RetryPurpose::Resume {
            own_milli -= self.borrowed_to_go_on.use_up(own_milli, now_ms);
        }
        own_milli -= self.borrowed.use_up(own_milli, now_ms);
        self.repeats.push_back(SentRepeat {
            at_ms: now_ms,
            purpose,
            own_milli,
        });
    }

    /// Takes the newest repeat out again. Which one makes no difference beyond the time for which two
    /// were under way; what it used of loans is not restored.
    pub(super) fn cancel_newest(&mut self) {
        self.repeats.pop_back();
    }

    /// What is missing of what the demand calls for.
    pub(super) fn need_milli(&self, share: BudgetShare, purpose: RetryPurpose, now_ms: u64) -> u64 {
        let is_asked = |it: &&AskedRepeat| it.purpose == purpose && now_ms <= it.at_ms + DEMAND_MS;
        let asked = self.asked.iter().filter(is_asked).count() as u64;
        let left = self.remaining(share, now_ms).left_milli(purpose);
        (asked * REPEAT_MILLI).saturating_sub(left)
    }

    /// What others may have. A process that has just started lends nothing: its share may have been
    /// lent already.
    pub(super) fn spare_milli(
        &self,
        share: BudgetShare,
        purpose: RetryPurpose,
        now_ms: u64,
    ) -> u64 {
        let lacks = |purpose| self.need_milli(share, purpose, now_ms) > 0;
        let lacks_more_urgent = purpose == RetryPurpose::Start && lacks(RetryPurpose::Resume);
        if self.is_starting(now_ms) || lacks(purpose) || lacks_more_urgent {
            return 0;
        }
        let kept_part = match purpose {
            RetryPurpose::Start => KEPT_PART,
            RetryPurpose::Resume => KEPT_TO_GO_ON_PART,
        };
        let kept = (self.allowed_milli(share, now_ms) as f64 * kept_part).ceil() as u64;
        let left = self.remaining(share, now_ms).own_milli;
        left.saturating_sub(kept)
    }

    /// Charges the own share with a loan. It may be used until its life is over, and a window may
    /// begin just then.
    pub(super) fn lend(&mut self, id: u32, milli: u64, share: BudgetShare, now_ms: u64) {
        let until_ms = now_ms + LOAN_LIFE_MS + share.window_ms;
        self.lent.add(id, milli, until_ms);
    }

    /// Takes back what another instance has not used of a loan and will not use.
    pub(super) fn take_back(&mut self, id: u32, milli: u64) {
        self.lent.take_back(id, milli);
    }

    /// Takes a loan that was asked for at `asked_ms`, which is before the lender heard of it.
    pub(super) fn borrow(
        &mut self,
        lender: &Lender,
        id: u32,
        milli: u64,
        purpose: RetryPurpose,
        asked_ms: u64,
    ) {
        let until_ms = asked_ms + LOAN_LIFE_MS;
        self.borrowed_for(purpose).add(lender, id, milli, until_ms);
    }

    /// Loans for a purpose that have ended unused, with what is left of them.
    pub(super) fn give_back(
        &mut self,
        purpose: RetryPurpose,
        now_ms: u64,
    ) -> impl Iterator<Item = (Lender, u32, u64)> {
        self.borrowed_for(purpose).take_ended(now_ms)
    }

    fn borrowed_for(&mut self, purpose: RetryPurpose) -> &mut Borrowed {
        match purpose {
            RetryPurpose::Start => &mut self.borrowed,
            RetryPurpose::Resume => &mut self.borrowed_to_go_on,
        }
    }

    /// When a repeat is left, if only time passes; never, if the own share is too small for one.
    pub(super) fn next_left_ms(
        &self,
        share: BudgetShare,
        purpose: RetryPurpose,
        now_ms: u64,
    ) -> Option<u64> {
        let repeats = self.repeats.iter().map(|it| it.at_ms + share.window_ms + 1);
        let loans = self.lent.ends_ms().map(|end_ms| end_ms + 1);
        let start = self.starting_until_ms.map(|until_ms| until_ms + 1);
        let changes = repeats.chain(loans).chain(start);
        let mut moments: Vec<u64> = changes.filter(|at_ms| *at_ms > now_ms).collect();
        moments.push(now_ms);
        moments.sort_unstable();
        moments.dedup();
        let mut moments = moments.into_iter();
        moments.find(|at_ms| self.has_left(share, purpose, *at_ms))
    }

    fn remaining(&self, share: BudgetShare, at_ms: u64) -> Remaining {
        let from_ms = at_ms.saturating_sub(share.window_ms);
        let first = self.repeats.partition_point(|it| it.at_ms < from_ms);
        let sent = self.repeats.range(first..);
        let begun = sent.clone().filter(|it| it.purpose == RetryPurpose::Start);
        let own_used: u64 = sent.clone().map(|it| it.own_milli).sum();
        let charged = own_used + self.lent.sum_milli(at_ms);
        Remaining {
            own_milli: self.allowed_milli(share, at_ms).saturating_sub(charged),
            borrowed_milli: self.borrowed.sum_milli(at_ms),
            borrowed_to_go_on_milli: self.borrowed_to_go_on.sum_milli(at_ms),
            sent_milli: sent.len() as u64 * REPEAT_MILLI,
            begun_milli: begun.count() as u64 * REPEAT_MILLI,
        }
    }

    fn allowed_milli(&self, share: BudgetShare, at_ms: u64) -> u64 {
        let from_ms = at_ms.saturating_sub(share.window_ms);
        let first = self.requests_ms.partition_point(|it| *it < from_ms);
        let requests = (self.requests_ms.len() - first) as f64;
        let even_part = if self.is_starting(at_ms) {
            STARTING_PART
        } else {
            USED_PART
        };
        let even_share = share.slack / f64::from(share.instances.max(1));
        let repeats = share.ratio * requests * USED_PART + even_share * even_part;
        (repeats * REPEAT_MILLI as f64) as u64
    }

    fn is_starting(&self, at_ms: u64) -> bool {
        self.starting_until_ms
            .is_some_and(|until_ms| at_ms <= until_ms)
    }
}

fn drop_while<T, F>(items: &mut VecDeque<T>, is_old: F)
where
    F: Fn(&T) -> bool,
{
    while items.front().is_some_and(&is_old) {
        items.pop_front();
    }
}
