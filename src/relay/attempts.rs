//! Tracks the attempts to serve one request and decides what follows each of them.

use indexmap::{IndexMap, IndexSet};

use super::window::MAX_ARRIVAL_DELAY_MS;
use super::{AttemptLimit, FinalError, RefusalCause, RelayFailure};
use crate::ids::{EndpointId, InstanceId};
use crate::invariant;
use crate::route_table::RetryPolicy;

/// Maximum number of attempts that did not run (rejected by the endpoint or not sent) before a
/// request without any response is refused. This is enough to get past a few endpoints that have
/// just gone away; each attempt that was sent uses up some of the retry budget.
const MAX_UNRUN_ATTEMPTS: u32 = 4;
/// Maximum total number of sends for a request that has no response yet.
const MAX_SENDS: u32 = 8;
/// Maximum number of runs for one response. It loses one run with each engine that exits; more
/// losses are likely caused by the request itself and would use up retries that others need.
const MAX_RUNS: u32 = 8;

/// How long an endpoint to which an attempt could not be sent stays excluded from a partial response: the
/// timeout of a connection.
const UNSENT_EXCLUSION_MS: u64 = 300;

/// How an attempt ended that produced no response to forward.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// No byte of the request left this instance.
    NotSent,
    /// The endpoint reported that it did not run the request.
    TurnedAway,
    /// The endpoint ran the request and responded with a failure of its own.
    Failed,
    /// The request was sent but no complete response arrived, so it may have run.
    Lost,
    /// The attempt was abandoned while the endpoint may still have been working on it.
    Abandoned,
}

/// What to do after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Send the request again.
    Retry,
    /// Resume the partial response once a chain has capacity and the budget has a retry left; no
    /// retry has been taken yet. Giving up at once would cut off what the caller already holds,
    /// although capacity and retries usually return before the caller's own timeout.
    Resume,
    /// Forward the failure that the endpoint responded with; the limit says why there is no further
    /// attempt.
    ForwardFailure(AttemptLimit),
    /// Report the failure to the caller.
    GiveUp(RelayFailure),
}

/// What a send goes to.
#[derive(Clone, Debug)]
enum SendTarget {
    Endpoint(EndpointId),
    /// Another instance, which chooses the endpoints.
    Instance {
        /// Maximum number of endpoints on which it may run the request.
        max_endpoints: usize,
    },
}

/// The attempts of one request.
///
/// Invariants: a request that must run at most once and may have run is not sent again, and its final error is
/// neither [`FinalError::NotRun`] nor [`FinalError::TurnedAway`]; the request may have run on at most
/// `max_endpoints` endpoints that are not gone; once the caller holds part of a resumable response, neither a
/// rejected retry nor an exhausted budget ends it.
#[derive(Clone, Debug)]
pub struct Attempts {
    retry_policy: RetryPolicy,
    max_endpoints: usize,
    /// Endpoints that must not be used for this request.
    excluded: IndexSet<EndpointId>,
    /// Endpoints that answered with what is no response, also after they had been readmitted.
    invalid: IndexSet<EndpointId>,
    /// Endpoints that were excluded and then readmitted.
    readmitted: IndexSet<EndpointId>,
    /// Excluded endpoints to which the newest attempt was not sent, and when that was.
    unsent_ms: IndexMap<EndpointId, u64>,
    /// Endpoints on which the request may have run and that are not known to be gone since.
    ran_on: IndexSet<EndpointId>,
    /// Endpoints on which other instances may have run the request.
    delegated_endpoints: usize,
    /// Target of the send whose outcome is not known yet.
    current_send: Option<SendTarget>,
    turned_away: u32,
    /// Runs that have ended, or may have.
    runs: u32,
    /// A retry was taken from the budget for the current or the next send.
    holds_retry: bool,
    /// The response head has been forwarded, so the caller holds part of the response.
    has_started: bool,
    sends: u32,
    /// Until when a send that was abandoned may still arrive at its endpoint.
    arrivals_until_ms: u64,
}

