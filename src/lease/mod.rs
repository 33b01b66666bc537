//! A lease on the orders to one service's engines, kept as a row of the table service.
//!
//! The row holds a fencing number that only grows. A holder counts its time from before it sent
//! the write; another instance waits that time, and a margin for clocks that run apart, from after
//! it first read the row as it stands. So the holder's time is always over first, unless the
//! holder is paused between its last look at the clock and the send: for that there is the
//! fencing number, and [`Lease::may_order`] for engines that ignore it.

mod rows;
#[cfg(test)]
mod tests;

use crate::clients::TableFailure;
use crate::ids::{Incarnation, InstanceId, ServiceName};
use crate::instance::{TableCall, TableReply};
use crate::invariant;
use crate::wire::platform::{ReadRows, TransactReply};
use rows::{LeaseRow, ReadLease, lease_key, lease_write, read_lease};

/// How long a lease holds without renewal.
pub(crate) const LEASE_MS: u64 = 10_000;
/// Added by those who wait for a lease to run out: two clocks may differ by a tenth.
pub(crate) const MARGIN_MS: u64 = 1_000;
/// The longest time an order can be under way to an engine.
pub(crate) const MAX_ORDER_DELAY_MS: u64 = 5_000;

/// Times of a lease. All processes that may hold it must go by the same ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LeaseTiming {
    /// How long the lease holds without renewal.
    pub(crate) lease_ms: u64,
    /// Added by those who wait for it to run out: two clocks may differ by a tenth.
    pub(crate) margin_ms: u64,
    /// Pause between two renewals.
    pub(crate) renew_ms: u64,
    /// Pause between two looks at a lease that another holds.
    pub(crate) watch_ms: u64,
    /// Pause after a call that failed.
    pub(crate) retry_ms: u64,
}

impl Default for LeaseTiming {
    fn default() -> Self {
        Self {
            lease_ms: LEASE_MS,
            margin_ms: MARGIN_MS,
            renew_ms: 3_000,
            watch_ms: 1_000,
            retry_ms: 500,
        }
    }
}

/// What came of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LeaseEvent {
    /// This process holds the lease now, under this fencing number.
    Taken {
        /// Fencing number.
        fence: u64,
    },
    /// This process holds it no more.
    Lost,
}

/// A lease in force at this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct HeldLease {
    /// Fencing number.
    pub(crate) fence: u64,
    /// End, on the clock of `now_ms`.
    pub(crate) valid_until_ms: u64,
}

/// The process that holds the lease, as the row was last read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct LeaseHolder {
    /// Its instance.
    pub(crate) instance: InstanceId,
    /// The process.
    pub(crate) incarnation: Incarnation,
    /// Fencing number.
    pub(crate) fence: u64,
    /// Whether it was seen to renew the lease: it lives, whatever else seems so.
    pub(crate) has_renewed: bool,
}

/// The row as another instance left it.
#[derive(Clone, Debug, PartialEq, Eq)]
struct ObservedRow {
    version: u64,
    row: LeaseRow,
    /// When it was first read like this.
    since_ms: u64,
    /// It was read before under the same fencing number and another version.
    has_renewed: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Holding {
    fence: u64,
    version: u64,
    valid_until_ms: u64,
    /// When orders may begin at engines that ignore the fencing number.
    unfenced_from_ms: u64,
}

/// A write without a reply that was understood.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct PendingWrite {
    fence: u64,
    at_ms: u64,
    unfenced_from_ms: u64,
}

/// The lease of one service, as one process works on it.
#[derive(Clone, Debug)]
pub(crate) struct Lease {
    times: LeaseTiming,
    service: ServiceName,
    instance: InstanceId,
    incarnation: Incarnation,
    wanted: bool,
    observed: Option<ObservedRow>,
    holding: Option<Holding>,
    /// The first write since the last reply that was understood.
    pending_write: Option<PendingWrite>,
    /// When the last call was sent.
    last_call_ms: u64,
    call_in_flight: bool,
    next_call_ms: u64,
    /// Highest fencing number seen; never falls.
    highest_fence: u64,
    /// Highest fencing number whose holder is known to have ended.
    max_ended_fence: u64,
    /// Highest fencing number of a write of this process that may yet take effect, late. It is not
    /// used again: the row it leaves would pass for that of a later write, with a later end.
    max_unconfirmed_fence: u64,
}

impl Lease {
    /// Nothing is known of the row, and nothing is wanted.
    pub(crate) fn new(
        service: ServiceName,
        instance: InstanceId,
        incarnation: Incarnation,
    ) -> Self {
        Self::with_times(service, instance, incarnation, LeaseTiming::default())
    }

