//! What one instance may still retry for one service within a sliding window.

use std::cmp::Reverse;
use std::collections::VecDeque;
use std::iter::Sum;

use super::budget::{BudgetShare, RetryClass, RetryId, RetryPurpose};
use super::loans::{BorrowedLoans, GrantedLoans, LOAN_TTL_MS, Lender, RETRY_MILLI};

/// Fraction of the retries for requests that is used. The rest covers requests that are counted later than their
/// callers sent them, and retries that arrive later than expected.
const REQUESTS_FRACTION: f64 = 0.9;

/// Fraction of the even share of the slack that is used. The rest covers instances that others have not learned of,
/// and retries that were sent with a loan and arrive after it has expired.
const SLACK_FRACTION: f64 = 0.7;

/// Fraction of a window's retries that is reserved for resuming partial responses: their callers
/// cannot request the rest again, while a refused caller can retry.
const RESUME_RESERVE: f64 = 0.25;

/// Fraction of the own share that is not lent for starting responses, so that callers of this
/// instance need not wait for a loan when the next engine fails.
const START_KEPT_FRACTION: f64 = 0.5;

/// Fraction of the own share that is not lent for resuming responses: half of the reserve, so that
/// the other half is available for loans. An engine that exits cuts ten or more streams of one
/// instance at once, which is more than its own share covers.
const RESUME_KEPT_FRACTION: f64 = RESUME_RESERVE / 2.0;

/// Fraction of the own share that requests leave for each more urgent priority of their service.
/// Otherwise the least urgent use up the retries that the most urgent need.
const PRIORITY_RESERVE: f64 = 0.125;
/// Largest fraction left for all more urgent priorities together.
const MAX_PRIORITY_RESERVE: f64 = 0.5;

/// Period over which demand is measured; the same number of retries should be available again.
/// Refused callers retry within it.
const DEMAND_WINDOW_MS: u64 = 1_000;

/// How long after a send was abandoned it may still arrive: an endpoint that stands still reads later what its
/// kernel has accepted, also if the connection was closed meanwhile.
pub(crate) const MAX_ARRIVAL_DELAY_MS: u64 = 3_000;

/// What one instance may retry in the newest window, and what of it is used.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BudgetUsage {
    /// Number of requests that allow retries.
    pub requests: f64,
    /// Own share, in thousandths of a retry.
    pub allowed_milli: u64,
    /// Retries and loans that are charged to the own share, in thousandths of a retry.
    pub charged_milli: u64,
}

impl Sum for BudgetUsage {
    fn sum<I>(usages: I) -> Self
    where
        I: Iterator<Item = Self>,
    {
        usages.fold(Self::default(), |sum, it| Self {
            requests: sum.requests + it.requests,
            allowed_milli: sum.allowed_milli + it.allowed_milli,
            charged_milli: sum.charged_milli + it.charged_milli,
        })
    }
}