impl Attempts {
    /// Creates the state of a request that has not been sent. `max_endpoints` bounds the number of
    /// endpoints on which the request runs.
    pub fn new(retry_policy: RetryPolicy, max_endpoints: u32) -> Self {
        Self {
            retry_policy,
            max_endpoints: max_endpoints.max(1) as usize,
            excluded: IndexSet::new(),
            invalid: IndexSet::new(),
            readmitted: IndexSet::new(),
            unsent_ms: IndexMap::new(),
            ran_on: IndexSet::new(),
            delegated_endpoints: 0,
            current_send: None,
            turned_away: 0,
            runs: 0,
            holds_retry: false,
            has_started: false,
            sends: 0,
            arrivals_until_ms: 0,
        }
    }

    /// Creates the state of a request that another instance has passed on. It may run on `max_endpoints` endpoints, and
    /// again on those in `ran_on`, which count towards the maximum.
    pub fn delegated<I>(retry_policy: RetryPolicy, max_endpoints: u32, ran_on: I) -> Self
    where
        I: IntoIterator<Item = EndpointId>,
    {
        let mut attempts = Self::new(retry_policy, max_endpoints);
        attempts.ran_on.extend(ran_on);
        attempts
    }

    /// Endpoints that must not be used.
    pub fn excluded(&self) -> &IndexSet<EndpointId> {
        &self.excluded
    }

    /// If the request has run on as many endpoints as allowed, the only endpoints that may still
    /// receive it.
    pub fn restricted_to(&self) -> Option<&IndexSet<EndpointId>> {
        (self.endpoints_left() == 0).then_some(&self.ran_on)
    }

    /// Number of endpoints on which the request may have run and that count towards the maximum.
    pub fn endpoints_used(&self) -> usize {
        self.ran_on.len() + self.delegated_endpoints
    }

    /// Number of further endpoints on which the request may run.
    pub fn endpoints_left(&self) -> usize {
        self.max_endpoints.saturating_sub(self.endpoints_used())
    }

    /// Number of endpoints on which another instance may run the request. A stream keeps one back, since the
    /// other instance may end in the middle of it.
    pub fn endpoints_to_delegate(&self) -> usize {
        match self.endpoints_left() {
            left if left > 1 && self.retry_policy.is_stream() => left - 1,
            left => left,
        }
    }

    /// Whether the request may be sent to another instance, which chooses the endpoints.
    pub fn may_delegate(&self) -> bool {
        let may_run = !self.may_have_run() || self.retry_policy.allows_retry();
        may_run && self.endpoints_left() > 0
    }

    /// Endpoints on which another instance may run the request again although no further one may: those on which it has
    /// run from here. Only streams return to an endpoint.
    pub fn endpoints_to_reuse(&self) -> Option<&IndexSet<EndpointId>> {
        let may_return = self.retry_policy.is_stream() && self.retry_policy.allows_retry();
        let ran_on = self.restricted_to().filter(|ran_on| !ran_on.is_empty());
        ran_on.filter(|_| may_return)
    }

    /// Whether another endpoint may be tried if the current attempt fails after it started.
    pub fn may_try_another(&self) -> bool {
        self.retry_policy.allows_retry() && self.endpoints_left() > 1
    }

    /// Whether the request may have run somewhere.
    pub fn may_have_run(&self) -> bool {
        self.runs > 0
    }

    /// Number of sends so far, not counting those of which no byte left this instance.
    pub fn sends(&self) -> u32 {
        self.sends
    }

    /// Number of attempts that did not run: rejected by the endpoint, or not sent.
    pub fn turned_away(&self) -> u32 {
        self.turned_away
    }

    /// Records that the response head has been forwarded to the caller.
    pub fn response_started(&mut self) {
        self.has_started = true;
    }

    /// Whether the caller holds part of a response.
    pub fn has_started(&self) -> bool {
        self.has_started
    }

    /// Excludes an endpoint from further attempts.
    pub fn exclude(&mut self, endpoint: &EndpointId) {
        self.excluded.insert(endpoint.clone());
    }

    /// Excludes the endpoint at which an attempt failed. An endpoint that rejected a resumed
    /// response is not excluded: it may have capacity again long before the deadline, and until
    /// then the fleet marks it as full.
    pub fn exclude_after(&mut self, endpoint: &EndpointId, outcome: AttemptOutcome, now_ms: u64) {
        if self.has_started && outcome == AttemptOutcome::TurnedAway {
            return;
        }
        self.exclude(endpoint);
        if outcome == AttemptOutcome::NotSent {
            self.unsent_ms.insert(endpoint.clone(), now_ms);
        } else {
            self.unsent_ms.swap_remove(endpoint);
        }
    }

