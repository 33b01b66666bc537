//! A lease on the orders to one service's engines, stored as a row of the table service.
//!
//! The row contains a fencing token that only increases. A holder counts the lease time from
//! before it sent the write. Another instance waits for the lease time, plus a margin for clock
//! drift, from after it first read the row in its current version. So the lease always ends at the
//! holder first, unless the holder is paused between its last clock check and the send. The fencing
//! token covers that case, and [`Lease::may_send_orders`] covers engines that ignore the token.

mod order_token;
#[cfg(test)]
mod order_token_tests;
mod rows;
#[cfg(test)]
mod tests;

use crate::clients::TableFailure;
use crate::ids::{Incarnation, InstanceId, ServiceName};
use crate::instance::{TableCall, TableReply};
use crate::invariant;
use crate::wire::platform::TransactReply;
use rows::{LeaseRow, ReadLease, lease_write, read_lease};

pub(crate) use order_token::{KnownToken, OrderToken};
pub(crate) use rows::{lease_read, lease_token};

/// How long a lease is valid without renewal.
pub(crate) const LEASE_MS: u64 = 10_000;
/// Added by instances that wait for a lease to expire: two clocks may differ by a tenth.
pub(crate) const MARGIN_MS: u64 = 1_000;
/// Longest time that an order can be in transit to an engine.
pub(crate) const MAX_ORDER_DELAY_MS: u64 = 5_000;

/// Timing of a lease. All processes that may hold it must use the same values.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LeaseTiming {
    /// How long the lease is valid without renewal.
    pub(crate) lease_ms: u64,
    /// Added by processes that wait for it to expire: two clocks may differ by a tenth.
    pub(crate) margin_ms: u64,
    /// Interval between renewals.
    pub(crate) renew_ms: u64,
    /// Interval between reads of a lease that another process holds.
    pub(crate) watch_ms: u64,
    /// Delay after a failed call.
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

/// Effect of a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LeaseEvent {
    /// This process has acquired the lease.
    Taken { fence: u64 },
    /// This process no longer holds the lease.
    Lost,
}

/// A lease that this process holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct HeldLease {
    pub(crate) fence: u64,
    /// Expiry, on the clock of `now_ms`.
    pub(crate) valid_until_ms: u64,
}

/// The process that holds the lease, as last read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct LeaseHolder {
    /// Instance of the process.
    pub(crate) instance: InstanceId,
    /// Incarnation of the process.
    pub(crate) incarnation: Incarnation,
    pub(crate) fence: u64,
    /// Whether it was seen to renew the lease, which proves that it is alive.
    pub(crate) has_renewed: bool,
}

/// The row as left by another process.
#[derive(Clone, Debug, PartialEq, Eq)]
struct ObservedRow {
    version: u64,
    row: LeaseRow,
    /// When this version was first read.
    since_ms: u64,
    /// It was read before with the same fencing token and another version.
    has_renewed: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Holding {
    fence: u64,
    version: u64,
    valid_until_ms: u64,
    /// Time from which orders may go to engines that ignore the fencing token.
    unfenced_from_ms: u64,
}

/// A write whose outcome is not yet known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct PendingWrite {
    fence: u64,
    sent_ms: u64,
    unfenced_from_ms: u64,
}

/// The lease of one service, from the point of view of one process.
#[derive(Clone, Debug)]
pub(crate) struct Lease {
    timing: LeaseTiming,
    service: ServiceName,
    instance: InstanceId,
    incarnation: Incarnation,
    wanted: bool,
    observed: Option<ObservedRow>,
    holding: Option<Holding>,
    /// The first write since the last reply that could be interpreted.
    pending_write: Option<PendingWrite>,
    last_call_ms: u64,
    /// Whether the last call sent `pending_write`.
    last_call_is_pending: bool,
    call_in_flight: bool,
    next_call_ms: u64,
    /// Highest fencing token seen; never decreases.
    highest_fence: u64,
    /// Highest fencing token whose holder is known to have ended.
    max_ended_fence: u64,
    /// Highest fencing token of a write of this process that may still take effect late. It is not
    /// reused: the row left by that write would be mistaken for the row of a later write, which
    /// expires later.
    max_unconfirmed_fence: u64,
}

