//! Relays streams of model engines: runs them one after another and forwards their events. The
//! chain of a run is chosen in `plan`, or in `turn` for services whose streams have different
//! priorities, and run in `chain_run`; the handling of silent runs is in `repair`, runs that another
//! instance serves are in `delegate`, resuming a partial response is in `go_on`, and the log line at
//! the end is in `ending`.

mod chain_run;
mod delegate;
mod ending;
#[cfg(test)]
mod ending_tests;
mod go_on;
mod plan;
mod repair;
mod turn;
mod withheld;

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use actix_http::ResponseHead;
use indexmap::IndexSet;
use tokio::sync::oneshot;
use tokio::time::timeout_at;

use self::ending::{LogOnDrop, StreamOutcome};
use super::adapter::Adapter;
use super::delegates::Delegate;
use super::delegation::DelegationReason;
use super::event_queue::{CallerLeft, EventSender};
use super::headers;
use super::memory_budget::MemoryShare;
use super::node::Node;
use super::planned_stop::ServingEnded;
use super::request::{RelayedRequest, instant_at};
use super::retries::HeldRetry;
use super::send_context::SendContext;
use super::stream_response::InitialResponse;
use super::upstream::ResponseBody;
use crate::clock::boot_ms;
use crate::fleet::{Chain, ChainStage, EndpointFailure};
use crate::ids::{EndpointId, InstanceId};
use crate::relay::{
    AttemptOutcome, Attempts, CompleteEvents, EventSplitter, FinalError, NextStep, RefusalCause,
    RelayFailure, RetryClass, RetryPurpose, StallDetector,
};

/// Maximum size of an engine's failure response that is buffered for forwarding.
const MAX_FAILURE_BYTES: usize = 1 << 20;

/// Number of chunks with events after which a run shows that its engines survive the request, once it has
/// also lasted [`CLEARING_AFTER_MS`]: a slow engine sends few events in that time.
const CLEARING_EVENTS: u32 = 3;
/// Time since the response's head; a fast engine sends its first events well before it.
const CLEARING_AFTER_MS: u64 = 300;

/// How a run of the request ended.
enum RunOutcome {
    /// The stream is complete.
    Complete,
    /// The caller has left; dropping the connection ends the engines' work.
    CallerLeft,
    /// The request is withheld from engines; dropping the connection keeps it from running here.
    Withheld,
    /// The run ended before the stream was complete.
    Failed(AttemptOutcome, EndpointFailure, EndpointId),
    /// The same for a run that another instance served.
    DelegateFailed(AttemptOutcome),
}

/// Who serves a run.
enum RunTarget {
    /// The engines of a chain.
    Chain(Chain),
    /// Another instance.
    Delegate(Delegate),
}

/// Why a part of a response was not forwarded.
enum ChunkFailure {
    /// Its events do not follow those before.
    Invalid,
    CallerLeft,
}

/// A stream over all its runs.
pub(super) struct StreamRelay<A>
where
    A: Adapter,
{
    node: Rc<Node<A>>,
    request: RelayedRequest,
    attempts: Attempts,
    /// Instances that ended or fell silent while they served a run of this request.
    lost_delegates: IndexSet<InstanceId>,
    splitter: EventSplitter,
    stall: StallDetector,
    initial_response: Option<oneshot::Sender<Result<InitialResponse, FinalError>>>,
    events: EventSender,
    /// Memory of events that are not complete or not in the queue yet.
    event_memory: MemoryShare,
    /// The newest complete failure response of an engine.
    failure: Option<InitialResponse>,
    /// Whether the log line for the end has been written.
    is_logged: bool,
    /// Chain of the newest run, for log lines; `None` if another instance chose it.
    chain: Option<Chain>,
    /// Number of engines of the newest chain that this instance chose; 1 before the first one.
    chain_engines: u32,
    /// What was known when the newest run was sent.
    send_context: SendContext,
    runs: u32,
    /// When the response head of the newest run arrived.
    head_ms: Option<u64>,
    /// Chunks with complete events that the newest run has delivered.
    run_events: u32,
    /// Whether an engine is known to have survived the request.
    is_cleared: bool,
    /// Whether the newest run is sent although the request is withheld.
    is_quarantine_trial: bool,
    repairs: u32,
    /// Earliest time of the next order to change the chain.
    next_reroute_ms: u64,
    /// The newest lost engine that had no replacement, for log lines.
    unreplaced: Option<EndpointId>,
    /// The retry that the next or current run uses.
    retry: Option<HeldRetry<A>>,
    /// Longest time without an event.
    longest_gap_ms: u64,
    first_event_ms: Option<u64>,
}