    /// Records that an endpoint which is excluded has answered with what is no response.
    pub fn record_invalid(&mut self, endpoint: &EndpointId) {
        if self.readmitted.contains(endpoint) {
            self.invalid.insert(endpoint.clone());
        }
    }

    /// Readmits endpoints that are healthy again. This is for a partial response that no other endpoint
    /// can resume: the reason for the exclusion may have been wrong or may be over, while without the
    /// endpoint the response certainly ends. Each is readmitted once, and again some time after an attempt
    /// that was not sent, which takes no retry. An endpoint that keeps failing immediately would otherwise
    /// take one every few milliseconds.
    pub fn readmit<F>(&mut self, is_healthy: F, now_ms: u64)
    where
        F: Fn(&EndpointId) -> bool,
    {
        let (readmitted, unsent_ms) = (&mut self.readmitted, &mut self.unsent_ms);
        let mut is_readmitted = |endpoint: &EndpointId| {
            let at_ms = unsent_ms.get(endpoint);
            let is_due = at_ms.is_some_and(|at_ms| now_ms >= at_ms + UNSENT_EXCLUSION_MS);
            let is_first = readmitted.insert(endpoint.clone());
            if is_first || is_due {
                unsent_ms.swap_remove(endpoint);
            }
            is_first || is_due
        };
        self.excluded
            .retain(|endpoint| !(is_healthy(endpoint) && is_readmitted(endpoint)));
    }

    /// The state after the run at `first` would be lost; `None` if no other run could follow.
    /// Waiting for a silent run is better than ending one that cannot be followed by another.
    pub fn after_losing(&self, first: &EndpointId) -> Option<Self> {
        let mut lost = self.clone();
        match lost.attempt_ended(AttemptOutcome::Lost, || true) {
            NextStep::Retry | NextStep::Resume => {
                lost.exclude(first);
                Some(lost)
            }
            NextStep::ForwardFailure(_) | NextStep::GiveUp(_) => None,
        }
    }

    /// The state after the current run would be abandoned; `None` if no other run could follow.
    pub fn after_abandoning(&self) -> Option<Self> {
        let mut abandoned = self.clone();
        match abandoned.attempt_ended(AttemptOutcome::Abandoned, || true) {
            NextStep::Retry | NextStep::Resume => Some(abandoned),
            NextStep::ForwardFailure(_) | NextStep::GiveUp(_) => None,
        }
    }

    /// Records that a retry was taken from the budget for the next send.
    pub fn hold_retry(&mut self) {
        self.holds_retry = true;
    }

    /// Whether the retry held by an attempt with this outcome must be refunded: nothing arrived
    /// anywhere that the limit on retries could count.
    pub fn take_refund(&mut self, outcome: AttemptOutcome) -> bool {
        std::mem::take(&mut self.holds_retry) && outcome == AttemptOutcome::NotSent
    }

    /// Latest arrival time of all sends so far. `is_settled` means that the current send cannot arrive later than
    /// now: its endpoint has answered it or has closed the connection. An abandoned send may arrive after the
    /// retry that followed it, and then the endpoint counts it as the retry.
    pub fn arrived_by_ms(&mut self, is_settled: bool, now_ms: u64) -> u64 {
        if !is_settled {
            self.arrivals_until_ms = now_ms + MAX_ARRIVAL_DELAY_MS;
        }
        self.arrivals_until_ms.max(now_ms)
    }

    /// Forgets endpoints that have exited or are partitioned from this instance, and returns them. An endpoint
    /// that only does not respond may still run the request, so it counts.
    pub fn forget_gone<F>(&mut self, is_gone: F) -> Vec<EndpointId>
    where
        F: Fn(&EndpointId) -> bool,
    {
        self.ran_on
            .extract_if(.., |endpoint| is_gone(endpoint))
            .collect()
    }

    /// Records that the request is about to be sent.
    pub fn send_started(&mut self, endpoint: &EndpointId) {
        let target = SendTarget::Endpoint(endpoint.clone());
        self.target_chosen(target, || endpoint.to_string());
    }

    /// Records that the request is about to be sent to another instance. Returns the maximum number of endpoints
    /// on which that instance may run it; if it fails there, it counts as having run on all of them.
    pub fn delegation_started(&mut self, instance: &InstanceId) -> usize {
        let max_endpoints = self.endpoints_to_delegate();
        let target = SendTarget::Instance { max_endpoints };
        self.target_chosen(target, || instance.to_string());
        max_endpoints
    }

