//! One version of the route table, and request lookup.

use indexmap::IndexMap;

use crate::ids::{AccountId, ServiceName};

/// Whether requests of a route may be run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// The request may run more than once.
    Idempotent,
    /// The request may run at most once.
    NonIdempotent,
    /// The answer is a stream of events.
    Stream {
        /// Whether another run may resume after the last delivered event.
        resumable: bool,
    },
}

impl RetryPolicy {
    /// Whether a request may be run again when an earlier run may have started.
    pub fn allows_retry(self) -> bool {
        match self {
            Self::Idempotent => true,
            Self::NonIdempotent => false,
            Self::Stream { resumable } => resumable,
        }
    }

    /// The policy for a response that is forwarded only once it is complete: there is no part to resume.
    pub fn for_whole_response(self) -> Self {
        match self {
            Self::Stream { resumable: true } => Self::Idempotent,
            Self::Stream { resumable: false } => Self::NonIdempotent,
            Self::Idempotent | Self::NonIdempotent => self,
        }
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service and its weight within a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: ServiceName,
    /// Fraction of requests, relative to the other services of the route.
    pub weight: u32,
}

/// Routing rule for the requests under one path prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name used in log lines.
    pub name: String,
    /// Path prefix; starts and ends with a slash.
    pub prefix: String,
    /// Whether requests may be run again.
    pub retry_policy: RetryPolicy,
    /// Maximum time until the caller gets a final response.
    pub timeout_ms: u64,
    /// Latency objective for an answer.
    pub objective_ms: u64,
    /// Objective for the longest pause between two events of a stream, if the route has one.
    pub pause_objective_ms: Option<u64>,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Weighted services; never empty.
    pub services: Vec<WeightedService>,
    /// Maximum number of endpoints on which one request may run.
    pub max_endpoints: u32,
    /// Whether requests are accepted without a key.
    pub is_public: bool,
}

impl Route {
    /// Selects a service by weight; `draw` must be uniformly distributed over `u64`.
    pub fn pick_service(&self, draw: u64) -> Option<&ServiceName> {
        let total: u64 = self.services.iter().map(|it| u64::from(it.weight)).sum();
        if total == 0 {
            return self.services.first().map(|it| &it.service);
        }
        let mut left = draw % total;
        for entry in &self.services {
            let weight = u64::from(entry.weight);
            if left < weight {
                return Some(&entry.service);
            }
            left -= weight;
        }
        None
    }
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Account {
    /// Name.
    pub name: AccountId,
    /// Priority that overrides the route's, if any.
    pub priority: Option<u32>,
}

/// A kind of accelerator on which engines run.
#[derive(Clone, Debug, PartialEq)]
pub struct AcceleratorKind {
    /// Memory for layers and requests.
    pub memory_mb: f64,
    /// Factor applied to the time of a token step.
    pub step_factor: f64,
    /// Factor applied to the time to read a prompt.
    pub read_factor: f64,
}

/// A model and the performance of its engines.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineModel {
    /// Number of layers.
    pub layers: u16,
    /// Memory of one layer's weights.
    pub layer_mb: f64,
    /// Size of one token's key-value cache over all layers.
    pub token_kv_bytes: f64,
    /// Time of a token step over all layers, before the accelerator's factor.
    pub step_ms: f64,
    /// Prompt tokens processed per second over all layers, before the accelerator's factor.
    pub read_tokens_per_s: f64,
    /// Prompt length of a typical request.
    pub usual_prompt_tokens: u64,
    /// Answer length of a typical request.
    pub usual_answer_tokens: u64,
    /// Time to load all layers.
    pub load_ms: u64,
    /// Number of concurrent loads that run at full speed; 0 means unlimited.
    pub loads_at_once: u32,
    /// Accelerator kinds by name.
    pub kinds: IndexMap<String, AcceleratorKind>,
}

/// A service that is the target of routes.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Maximum number of connections to one endpoint, from all callers together.
    pub max_connections: u32,
    /// Path of the page on which an endpoint names itself, if it has one.
    pub health_path: Option<String>,
    /// The model, if the endpoints are engines that host layers.
    pub model: Option<EngineModel>,
}

/// Limits on requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of the request header section.
    pub max_header_bytes: usize,
    /// Maximum size of the request body.
    pub max_body_bytes: usize,
    /// Maximum time to receive the request header section.
    pub header_timeout_ms: u64,
    /// Maximum time that a connection may stay idle.
    pub idle_timeout_ms: u64,
}

/// Why the route table rejects a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// No route matches the host and path.
    NoRoute,
    /// The key is missing or unknown.
    UnknownKey,
}