impl<A> StreamRelay<A>
where
    A: Adapter,
{
    /// Creates a relay for a stream that has not started.
    pub(super) fn new(
        node: &Rc<Node<A>>,
        request: RelayedRequest,
        initial_response: oneshot::Sender<Result<InitialResponse, FinalError>>,
        events: EventSender,
    ) -> Self {
        Self {
            node: Rc::clone(node),
            attempts: Attempts::delegated(
                request.route.retry_policy,
                request.max_endpoints(),
                request.reused_endpoints(),
            ),
            lost_delegates: IndexSet::new(),
            splitter: EventSplitter::resuming_after(request.ask.resume_after),
            stall: StallDetector::new(boot_ms()),
            is_quarantine_trial: request.is_quarantine_trial,
            request,
            initial_response: Some(initial_response),
            events,
            event_memory: node.response_memory.begin(),
            failure: None,
            is_logged: false,
            chain: None,
            chain_engines: 1,
            send_context: SendContext::default(),
            runs: 0,
            head_ms: None,
            run_events: 0,
            is_cleared: false,
            repairs: 0,
            next_reroute_ms: 0,
            unreplaced: None,
            retry: None,
            longest_gap_ms: 0,
            first_event_ms: None,
        }
    }

    /// Relays the stream to its end.
    pub(super) async fn run(self) {
        let mut guard = LogOnDrop(self);
        guard.0.relay().await;
    }

    async fn relay(&mut self) {
        let until = instant_at(self.request.deadline_ms, boot_ms());
        let node = Rc::clone(&self.node);
        let outcome = match node
            .while_serving(timeout_at(until, self.run_attempts()))
            .await
        {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) => StreamOutcome::Failed(self.attempts.give_up(RefusalCause::TooLate)),
            Err(ServingEnded) => {
                StreamOutcome::Failed(self.attempts.give_up(RefusalCause::Stopping))
            }
        };
        self.is_logged = true;
        self.log_end(&outcome);
        self.record_unserved(&outcome);
        self.record_duration(&outcome);
        // A resumed stream may have been complete before: then its last run has shown nothing.
        if matches!(outcome, StreamOutcome::Complete) && self.run_events > 0 {
            self.clear_request();
        }
        if let StreamOutcome::Failed(RelayFailure { error, limit }) = outcome {
            self.node.count_given_up(limit);
            // A failure response from an engine is more informative than an error of the relay
            // itself.
            let result = self.failure.take().ok_or(error);
            match self.initial_response.take() {
                // Sending fails only if the caller has left; nobody else needs the result.
                Some(initial_response) => drop(initial_response.send(result)),
                None => {
                    let aborted = io::Error::new(io::ErrorKind::ConnectionAborted, error.name());
                    self.events.abort(aborted);
                }
            }
        }
    }

    async fn run_attempts(&mut self) -> StreamOutcome {
        loop {
            let target = match self.next_target().await {
                Ok(target) => target,
                Err(cause) => {
                    self.return_unsent_retry();
                    self.log_no_chain(cause);
                    return StreamOutcome::Failed(self.attempts.give_up(cause));
                }
            };
            if !self.request.has_time_to_send(boot_ms()) {
                self.return_unsent_retry();
                return StreamOutcome::Failed(self.attempts.give_up(RefusalCause::TooLate));
            }
            self.runs += 1;
            self.head_ms = None;
            self.run_events = 0;
            let run = match target {
                RunTarget::Chain(chain) => self.run_on_chain(chain).await,
                RunTarget::Delegate(delegate) => self.run_by_delegate(&delegate).await,
            };
            let (outcome, is_settled) = match run {
                RunOutcome::Complete => return StreamOutcome::Complete,
                RunOutcome::CallerLeft => return StreamOutcome::CallerLeft,
                RunOutcome::Withheld => {
                    return StreamOutcome::Failed(self.attempts.give_up(RefusalCause::Withheld));
                }
                RunOutcome::Failed(outcome, failure, at_fault) => {
                    self.record_failed_run(outcome, failure, &at_fault);
                    (outcome, failure != EndpointFailure::Silent)
                }
                // The other instance may stand still, and send the request once it goes on.
                RunOutcome::DelegateFailed(outcome) => (outcome, outcome != AttemptOutcome::Lost),
            };
            self.splitter.drop_partial();
            self.event_memory.resize(0);
            self.end_retry(outcome, is_settled);
            if outcome == AttemptOutcome::NotSent && !self.request.has_caller() {
                return StreamOutcome::CallerLeft;
            }
            let class = self.retry_class();
            let (node, request, retry) = (&self.node, &self.request, &mut self.retry);
            let next = self.attempts.attempt_ended(outcome, || {
                *retry = node.take_retry(request, class);
                retry.is_some()
            });
            match next {
                NextStep::Retry | NextStep::Resume => {}
                NextStep::ForwardFailure(limit) => {
                    let error = FinalError::Unknown;
                    return StreamOutcome::Failed(RelayFailure { error, limit });
                }
                NextStep::GiveUp(failure) => return StreamOutcome::Failed(failure),
            }
        }
    }

    /// Records that the response head of a run has arrived, and with it the request before.
    fn head_arrived(&mut self) {
        let now_ms = boot_ms();
        self.head_ms = Some(now_ms);
        let arrived_by_ms = self.attempts.arrived_by_ms(true, now_ms);
        if let Some(retry) = self.retry.take() {
            retry.end(arrived_by_ms);
        }
    }

    /// Ends the retry of a failed run. `is_settled` means that its request cannot arrive later than now.
    fn end_retry(&mut self, outcome: AttemptOutcome, is_settled: bool) {
        let has_arrived = self.head_ms.is_some();
        let is_settled = is_settled || has_arrived;
        let retry = self.retry.take();
        self.node.end_retry(
            &self.request,
            &mut self.attempts,
            retry,
            outcome,
            is_settled,
        );
    }

    /// Returns the retry for a run that is not sent.
    fn return_unsent_retry(&mut self) {
        if let Some(retry) = self.retry.take() {
            self.node.cancel_retry(&self.request, retry);
        }
    }

    async fn next_target(&mut self) -> Result<RunTarget, RefusalCause> {
        self.wait_for_verdict().await?;
        self.forget_gone();
        if self.attempts.has_started() {
            return self.target_to_resume().await;
        }
        if !self.request.may_start(&self.node) {
            return Err(RefusalCause::Stopping);
        }
        if let Some(delegate) = self.choose_delegate(DelegationReason::CutOff) {
            return Ok(RunTarget::Delegate(delegate));
        }
        match self.plan_with_capacity().await {
            Ok(chain) => Ok(RunTarget::Chain(chain)),
            Err(cause) => {
                let delegate = self.choose_delegate(DelegationReason::NoneUsable);
                let delegate = delegate.ok_or(cause)?;
                Ok(RunTarget::Delegate(delegate))
            }
        }
    }

    /// Forwards the head of the first run's response, unless that was done before.
    fn start_response(&mut self, initial: InitialResponse) -> Result<(), ChunkFailure> {
        let Some(initial_response) = self.initial_response.take() else {
            return Ok(());
        };
        let sent = initial_response.send(Ok(initial));
        sent.map_err(|_| ChunkFailure::CallerLeft)
    }

    /// Reads a failure response; `None` if it cannot be forwarded.
    async fn read_failure(
        &self,
        head: &ResponseHead,
        mut body: ResponseBody,
    ) -> Option<InitialResponse> {
        // A success without a seal does not count, and these statuses promise that nothing ran.
        let is_misleading =
            head.status.is_success() || matches!(head.status.as_u16(), 408 | 429 | 503);
        if is_misleading {
            return None;
        }
        let content = body.read_to_end(MAX_FAILURE_BYTES).await.ok()?;
        Some(InitialResponse {
            status: head.status,
            headers: headers::end_to_end_headers(&head.headers),
            body: Some(content),
        })
    }

    /// Forwards the complete events in a part of a response. Returns whether there were any.
    async fn forward_chunk(&mut self, bytes: &[u8]) -> Result<bool, ChunkFailure> {
        let events = match self.splitter.push(bytes) {
            Ok(events) => events,
            Err(error) => {
                log::warn!(request = self.request.ask.id.as_str(), error:% = error; "invalid sequence of stream events");
                return Err(ChunkFailure::Invalid);
            }
        };
        self.take_event_memory(events.as_ref())?;
        let Some(events) = events else {
            return Ok(false);
        };
        let now_ms = boot_ms();
        self.run_events += 1;
        let head_ago_ms = self.head_ago_ms(now_ms);
        let is_past_beginning = head_ago_ms.is_some_and(|it| it >= CLEARING_AFTER_MS);
        if is_past_beginning && self.run_events >= CLEARING_EVENTS {
            self.clear_request();
        }
        self.record_event_time(now_ms);
        let sent = self.events.send(events.bytes).await;
        sent.map_err(|CallerLeft| ChunkFailure::CallerLeft)?;
        Ok(true)
    }

    /// Takes memory for complete events that are about to be forwarded, and for the incomplete one behind them.
    fn take_event_memory(&mut self, events: Option<&CompleteEvents>) -> Result<(), ChunkFailure> {
        let complete_bytes = events.map_or(0, |it| it.bytes.len());
        let held_bytes = complete_bytes + self.splitter.partial_bytes();
        if self.event_memory.resize(held_bytes) {
            return Ok(());
        }
        log::warn!(
            request = self.request.ask.id.as_str(),
            held_bytes,
            all_responses_bytes = self.node.response_memory.used_bytes();
            "stream event is too large for the memory that is left"
        );
        Err(ChunkFailure::Invalid)
    }

    fn record_event_time(&mut self, now_ms: u64) {
        match self.stall.pause_ms(now_ms) {
            Some(pause_ms) => self.longest_gap_ms = self.longest_gap_ms.max(pause_ms),
            None => self.first_event_ms = Some(now_ms),
        }
        self.stall.record_event(now_ms);
    }

    /// Time since the response head of the newest run, if it has arrived.
    fn head_ago_ms(&self, now_ms: u64) -> Option<u64> {
        self.head_ms.map(|at_ms| now_ms.saturating_sub(at_ms))
    }

    /// What another run would be for.
    fn retry_purpose(&self) -> RetryPurpose {
        // The response head has been forwarded, so any error now cuts the response off.
        if self.attempts.has_started() {
            RetryPurpose::Resume
        } else {
            RetryPurpose::Start
        }
    }

    /// What the next retry is for, on how many engines it probably runs, and how many priorities of the
    /// service are more urgent than that of this request.
    fn retry_class(&self) -> RetryClass {
        let request = &self.request;
        let table = &request.table;
        RetryClass {
            purpose: self.retry_purpose(),
            engines: self.chain_engines,
            more_urgent_priorities: table
                .more_urgent_priorities(&request.service, request.priority),
        }
    }

    /// Engines that have exited or are partitioned from this instance do not count among those on which the
    /// request ran. A connection timeout shows neither.
    fn forget_gone(&mut self) {
        let fleet = self.node.fleet.borrow();
        // An engine that has only left the list may continue its current work.
        let forgotten = self.attempts.forget_gone(|id| fleet.is_gone(id));
        for endpoint in &forgotten {
            log::info!(
                request = self.request.ask.id.as_str(),
                endpoint = endpoint.as_str(),
                has_ended = fleet.has_ended(endpoint),
                endpoints_used = self.attempts.endpoints_used();
                "endpoint no longer counts towards the maximum of a request"
            );
        }
    }

    /// Reports that engines survive this request.
    fn clear_request(&mut self) {
        if !self.is_cleared {
            self.is_cleared = true;
            self.node.clear_request(self.request.features.as_ref());
        }
    }
}

fn stage_at(chain: &Chain, address: SocketAddr) -> Option<ChainStage> {
    let mut stages = chain.stages().iter();
    stages.find(|stage| stage.address == address).cloned()
}
