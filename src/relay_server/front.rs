//! Entry point of callers' requests: serves the instance's local pages and relays all others.

use std::cell::Cell;
use std::rc::Rc;

use actix_http::body::BoxBody;
use actix_http::header::{self, HeaderValue};
use actix_http::uri::PathAndQuery;
use actix_http::{Payload, Request, RequestHead, Response, StatusCode};
use bytes::Bytes;

use super::adapter::{Adapter, LocalPage};
use super::caller_link::CallerLink;
use super::delegation::{Delegation, set_outcome, strip_headers};
use super::headers;
use super::node::Node;
use super::plain::relay_plain;
use super::request::{RelayedRequest, error_response, status_response};
use super::request_body::{BodyError, RequestBody, read_body};
use super::stream_response::relay_stream;
use crate::clock::boot_ms;
use crate::quarantine::{QuarantineStatus, RequestParts};
use crate::relay::{AttemptLimit, FinalError, RefusalCause};
use crate::route_table::{Rejection, Route, RouteTable};

/// Timeout of a caller that does not state one: no shorter than any route's timeout.
const DEFAULT_TIMEOUT_MS: u64 = 60_000;

/// Age up to which the resolution of a request is used without another look.
const MAX_RESOLUTION_AGE_MS: u64 = 250;

/// Maximum number of open requests of other instances' callers. Each takes some tens of kilobytes.
const MAX_DELEGATED: u64 = 512;

/// Counts a request as open until its response has been handed over.
pub(crate) struct OpenRequest<A> {
    node: Rc<Node<A>>,
    /// Whether another instance has received it from its caller.
    is_delegated: bool,
}

impl<A> OpenRequest<A> {
    fn begin(node: &Rc<Node<A>>, is_delegated: bool) -> Self {
        let open = Self {
            node: Rc::clone(node),
            is_delegated,
        };
        open.counts()
            .for_each(|count| count.set(count.get().saturating_add(1)));
        open
    }

    fn counts(&self) -> impl Iterator<Item = &Cell<u64>> {
        let delegated = self.is_delegated.then_some(&self.node.open_delegated);
        std::iter::once(&self.node.open_requests).chain(delegated)
    }
}

impl<A> Drop for OpenRequest<A> {
    fn drop(&mut self) {
        self.counts()
            .for_each(|count| count.set(count.get().saturating_sub(1)));
    }
}

/// Handles one request.
pub(crate) async fn handle_request<A>(node: Rc<Node<A>>, request: Request) -> Response<BoxBody>
where
    A: Adapter,
{
    let uri = request.uri();
    let query = uri.query().unwrap_or("");
    match node.adapter.match_local_page(uri.path(), query) {
        Some(page) => serve_local_page(&node, &page),
        None => {
            let open = OpenRequest::begin(&node, false);
            let response = relay(&node, request, None).await;
            response.map_body(|_, body| BoxBody::new(TrackedBody { body, _open: open }))
        }
    }
}

/// Handles a request that another instance has received from its caller.
pub(crate) async fn handle_delegated<A>(node: Rc<Node<A>>, request: Request) -> Response<BoxBody>
where
    A: Adapter,
{
    let Some(delegation) = Delegation::from_head(request.head()) else {
        log::warn!(peer:? = request.peer_addr(); "headers of a delegated request are malformed");
        return status_response(&node, StatusCode::BAD_REQUEST);
    };
    node.counters.count("relay.delegations.received");
    let open = OpenRequest::begin(&node, true);
    let mut response = relay(&node, request, Some(delegation)).await;
    set_outcome(&mut response);
    response.map_body(|_, body| BoxBody::new(TrackedBody { body, _open: open }))
}

/// Serves the page of counters.
pub(crate) fn metrics_page<A>(node: &Node<A>) -> Response<BoxBody>
where
    A: Adapter,
{
    node.counters
        .gauge("relay.open_requests", node.open_requests.get());
    let connections = node.caller_connections.borrow().count() as u64;
    node.counters.gauge("relay.caller_connections", connections);
    let to_endpoints = node.upstreams.idle_count() as u64;
    node.counters
        .gauge("relay.idle_endpoint_connections", to_endpoints);
    let response_bytes = node.response_memory.used_bytes();
    node.counters
        .gauge("relay.response_memory_bytes", response_bytes as u64);
    let mut page = node.counters.render_prometheus();
    page.push_str(&node.demand_gauges(boot_ms()));
    Response::with_body(StatusCode::OK, BoxBody::new(page))
}