/// The route and account of a request.
#[derive(Clone, Copy, Debug)]
pub struct Resolved<'a> {
    /// Route.
    pub route: &'a Route,
    /// Account of the request's key; `None` if no key is needed.
    pub account: Option<&'a Account>,
}

impl Resolved<'_> {
    /// Priority of the request; 0 is the most urgent.
    pub fn priority(&self) -> u32 {
        let own = self.account.and_then(|account| account.priority);
        own.unwrap_or(self.route.priority)
    }
}

/// One accepted version of the route table.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteTable {
    /// Version; increases, not necessarily by 1.
    pub version: u64,
    /// Routes by host, sorted by descending prefix length.
    hosts: IndexMap<String, Vec<Route>>,
    /// Services by name.
    pub services: IndexMap<ServiceName, ServiceSpec>,
    /// Account of each key; `None` if the table has no accounts, so that no request needs a key.
    accounts_by_key: Option<IndexMap<String, Account>>,
    /// Priorities that requests of the stream routes of each service can have, ascending and
    /// distinct.
    stream_priorities: IndexMap<ServiceName, Vec<u32>>,
    /// Limits on requests and connections of callers.
    pub limits: Limits,
}

impl RouteTable {
    /// Builds a version from pairs of host and route.
    pub fn new(
        version: u64,
        routes: Vec<(String, Route)>,
        services: IndexMap<ServiceName, ServiceSpec>,
        accounts_by_key: Option<IndexMap<String, Account>>,
        limits: Limits,
    ) -> Self {
        let mut hosts: IndexMap<String, Vec<Route>> = IndexMap::new();
        for (host, route) in routes {
            let host = host.to_ascii_lowercase();
            hosts.entry(host).or_default().push(route);
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let routes = hosts.values().flatten();
        let stream_priorities = stream_priorities(routes, accounts_by_key.as_ref());
        Self {
            version,
            hosts,
            services,
            accounts_by_key,
            stream_priorities,
            limits,
        }
    }

    /// Looks up the route and account of a request. `host` may include a port.
    pub fn resolve(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<Resolved<'_>, Rejection> {
        let route = self.route(host, path).ok_or(Rejection::NoRoute)?;
        let account = match &self.accounts_by_key {
            Some(accounts) if !route.is_public => {
                let account = key.and_then(|key| accounts.get(key));
                Some(account.ok_or(Rejection::UnknownKey)?)
            }
            _ => None,
        };
        Ok(Resolved { route, account })
    }

    /// Whether streams of the service can have different priorities.
    pub fn has_several_priorities(&self, service: &ServiceName) -> bool {
        self.priorities(service).len() > 1
    }

    /// Number of distinct priorities of the service's streams that are more urgent than `priority`.
    pub fn more_urgent_priorities(&self, service: &ServiceName, priority: u32) -> u32 {
        let more_urgent = self.priorities(service).iter().filter(|it| **it < priority);
        u32::try_from(more_urgent.count()).unwrap_or(u32::MAX)
    }

    fn priorities(&self, service: &ServiceName) -> &[u32] {
        self.stream_priorities
            .get(service)
            .map_or(&[], Vec::as_slice)
    }

    /// Whether requests of the route need a key.
    pub fn needs_key(&self, route: &Route) -> bool {
        self.accounts_by_key.is_some() && !route.is_public
    }

    fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.hosts.get(&name.to_ascii_lowercase())?;
        routes
            .iter()
            .find(|route| path.starts_with(route.prefix.as_str()))
    }
}

/// The priorities of each service's streams. An account's own priority takes precedence over the
/// route's.
fn stream_priorities<'a, I>(
    routes: I,
    accounts_by_key: Option<&IndexMap<String, Account>>,
) -> IndexMap<ServiceName, Vec<u32>>
where
    I: Iterator<Item = &'a Route>,
{
    let mut by_service: IndexMap<ServiceName, Vec<u32>> = IndexMap::new();
    for route in routes.filter(|route| route.retry_policy.is_stream()) {
        let accounts = accounts_by_key.filter(|_| !route.is_public);
        let priorities: Vec<u32> = match accounts {
            Some(accounts) => accounts
                .values()
                .map(|it| it.priority.unwrap_or(route.priority))
                .collect(),
            None => vec![route.priority],
        };
        for entry in &route.services {
            let all = by_service.entry(entry.service.clone()).or_default();
            all.extend(&priorities);
        }
    }
    for priorities in by_service.values_mut() {
        priorities.sort_unstable();
        priorities.dedup();
    }
    by_service
}