/// Requests and retries of one service within the last window.
#[derive(Clone, Debug, Default)]
pub(super) struct Window {
    requests_ms: VecDeque<u64>,
    retries: Vec<SentRetry>,
    /// Demand for retries, whether or not one was available.
    demand: VecDeque<RetryDemand>,
    /// Parts of the own share that other instances use.
    lent: GrantedLoans,
    /// Loans from other instances for any purpose.
    borrowed: BorrowedLoans,
    /// Loans from other instances for resuming responses only.
    borrowed_to_resume: BorrowedLoans,
    /// Until when the process has no part of the slack, if it has just started.
    starting_until_ms: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
struct RetryDemand {
    at_ms: u64,
    purpose: RetryPurpose,
    milli: u64,
}

#[derive(Clone, Copy, Debug)]
struct SentRetry {
    id: RetryId,
    purpose: RetryPurpose,
    milli: u64,
    /// Part of `milli` that is charged to the own share.
    own_milli: u64,
    /// When it has arrived at the latest; `None` as long as it may still wait or be on its way. Endpoints
    /// count arrivals, and a retry may arrive long after it was taken.
    arrived_by_ms: Option<u64>,
}

impl SentRetry {
    /// Whether it may arrive, or have arrived, at `from_ms` or later.
    fn counts_since(&self, from_ms: u64) -> bool {
        self.arrived_by_ms.is_none_or(|at_ms| at_ms >= from_ms)
    }
}

/// What is charged to the own share for a retry or a loan.
#[derive(Clone, Copy, Debug)]
struct Charge {
    milli: u64,
    /// Latest start of a window in which it counts.
    until_ms: u64,
}

/// The balance at one moment.
#[derive(Clone, Copy, Debug)]
struct Balance {
    /// Left of the own share.
    own_milli: u64,
    /// Left of loans for any purpose.
    borrowed_milli: u64,
    /// Left of loans for resuming responses.
    borrowed_to_resume_milli: u64,
    /// All retries sent in the window.
    sent_milli: u64,
    /// Retries sent for starting responses.
    start_milli: u64,
}

impl Balance {
    /// All that is left, reserved or not, but for loans that are for another purpose.
    fn left_milli(self, purpose: RetryPurpose) -> u64 {
        let left = self.own_milli + self.borrowed_milli;
        match purpose {
            RetryPurpose::Resume => left + self.borrowed_to_resume_milli,
            RetryPurpose::Start => left,
        }
    }

    /// What is left without the part that is reserved for resuming.
    fn available_milli(self, purpose: RetryPurpose) -> u64 {
        let left = self.left_milli(purpose);
        match purpose {
            RetryPurpose::Resume => left,
            RetryPurpose::Start => {
                let all = (self.sent_milli + left) as f64;
                let to_start = (all * (1.0 - RESUME_RESERVE)) as u64;
                left.min(to_start.saturating_sub(self.start_milli))
            }
        }
    }
}

impl Window {
    /// Creates the window of a process that has no part of the slack until `starting_until_ms`, if it has just started.
    pub(super) fn starting(starting_until_ms: Option<u64>) -> Self {
        Self {
            starting_until_ms,
            ..Self::default()
        }
    }

    /// Changes until when the process has no part of the slack.
    pub(super) fn set_starting_until(&mut self, until_ms: u64) {
        self.starting_until_ms = Some(until_ms);
    }

    pub(super) fn record_request(&mut self, now_ms: u64) {
        self.requests_ms.push_back(now_ms);
    }

    pub(super) fn record_demand(&mut self, class: RetryClass, now_ms: u64) {
        self.demand.push_back(RetryDemand {
            at_ms: now_ms,
            purpose: class.purpose,
            milli: class.milli(),
        });
    }

    /// Drops entries that no longer count.
    pub(super) fn drop_old(&mut self, share: BudgetShare, now_ms: u64) {
        let from_ms = now_ms.saturating_sub(share.window_ms);
        let counted_from_ms = from_ms.saturating_sub(share.window_ms);
        drop_while(&mut self.requests_ms, |at_ms| *at_ms < counted_from_ms);
        self.retries.retain(|retry| retry.counts_since(from_ms));
        drop_while(&mut self.demand, |it| it.at_ms + DEMAND_WINDOW_MS < now_ms);
        self.lent.drop_expired(now_ms);
    }

    pub(super) fn has_left(&self, share: BudgetShare, class: RetryClass, at_ms: u64) -> bool {
        let balance = self.balance(share, at_ms);
        let available_milli = balance.available_milli(class.purpose);
        let reserve_milli = self.reserve_milli(share, class, at_ms);
        // A chain is long beside the share of one instance. Half of it may reach into what is reserved, or most of
        // the share would never be used.
        let outside_reserve_milli = (class.milli() / 2).max(RETRY_MILLI);
        balance.left_milli(class.purpose) >= class.milli()
            && available_milli >= outside_reserve_milli + reserve_milli
    }