fn serve_local_page<A>(node: &Node<A>, page: &LocalPage) -> Response<BoxBody>
where
    A: Adapter,
{
    match page {
        LocalPage::Ready if node.is_ready() => status_response(node, StatusCode::OK),
        LocalPage::Ready => status_response(node, StatusCode::SERVICE_UNAVAILABLE),
        LocalPage::Locate { zone } => {
            let zone = zone.as_ref().unwrap_or(&node.settings.zone);
            let own = node.availability();
            let addresses = node.peers.borrow().addresses_for(zone, own, boot_ms());
            let lifetime_ms = node.settings.bounds.locate_lifetime_ms;
            let body = node.adapter.locate_body(&addresses, lifetime_ms);
            let mut response = Response::with_body(StatusCode::OK, BoxBody::new(body));
            let json = HeaderValue::from_static("application/json");
            response.headers_mut().insert(header::CONTENT_TYPE, json);
            response
        }
    }
}

/// Whether a request from another instance has to be refused, and why.
fn delegation_refusal<A>(
    node: &Node<A>,
    delegation: &Delegation,
    table: &RouteTable,
) -> Option<RefusalCause> {
    if table.version < delegation.table_version {
        Some(RefusalCause::OldTable)
    } else if node.open_delegated.get() > MAX_DELEGATED {
        Some(RefusalCause::Full)
    } else {
        None
    }
}

async fn relay<A>(
    node: &Rc<Node<A>>,
    mut request: Request,
    delegation: Option<Delegation>,
) -> Response<BoxBody>
where
    A: Adapter,
{
    let arrived_ms = boot_ms();
    node.wait_until_informed(arrived_ms).await;
    let Some(table) = node.routes() else {
        return refuse(node, "", None, RefusalCause::NoTable);
    };
    let refusal = delegation
        .as_ref()
        .and_then(|it| delegation_refusal(node, it, &table));
    if let Some(cause) = refusal {
        return refuse(node, "", None, cause);
    }
    strip_headers(&mut request.head_mut().headers);
    if headers::head_bytes(request.head()) > table.limits.max_header_bytes {
        let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
        return status_response(node, status);
    }
    let (request, payload) = request.replace_payload(Payload::None);
    let resolved = match resolve(node, &table, &request, arrived_ms, boot_ms()) {
        Ok(resolved) => resolved,
        Err(response) => return *response,
    };
    let limit_bytes = table.limits.max_body_bytes;
    let headers = &request.head().headers;
    let read = read_body(headers, payload, limit_bytes, &node.request_memory);
    let read = node.while_serving(read).await;
    let RequestBody { bytes: body, share } = match read.unwrap_or(Err(BodyError::ServingEnded)) {
        Ok(body) => body,
        Err(error) => return refuse_body(node, &resolved, error),
    };
    let resolved = match resolve_again(node, resolved, &request, boot_ms()) {
        Ok(resolved) => resolved,
        Err(response) => return *response,
    };
    let parts = RequestParts {
        account: resolved.account.as_ref(),
        method: request.method().as_str(),
        host: host_of(request.head()),
        path: request
            .uri()
            .path_and_query()
            .map_or("", PathAndQuery::as_str),
        body: &body,
    };
    let features = node.request_features(&parts, &resolved.ask.shared_prompt_parts);
    let mut relayed = RelayedRequest {
        body,
        _memory: Some(share),
        features,
        delegation,
        ..resolved
    };
    // The instance that has the caller counts the request.
    if relayed.delegation.is_none() {
        node.count_request(&relayed.service);
    }
    record_ages(node, arrived_ms);
    let features = relayed.features.as_ref();
    let is_withheld = node.quarantine_status(features) == QuarantineStatus::Withheld;
    relayed.is_quarantine_trial = is_withheld && node.begin_quarantine_trial(features);
    if is_withheld && !relayed.is_quarantine_trial {
        return refuse_withheld(node, &relayed);
    }
    let is_cut_off = node.fleet.borrow().reach.is_lost(&relayed.service);
    if relayed.delegation.is_some() && is_cut_off {
        // Yet another instance may reach the endpoints.
        return refuse(
            node,
            &relayed.ask.id,
            Some(&relayed.route),
            RefusalCause::NoEndpoint,
        );
    }
    let is_stream = relayed.route.retry_policy.is_stream();
    let has_model = relayed
        .table
        .services
        .get(&relayed.service)
        .is_some_and(|service| service.model.is_some());
    if is_stream && has_model {
        relay_stream(node, relayed).await
    } else {
        relay_plain(node, relayed).await
    }
}

