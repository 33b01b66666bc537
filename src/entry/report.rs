//! Reports of the entry to its control, and the log of recent decisions for operators.

use super::attempt::{Attempt, Work};
use super::machine::Entry;
use crate::ids::EndpointId;
use crate::instance::EntryEffect;
use crate::outcome::Refusal;
use crate::routing::Policy;
use crate::wire::WIRE_VERSION;
use crate::wire::local::{Decision, DecisionRecord, EntryReport, ServiceCapacity};

/// Interval between two reports.
const REPORT_INTERVAL_MS: u64 = 250;
/// Maximum number of decisions kept between two reports; the oldest are dropped first.
const MAX_DECISIONS: usize = 256;

impl<P> Entry<P>
where
    P: Policy,
{
    /// Sends a report to the control if one is due.
    pub(super) fn report_if_due(&mut self, now_ms: u64) {
        if now_ms >= self.next_report_ms {
            self.report(now_ms);
        }
    }

    /// Sends a report to the control.
    pub(super) fn report(&mut self, now_ms: u64) {
        self.next_report_ms = now_ms + REPORT_INTERVAL_MS;
        let capacities = self.update_capacities();
        let report = EntryReport {
            wire_version: WIRE_VERSION,
            incarnation: self.config.incarnation,
            known_snapshot: self.snapshot_version,
            stopping: self.stopping,
            in_flight: super::arrival::saturating_u32(self.attempts.len()),
            demands: self.admission.demands(now_ms),
            draining_endpoints: self.router.draining_endpoints(),
            decisions: std::mem::take(&mut self.decisions).into(),
            revisions: self.directory.revisions().clone(),
            capacities,
        };
        self.effects.push(EntryEffect::Report { report });
    }

    fn update_capacities(&mut self) -> Vec<ServiceCapacity> {
        let mut capacities = Vec::new();
        for service in self.directory.documents().keys() {
            let generated_per_s = self.router.capacity_tokens_per_s(service);
            self.admission.set_capacity(service, generated_per_s);
            // Demands include prompt tokens, so the capacity they are compared with must too.
            let tokens_per_s = self.admission.capacity_tokens_per_s(service);
            capacities.push(ServiceCapacity {
                service: service.clone(),
                tokens_per_s,
            });
        }
        capacities
    }

    /// Records the decision to send a request to its stages or replica.
    pub(super) fn record_routed(&mut self, attempt: &Attempt, epoch: u32, now_ms: u64) {
        self.record_decision(attempt, Decision::Routed { epoch }, now_ms);
    }

    /// Records the decision to refuse a request.
    pub(super) fn record_refused(&mut self, attempt: &Attempt, refusal: Refusal, now_ms: u64) {
        self.record_decision(attempt, Decision::Refused { refusal }, now_ms);
    }

    /// Records the completion of a request.
    pub(super) fn record_completed(&mut self, attempt: &Attempt, now_ms: u64) {
        self.counts.count("entry.requests.completed");
        self.record_decision(attempt, Decision::Completed, now_ms);
    }

    fn record_decision(&mut self, attempt: &Attempt, decision: Decision, now_ms: u64) {
        if self.decisions.len() >= MAX_DECISIONS {
            self.decisions.pop_front();
            self.counts.count("entry.decisions.dropped");
        }
        self.decisions.push_back(DecisionRecord {
            at_unix_ms: self.unix_ms(now_ms),
            request: attempt.key.request.clone(),
            account: attempt.key.account.clone(),
            service: attempt.service.clone(),
            endpoints: endpoints_of(attempt),
            decision,
        });
    }

    /// Converts process time to Unix time, in milliseconds.
    pub(super) fn unix_ms(&self, now_ms: u64) -> u64 {
        self.config.unix_at_start_ms + now_ms
    }
}

fn endpoints_of(attempt: &Attempt) -> Vec<EndpointId> {
    match &attempt.work {
        Work::Completion(completion) => {
            let stages = completion.chain.iter().flat_map(|chain| chain.stages());
            stages.map(|stage| stage.endpoint.clone()).collect()
        }
        Work::Application(call) => {
            let replica = call.replica.iter();
            replica.map(|replica| replica.endpoint.clone()).collect()
        }
    }
}
