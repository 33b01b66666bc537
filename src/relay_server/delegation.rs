//! Requests that an instance delegates to another one because it reaches no endpoint that can run them.
//!
//! The other instance serves such a request as its own: it chooses endpoints, and its retries, rate limits and
//! back-offs apply. The instance that has the caller counts the request, keeps its deadline, and cancels it by
//! closing the connection. A request is delegated only once, so that two
//! instances cannot pass it to each other repeatedly.

use std::time::Duration;

use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
use actix_http::{RequestHead, Response, ResponseHead};
use indexmap::IndexSet;
use tokio::time::sleep;

use super::adapter::Adapter;
use super::delegates::Delegate;
use super::node::Node;
use super::peer_selection::weighted_by_link;
use super::request::RelayedRequest;
use super::traffic::TrafficKind;
use super::upstream::{Exchange, OutgoingRequest, ResponseBody, UpstreamFailure};
use crate::clock::boot_ms;
use crate::ids::{EndpointId, InstanceId, ServiceName};
use crate::relay::{AttemptOutcome, Attempts, FinalError};

/// Name of the instance that delegates a request.
const DELEGATED_BY: HeaderName = HeaderName::from_static("fescue-delegated-by");
/// Version of the route table that it has applied to the request.
const TABLE_VERSION: HeaderName = HeaderName::from_static("fescue-table-version");
/// Maximum number of endpoints on which the request may still run.
const MAX_ENDPOINTS: HeaderName = HeaderName::from_static("fescue-max-endpoints");
/// Endpoints on which the request may run again if the maximum is 0: their ids in hexadecimal form, separated by commas.
const REUSED_ENDPOINTS: HeaderName = HeaderName::from_static("fescue-reused-endpoints");
/// Whether endpoints have received the request before: `1` if so.
const IS_REPEAT: HeaderName = HeaderName::from_static("fescue-is-repeat");
/// Outcome of the request.
const OUTCOME: HeaderName = HeaderName::from_static("fescue-delegation-outcome");

/// Interval between checks whether the other instance is still heard.
const HEARTBEAT_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Metadata of a delegated request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Delegation {
    pub(super) delegated_by: InstanceId,
    /// Version of the route table that it has applied; the request is not served under an older one.
    pub(super) table_version: u64,
    /// Maximum number of endpoints on which the request may run.
    pub(super) max_endpoints: u32,
    /// Endpoints on which it has run and may run again, if no further one may run it.
    pub(super) reused_endpoints: Vec<EndpointId>,
    /// Whether endpoints have received the request before.
    pub(super) is_repeat: bool,
}

impl Delegation {
    /// Reads the headers of a request that was passed on; `None` if it was not.
    pub(super) fn from_head(head: &RequestHead) -> Option<Self> {
        let text = |name: HeaderName| head.headers.get(name)?.to_str().ok();
        Some(Self {
            delegated_by: InstanceId::from(text(DELEGATED_BY)?),
            table_version: text(TABLE_VERSION)?.parse().ok()?,
            max_endpoints: text(MAX_ENDPOINTS)?.parse().ok()?,
            reused_endpoints: text(REUSED_ENDPOINTS).map_or_else(Vec::new, decode_endpoints),
            is_repeat: text(IS_REPEAT) == Some("1"),
        })
    }

    pub(super) fn set_headers(&self, headers: &mut HeaderMap) {
        let table_version = self.table_version.to_string();
        let max_endpoints = self.max_endpoints.to_string();
        let is_repeat = if self.is_repeat { "1" } else { "0" };
        let reused_endpoints = encode_endpoints(&self.reused_endpoints);
        for (name, value) in [
            (DELEGATED_BY, self.delegated_by.as_str()),
            (IS_REPEAT, is_repeat),
            (TABLE_VERSION, &table_version),
            (MAX_ENDPOINTS, &max_endpoints),
            (REUSED_ENDPOINTS, &reused_endpoints),
        ] {
            match HeaderValue::from_str(value) {
                Ok(value) => drop(headers.insert(name, value)),
                Err(_) => {
                    log::error!(header = name.as_str(); "invalid header value; header not set")
                }
            }
        }
    }
}

fn encode_endpoints(endpoints: &[EndpointId]) -> String {
    let encoded: Vec<String> = endpoints
        .iter()
        .map(|it| hex::encode(it.as_str()))
        .collect();
    encoded.join(",")
}

/// Reads ids of endpoints; skips what is no id.
fn decode_endpoints(text: &str) -> Vec<EndpointId> {
    let decode = |part: &str| {
        let bytes = hex::decode(part).ok().filter(|it| !it.is_empty())?;
        String::from_utf8(bytes).ok().map(EndpointId::from)
    };
    text.split(',').filter_map(decode).collect()
}