/// The `Host` header of a request; empty if it has none.
fn host_of(head: &RequestHead) -> &str {
    let host = head.headers.get(header::HOST);
    host.and_then(|value| value.to_str().ok()).unwrap_or("")
}

/// Records the age of the data that a request is handled with.
fn record_ages<A>(node: &Node<A>, now_ms: u64) {
    let table_age_ms = node.table.borrow().age_ms(now_ms);
    let list_age_ms = node.fleet.borrow().age_ms(now_ms);
    node.counters.time_ms("relay.table_age", table_age_ms);
    node.counters.time_ms("relay.list_age", list_age_ms);
}

/// Resolves a request again whose body took a while, or during whose body the route table has changed: its key or route
/// may be gone, or too little time be left.
fn resolve_again<A>(
    node: &Rc<Node<A>>,
    resolved: RelayedRequest,
    request: &Request<()>,
    now_ms: u64,
) -> Result<RelayedRequest, Box<Response<BoxBody>>>
where
    A: Adapter,
{
    let table = node.routes();
    let table = table.unwrap_or_else(|| Rc::clone(&resolved.table));
    let is_recent = now_ms < resolved.arrived_ms + MAX_RESOLUTION_AGE_MS;
    if is_recent && Rc::ptr_eq(&table, &resolved.table) {
        return Ok(resolved);
    }
    resolve(node, &table, request, resolved.arrived_ms, now_ms)
}

/// Resolves a request with the route table, or returns the response that rejects it.
fn resolve<A>(
    node: &Rc<Node<A>>,
    table: &Rc<RouteTable>,
    request: &Request<()>,
    arrived_ms: u64,
    now_ms: u64,
) -> Result<RelayedRequest, Box<Response<BoxBody>>>
where
    A: Adapter,
{
    let head = request.head();
    let ask = match node.adapter.parse_request_metadata(head) {
        Ok(ask) => ask,
        Err(fault) => {
            log::info!(fault:% = fault; "rejected a malformed request");
            return Err(Box::new(status_response(node, StatusCode::BAD_REQUEST)));
        }
    };
    let resolved = match table.resolve(host_of(head), head.uri.path(), ask.key.as_deref()) {
        Ok(resolved) => resolved,
        Err(rejection) => return Err(Box::new(reject(node, table, &ask.id, rejection, now_ms))),
    };
    let route = resolved.route.clone();
    let age_ms = node.table.borrow().age_ms(now_ms);
    if table.needs_key(&route) && age_ms > node.settings.bounds.key_trust_ms {
        return Err(Box::new(refuse(
            node,
            &ask.id,
            Some(&route),
            RefusalCause::OldTable,
        )));
    }
    let timeout_ms = ask.timeout_ms.unwrap_or(DEFAULT_TIMEOUT_MS);
    let deadline_ms = arrived_ms + timeout_ms.min(route.timeout_ms);
    if !node.stop_allows(route.retry_policy.is_stream(), deadline_ms, now_ms) {
        return Err(Box::new(refuse(
            node,
            &ask.id,
            Some(&route),
            RefusalCause::Stopping,
        )));
    }
    let Some(service) = route.pick_service(node.random_u64()).cloned() else {
        return Err(Box::new(refuse(
            node,
            &ask.id,
            Some(&route),
            RefusalCause::NoEndpoint,
        )));
    };
    Ok(RelayedRequest {
        table: Rc::clone(table),
        account: resolved.account.map(|account| account.name.clone()),
        priority: resolved.priority(),
        service,
        head: headers::forwarded_request_head(head),
        body: Bytes::new(),
        _memory: None,
        features: None,
        is_quarantine_trial: false,
        delegation: None,
        caller: request.conn_data::<CallerLink>().cloned(),
        arrived_ms,
        deadline_ms,
        route,
        ask,
    })
}

