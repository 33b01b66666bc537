//! The end of a stream and its log line.

use super::StreamRelay;
use crate::clock::boot_ms;
use crate::relay::{AttemptLimit, RelayFailure};
use crate::relay_server::adapter::Adapter;

/// What the caller receives at the end.
pub(super) enum StreamOutcome {
    Complete,
    Failed(RelayFailure),
    /// The caller is no longer there to receive it.
    CallerLeft,
}

impl StreamOutcome {
    /// Whether the stream counts as demand that was not served: it failed before anything was delivered, or its
    /// caller left after waiting for the first event longer than the objective. A caller that leaves earlier
    /// may have left for reasons of its own.
    pub(super) fn is_unserved(&self, has_event: bool, is_past_objective: bool) -> bool {
        match self {
            Self::Complete => false,
            Self::Failed(_) => !has_event,
            Self::CallerLeft => !has_event && is_past_objective,
        }
    }
}

/// Writes the log line for a stream whose task is dropped because its caller has left.
pub(super) struct LogOnDrop<A>(pub(super) StreamRelay<A>)
where
    A: Adapter;

impl<A> Drop for LogOnDrop<A>
where
    A: Adapter,
{
    fn drop(&mut self) {
        if !self.0.is_logged {
            self.0.log_end(&StreamOutcome::CallerLeft);
            self.0.record_unserved(&StreamOutcome::CallerLeft);
        }
    }
}

impl<A> StreamRelay<A>
where
    A: Adapter,
{
    /// Adds the duration of the stream to the mean. Streams resumed after an event are left out,
    /// since their duration would distort the mean.
    pub(super) fn record_duration(&self, result: &StreamOutcome) {
        let is_whole =
            matches!(result, StreamOutcome::Complete) && self.request.ask.resume_after.is_none();
        if is_whole {
            let took_ms = boot_ms().saturating_sub(self.request.arrived_ms);
            let mut run_times = self.node.run_times.borrow_mut();
            run_times.record(&self.request.service, took_ms);
        }
    }

    /// Records a stream that was not served as unserved demand.
    pub(super) fn record_unserved(&self, outcome: &StreamOutcome) {
        let now_ms = boot_ms();
        let waited_ms = now_ms.saturating_sub(self.request.arrived_ms);
        let is_past_objective = waited_ms > self.request.route.objective_ms;
        if outcome.is_unserved(self.first_event_ms.is_some(), is_past_objective) {
            self.node.record_unserved(&self.request, now_ms);
        }
    }

    pub(super) fn log_end(&self, result: &StreamOutcome) {
        let now_ms = boot_ms();
        let arrived_ms = self.request.arrived_ms;
        let took_ms = now_ms.saturating_sub(arrived_ms);
        let first_event_ms = self.first_event_ms.map(|at| at.saturating_sub(arrived_ms));
        let (outcome, limit) = match result {
            StreamOutcome::Complete => ("whole", None),
            StreamOutcome::Failed(failure) => (failure.error.name(), Some(failure.limit)),
            StreamOutcome::CallerLeft => ("caller_left", None),
        };
        if let Some(first_event_ms) = first_event_ms {
            self.node
                .counters
                .time_ms("relay.first_event", first_event_ms);
            self.node
                .counters
                .time_ms("relay.longest_gap", self.longest_gap_ms);
        }
        self.node
            .counters
            .count(&format!("relay.streams.{outcome}"));
        let chain = self.chain.as_ref().map(ToString::to_string);
        log::info!(
            request = self.request.ask.id.as_str(),
            digest = self.request.digest_label().as_str(),
            prompt_parts = self.request.prompt_parts_label().as_str(),
            withheld_for = self.node.withheld_for(self.request.features.as_ref()).as_str(),
            route = self.request.route.name.as_str(),
            chain = chain.as_deref().unwrap_or(""),
            outcome,
            limit = limit.map(AttemptLimit::name),
            repeats_left = self.node.retries_left(&self.request.service),
            sends = self.attempts.sends(),
            endpoints_used = self.attempts.endpoints_used(),
            turned_away = self.attempts.turned_away(),
            delegated_by = self.request.delegated_by(),
            known_at_send = self.send_context.endpoints.as_str(),
            list_at_send = self.send_context.list.as_str(),
            took_ms,
            first_event_ms,
            longest_gap_ms = self.longest_gap_ms,
            objective_ms = self.request.route.objective_ms,
            pause_objective_ms = self.request.route.pause_objective_ms,
            last_event = self.splitter.last_id(),
            runs = self.runs,
            repairs = self.repairs,
            table = self.request.table.version,
            list_age_ms = self.node.fleet.borrow().age_ms(now_ms),
            endpoints = self.node.fleet.borrow().iter().count();
            "stream ended"
        );
    }
}
