//! A request as shared by the tasks that relay it.

use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::header::{HeaderValue, RETRY_AFTER};
use actix_http::{ConnectionType, RequestHead, Response, StatusCode};
use bytes::Bytes;
use tokio::time::Instant;

use super::adapter::{Adapter, Dispatch, RequestMetadata};
use super::caller_link::CallerLink;
use super::delegation::Delegation;
use super::memory_budget::MemoryShare;
use super::node::Node;
use crate::clock::boot_ms;
use crate::fleet::Chain;
use crate::ids::{AccountId, EndpointId, ServiceName};
use crate::quarantine::RequestFeatures;
use crate::relay::{FinalError, RetryConditions};
use crate::route_table::{Route, RouteTable};

/// Minimum remaining time for which a request is still sent.
const MIN_SEND_WINDOW_MS: u64 = 5;

/// A request that the route table allows.
pub(crate) struct RelayedRequest {
    pub(crate) ask: RequestMetadata,
    pub(crate) table: Rc<RouteTable>,
    pub(crate) route: Route,
    pub(crate) account: Option<AccountId>,
    pub(crate) priority: u32,
    pub(crate) service: ServiceName,
    /// Request head without the headers of the caller's connection.
    pub(crate) head: RequestHead,
    pub(crate) body: Bytes,
    /// Memory of the body.
    pub(super) _memory: Option<MemoryShare>,
    /// What it has in common with other requests; `None` as long as the digest key is not known.
    pub(crate) features: Option<RequestFeatures>,
    /// Whether it is sent to one endpoint although it is withheld, to find out whether that is wrong.
    pub(crate) is_quarantine_trial: bool,
    pub(crate) arrived_ms: u64,
    /// The instance that has received it from the caller, if that is another one.
    pub(crate) delegation: Option<Delegation>,
    /// The connection on which it arrived, if that is observed.
    pub(super) caller: Option<CallerLink>,
    /// When the caller must have a response: the earlier of its own and the route's timeout.
    pub(crate) deadline_ms: u64,
}

impl RelayedRequest {
    /// Maximum number of endpoints on which the request may run.
    pub(crate) fn max_endpoints(&self) -> u32 {
        let limit = self.delegation.as_ref().map(|it| it.max_endpoints);
        limit.unwrap_or(u32::MAX).min(self.route.max_endpoints)
    }

    /// Endpoints on which it has run from another instance, if it may run only there.
    pub(super) fn reused_endpoints(&self) -> impl Iterator<Item = EndpointId> {
        let delegation = self.delegation.iter();
        delegation.flat_map(|it| it.reused_endpoints.iter().cloned())
    }

    /// Whether endpoints have received it from another instance before.
    pub(super) fn is_repeat(&self) -> bool {
        self.delegation.as_ref().is_some_and(|it| it.is_repeat)
    }

    /// The instance that has received it from the caller, for log lines.
    pub(crate) fn delegated_by(&self) -> Option<&str> {
        let delegation = self.delegation.as_ref();
        delegation.map(|it| it.delegated_by.as_str())
    }

    /// The request's digest for log lines; empty if there is none.
    pub(crate) fn digest_label(&self) -> String {
        let features = self.features.as_ref();
        features.map_or_else(String::new, |it| it.request.to_string())
    }

    /// Digests of the shared parts of its prompt for log lines.
    pub(crate) fn prompt_parts_label(&self) -> String {
        let features = self.features.as_ref();
        features.map_or_else(String::new, RequestFeatures::prompt_parts_label)
    }

    /// Time until the deadline.
    pub(crate) fn remaining_ms(&self, now_ms: u64) -> u64 {
        self.deadline_ms.saturating_sub(now_ms)
    }

    /// Whether the caller is still connected, or the instance that has delegated the request.
    pub(crate) fn has_caller(&self) -> bool {
        !self.caller.as_ref().is_some_and(CallerLink::has_ended)
    }

