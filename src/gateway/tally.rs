//! Counts collected by the actor between two updates of the process's counters.

use indexmap::IndexMap;

use crate::outcome::RefusalCode;
use crate::telemetry::Counters;

/// Counts since the last update. The state machine keeps separate counts.
#[derive(Debug, Default)]
pub(crate) struct Tally {
    /// Callers dropped because they read too slowly or had disconnected.
    pub(crate) callers_dropped: u64,
    /// Streams opened at engines.
    pub(crate) streams: u64,
    /// Cancellations sent to engines.
    pub(crate) cancels: u64,
    /// Calls to application endpoints.
    pub(crate) application_calls: u64,
    /// Calls to the table service.
    pub(crate) table_calls: u64,
    /// Address lookups.
    pub(crate) locates: u64,
    /// Reports dropped because the queue to the control process was full.
    pub(crate) reports_lost: u64,
    refusals: IndexMap<RefusalCode, u64>,
}

impl Tally {
    /// Counts a refusal.
    pub(crate) fn refuse(&mut self, code: RefusalCode) {
        *self.refusals.entry(code).or_default() += 1;
    }

    /// Adds the counts to the process's counters and resets them to 0.
    pub(crate) fn publish(&mut self, counters: &Counters) {
        let tally = std::mem::take(self);
        let counts = [
            ("gateway.callers.dropped", tally.callers_dropped),
            ("gateway.streams", tally.streams),
            ("gateway.cancels", tally.cancels),
            ("gateway.application_calls", tally.application_calls),
            ("gateway.table_calls", tally.table_calls),
            ("gateway.locates", tally.locates),
            ("gateway.reports.lost", tally.reports_lost),
        ];
        for (name, count) in counts.into_iter().filter(|(_, count)| *count > 0) {
            counters.add(name, count);
        }
        for (code, count) in tally.refusals {
            counters.add(refusal_counter(code), count);
        }
    }
}

fn refusal_counter(code: RefusalCode) -> &'static str {
    match code {
        RefusalCode::Unauthenticated => "gateway.refused.unauthenticated",
        RefusalCode::Forbidden => "gateway.refused.forbidden",
        RefusalCode::UnknownService => "gateway.refused.unknown_service",
        RefusalCode::UnknownModel => "gateway.refused.unknown_model",
        RefusalCode::BodyTooLarge => "gateway.refused.body_too_large",
        RefusalCode::MalformedBody => "gateway.refused.malformed_body",
        RefusalCode::MissingHeader => "gateway.refused.missing_header",
        RefusalCode::BadHeader => "gateway.refused.bad_header",
        RefusalCode::KeyReused => "gateway.refused.key_reused",
        RefusalCode::KeyTooOld => "gateway.refused.key_too_old",
        RefusalCode::ResultUnknown => "gateway.refused.result_unknown",
        RefusalCode::AccountOverloaded => "gateway.refused.account_overloaded",
        RefusalCode::Overloaded => "gateway.refused.overloaded",
        RefusalCode::DeadlineTooShort => "gateway.refused.deadline_too_short",
        RefusalCode::NoEndpoint => "gateway.refused.no_endpoint",
        RefusalCode::StoreUnavailable => "gateway.refused.store_unavailable",
        RefusalCode::EndpointFailed => "gateway.refused.endpoint_failed",
        RefusalCode::Stopping => "gateway.refused.stopping",
        RefusalCode::NotReady => "gateway.refused.not_ready",
    }
}