    /// What a request must leave for more urgent ones. A caller that holds a part of its response
    /// goes before all others, whatever its priority.
    fn reserve_milli(&self, share: BudgetShare, class: RetryClass, at_ms: u64) -> u64 {
        if class.more_urgent_priorities == 0 || class.purpose == RetryPurpose::Resume {
            return 0;
        }
        let fraction = PRIORITY_RESERVE * f64::from(class.more_urgent_priorities);
        let fraction = fraction.min(MAX_PRIORITY_RESERVE);
        (self.allowed_milli(share, at_ms) as f64 * fraction) as u64
    }

    /// Whole retries left for starting responses, for log lines.
    pub(super) fn retries_left(&self, share: BudgetShare, now_ms: u64) -> u32 {
        let milli = self
            .balance(share, now_ms)
            .available_milli(RetryPurpose::Start);
        u32::try_from(milli / RETRY_MILLI).unwrap_or(u32::MAX)
    }

    /// Records a retry. Loans are used first, since they expire.
    pub(super) fn record_retry(&mut self, id: RetryId, class: RetryClass, now_ms: u64) {
        let mut own_milli = class.milli();
        if class.purpose == RetryPurpose::Resume {
            own_milli -= self.borrowed_to_resume.consume(own_milli, now_ms);
        }
        own_milli -= self.borrowed.consume(own_milli, now_ms);
        self.retries.push(SentRetry {
            id,
            purpose: class.purpose,
            milli: class.milli(),
            own_milli,
            arrived_by_ms: None,
        });
    }

    /// Changes what a retry is charged. What it used of loans is not restored, and no more is used.
    pub(super) fn set_charge(&mut self, id: RetryId, milli: u64) {
        let mut retries = self.retries.iter_mut();
        if let Some(retry) = retries.find(|retry| retry.id == id) {
            retry.own_milli = (retry.own_milli + milli).saturating_sub(retry.milli);
            retry.milli = milli;
        }
    }

    /// Removes a retry that was not sent. What it used of loans is not restored.
    pub(super) fn remove(&mut self, id: RetryId) {
        self.retries.retain(|retry| retry.id != id);
    }

    /// Records when a retry has arrived at the latest.
    pub(super) fn record_arrival(&mut self, id: RetryId, arrived_by_ms: u64) {
        let mut retries = self.retries.iter_mut();
        if let Some(retry) = retries.find(|retry| retry.id == id) {
            retry.arrived_by_ms = Some(arrived_by_ms);
        }
    }

    /// Shortfall of the available retries against the demand.
    pub(super) fn need_milli(&self, share: BudgetShare, purpose: RetryPurpose, now_ms: u64) -> u64 {
        let is_recent =
            |it: &&RetryDemand| it.purpose == purpose && now_ms <= it.at_ms + DEMAND_WINDOW_MS;
        let recent = self.demand.iter().filter(is_recent);
        let demand_milli: u64 = recent.map(|it| it.milli).sum();
        let left = self.balance(share, now_ms).available_milli(purpose);
        demand_milli.saturating_sub(left)
    }

    /// The amount that may be lent. A process that has just started lends nothing, since an earlier
    /// process may have lent its share already.
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
        let kept_fraction = match purpose {
            RetryPurpose::Start => START_KEPT_FRACTION,
            RetryPurpose::Resume => RESUME_KEPT_FRACTION,
        };
        let kept = (self.allowed_milli(share, now_ms) as f64 * kept_fraction).ceil() as u64;
        let left = self.balance(share, now_ms).own_milli;
        left.saturating_sub(kept)
    }

    /// Charges the own share with a loan. The loan may be used until it expires, and a window may
    /// start at that moment.
    pub(super) fn lend(&mut self, id: u32, milli: u64, share: BudgetShare, now_ms: u64) {
        let until_ms = now_ms + LOAN_TTL_MS + share.window_ms;
        self.lent.add(id, milli, until_ms);
    }

