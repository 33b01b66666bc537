//! Decides whether a request certainly did not run; the only place that determines `not-run`.
//!
//! Every call that could make an endpoint run part of the request is recorded before it is sent,
//! and its result as soon as it is known. A request is `not-run` only if all its calls certainly
//! ran nothing. A call that is still open, whose connection broke, or that returned anything only a
//! running endpoint returns may have run.

use indexmap::IndexMap;

use crate::instance::CallId;
use crate::outcome::{Outcome, Refusal, RefusalCode};

/// Execution status of one call to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallStatus {
    /// Sent or about to be sent; no response yet.
    Open,
    /// It certainly ran nothing.
    NotRun,
    /// It ran, or may have run.
    MayHaveRun,
}

/// Execution status of all calls made for one request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Evidence {
    calls: IndexMap<CallId, CallStatus>,
}

impl Evidence {
    /// Records a call before it is sent.
    pub(crate) fn record_sent(&mut self, call: CallId) {
        self.calls.insert(call, CallStatus::Open);
    }

    /// Records that no byte of a call was sent, or that the endpoint refused it before it ran
    /// anything. An earlier result takes precedence.
    pub(crate) fn record_not_run(&mut self, call: CallId) {
        if let Some(status @ CallStatus::Open) = self.calls.get_mut(&call) {
            *status = CallStatus::NotRun;
        }
    }

    /// Records that a call ran, or that it can no longer be determined whether it did.
    pub(crate) fn record_may_have_run(&mut self, call: CallId) {
        if let Some(status) = self.calls.get_mut(&call) {
            *status = CallStatus::MayHaveRun;
        }
    }

    /// Outcome of the request if it ends without an answer.
    pub(crate) fn outcome(&self) -> Outcome {
        let mut statuses = self.calls.values();
        if statuses.all(|status| *status == CallStatus::NotRun) {
            Outcome::NotRun
        } else {
            Outcome::Unknown
        }
    }

    /// The final error of a request that has no answer.
    pub(crate) fn refusal(&self, code: RefusalCode, retry_after_ms: Option<u64>) -> Refusal {
        match self.outcome() {
            Outcome::NotRun => Refusal::not_run(code, retry_after_ms),
            Outcome::Unknown | Outcome::Done => Refusal::unknown(code, retry_after_ms),
        }
    }
}
