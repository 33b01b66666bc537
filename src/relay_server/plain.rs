//! Relays requests to services whose endpoints hold no layers; responses are buffered completely.

mod delegate;
mod exchange;
mod patience;
mod target;

use std::rc::Rc;

use actix_http::body::BoxBody;
use actix_http::header::HeaderMap;
use actix_http::{Response, StatusCode};
use indexmap::IndexSet;
use tokio::time::timeout_at;

use self::delegate::delegate_once;
use self::target::Target;
use super::adapter::Adapter;
use super::delegates::Delegate;
use super::delegation::DelegatedRun;
use super::exits::probe_replica_in_background;
use super::held_body::HeldBody;
use super::node::Node;
use super::planned_stop::ServingEnded;
use super::request::{RelayedRequest, close_if_stopping, error_response, instant_at};
use super::retries::HeldRetry;
use super::send_context::SendContext;
use crate::clock::boot_ms;
use crate::fleet::EndpointFailure;
use crate::ids::{EndpointId, InstanceId};
use crate::quarantine::QuarantineStatus;
use crate::relay::{
    AttemptLimit, AttemptOutcome, Attempts, FinalError, NextStep, RefusalCause, RelayFailure,
    RetryPurpose,
};

/// Maximum size of a buffered response.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// A complete response of an endpoint.
struct CompleteResponse {
    status: StatusCode,
    headers: HeaderMap,
    body: HeldBody,
    /// Why there was no further attempt, for a failure that is forwarded.
    limit: Option<AttemptLimit>,
}

/// The result of one attempt.
enum AttemptResult {
    Response(CompleteResponse),
    /// There is no response to forward; the outcome and what it means for the endpoint.
    Failed(AttemptOutcome, EndpointFailure),
}

/// A request over all its attempts.
struct PlainRelay<'a, A>
where
    A: Adapter,
{
    node: &'a Rc<Node<A>>,
    request: &'a RelayedRequest,
    attempts: Attempts,
    /// What was known when the newest attempt was sent.
    send_context: SendContext,
    /// The newest failure response of an endpoint.
    failure: Option<CompleteResponse>,
    /// Instances that did not serve the request.
    tried_delegates: IndexSet<InstanceId>,
    /// Why the request is refused if nothing more can be tried.
    cause: RefusalCause,
    /// The retry that the current send uses.
    retry: Option<HeldRetry<A>>,
    /// What the next attempt goes to, if that was known when the one before was abandoned.
    next_target: Option<Target>,
    /// When the newest attempt failed; the arrival of the request before that.
    failed_ms: u64,
}

/// Relays a request until it has a response or a final error.
pub(crate) async fn relay_plain<A>(node: &Rc<Node<A>>, request: RelayedRequest) -> Response<BoxBody>
where
    A: Adapter,
{
    let mut relay = PlainRelay::new(node, &request);
    let until = instant_at(request.deadline_ms, boot_ms());
    let result = node.while_serving(timeout_at(until, relay.serve())).await;
    let RelayFailure { error, limit } = match result {
        Ok(Ok(Ok(response))) => return relay.forward_response(response),
        Ok(Ok(Err(failure))) => failure,
        Ok(Err(_)) => relay.attempts.give_up(RefusalCause::TooLate),
        Err(ServingEnded) => relay.attempts.give_up(RefusalCause::Stopping),
    };
    node.count_given_up(limit);
    relay.log_failure(error, limit);
    error_response(node, error, request.retry_conditions(node))
}