    /// Reclaims what another instance has not used of a loan and will not use.
    pub(super) fn reclaim(&mut self, id: u32, milli: u64) {
        self.lent.reclaim(id, milli);
    }

    /// Accepts a loan for a need announced at `asked_ms`, which is before the lender received it.
    pub(super) fn borrow(
        &mut self,
        lender: &Lender,
        id: u32,
        milli: u64,
        purpose: RetryPurpose,
        announced_ms: u64,
    ) {
        let until_ms = announced_ms + LOAN_TTL_MS;
        self.borrowed_for(purpose).add(lender, id, milli, until_ms);
    }

    /// Returns the expired loans for a purpose that have an unused remainder.
    pub(super) fn take_expired(
        &mut self,
        purpose: RetryPurpose,
        now_ms: u64,
    ) -> impl Iterator<Item = (Lender, u32, u64)> {
        self.borrowed_for(purpose).take_expired(now_ms)
    }

    fn borrowed_for(&mut self, purpose: RetryPurpose) -> &mut BorrowedLoans {
        match purpose {
            RetryPurpose::Start => &mut self.borrowed,
            RetryPurpose::Resume => &mut self.borrowed_to_resume,
        }
    }

    /// When a retry becomes available by the passage of time; `None` if the own share is too small
    /// for one.
    pub(super) fn next_available_ms(
        &self,
        share: BudgetShare,
        class: RetryClass,
        now_ms: u64,
    ) -> Option<u64> {
        let arrivals = self.retries.iter().filter_map(|it| it.arrived_by_ms);
        let retries = arrivals.map(|at_ms| at_ms + share.window_ms + 1);
        let loans = self.lent.expiries_ms().map(|end_ms| end_ms + 1);
        let start = self.starting_until_ms.map(|until_ms| until_ms + 1);
        let changes = retries.chain(loans).chain(start);
        let mut moments: Vec<u64> = changes.filter(|at_ms| *at_ms > now_ms).collect();
        moments.push(now_ms);
        moments.sort_unstable();
        moments.dedup();
        let mut moments = moments.into_iter();
        moments.find(|at_ms| self.has_left(share, class, *at_ms))
    }

    fn balance(&self, share: BudgetShare, at_ms: u64) -> Balance {
        let from_ms = at_ms.saturating_sub(share.window_ms);
        let sent = self.retries.iter().filter(|it| it.counts_since(from_ms));
        let starts = sent.clone().filter(|it| it.purpose == RetryPurpose::Start);
        Balance {
            own_milli: self.own_left_milli(share, at_ms),
            borrowed_milli: self.borrowed.total_milli(at_ms),
            borrowed_to_resume_milli: self.borrowed_to_resume.total_milli(at_ms),
            sent_milli: sent.map(|it| it.milli).sum(),
            start_milli: starts.map(|it| it.milli).sum(),
        }
    }

    /// What is left of the own share in every window in which a retry that is sent now counts: the least of all.
    fn own_left_milli(&self, share: BudgetShare, at_ms: u64) -> u64 {
        let left_milli = |from_ms, charged_milli| {
            let allowed_milli = self.allowed_since_milli(share, from_ms, at_ms);
            allowed_milli.saturating_sub(charged_milli)
        };
        let mut charged_milli = 0;
        let mut least_milli = left_milli(at_ms, 0);
        let charges = self.charges(share, at_ms);
        for same_time in charges.chunk_by(|one, next| one.until_ms == next.until_ms) {
            charged_milli += same_time.iter().map(|it| it.milli).sum::<u64>();
            let from_ms = same_time[0].until_ms;
            least_milli = least_milli.min(left_milli(from_ms, charged_milli));
        }
        let oldest_ms = at_ms.saturating_sub(share.window_ms);
        least_milli.min(left_milli(oldest_ms, charged_milli))
    }

