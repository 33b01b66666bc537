//! The end of a stream, and the line on it.

use super::StreamRelay;
use crate::clock::boot_ms;
use crate::relay::{AttemptLimit, GivenUp};
use crate::relay_server::adapter::Adapter;

/// What the caller hears at the end.
pub(super) enum Finish {
    Whole,
    Word(GivenUp),
    /// Nobody is there any more to hear it.
    CallerLeft,
}

/// Writes the line on a stream whose task is dropped because its caller has left.
pub(super) struct EndOfRelay<A>(pub(super) StreamRelay<A>)
where
    A: Adapter;

impl<A> Drop for EndOfRelay<A>
where
    A: Adapter,
{
    fn drop(&mut self) {
        if !self.0.is_logged {
            self.0.log_end(&Finish::CallerLeft);
        }
    }
}

impl<A> StreamRelay<A>
where
    A: Adapter,
{
    /// Takes the stream's time into the mean; that of one which went on behind an event would mislead.
    pub(super) fn note_run_time(&self, finish: &Finish) {
        let is_whole = matches!(finish, Finish::Whole) && self.request.ask.resume_after.is_none();
        if is_whole {
            let took_ms = boot_ms().saturating_sub(self.request.arrived_ms);
            let mut run_times = self.node.run_times.borrow_mut();
            run_times.note(&self.request.service, took_ms);
        }
    }

    pub(super) fn log_end(&self, finish: &Finish) {
        let now_ms = boot_ms();
        let arrived_ms = self.request.arrived_ms;
        let took_ms = now_ms.saturating_sub(arrived_ms);
        let first_event_ms = self.first_event_ms.map(|at| at.saturating_sub(arrived_ms));
        let (outcome, limit) = match finish {
            Finish::Whole => ("whole", None),
            Finish::Word(end) => (end.word.name(), Some(end.limit)),
            Finish::CallerLeft => ("caller_left", None),
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
            digest = self.request.shown_digest().as_str(),
            route = self.request.route.name.as_str(),
            chain = chain.as_deref().unwrap_or(""),
            outcome,
            limit = limit.map(AttemptLimit::name),
            repeats_left = self.node.retries_left(&self.request.service),
            sends = self.attempts.sends(),
            turned_away = self.attempts.turned_away(),
            known_at_send = self.sent.endpoints.as_str(),
            list_at_send = self.sent.list.as_str(),
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
