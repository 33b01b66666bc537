//! Relays requests to services whose endpoints hold no layers; responses are buffered completely.

mod delegate;

use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::header::HeaderMap;
use actix_http::{Response, StatusCode};
use bytes::Bytes;
use indexmap::IndexSet;
use tokio::time::{timeout, timeout_at};

use self::delegate::delegate_once;
use super::adapter::{Adapter, ResponseMetadata};
use super::delegates::Delegate;
use super::delegation::{DelegatedRun, DelegationReason};
use super::exits::{probe_replica_in_background, replica_may_have_exited};
use super::headers;
use super::node::Node;
use super::request::{RelayedRequest, close_if_stopping, error_response, instant_at};
use super::retries::HeldRetry;
use super::send_context::SendContext;
use super::traffic::TrafficKind;
use super::upstream::UpstreamFailure;
use crate::clock::boot_ms;
use crate::fleet::{EndpointFailure, pick_replica};
use crate::ids::{EndpointId, InstanceId};
use crate::quarantine::QuarantineStatus;
use crate::relay::{
    AttemptLimit, AttemptOutcome, Attempts, FinalError, NextStep, RefusalCause, RelayFailure,
    RetryPurpose,
};

/// Maximum size of a buffered response.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// How long an endpoint may take, in objectives, before an idempotent request is tried elsewhere.
/// One response in a hundred takes five times the mean, and the mean is a fifth of the objective.
const ATTEMPT_OBJECTIVES: u64 = 2;

/// A complete response of an endpoint.
struct CompleteResponse {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
    /// Why there was no further attempt, for a failure that is forwarded.
    limit: Option<AttemptLimit>,
}

/// The result of one attempt.
enum AttemptResult {
    Response(CompleteResponse),
    /// There is no response to forward; the outcome and what it means for the endpoint.
    Failed(AttemptOutcome, EndpointFailure),
}

/// What an attempt goes to.
enum Target {
    Endpoint(EndpointId),
    /// Another instance.
    Delegate(Delegate),
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
}