    /// The same under other times.
    pub(crate) fn with_times(
        service: ServiceName,
        instance: InstanceId,
        incarnation: Incarnation,
        times: LeaseTiming,
    ) -> Self {
        Self {
            times,
            service,
            instance,
            incarnation,
            wanted: false,
            observed: None,
            holding: None,
            pending_write: None,
            last_call_ms: 0,
            call_in_flight: false,
            next_call_ms: 0,
            highest_fence: 0,
            max_ended_fence: 0,
            max_unconfirmed_fence: 0,
        }
    }

    /// Says whether the lease is wanted. One that is held and not wanted is given back.
    pub(crate) fn want(&mut self, wanted: bool) {
        if self.wanted != wanted {
            self.wanted = wanted;
            self.next_call_ms = 0;
        }
    }

    /// The process that holds the lease, if the row was read and is another's.
    pub(crate) fn holder(&self) -> Option<LeaseHolder> {
        let seen = self.observed.as_ref().filter(|seen| !seen.row.released)?;
        Some(LeaseHolder {
            instance: seen.row.holder.clone(),
            incarnation: seen.row.incarnation,
            fence: seen.row.fence,
            has_renewed: seen.has_renewed,
        })
    }

    /// Takes word that the holder under this fencing number gives no more orders, or that engines
    /// turn away those that it may still give: its time is not waited out. At engines that ignore
    /// fencing numbers its orders under way are. Returns whether that is news.
    pub(crate) fn record_holder_ended(&mut self, fence: u64) -> bool {
        let is_news = fence > self.max_ended_fence;
        if is_news {
            self.max_ended_fence = fence;
            self.next_call_ms = 0;
        }
        is_news
    }

    /// The lease, if it is in force at this process.
    pub(crate) fn held(&self, now_ms: u64) -> Option<HeldLease> {
        let holding = self.holding.filter(|it| now_ms < it.valid_until_ms)?;
        Some(HeldLease {
            fence: holding.fence,
            valid_until_ms: holding.valid_until_ms,
        })
    }

    /// The lease, if an order may be sent under it now. Where engines ignore the fencing number,
    /// orders of the last holder may still be under way for a while.
    pub(crate) fn may_send_orders(
        &self,
        engines_check_fence: bool,
        now_ms: u64,
    ) -> Option<HeldLease> {
        let unfenced_from_ms = self.holding?.unfenced_from_ms;
        let waited = engines_check_fence || now_ms >= unfenced_from_ms;
        self.held(now_ms).filter(|_| waited)
    }

    /// The call to make now, if one is due.
    pub(crate) fn due(&mut self, now_ms: u64) -> Option<TableCall> {
        if self.call_in_flight || now_ms < self.next_call_ms {
            return None;
        }
        let call = self.next_call(now_ms)?;
        self.call_in_flight = true;
        self.last_call_ms = now_ms;
        Some(call)
    }

    /// Takes the answer to the last call.
    pub(crate) fn answered(
        &mut self,
        result: Result<TableReply, TableFailure>,
        now_ms: u64,
    ) -> Option<LeaseEvent> {
        self.call_in_flight = false;
        self.next_call_ms = now_ms + self.times.retry_ms;
        match result {
            Ok(TableReply::Transacted(TransactReply::Committed { version })) => {
                self.write_committed(version, now_ms)
            }
            Ok(TableReply::Transacted(TransactReply::Conflict { rows })) => {
                self.apply_row(read_lease(&rows, &self.service), now_ms)
            }
            Ok(TableReply::Read(rows)) => {
                self.apply_row(read_lease(&rows.rows, &self.service), now_ms)
            }
            Err(failure) => {
                self.call_failed(failure);
                None
            }
        }
    }

    fn next_call(&mut self, now_ms: u64) -> Option<TableCall> {
        match (self.holding, self.wanted) {
            (Some(holding), true) => self.renew(holding, now_ms),
            (Some(holding), false) => self.release(holding),
            (None, true) if self.pending_write.is_none() && self.can_take_over(now_ms) => {
                self.acquire(now_ms)
            }
            (None, true) => {
                self.next_call_ms = now_ms + self.times.watch_ms;
                Some(TableCall::Read(ReadRows {
                    keys: vec![lease_key(&self.service)],
                }))
            }
            (None, false) => None,
        }
    }

    /// Whether the row as last read may be taken over now.
    fn can_take_over(&self, now_ms: u64) -> bool {
        self.observed.as_ref().is_some_and(|seen| {
            // An instance runs one process at a time; what this process holds itself it waits for.
            let has_ended =
                seen.row.holder == self.instance && seen.row.incarnation != self.incarnation;
            seen.row.released
                || has_ended
                || seen.row.fence <= self.max_ended_fence
                || now_ms >= seen.since_ms + self.times.lease_ms + self.times.margin_ms
        })
    }