impl<'a, A> PlainRelay<'a, A>
where
    A: Adapter,
{
    fn new(node: &'a Rc<Node<A>>, request: &'a RelayedRequest) -> Self {
        Self {
            node,
            request,
            attempts: Attempts::new(
                request.route.retry_policy.for_whole_response(),
                request.max_endpoints(),
            ),
            send_context: SendContext::default(),
            failure: None,
            tried_delegates: IndexSet::new(),
            cause: RefusalCause::NoEndpoint,
            retry: None,
            next_target: None,
            failed_ms: request.arrived_ms,
        }
    }

    async fn serve(&mut self) -> Result<CompleteResponse, RelayFailure> {
        loop {
            if self.is_withheld() {
                return self.fail(self.attempts.give_up(RefusalCause::Withheld));
            }
            if !self.request.may_start(self.node) {
                return self.fail(self.attempts.give_up(RefusalCause::Stopping));
            }
            let target = self.choose_target().await;
            if target.is_some() && !self.take_retry() {
                return self.fail(self.attempts.give_up(RefusalCause::NoBudget));
            }
            let is_delegated = matches!(target, Some(Target::Delegate(_)));
            let result = match target {
                Some(Target::Endpoint(endpoint)) => self.attempt_at(&endpoint).await,
                Some(Target::Delegate(delegate)) => self.attempt_by(&delegate).await,
                None => {
                    let rate_limited = self.node.rate_limit_refusal(&self.request.service);
                    let cause = rate_limited.unwrap_or(self.cause);
                    return self.fail(self.attempts.give_up(cause));
                }
            };
            let outcome = match result {
                Ok(response) => {
                    self.response_arrived();
                    return Ok(response);
                }
                Err(outcome) => outcome,
            };
            if outcome == AttemptOutcome::TurnedAway {
                self.cause = RefusalCause::Full;
            }
            let (node, request) = (self.node, self.request);
            self.end_retry(outcome, is_delegated);
            self.failed_ms = boot_ms();
            // The retry is taken once there is something to send the request to.
            let next = self.attempts.attempt_ended(outcome, || {
                node.has_retry(&request.service, RetryPurpose::Start)
            });
            match next {
                NextStep::Retry if outcome == AttemptOutcome::NotSent && !request.has_caller() => {
                    return self.fail(self.attempts.give_up(RefusalCause::CallerLeft));
                }
                NextStep::Retry => {}
                NextStep::ForwardFailure(limit) => {
                    let error = FinalError::Unknown;
                    return self.fail(RelayFailure { error, limit });
                }
                // Responses are forwarded only when complete, so there is none to resume.
                NextStep::Resume => return self.fail(self.attempts.give_up(self.cause)),
                NextStep::GiveUp(failure) => return self.fail(failure),
            }
        }
    }

    fn response_arrived(&mut self) {
        let arrived_by_ms = self.attempts.arrived_by_ms(true, boot_ms());
        if let Some(retry) = self.retry.take() {
            retry.end(arrived_by_ms);
        }
    }

    /// Ends the retry of a send that had no response to forward.
    fn end_retry(&mut self, outcome: AttemptOutcome, is_delegated: bool) {
        let is_settled = match outcome {
            AttemptOutcome::Abandoned => false,
            // The other instance may stand still, and send the request once it goes on.
            AttemptOutcome::Lost => !is_delegated,
            AttemptOutcome::NotSent | AttemptOutcome::TurnedAway | AttemptOutcome::Failed => true,
        };
        let retry = self.retry.take();
        self.node
            .end_retry(self.request, &mut self.attempts, retry, outcome, is_settled);
    }

    /// Takes a retry from the budget for the next send if it needs one. Returns whether it may be made.
    fn take_retry(&mut self) -> bool {
        if self.attempts.sends() == 0 {
            return true;
        }
        self.retry = self.node.take_retry(self.request, RetryPurpose::Start);
        self.retry.is_some()
    }

    fn is_withheld(&self) -> bool {
        let is_trial = self.request.is_quarantine_trial && self.attempts.sends() == 0;
        let status = self.node.quarantine_status(self.request.features.as_ref());
        status == QuarantineStatus::Withheld && !is_trial
    }

    async fn attempt_at(
        &mut self,
        endpoint: &EndpointId,
    ) -> Result<CompleteResponse, AttemptOutcome> {
        if self.attempts.sends() > 0 {
            self.log_repeat(endpoint);
        }
        self.attempts.send_started(endpoint);
        self.send_context = SendContext::new(self.node, [endpoint]);
        let result = self.exchange_with_patience(endpoint).await;
        let (outcome, failure) = match result {
            AttemptResult::Response(response) if is_failure(&response) => {
                self.failure = Some(response);
                (AttemptOutcome::Failed, EndpointFailure::Failed)
            }
            AttemptResult::Response(response) => {
                self.node.clear_request(self.request.features.as_ref());
                return Ok(response);
            }
            AttemptResult::Failed(outcome, failure) => (outcome, failure),
        };
        log::info!(
            request = self.request.ask.id.as_str(),
            digest = self.request.digest_label().as_str(),
            prompt_parts = self.request.prompt_parts_label().as_str(),
            endpoint = endpoint.as_str(),
            end:? = outcome,
            cause = failure.name(),
            known_at_send = self.send_context.endpoints.as_str(),
            list_at_send = self.send_context.list.as_str();
            "attempt failed"
        );
        self.attempts.exclude(endpoint);
        self.node.record_failure(endpoint, failure);
        if failure == EndpointFailure::Broken {
            self.node
                .record_broken_run(self.request.features.as_ref(), endpoint);
            probe_replica_in_background(self.node, endpoint);
        }
        Err(outcome)
    }

    /// Logs what is known about the endpoint to which the request is sent again.
    fn log_repeat(&self, endpoint: &EndpointId) {
        let now_ms = boot_ms();
        let heard_ms = self.node.last_heard_ms(endpoint);
        log::info!(
            request = self.request.ask.id.as_str(),
            endpoint = endpoint.as_str(),
            heard_ago_ms = (heard_ms > 0).then(|| now_ms.saturating_sub(heard_ms)),
            since_arrival_ms = now_ms.saturating_sub(self.request.arrived_ms),
            left_ms = self.request.remaining_ms(now_ms),
            sends = self.attempts.sends();
            "request is sent again"
        );
    }

    async fn attempt_by(
        &mut self,
        delegate: &Delegate,
    ) -> Result<CompleteResponse, AttemptOutcome> {
        let is_repeat = self.attempts.sends() > 0;
        let run = DelegatedRun {
            request: self.request,
            delegate,
            is_repeat,
            max_endpoints: self.attempts.delegation_started(&delegate.instance),
            reused_endpoints: &[],
            resume_after: None,
        };
        self.tried_delegates.insert(delegate.instance.clone());
        delegate_once(self.node, run).await
    }

    /// A failure response from an endpoint is more informative than an error of the relay itself.
    fn fail(&mut self, failure: RelayFailure) -> Result<CompleteResponse, RelayFailure> {
        let limit = Some(failure.limit);
        let response = self.failure.take();
        response
            .map(|response| CompleteResponse { limit, ..response })
            .ok_or(failure)
    }

    fn log_failure(&self, error: FinalError, limit: AttemptLimit) {
        let request = self.request;
        log::info!(
            request = request.ask.id.as_str(),
            digest = request.digest_label().as_str(),
            prompt_parts = request.prompt_parts_label().as_str(),
            withheld_for = self.node.withheld_for(request.features.as_ref()).as_str(),
            route = request.route.name.as_str(),
            word = error.name(),
            limit = limit.name(),
            repeats_left = self.node.retries_left(&request.service),
            sends = self.attempts.sends(),
            endpoints_used = self.attempts.endpoints_used(),
            turned_away = self.attempts.turned_away(),
            delegated_by = request.delegated_by(),
            known_at_send = self.send_context.endpoints.as_str(),
            list_at_send = self.send_context.list.as_str(),
            took_ms = boot_ms().saturating_sub(request.arrived_ms),
            table = request.table.version,
            list_age_ms = self.node.fleet.borrow().age_ms(boot_ms());
            "request has no answer"
        );
    }

    fn forward_response(&self, complete: CompleteResponse) -> Response<BoxBody> {
        let (node, request) = (self.node, self.request);
        let took_ms = boot_ms().saturating_sub(request.arrived_ms);
        node.counters.time_ms("relay.plain", took_ms);
        if let Some(limit) = complete.limit {
            node.count_given_up(limit);
        }
        log::info!(
            request = request.ask.id.as_str(),
            digest = request.digest_label().as_str(),
            prompt_parts = request.prompt_parts_label().as_str(),
            route = request.route.name.as_str(),
            status = complete.status.as_u16(),
            limit = complete.limit.map(AttemptLimit::name),
            sends = self.attempts.sends(),
            endpoints_used = self.attempts.endpoints_used(),
            turned_away = self.attempts.turned_away(),
            delegated_by = request.delegated_by(),
            known_at_send = self.send_context.endpoints.as_str(),
            list_at_send = self.send_context.list.as_str(),
            took_ms,
            objective_ms = request.route.objective_ms,
            table = request.table.version,
            list_age_ms = node.fleet.borrow().age_ms(boot_ms());
            "request answered"
        );
        let mut response = Response::with_body(complete.status, BoxBody::new(complete.body));
        *response.headers_mut() = complete.headers;
        close_if_stopping(node, response)
    }
}

fn is_failure(response: &CompleteResponse) -> bool {
    response.status.is_server_error()
}