impl Lease {
    /// Creates a lease that is not wanted and whose row has not been read.
    pub(crate) fn new(
        service: ServiceName,
        instance: InstanceId,
        incarnation: Incarnation,
    ) -> Self {
        Self::with_times(service, instance, incarnation, LeaseTiming::default())
    }

    /// Like [`Self::new`], with other timing.
    pub(crate) fn with_times(
        service: ServiceName,
        instance: InstanceId,
        incarnation: Incarnation,
        timing: LeaseTiming,
    ) -> Self {
        Self {
            timing,
            service,
            instance,
            incarnation,
            wanted: false,
            observed: None,
            holding: None,
            pending_write: None,
            last_call_ms: 0,
            last_call_is_pending: false,
            call_in_flight: false,
            next_call_ms: 0,
            highest_fence: 0,
            max_ended_fence: 0,
            max_unconfirmed_fence: 0,
        }
    }

    /// Sets whether the lease is wanted. A lease that is held but not wanted is released.
    pub(crate) fn want(&mut self, wanted: bool) {
        if self.wanted != wanted {
            self.wanted = wanted;
            self.next_call_ms = 0;
        }
    }

    /// The process that holds the lease, if the row has been read and belongs to another process.
    pub(crate) fn holder(&self) -> Option<LeaseHolder> {
        let observed = self
            .observed
            .as_ref()
            .filter(|observed| !observed.row.released)?;
        Some(LeaseHolder {
            instance: observed.row.holder.clone(),
            incarnation: observed.row.incarnation,
            fence: observed.row.fence,
            has_renewed: observed.has_renewed,
        })
    }

    /// Records that the holder with this fencing token sends no more orders, or that engines
    /// reject those that it may still send. Its lease time is then not waited for, but at engines
    /// that ignore fencing tokens its orders in transit still are. Returns whether this was not
    /// known before.
    pub(crate) fn record_holder_ended(&mut self, fence: u64) -> bool {
        let is_new = fence > self.max_ended_fence;
        if is_new {
            self.max_ended_fence = fence;
            self.next_call_ms = 0;
        }
        is_new
    }

    /// The lease, if this process holds it now.
    pub(crate) fn held(&self, now_ms: u64) -> Option<HeldLease> {
        let holding = self.holding.filter(|it| now_ms < it.valid_until_ms)?;
        Some(HeldLease {
            fence: holding.fence,
            valid_until_ms: holding.valid_until_ms,
        })
    }

    /// The lease, if an order may be sent under it now. If engines ignore the fencing token,
    /// orders of the previous holder may still be in transit for a while.
    pub(crate) fn may_send_orders(
        &self,
        engines_check_fence: bool,
        now_ms: u64,
    ) -> Option<HeldLease> {
        let unfenced_from_ms = self.holding?.unfenced_from_ms;
        let waited = engines_check_fence || now_ms >= unfenced_from_ms;
        self.held(now_ms).filter(|_| waited)
    }

    /// The call to make now, if any.
    pub(crate) fn due(&mut self, now_ms: u64) -> Option<TableCall> {
        if self.call_in_flight || now_ms < self.next_call_ms {
            return None;
        }
        let had_pending = self.pending_write.is_some();
        let call = self.next_call(now_ms)?;
        self.last_call_is_pending = !had_pending && self.pending_write.is_some();
        self.call_in_flight = true;
        self.last_call_ms = now_ms;
        Some(call)
    }

