//! Whether a request surely ran nowhere: the one place that decides `not-run`.
//!
//! Every call that could make an endpoint run a part of the request is noted before it is sent, and
//! what became of it as soon as that is known. `not-run` holds only if each of them surely ran
//! nothing; a call that is still open, broke, or said anything that only a running endpoint says,
//! may have run.

use indexmap::IndexMap;

use crate::instance::CallId;
use crate::outcome::{Outcome, Refusal, RefusalCode};

/// What is known of one call to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallTrace {
    /// Sent, or about to be; nothing heard.
    Open,
    /// It surely ran nothing.
    RanNothing,
    /// It ran, or may have run.
    MayHaveRun,
}

/// What is known of all calls made for one request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Evidence {
    calls: IndexMap<CallId, CallTrace>,
}

impl Evidence {
    /// Notes a call before it is sent.
    pub(crate) fn sent(&mut self, call: CallId) {
        self.calls.insert(call, CallTrace::Open);
    }

    /// Notes that no byte of a call left, or that the endpoint refused it before it ran anything.
    /// What was heard before goes first.
    pub(crate) fn ran_nothing(&mut self, call: CallId) {
        if let Some(trace @ CallTrace::Open) = self.calls.get_mut(&call) {
            *trace = CallTrace::RanNothing;
        }
    }

    /// Notes that a call ran, or that it cannot be known any more whether it did.
    pub(crate) fn may_have_run(&mut self, call: CallId) {
        if let Some(trace) = self.calls.get_mut(&call) {
            *trace = CallTrace::MayHaveRun;
        }
    }

    /// What is true of the request, short of an answer.
    pub(crate) fn outcome(&self) -> Outcome {
        let mut traces = self.calls.values();
        if traces.all(|trace| *trace == CallTrace::RanNothing) {
            Outcome::NotRun
        } else {
            Outcome::Unknown
        }
    }

    /// The final word on a request that has no answer.
    pub(crate) fn refusal(&self, code: RefusalCode, retry_after_ms: Option<u64>) -> Refusal {
        match self.outcome() {
            Outcome::NotRun => Refusal::not_run(code, retry_after_ms),
            Outcome::Unknown | Outcome::Done => Refusal::unknown(code, retry_after_ms),
        }
    }
}