/// Whether a request was passed on by another instance.
pub(super) fn is_delegated(head: &RequestHead) -> bool {
    head.headers.contains_key(DELEGATED_BY)
}

/// Removes the headers that are used only between instances.
pub(super) fn strip_headers(headers: &mut HeaderMap) {
    for name in [
        DELEGATED_BY,
        TABLE_VERSION,
        MAX_ENDPOINTS,
        REUSED_ENDPOINTS,
        IS_REPEAT,
        OUTCOME,
    ] {
        headers.remove(name);
    }
}

/// Why a request is delegated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DelegationReason {
    /// This instance reaches no endpoint of the service. A request that may have run is delegated only if another
    /// instance reaches them, because a stopped endpoint continues its runs later.
    CutOff,
    /// No endpoint that is left can run the request, and some are unreachable from here. Endpoints that all
    /// instances reach are no reason.
    NoneUsable,
}

/// A run of a request that another instance serves.
#[derive(Clone, Copy)]
pub(super) struct DelegatedRun<'a> {
    pub(super) request: &'a RelayedRequest,
    pub(super) delegate: &'a Delegate,
    /// Maximum number of endpoints on which the other instance may run the request.
    pub(super) max_endpoints: usize,
    /// Endpoints on which it may run the request again if that maximum is 0.
    pub(super) reused_endpoints: &'a [EndpointId],
    /// Whether endpoints have received the request before.
    pub(super) is_repeat: bool,
    /// The last event of the stream that the caller has received, if any.
    pub(super) resume_after: Option<u64>,
}

/// Outcome of a delegated request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DelegationOutcome {
    /// The response is final.
    Answered,
    /// No endpoint has received it, and the other instance cannot serve requests like it.
    NotSent,
    /// It has not run. Endpoints may have turned it away.
    TurnedAway,
    /// It may have run.
    Unknown,
}

impl DelegationOutcome {
    const ALL: [Self; 4] = [
        Self::Answered,
        Self::NotSent,
        Self::TurnedAway,
        Self::Unknown,
    ];

    fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotSent => "not-sent",
            Self::TurnedAway => "turned-away",
            Self::Unknown => "unknown",
        }
    }

    /// Reads the outcome from the head of a response, if it has one.
    fn from_head(head: &ResponseHead) -> Option<Self> {
        let text = head.headers.get(OUTCOME)?.to_str().ok()?;
        Self::ALL.into_iter().find(|it| it.as_str() == text)
    }

    /// The outcome that a response of this instance represents.
    pub(super) fn of_response<B>(response: &Response<B>) -> Self {
        match response.extensions().get::<FinalError>() {
            None => Self::Answered,
            Some(FinalError::NotRun(cause)) if cause.is_unavailability() => Self::NotSent,
            Some(FinalError::NotRun(_) | FinalError::TurnedAway(_)) => Self::TurnedAway,
            Some(FinalError::Unknown | FinalError::TimedOut) => Self::Unknown,
        }
    }
}

/// Adds the outcome to the response to the instance that delegated the request.
pub(super) fn set_outcome<B>(response: &mut Response<B>) {
    let outcome = DelegationOutcome::of_response(response);
    let value = HeaderValue::from_static(outcome.as_str());
    response.headers_mut().insert(OUTCOME, value);
}