    /// Handles the reply to the last call.
    pub(crate) fn answered(
        &mut self,
        result: Result<TableReply, TableFailure>,
        now_ms: u64,
    ) -> Option<LeaseEvent> {
        self.call_in_flight = false;
        self.next_call_ms = now_ms + self.timing.retry_ms;
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
                self.next_call_ms = now_ms + self.timing.watch_ms;
                Some(TableCall::Read(lease_read(&self.service)))
            }
            (None, false) => None,
        }
    }

    /// Whether the row as last read allows this process to take over.
    fn can_take_over(&self, now_ms: u64) -> bool {
        self.observed.as_ref().is_some_and(|observed| {
            // An instance runs one process at a time, so another incarnation on this instance has
            // ended. A row of this process itself has to expire.
            let has_ended = observed.row.holder == self.instance
                && observed.row.incarnation != self.incarnation;
            observed.row.released
                || has_ended
                || observed.row.fence <= self.max_ended_fence
                || now_ms >= observed.since_ms + self.timing.lease_ms + self.timing.margin_ms
        })
    }

    fn acquire(&mut self, now_ms: u64) -> Option<TableCall> {
        let last = self.observed.as_ref();
        let fence = last
            .map_or(0, |observed| observed.row.fence)
            .max(self.max_unconfirmed_fence)
            // The row may have been restored from a backup.
            .max(self.highest_fence)
            + 1;
        let was_idle = last.is_none_or(|observed| observed.row.released || observed.row.fence == 0);
        let wait_ms = if was_idle { 0 } else { MAX_ORDER_DELAY_MS };
        let version = last
            .map(|observed| observed.version)
            .filter(|version| *version > 0);
        self.pending_write = Some(PendingWrite {
            fence,
            sent_ms: now_ms,
            unfenced_from_ms: now_ms + wait_ms,
        });
        self.write(fence, version, false)
    }

    fn renew(&mut self, holding: Holding, now_ms: u64) -> Option<TableCall> {
        self.pending_write.get_or_insert(PendingWrite {
            fence: holding.fence,
            sent_ms: now_ms,
            unfenced_from_ms: holding.unfenced_from_ms,
        });
        self.write(holding.fence, Some(holding.version), false)
    }

    /// Releases the lease. From here on nothing is sent under it, whatever the outcome of the
    /// write.
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
        // The condition held, so no earlier write took effect and the time of this one counts.
        let pending = PendingWrite {
            sent_ms: self.last_call_ms,
            ..self.pending_write.take()?
        };
        self.next_call_ms = now_ms + self.timing.renew_ms;
        self.record_holding(pending, version)
    }

    fn call_failed(&mut self, failure: TableFailure) {
        if self.last_call_is_pending && !failure.may_have_applied() {
            self.pending_write = None;
        }
    }

    fn record_holding(&mut self, pending: PendingWrite, version: u64) -> Option<LeaseEvent> {
        let previous = self.holding;
        invariant::check(
            pending.fence >= self.highest_fence,
            "fence_never_falls",
            || format!("{} after {}", pending.fence, self.highest_fence),
        );
        self.highest_fence = self.highest_fence.max(pending.fence);
        self.holding = Some(Holding {
            fence: pending.fence,
            version,
            valid_until_ms: pending.sent_ms + self.timing.lease_ms,
            unfenced_from_ms: pending.unfenced_from_ms,
        });
        let taken = previous.is_none_or(|previous| previous.fence != pending.fence);
        taken.then_some(LeaseEvent::Taken {
            fence: pending.fence,
        })
    }

    fn apply_row(&mut self, read: ReadLease, now_ms: u64) -> Option<LeaseEvent> {
        let (version, row) = match read {
            ReadLease::Row(version, row) => (version, row),
            ReadLease::Absent => (0, LeaseRow::vacant(&self.instance, self.incarnation)),
            ReadLease::Unreadable => return None,
        };
        self.highest_fence = self.highest_fence.max(row.fence);
        if let Some(pending) = self.pending_write.take() {
            if self.is_own(&row, &pending) {
                // A write whose reply was lost has taken effect. If there were several, the first
                // one sets the time.
                self.next_call_ms = now_ms + self.timing.renew_ms;
                return self.record_holding(pending, version);
            }
            self.max_unconfirmed_fence = self.max_unconfirmed_fence.max(pending.fence);
        }
        let lost = self.holding.take().is_some();
        self.observe(version, row, now_ms);
        lost.then_some(LeaseEvent::Lost)
    }

    fn is_own(&self, row: &LeaseRow, pending: &PendingWrite) -> bool {
        row.incarnation == self.incarnation && row.fence == pending.fence && !row.released
    }

    fn observe(&mut self, version: u64, row: LeaseRow, now_ms: u64) {
        let before = self.observed.as_ref();
        let same = before.filter(|observed| observed.version == version);
        let since_ms = same.map_or(now_ms, |observed| observed.since_ms);
        let has_renewed = before.is_some_and(|observed| {
            let is_renewal = observed.version != version && observed.row.fence == row.fence;
            observed.has_renewed && observed.row.fence == row.fence || is_renewal
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
