//! Waits for a turn in the queue of the request's service, where priorities differ.

use tokio::time::sleep_until;

use super::StreamRelay;
use crate::clock::boot_ms;
use crate::fleet::Chain;
use crate::relay::RefusalCause;
use crate::relay_server::adapter::Adapter;
use crate::relay_server::capacity_queue::{QueuePlace, QueueRefusal, QueueWake};
use crate::relay_server::request::instant_at;
use crate::start_queue::{Rank, TurnOutcome, wait_bound_ms};

/// A wait in the queue. Logs and counts its end when it is dropped, as happens when the caller
/// leaves.
pub(super) struct QueueWait<'a, A>
where
    A: Adapter,
{
    relay: &'a StreamRelay<A>,
    place: QueuePlace,
    outcome: Option<&'static str>,
}

impl<A> Drop for QueueWait<'_, A>
where
    A: Adapter,
{
    fn drop(&mut self) {
        let now_ms = boot_ms();
        let is_past_deadline = now_ms >= self.relay.request.deadline_ms;
        let outcome = self.outcome.unwrap_or(if is_past_deadline {
            "deadline"
        } else {
            "caller_left"
        });
        let wait_ms = now_ms.saturating_sub(self.place.joined_ms);
        let (length, expected_wait_ms) = (self.place.length, self.place.expected_wait_ms);
        self.relay
            .record_wait(outcome, length, expected_wait_ms, wait_ms);
    }
}

impl<A> StreamRelay<A>
where
    A: Adapter,
{
    /// Whether requests of the service wait in a queue.
    pub(super) fn has_queue(&self) -> bool {
        let table = &self.request.table;
        table.has_several_priorities(&self.request.service)
    }

    /// The chain for a run as soon as it is this request's turn.
    pub(super) async fn plan_in_turn(&self) -> Result<Chain, RefusalCause> {
        self.check_withheld()?;
        let now_ms = boot_ms();
        let until_ms = self.turn_deadline_ms(now_ms);
        let rank = self.rank(self.attempts.may_have_run());
        let (queues, service) = (&self.node.capacity_queues, &self.request.service);
        let mut first_cause = None;
        // A stream that has run and has no time left to wait is tried once.
        if until_ms <= now_ms || queues.may_start(service, &rank, now_ms) {
            match self.plan_for_capacity() {
                Ok(chain) => {
                    queues.record_started(service, &rank, now_ms);
                    return Ok(chain);
                }
                Err(cause) if self.is_futile(cause, until_ms - now_ms) => return Err(cause),
                Err(cause) => first_cause = Some(cause),
            }
        }
        let place = match queues.join(service, rank, until_ms, now_ms) {
            Ok(place) => place,
            Err(QueueRefusal {
                expected_wait_ms,
                length,
            }) => {
                self.record_wait("refused", length, expected_wait_ms, 0);
                return Err(RefusalCause::Queue { expected_wait_ms });
            }
        };
        if first_cause.is_some() {
            self.record_failed_turn(&place, now_ms);
        }
        let mut wait = QueueWait {
            relay: self,
            place,
            outcome: None,
        };
        let result = wait.until_served(first_cause, until_ms).await;
        if let Err(cause) = &result {
            wait.outcome.get_or_insert(cause.name());
        }
        result
    }

    pub(super) fn rank(&self, has_run: bool) -> Rank {
        Rank {
            has_run,
            priority: self.request.priority,
            account: self.request.account.clone(),
            arrived_ms: self.request.arrived_ms,
        }
    }

    /// Records that a request found no chain with capacity in its turn.
    pub(super) fn record_failed_turn(&self, place: &QueuePlace, now_ms: u64) {
        // Others may use the engines that are excluded for this request.
        let outcome = if self.is_restricted() {
            TurnOutcome::Restricted
        } else {
            TurnOutcome::NoCapacity
        };
        place.record_unserved(outcome, self.next_free_ms(now_ms), now_ms);
    }

    /// When the next engine of the service stops counting as full, if one does.
    fn next_free_ms(&self, now_ms: u64) -> Option<u64> {
        let fleet = self.node.fleet.borrow();
        let engines = fleet.of_service(&self.request.service);
        let until_ms = engines.map(|known| known.health.full_until_ms());
        until_ms.filter(|it| *it > now_ms).min()
    }

    fn turn_deadline_ms(&self, now_ms: u64) -> u64 {
        if self.attempts.may_have_run() {
            self.capacity_deadline_ms(now_ms)
        } else {
            now_ms + wait_bound_ms(self.request.route.objective_ms)
        }
    }

    pub(super) fn record_wait(
        &self,
        outcome: &'static str,
        length: usize,
        expected_wait_ms: Option<u64>,
        wait_ms: u64,
    ) {
        let priority = self.request.priority;
        let counters = &self.node.counters;
        counters.count(&format!("relay.queue.{outcome}.priority_{priority}"));
        counters.time_ms(&format!("relay.queue.wait.priority_{priority}"), wait_ms);
        log::info!(
            request = self.request.ask.id.as_str(),
            service = self.request.service.as_str(),
            priority,
            account = self.request.account.as_ref().map(|it| it.as_str()),
            has_run = self.attempts.may_have_run(),
            queue_length = length,
            expected_wait_ms,
            wait_ms,
            outcome;
            "wait for capacity ended"
        );
    }
}

impl<'a, A> QueueWait<'a, A>
where
    A: Adapter,
{
    async fn until_served(
        &mut self,
        first_cause: Option<RefusalCause>,
        until_ms: u64,
    ) -> Result<Chain, RefusalCause> {
        let mut cause = first_cause;
        loop {
            self.relay.check_withheld()?;
            let now_ms = boot_ms();
            match self.place.wake(now_ms) {
                QueueWake::Turn => match self.relay.plan_for_capacity() {
                    Ok(chain) => {
                        self.place.record_served(now_ms);
                        self.outcome = Some("served");
                        return Ok(chain);
                    }
                    Err(it) if self.relay.is_futile(it, until_ms - now_ms) => return Err(it),
                    Err(it) => {
                        cause = Some(it);
                        self.relay.record_failed_turn(&self.place, now_ms);
                    }
                },
                QueueWake::NotYet => {}
                QueueWake::Displaced => {
                    self.outcome = Some("displaced");
                    return Err(self.refusal(None, now_ms));
                }
                QueueWake::Late => return self.last_try(cause, now_ms),
            }
            let due_ms = self.place.check_due_ms();
            tokio::select! {
                () = self.place.notified() => {}
                () = sleep_until(instant_at(due_ms, now_ms)) => {}
            }
        }
    }

    /// The end of the wait. A stream that has run is tried once more, since its caller would lose
    /// what it has received.
    fn last_try(
        &mut self,
        cause: Option<RefusalCause>,
        now_ms: u64,
    ) -> Result<Chain, RefusalCause> {
        if self.relay.attempts.may_have_run()
            && let Ok(chain) = self.relay.plan_for_capacity()
        {
            self.place.record_served(now_ms);
            self.outcome = Some("served");
            return Ok(chain);
        }
        self.outcome = Some("late");
        Err(self.refusal(cause, now_ms))
    }

    /// Missing layers and rate limits say more than the queue about when capacity returns.
    fn refusal(&self, cause: Option<RefusalCause>, now_ms: u64) -> RefusalCause {
        match cause {
            Some(it @ (RefusalCause::NoChain | RefusalCause::RateLimited { .. })) => it,
            _ => RefusalCause::Queue {
                expected_wait_ms: self.place.expected_retry_wait_ms(now_ms),
            },
        }
    }
}