    /// Whether to send the request now: its caller is still connected. A caller that has left may have sent it again
    /// elsewhere.
    pub(super) fn may_send<A>(&self, node: &Node<A>) -> bool {
        let has_caller = self.has_caller();
        if !has_caller {
            node.counters.count("relay.sends_without_caller");
            log::info!(
                request = self.ask.id.as_str(),
                route = self.route.name.as_str(),
                delegated_by = self.delegated_by(),
                since_arrival_ms = boot_ms().saturating_sub(self.arrived_ms);
                "request is not sent: its caller has left"
            );
        }
        has_caller
    }

    /// Whether enough time is left to send the request.
    pub(crate) fn has_time_to_send(&self, now_ms: u64) -> bool {
        self.remaining_ms(now_ms) >= MIN_SEND_WINDOW_MS
    }

    /// The request head for one endpoint, which may take `timeout_ms`.
    pub(crate) fn head_for<A>(
        &self,
        node: &Node<A>,
        endpoint: &EndpointId,
        timeout_ms: u64,
        chain: Option<&Chain>,
        resume_after: Option<u64>,
    ) -> RequestHead
    where
        A: Adapter,
    {
        let mut head = self.head.clone();
        let dispatch = Dispatch {
            timeout_ms,
            endpoint: &endpoint.name(),
            account: self.account.as_ref(),
            priority: self.priority,
            chain,
            resume_after,
        };
        node.adapter
            .set_dispatch_headers(&mut head.headers, &dispatch);
        head
    }

    /// Tokens that the request will hold in each layer: the prompt and the expected response.
    pub(crate) fn held_tokens(&self) -> u64 {
        let hint = self.ask.response_tokens_hint;
        let answer = hint.or(self.ask.max_response_tokens).unwrap_or(0);
        self.ask.prompt_tokens.unwrap_or(0) + answer
    }
}

impl RelayedRequest {
    /// Conditions that determine when the caller should retry if the request is refused.
    pub(crate) fn retry_conditions<A>(&self, node: &Node<A>) -> RetryConditions
    where
        A: Adapter,
    {
        let service = self.table.services.get(&self.service);
        let model = service.and_then(|service| service.model.as_ref());
        match model {
            Some(model) => {
                let layers = node.fleet.borrow().mean_layers(&self.service);
                let share = layers / f64::from(model.layers.max(1));
                let load_ms = (model.load_ms as f64 * share) as u64;
                node.retry_conditions(load_ms, node.run_times.borrow().mean_ms(&self.service))
            }
            None => node.retry_conditions(0, self.route.objective_ms),
        }
    }
}

/// Converts a time of the boot clock into an instant.
pub(crate) fn instant_at(at_ms: u64, now_ms: u64) -> Instant {
    Instant::now() + Duration::from_millis(at_ms.saturating_sub(now_ms))
}

/// The response that reports a final error to the caller.
pub(crate) fn error_response<A>(
    node: &Node<A>,
    error: FinalError,
    retry_conditions: RetryConditions,
) -> Response<BoxBody>
where
    A: Adapter,
{
    let status = StatusCode::from_u16(error.status()).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    let mut response = Response::with_body(status, BoxBody::new(error.name()));
    if let Some(cause) = error.refusal_cause() {
        let seconds = format!(
            "{:.3}",
            cause.retry_after_ms(retry_conditions) as f64 / 1_000.0
        );
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    // Tells an instance that has delegated the request whether it has run.
    response.extensions_mut().insert(error);
    node.counters
        .count(&format!("relay.words.{}", error.name()));
    close_if_stopping(node, response)
}

/// A response of the instance itself that has only a status.
pub(crate) fn status_response<A>(node: &Node<A>, status: StatusCode) -> Response<BoxBody>
where
    A: Adapter,
{
    node.counters
        .count(&format!("relay.statuses.{}", status.as_u16()));
    let response = Response::with_body(status, BoxBody::new(()));
    close_if_stopping(node, response)
}

/// Asks the caller to close the connection if the process is about to stop.
pub(crate) fn close_if_stopping<A>(
    node: &Node<A>,
    mut response: Response<BoxBody>,
) -> Response<BoxBody>
where
    A: Adapter,
{
    if node.is_stopping() {
        response
            .head_mut()
            .set_connection_type(ConnectionType::Close);
    }
    response
}
