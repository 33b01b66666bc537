//! One request as the tasks that relay it share it.

use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::header::{HeaderValue, RETRY_AFTER};
use actix_http::{ConnectionType, RequestHead, Response, StatusCode};
use bytes::Bytes;
use tokio::time::Instant;

use super::adapter::{Adapter, Dispatch, RequestMetadata};
use super::node::Node;
use crate::clock::boot_ms;
use crate::fleet::Chain;
use crate::ids::{AccountId, EndpointId, ServiceName};
use crate::quarantine::RequestDigest;
use crate::relay::{FinalError, RetryConditions};
use crate::route_table::{Route, RouteTable};

/// What is left of a caller's time below which nothing is sent any more.
const LEAST_PATIENCE_MS: u64 = 5;

/// A request that the table allows.
pub(crate) struct RelayedRequest {
    pub(crate) ask: RequestMetadata,
    pub(crate) table: Rc<RouteTable>,
    pub(crate) route: Route,
    pub(crate) account: Option<AccountId>,
    pub(crate) priority: u32,
    pub(crate) service: ServiceName,
    /// Head without what concerns the caller's connection.
    pub(crate) head: RequestHead,
    pub(crate) body: Bytes,
    /// By what it is known when it comes again; `None` as long as the key of digests is not known.
    pub(crate) digest: Option<RequestDigest>,
    pub(crate) arrived_ms: u64,
    /// When the caller must have the final word: its own limit or the route's.
    pub(crate) deadline_ms: u64,
}

impl RelayedRequest {
    /// Its digest as log lines show it; empty if it has none.
    pub(crate) fn shown_digest(&self) -> String {
        self.digest.map_or_else(String::new, |it| it.to_string())
    }

    /// Time until the final word.
    pub(crate) fn left_ms(&self, now_ms: u64) -> u64 {
        self.deadline_ms.saturating_sub(now_ms)
    }

    /// Whether enough time is left to send it.
    pub(crate) fn has_time(&self, now_ms: u64) -> bool {
        self.left_ms(now_ms) >= LEAST_PATIENCE_MS
    }

    /// The head for one endpoint.
    pub(crate) fn head_for<A>(
        &self,
        node: &Node<A>,
        endpoint: &EndpointId,
        chain: Option<&Chain>,
        resume_after: Option<u64>,
    ) -> RequestHead
    where
        A: Adapter,
    {
        let mut head = self.head.clone();
        let dispatch = Dispatch {
            timeout_ms: self.left_ms(boot_ms()),
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

    /// Tokens that the request will hold in each layer: the prompt and the answer it may bring.
    pub(crate) fn held_tokens(&self) -> u64 {
        let hint = self.ask.response_tokens_hint;
        let answer = hint.or(self.ask.max_response_tokens).unwrap_or(0);
        self.ask.prompt_tokens.unwrap_or(0) + answer
    }
}

impl RelayedRequest {
    /// What decides when the request should be asked for again, if it is refused.
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

/// The instant of a time on the boot clock.
pub(crate) fn instant_at(at_ms: u64, now_ms: u64) -> Instant {
    Instant::now() + Duration::from_millis(at_ms.saturating_sub(now_ms))
}

/// The answer that tells a caller the final word.
pub(crate) fn error_response<A>(
    node: &Node<A>,
    word: FinalError,
    outlook: RetryConditions,
) -> Response<BoxBody>
where
    A: Adapter,
{
    let status = StatusCode::from_u16(word.status()).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    let mut response = Response::with_body(status, BoxBody::new(word.name()));
    if let FinalError::NotRun(cause) = word {
        let seconds = format!("{:.3}", cause.retry_after_ms(outlook) as f64 / 1_000.0);
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    node.counters.count(&format!("relay.words.{}", word.name()));
    finish(node, response)
}

/// An answer of the instance's own with a status only.
pub(crate) fn status_response<A>(node: &Node<A>, status: StatusCode) -> Response<BoxBody>
where
    A: Adapter,
{
    node.counters
        .count(&format!("relay.statuses.{}", status.as_u16()));
    let response = Response::with_body(status, BoxBody::new(()));
    finish(node, response)
}

/// Tells the caller to leave the connection if the process is about to end.
pub(crate) fn finish<A>(node: &Node<A>, mut response: Response<BoxBody>) -> Response<BoxBody>
where
    A: Adapter,
{
    if node.stopping_since_ms.get().is_some() {
        response
            .head_mut()
            .set_connection_type(ConnectionType::Close);
    }
    response
}