fn reject<A>(
    node: &Rc<Node<A>>,
    table: &RouteTable,
    id: &str,
    rejection: Rejection,
    now_ms: u64,
) -> Response<BoxBody>
where
    A: Adapter,
{
    let age_ms = node.table.borrow().age_ms(now_ms);
    // An outdated table may lack a route or key that was added since.
    if age_ms > node.settings.bounds.key_trust_ms {
        return refuse(node, id, None, RefusalCause::OldTable);
    }
    let status = match rejection {
        Rejection::NoRoute => StatusCode::NOT_FOUND,
        Rejection::UnknownKey => StatusCode::UNAUTHORIZED,
    };
    log::info!(
        request = id,
        status = status.as_u16(),
        table = table.version,
        table_age_ms = age_ms;
        "request is rejected by the route table"
    );
    status_response(node, status)
}

fn refuse_withheld<A>(node: &Node<A>, request: &RelayedRequest) -> Response<BoxBody>
where
    A: Adapter,
{
    let withheld_for = node.withheld_for(request.features.as_ref());
    let (id, route) = (&request.ask.id, Some(&request.route));
    refuse_for(node, id, route, RefusalCause::Withheld, &withheld_for)
}

fn refuse<A>(
    node: &Node<A>,
    id: &str,
    route: Option<&Route>,
    cause: RefusalCause,
) -> Response<BoxBody>
where
    A: Adapter,
{
    refuse_for(node, id, route, cause, "")
}

/// Refuses a request. `withheld_for` names the features for which it is withheld, if it is.
fn refuse_for<A>(
    node: &Node<A>,
    id: &str,
    route: Option<&Route>,
    cause: RefusalCause,
    withheld_for: &str,
) -> Response<BoxBody>
where
    A: Adapter,
{
    let conditions = node.retry_conditions(0, 0);
    let limit = AttemptLimit::from(cause);
    node.count_given_up(limit);
    let table = node.table.borrow();
    log::info!(
        request = id,
        route = route.map(|route| route.name.as_str()),
        cause = cause.name(),
        limit = limit.name(),
        withheld_for,
        retry_after_ms = cause.retry_after_ms(conditions),
        table = table.table().map(|table| table.version),
        table_age_ms = table.age_ms(boot_ms()),
        list_age_ms = node.fleet.borrow().age_ms(boot_ms());
        "request is refused"
    );
    drop(table);
    error_response(node, FinalError::NotRun(cause), conditions)
}

/// Responds to a request whose body was not read to its end. It has not run.
fn refuse_body<A>(node: &Node<A>, request: &RelayedRequest, error: BodyError) -> Response<BoxBody>
where
    A: Adapter,
{
    let (id, route) = (&request.ask.id, Some(&request.route));
    match error {
        BodyError::TooLarge => status_response(node, StatusCode::PAYLOAD_TOO_LARGE),
        BodyError::TimedOut => status_response(node, StatusCode::REQUEST_TIMEOUT),
        BodyError::Malformed => status_response(node, StatusCode::BAD_REQUEST),
        BodyError::NoMemory => refuse(node, id, route, RefusalCause::NoMemory),
        BodyError::ServingEnded => refuse(node, id, route, RefusalCause::Stopping),
    }
}

/// A response body that counts as an open request until it is sent or dropped.
struct TrackedBody<A> {
    body: BoxBody,
    _open: OpenRequest<A>,
}

impl<A> actix_http::body::MessageBody for TrackedBody<A> {
    type Error = Box<dyn std::error::Error>;

    fn size(&self) -> actix_http::body::BodySize {
        self.body.size()
    }

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<Bytes, Self::Error>>> {
        std::pin::Pin::new(&mut self.body).poll_next(cx)
    }
}