    /// What is charged to the own share in a window that contains `at_ms`, the newest first.
    fn charges(&self, share: BudgetShare, at_ms: u64) -> Vec<Charge> {
        let oldest_ms = at_ms.saturating_sub(share.window_ms);
        let retries = self.retries.iter().map(|retry| Charge {
            until_ms: retry.arrived_by_ms.unwrap_or(at_ms),
            milli: retry.own_milli,
        });
        let loans = self.lent.charges().map(|(until_ms, milli)| Charge {
            until_ms: until_ms.saturating_sub(share.window_ms),
            milli,
        });
        let all = retries.chain(loans).map(|it| Charge {
            until_ms: it.until_ms.min(at_ms),
            ..it
        });
        let mut charges: Vec<Charge> = all.filter(|it| it.until_ms >= oldest_ms).collect();
        charges.sort_unstable_by_key(|it| Reverse(it.until_ms));
        charges
    }

    /// The own share of the newest window.
    fn allowed_milli(&self, share: BudgetShare, at_ms: u64) -> u64 {
        let from_ms = at_ms.saturating_sub(share.window_ms);
        self.allowed_since_milli(share, from_ms, at_ms)
    }

    /// The own share of the window that starts at `from_ms`, as far as it is known at `at_ms`.
    fn allowed_since_milli(&self, share: BudgetShare, from_ms: u64, at_ms: u64) -> u64 {
        let requests = self.requests_for_window(share, from_ms);
        let slack = self.own_slack(share, at_ms);
        let retries = share.ratio * requests * REQUESTS_FRACTION + slack;
        (retries * RETRY_MILLI as f64) as u64
    }

    /// The own part of the slack. A process has none while retries of earlier processes in its place may still count:
    /// it cannot know how many there were, or what they used. The part for its own requests is free of them.
    fn own_slack(&self, share: BudgetShare, at_ms: u64) -> f64 {
        let instances = share.instances.filter(|_| !self.is_starting(at_ms));
        instances.map_or(0.0, |count| {
            share.slack / f64::from(count.max(1)) * SLACK_FRACTION
        })
    }

    /// Number of requests that allow retries in the window that starts at `from_ms`: the mean of that window and the
    /// one before it. The means of all instances add up to at most the larger of the two totals, wherever the load
    /// moves; the larger of the two at each instance would not.
    fn requests_for_window(&self, share: BudgetShare, from_ms: u64) -> f64 {
        let before_ms = from_ms.saturating_sub(share.window_ms);
        let requests = self.requests_between(before_ms, from_ms + share.window_ms);
        requests as f64 / 2.0
    }

    fn requests_between(&self, from_ms: u64, end_ms: u64) -> usize {
        let before = |at_ms| self.requests_ms.partition_point(|it| *it < at_ms);
        before(end_ms) - before(from_ms)
    }

    /// What is allowed and used in the newest window.
    pub(super) fn usage(&self, share: BudgetShare, at_ms: u64) -> BudgetUsage {
        let from_ms = at_ms.saturating_sub(share.window_ms);
        let charges = self.charges(share, at_ms);
        BudgetUsage {
            requests: self.requests_for_window(share, from_ms),
            allowed_milli: self.allowed_milli(share, at_ms),
            charged_milli: charges.iter().map(|it| it.milli).sum(),
        }
    }

    fn is_starting(&self, at_ms: u64) -> bool {
        self.starting_until_ms
            .is_some_and(|until_ms| at_ms <= until_ms)
    }
}

/// Until when retries of an earlier process may count in a window, if a process started in its place at `started_ms`.
pub(super) fn retries_count_until_ms(started_ms: u64, share: BudgetShare) -> u64 {
    started_ms + LOAN_TTL_MS + MAX_ARRIVAL_DELAY_MS + share.window_ms
}

fn drop_while<T, F>(items: &mut VecDeque<T>, is_old: F)
where
    F: Fn(&T) -> bool,
{
    while items.front().is_some_and(&is_old) {
        items.pop_front();
    }
}