impl<A> Node<A>
where
    A: Adapter,
{
    /// The instance to pass a request on to, if there is `reason` to and one can be asked.
    pub(super) fn choose_delegate(
        &self,
        reason: DelegationReason,
        request: &RelayedRequest,
        attempts: &Attempts,
        tried: &IndexSet<InstanceId>,
    ) -> Option<Delegate> {
        // Another instance may reach endpoints that this one is cut off from, also those on which a stream has run.
        let may_return =
            reason == DelegationReason::CutOff && attempts.endpoints_to_reuse().is_some();
        let may_run = attempts.may_delegate() || may_return;
        let may_delegate = request.delegation.is_none() && may_run;
        let now_ms = boot_ms();
        if !may_delegate || !self.applies(reason, &request.service, attempts, now_ms) {
            return None;
        }
        let history = self.delegation_history.borrow();
        let service = &request.service;
        let may_ask = |instance: &InstanceId| {
            !tried.contains(instance) && history.may_ask(service, instance, now_ms)
        };
        let peers = self.peers.borrow();
        let delegates = peers.delegates_among(service, may_ask, now_ms);
        let delegates: Vec<&Delegate> = delegates.iter().collect();
        weighted_by_link(&delegates, |it| it.link_mbps, self.random_u64()).cloned()
    }

    fn applies(
        &self,
        reason: DelegationReason,
        service: &ServiceName,
        attempts: &Attempts,
        now_ms: u64,
    ) -> bool {
        let fleet = self.fleet.borrow();
        match reason {
            DelegationReason::CutOff if attempts.may_have_run() => {
                fleet.reach.is_cut_off(service, now_ms)
            }
            DelegationReason::CutOff => fleet.reach.is_lost(service),
            DelegationReason::NoneUsable => fleet
                .of_service(service)
                .any(|known| known.health.is_dead()),
        }
    }

    /// Passes a request on and waits for the head of its response, without headers that are used only between
    /// instances. Fails as an attempt at an endpoint does.
    pub(super) async fn delegate_request(
        &self,
        run: DelegatedRun<'_>,
    ) -> Result<(ResponseHead, ResponseBody), AttemptOutcome> {
        let DelegatedRun {
            request, delegate, ..
        } = run;
        log::info!(
            request = request.ask.id.as_str(),
            peer = delegate.instance.as_str(),
            is_cut_off = self.fleet.borrow().reach.is_lost(&request.service),
            resume_after = run.resume_after,
            max_endpoints = run.max_endpoints,
            reused_endpoints = run.reused_endpoints.len(),
            table = request.table.version;
            "request is delegated to another instance"
        );
        self.counters.count("relay.delegations.sent");
        let result = self.exchange_with_delegate(run).await;
        if let Err(outcome) = &result {
            self.counters.count("relay.delegations.failed");
            log::info!(
                request = request.ask.id.as_str(),
                peer = delegate.instance.as_str(),
                end:? = outcome;
                "other instance did not serve a delegated request"
            );
        }
        result
    }

    async fn exchange_with_delegate(
        &self,
        run: DelegatedRun<'_>,
    ) -> Result<(ResponseHead, ResponseBody), AttemptOutcome> {
        let instance = &run.delegate.instance;
        let exchange = self.send_to_delegate(run).await.map_err(|failure| {
            self.record_unavailable(&run.request.service, instance);
            failed(failure)
        })?;
        let (mut head, body) = tokio::select! {
            biased;
            response = exchange.head() => response.map_err(failed)?,
            () = self.until_unheard(instance) => return Err(AttemptOutcome::Lost),
        };
        let outcome = DelegationOutcome::from_head(&head);
        strip_headers(&mut head.headers);
        match outcome {
            Some(DelegationOutcome::Answered) => Ok((head, body)),
            Some(DelegationOutcome::NotSent) => {
                self.record_unavailable(&run.request.service, instance);
                Err(AttemptOutcome::NotSent)
            }
            Some(DelegationOutcome::TurnedAway) => Err(AttemptOutcome::TurnedAway),
            Some(DelegationOutcome::Unknown) | None => Err(AttemptOutcome::Lost),
        }
    }

    async fn send_to_delegate(&self, run: DelegatedRun<'_>) -> Result<Exchange, UpstreamFailure> {
        let request = run.request;
        let now_ms = boot_ms();
        let mut head = request.head.clone();
        let timeout_ms = request.remaining_ms(now_ms);
        self.adapter
            .set_delegation_headers(&mut head.headers, timeout_ms, run.resume_after);
        let delegation = Delegation {
            delegated_by: self.settings.instance.clone(),
            table_version: request.table.version,
            max_endpoints: u32::try_from(run.max_endpoints).unwrap_or(u32::MAX),
            reused_endpoints: run.reused_endpoints.to_vec(),
            is_repeat: run.is_repeat,
        };
        delegation.set_headers(&mut head.headers);
        let outgoing = OutgoingRequest {
            id: &request.ask.id,
            head,
            body: request.body.clone(),
        };
        let sent = self
            .delegates
            .send(run.delegate.address, outgoing, now_ms, || {
                // What the caller has of a stream is worth more with the rest of it.
                let is_resumed = run.resume_after.is_some();
                request.may_send(self) && (is_resumed || request.may_start(self))
            })
            .await;
        if !sent.as_ref().is_err_and(|failure| failure.sent_nothing()) {
            let scope = self.scope_of_instance(&run.delegate.instance);
            let kind = TrafficKind::DelegatedRequests;
            self.count_traffic(kind, scope, request.body.len());
        }
        sent
    }

    fn record_unavailable(&self, service: &ServiceName, instance: &InstanceId) {
        let mut history = self.delegation_history.borrow_mut();
        history.record_unavailable(service, instance, boot_ms());
    }

    /// Waits until an instance is no longer heard.
    pub(super) async fn until_unheard(&self, instance: &InstanceId) {
        while self.peers.borrow().hears(instance, boot_ms()) {
            sleep(HEARTBEAT_CHECK_INTERVAL).await;
        }
    }
}

/// What a failed exchange with another instance means for the request.
pub(super) fn failed(failure: UpstreamFailure) -> AttemptOutcome {
    let (outcome, _) = failure.classify();
    outcome
}