/// Relays a request until it has a response or a final error.
pub(crate) async fn relay_plain<A>(node: &Rc<Node<A>>, request: RelayedRequest) -> Response<BoxBody>
where
    A: Adapter,
{
    let mut relay = PlainRelay::new(node, &request);
    let until = instant_at(request.deadline_ms, boot_ms());
    let result = timeout_at(until, relay.serve()).await;
    let RelayFailure { error, limit } = match result {
        Ok(Ok(response)) => return relay.forward_response(response),
        Ok(Err(failure)) => failure,
        Err(_) => relay.attempts.give_up(RefusalCause::TooLate),
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
        }
    }

    async fn serve(&mut self) -> Result<CompleteResponse, RelayFailure> {
        loop {
            if self.is_withheld() {
                self.return_unsent_retry();
                return self.fail(self.attempts.give_up(RefusalCause::Withheld));
            }
            let target = self.choose_target();
            let is_delegated = matches!(target, Some(Target::Delegate(_)));
            let result = match target {
                Some(Target::Endpoint(endpoint)) => self.attempt_at(&endpoint).await,
                Some(Target::Delegate(delegate)) => self.attempt_by(&delegate).await,
                None => {
                    self.return_unsent_retry();
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
            if outcome == AttemptOutcome::NotSent && !request.has_caller() {
                return self.fail(self.attempts.give_up(RefusalCause::CallerLeft));
            }
            let retry = &mut self.retry;
            let next = self.attempts.attempt_ended(outcome, || {
                *retry = node.take_retry(request, RetryPurpose::Start);
                retry.is_some()
            });
            match next {
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

    /// Returns the retry for a send that is not made.
    fn return_unsent_retry(&mut self) {
        if let Some(retry) = self.retry.take() {
            self.node.cancel_retry(self.request, retry);
        }
    }

    fn is_withheld(&self) -> bool {
        let is_trial = self.request.is_quarantine_trial && self.attempts.sends() == 0;
        let status = self.node.quarantine_status(self.request.features.as_ref());
        status == QuarantineStatus::Withheld && !is_trial
    }

    /// What the next attempt goes to: another instance if this one reaches no endpoints, or none that has not
    /// been tried.
    fn choose_target(&self) -> Option<Target> {
        if let Some(delegate) = self.choose_delegate(DelegationReason::CutOff) {
            return Some(Target::Delegate(delegate));
        }
        let picked = pick_replica(
            &self.node.fleet.borrow(),
            &self.request.service,
            &self.node.settings.zone,
            self.attempts.excluded(),
            boot_ms(),
        );
        if let Some(endpoint) = picked {
            return Some(Target::Endpoint(endpoint));
        }
        let delegate = self.choose_delegate(DelegationReason::NoneUsable)?;
        Some(Target::Delegate(delegate))
    }

    fn choose_delegate(&self, reason: DelegationReason) -> Option<Delegate> {
        self.node
            .choose_delegate(reason, self.request, &self.attempts, &self.tried_delegates)
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
        let result = attempt_once(self.node, self.request, endpoint, &self.attempts).await;
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
        let run = DelegatedRun {
            request: self.request,
            delegate,
            max_endpoints: self.attempts.delegation_started(&delegate.instance),
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

async fn attempt_once<A>(
    node: &Rc<Node<A>>,
    request: &RelayedRequest,
    endpoint: &EndpointId,
    attempts: &Attempts,
) -> AttemptResult
where
    A: Adapter,
{
    let started_ms = boot_ms();
    let _load = InFlightGuard::begin(node, endpoint);
    let exchange = exchange(node, request, endpoint);
    if !attempts.may_try_another() {
        return exchange.await;
    }
    let limit_ms = request.route.objective_ms * ATTEMPT_OBJECTIVES;
    let limit = Duration::from_millis(limit_ms.min(request.remaining_ms(started_ms) / 2));
    let result = timeout(limit, exchange).await;
    result.unwrap_or(AttemptResult::Failed(
        AttemptOutcome::Abandoned,
        EndpointFailure::Silent,
    ))
}

async fn exchange<A>(
    node: &Rc<Node<A>>,
    request: &RelayedRequest,
    endpoint: &EndpointId,
) -> AttemptResult
where
    A: Adapter,
{
    let started_ms = boot_ms();
    let Some(address) = address_of(node, endpoint) else {
        return AttemptResult::Failed(AttemptOutcome::NotSent, EndpointFailure::Unreachable);
    };
    let head = request.head_for(node, endpoint, None, None);
    let sent = node
        .send_with_permit(endpoint, address, head, request.body.clone(), || {
            request.may_send(node) && node.accepts_requests(endpoint)
        })
        .await;
    let exchange = match sent {
        Ok(exchange) => exchange,
        Err(failure) => return failed(failure),
    };
    let (head, mut body) = match exchange.head().await {
        Ok(response) => response,
        Err(failure) => return failed(failure),
    };
    node.record_heard(endpoint);
    let facts = node.adapter.parse_response_metadata(&head);
    if facts.id.as_deref() != Some(request.ask.id.as_str()) {
        return failed(UpstreamFailure::Garbled);
    }
    node.apply_pacing(endpoint, facts.pacing);
    let content = match body.read_to_end(MAX_RESPONSE_BYTES).await {
        Ok(content) => content,
        Err(failure) => return failed(failure),
    };
    let scope = node.scope_of_endpoint(endpoint);
    node.count_traffic(TrafficKind::EndpointResponses, scope, content.len());
    if body.ends_with_connection()
        && replica_may_have_exited(node, request, endpoint, address).await
    {
        return failed(UpstreamFailure::Broken);
    }
    let now_ms = boot_ms();
    let keep_alive_ms = headers::keep_alive_ms(&head);
    node.upstreams.release(body, keep_alive_ms, now_ms);
    if let Some(failed) = unusable_response(&facts, head.status) {
        return failed;
    }
    if let Some(known) = node.fleet.borrow_mut().get_mut(endpoint)
        && !head.status.is_server_error()
    {
        known
            .health
            .record_answer(now_ms.saturating_sub(started_ms));
    }
    AttemptResult::Response(CompleteResponse {
        status: head.status,
        headers: headers::end_to_end_headers(&head.headers),
        body: content,
        limit: None,
    })
}

/// Classifies a response that cannot be forwarded.
fn unusable_response(facts: &ResponseMetadata, status: StatusCode) -> Option<AttemptResult> {
    if facts.not_run || status == StatusCode::MISDIRECTED_REQUEST {
        return Some(AttemptResult::Failed(
            AttemptOutcome::TurnedAway,
            EndpointFailure::Full,
        ));
    }
    // These statuses promise that nothing ran, but the endpoint does not confirm it.
    let promises_not_run = matches!(status.as_u16(), 408 | 429 | 503);
    let is_unsealed = status.is_success() && !facts.is_sealed;
    (promises_not_run || is_unsealed).then_some(AttemptResult::Failed(
        AttemptOutcome::Abandoned,
        EndpointFailure::Failed,
    ))
}

fn failed(failure: UpstreamFailure) -> AttemptResult {
    let (outcome, failure) = failure.classify();
    AttemptResult::Failed(outcome, failure)
}

pub(super) fn address_of<A>(node: &Node<A>, endpoint: &EndpointId) -> Option<std::net::SocketAddr>
where
    A: Adapter,
{
    let fleet = node.fleet.borrow();
    fleet.get(endpoint).map(|known| known.listed.address)
}

/// Counts a request as in flight at an endpoint until dropped.
struct InFlightGuard<'a, A> {
    node: &'a Node<A>,
    endpoint: EndpointId,
}

impl<'a, A> InFlightGuard<'a, A> {
    fn begin(node: &'a Node<A>, endpoint: &EndpointId) -> Self {
        if let Some(known) = node.fleet.borrow_mut().get_mut(endpoint) {
            known.in_flight += 1;
        }
        Self {
            node,
            endpoint: endpoint.clone(),
        }
    }
}

impl<A> Drop for InFlightGuard<'_, A> {
    fn drop(&mut self) {
        if let Some(known) = self.node.fleet.borrow_mut().get_mut(&self.endpoint) {
            known.in_flight = known.in_flight.saturating_sub(1);
        }
    }
}