    fn target_chosen<F>(&mut self, target: SendTarget, name: F)
    where
        F: FnOnce() -> String,
    {
        let may_send = !self.may_have_run() || self.retry_policy.allows_retry();
        invariant::check(may_send, "runs_at_most_once", name);
        self.current_send = Some(target);
        self.sends += 1;
    }

    /// Records the outcome of an attempt. `has_budget` returns whether another retry is allowed; it
    /// is called only if nothing else forbids the retry, and not for a partial response.
    pub fn attempt_ended<F>(&mut self, outcome: AttemptOutcome, has_budget: F) -> NextStep
    where
        F: FnOnce() -> bool,
    {
        let target = self.current_send.take();
        match outcome {
            AttemptOutcome::NotSent => {
                self.sends = self.sends.saturating_sub(1);
                self.turned_away += 1;
            }
            AttemptOutcome::TurnedAway => self.turned_away += 1,
            AttemptOutcome::Lost | AttemptOutcome::Failed | AttemptOutcome::Abandoned => {
                self.runs += 1;
                match target {
                    Some(SendTarget::Endpoint(endpoint)) => drop(self.ran_on.insert(endpoint)),
                    Some(SendTarget::Instance { max_endpoints }) => {
                        self.delegated_endpoints += max_endpoints;
                    }
                    None => {}
                }
            }
        }
        let mut is_taken = false;
        let next = self.allowed(|| {
            is_taken = has_budget();
            is_taken
        });
        self.holds_retry = is_taken;
        match (outcome, next) {
            (AttemptOutcome::Failed, NextStep::GiveUp(failure)) => {
                NextStep::ForwardFailure(failure.limit)
            }
            (_, next) => next,
        }
    }

    /// The error to report if nothing more can be tried, for `cause`.
    pub fn give_up(&self, cause: RefusalCause) -> RelayFailure {
        RelayFailure {
            error: self.final_error(cause),
            limit: cause.into(),
        }
    }

    fn final_error(&self, cause: RefusalCause) -> FinalError {
        match (self.may_have_run() || self.current_send.is_some(), cause) {
            (false, cause) if self.sends > 0 => FinalError::TurnedAway(cause),
            (false, cause) => FinalError::NotRun(cause),
            (true, RefusalCause::TooLate) => FinalError::TimedOut,
            (true, _) => FinalError::Unknown,
        }
    }

    /// Whether no further endpoint may run the request, and those that have run it are alive and will not be readmitted.
    fn has_only_invalid_left(&self) -> bool {
        let restricted_to = self.restricted_to();
        restricted_to.is_some_and(|ran_on| ran_on.iter().all(|it| self.invalid.contains(it)))
    }

    /// The limit on retries that this request has reached, regardless of the budget.
    fn limit(&self) -> Option<AttemptLimit> {
        // A stream may return to an engine on which it ran, with other stages behind it.
        let is_exhausted = self.restricted_to().is_some() && !self.retry_policy.is_stream();
        if self.may_have_run() && !self.retry_policy.allows_retry() {
            Some(AttemptLimit::MayHaveRun)
        } else if self.has_started && self.has_only_invalid_left() {
            Some(AttemptLimit::Endpoints)
        } else if self.has_started {
            (self.runs >= MAX_RUNS).then_some(AttemptLimit::Sends)
        } else if is_exhausted {
            Some(AttemptLimit::Endpoints)
        } else if self.turned_away >= MAX_UNRUN_ATTEMPTS {
            Some(AttemptLimit::TurnedAway)
        } else if self.sends >= MAX_SENDS {
            Some(AttemptLimit::Sends)
        } else {
            None
        }
    }

    fn allowed<F>(&self, has_budget: F) -> NextStep
    where
        F: FnOnce() -> bool,
    {
        if let Some(limit) = self.limit() {
            let error = self.final_error(RefusalCause::Full);
            return NextStep::GiveUp(RelayFailure { error, limit });
        }
        if self.has_started {
            return NextStep::Resume;
        }
        if self.sends > 0 && !has_budget() {
            return NextStep::GiveUp(self.give_up(RefusalCause::NoBudget));
        }
        NextStep::Retry
    }
}