    fn acquire(&mut self, now_ms: u64) -> Option<TableCall> {
        let last = self.observed.as_ref();
        let fence = last
            .map_or(0, |seen| seen.row.fence)
            .max(self.max_unconfirmed_fence)
            + 1;
        let was_idle = last.is_none_or(|seen| seen.row.released || seen.row.fence == 0);
        let wait_ms = if was_idle { 0 } else { MAX_ORDER_DELAY_MS };
        let version = last.map(|seen| seen.version).filter(|version| *version > 0);
        self.pending_write = Some(PendingWrite {
            fence,
            at_ms: now_ms,
            unfenced_from_ms: now_ms + wait_ms,
        });
        self.write(fence, version, false)
    }

    fn renew(&mut self, holding: Holding, now_ms: u64) -> Option<TableCall> {
        self.pending_write.get_or_insert(PendingWrite {
            fence: holding.fence,
            at_ms: now_ms,
            unfenced_from_ms: holding.unfenced_from_ms,
        });
        self.write(holding.fence, Some(holding.version), false)
    }

    /// Gives the lease back; from here on nothing is sent under it, whatever comes of the write.
    fn release(&mut self, holding: Holding) -> Option<TableCall> {
        self.holding = None;
        self.pending_write = None;
        self.observed = None;
        self.write(holding.fence, Some(holding.version), true)
    }

    fn write(&self, fence: u64, version: Option<u64>, released: bool) -> Option<TableCall> {
        let row = LeaseRow {
            holder: self.instance.clone(),
            incarnation: self.incarnation,
            fence,
            released,
        };
        let transaction = lease_write(&self.service, &row, version).ok()?;
        Some(TableCall::Transact(transaction))
    }

    fn write_committed(&mut self, version: u64, now_ms: u64) -> Option<LeaseEvent> {
        // The condition held, so no earlier write took effect: the time is that of this one.
        let sent = PendingWrite {
            at_ms: self.last_call_ms,
            ..self.pending_write.take()?
        };
        self.next_call_ms = now_ms + self.times.renew_ms;
        self.record_holding(sent, version)
    }

    fn call_failed(&mut self, failure: TableFailure) {
        let is_last = |sent: &PendingWrite| sent.at_ms == self.last_call_ms;
        if !failure.may_have_applied() && self.pending_write.as_ref().is_some_and(is_last) {
            self.pending_write = None;
        }
    }

    fn record_holding(&mut self, sent: PendingWrite, version: u64) -> Option<LeaseEvent> {
        let was = self.holding;
        invariant::check(
            sent.fence >= self.highest_fence,
            "fence_never_falls",
            || format!("{} after {}", sent.fence, self.highest_fence),
        );
        self.highest_fence = self.highest_fence.max(sent.fence);
        self.holding = Some(Holding {
            fence: sent.fence,
            version,
            valid_until_ms: sent.at_ms + self.times.lease_ms,
            unfenced_from_ms: sent.unfenced_from_ms,
        });
        let taken = was.is_none_or(|was| was.fence != sent.fence);
        taken.then_some(LeaseEvent::Taken { fence: sent.fence })
    }

    fn apply_row(&mut self, read: ReadLease, now_ms: u64) -> Option<LeaseEvent> {
        let (version, row) = match read {
            ReadLease::Row(version, row) => (version, row),
            ReadLease::Absent => (0, LeaseRow::vacant(&self.instance, self.incarnation)),
            ReadLease::Unreadable => return None,
        };
        self.highest_fence = self.highest_fence.max(row.fence);
        if let Some(sent) = self.pending_write.take() {
            if self.is_own(&row, &sent) {
                // A write whose reply was lost took effect; of several the first one sets the time.
                self.next_call_ms = now_ms + self.times.renew_ms;
                return self.record_holding(sent, version);
            }
            self.max_unconfirmed_fence = self.max_unconfirmed_fence.max(sent.fence);
        }
        let lost = self.holding.take().is_some();
        self.observe(version, row, now_ms);
        lost.then_some(LeaseEvent::Lost)
    }

    fn is_own(&self, row: &LeaseRow, sent: &PendingWrite) -> bool {
        row.incarnation == self.incarnation && row.fence == sent.fence && !row.released
    }

    fn observe(&mut self, version: u64, row: LeaseRow, now_ms: u64) {
        let before = self.observed.as_ref();
        let same = before.filter(|seen| seen.version == version);
        let since_ms = same.map_or(now_ms, |seen| seen.since_ms);
        let has_renewed = before.is_some_and(|seen| {
            let is_renewal = seen.version != version && seen.row.fence == row.fence;
            seen.has_renewed && seen.row.fence == row.fence || is_renewal
        });
        self.observed = Some(ObservedRow {
            version,
            row,
            since_ms,
            has_renewed,
        });
        if self.can_take_over(now_ms) {
            self.next_call_ms = now_ms;
        }
    }
}
