//! One version of the table, and the lookup of a request in it.

use indexmap::IndexMap;

use crate::ids::{AccountId, ServiceName};

/// What may be done twice with a request of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatPolicy {
    /// The request may run more than once.
    Idempotent,
    /// The request may run at most once.
    NonIdempotent,
    /// The answer is a stream of events.
    Stream {
        /// Whether another run may go on behind the last event that was delivered.
        resumable: bool,
    },
}

impl RepeatPolicy {
    /// Whether a run that was perhaps begun may be followed by another.
    pub fn allows_rerun(self) -> bool {
        match self {
            Self::Idempotent => true,
            Self::NonIdempotent => false,
            Self::Stream { resumable } => resumable,
        }
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service and its part of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// Service.
    pub service: ServiceName,
    /// Part relative to the other services of the route.
    pub weight: u32,
}

/// Where requests under one path prefix go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name, for log lines.
    pub name: String,
    /// Path prefix; begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub repeat: RepeatPolicy,
    /// Longest time a caller may be kept waiting for the final word.
    pub timeout_ms: u64,
    /// Time within which an answer is of full use.
    pub objective_ms: u64,
    /// Longest pause between two events with which a stream is of full use, if the route has one.
    pub pause_objective_ms: Option<u64>,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// Services, by weight; never empty.
    pub services: Vec<WeightedService>,
    /// Most endpoints on which one request may run.
    pub max_endpoints: u32,
    /// Whether requests need no key.
    pub is_public: bool,
}

impl Route {
    /// The service for a request, by a number drawn evenly from all of `u64`.
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
    /// Rank that goes before the route's, if any.
    pub priority: Option<u32>,
}

/// A kind of accelerator that engines run on.
#[derive(Clone, Debug, PartialEq)]
pub struct AcceleratorKind {
    /// Memory for layers and for requests.
    pub memory_mb: f64,
    /// Factor on the time of a token step.
    pub step_factor: f64,
    /// Factor on the time to read a prompt.
    pub read_factor: f64,
}

/// A model and the pace of its engines.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineModel {
    /// Layers of the model.
    pub layers: u16,
    /// Memory of one layer's weights.
    pub layer_mb: f64,
    /// Memory of one token's key-value state over all layers.
    pub token_kv_bytes: f64,
    /// Time of a token step over all layers, before the factor of the kind.
    pub step_ms: f64,
    /// Prompt tokens read in a second over all layers, before the factor of the kind.
    pub read_tokens_per_s: f64,
    /// Prompt of a usual request.
    pub usual_prompt_tokens: u64,
    /// Answer of a usual request.
    pub usual_answer_tokens: u64,
    /// Time to load all layers.
    pub load_ms: u64,
    /// Loads that run side by side at full speed; 0 for no limit.
    pub loads_at_once: u32,
    /// Kinds of accelerators by name.
    pub kinds: IndexMap<String, AcceleratorKind>,
}

/// A service that routes lead to.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Connections that one of its endpoints takes from all callers together.
    pub max_connections: u32,
    /// Model, if its endpoints are engines that hold layers.
    pub model: Option<EngineModel>,
}

/// Bounds on what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Longest request head.
    pub max_header_bytes: usize,
    /// Longest body.
    pub max_body_bytes: usize,
    /// Longest time for a request head to arrive.
    pub header_timeout_ms: u64,
    /// Longest time a connection may stay idle.
    pub idle_timeout_ms: u64,
}

/// Why a request is turned away by the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// No route matches host and path.
    NoRoute,
    /// The key is missing or unknown.
    UnknownKey,
}

/// A request's route and account.
#[derive(Clone, Copy, Debug)]
pub struct Resolved<'a> {
    /// Route.
    pub route: &'a Route,
    /// Account whose key the request carries; `None` where no key is needed.
    pub account: Option<&'a Account>,
}

impl Resolved<'_> {
    /// Rank of the request; 0 is the most urgent.
    pub fn priority(&self) -> u32 {
        let own = self.account.and_then(|account| account.priority);
        own.unwrap_or(self.route.priority)
    }
}

/// One accepted version.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteTable {
    /// Version; grows in uneven steps.
    pub version: u64,
    /// Routes by host; within a host the longest prefix stands first.
    hosts: IndexMap<String, Vec<Route>>,
    /// Services by name.
    pub services: IndexMap<ServiceName, ServiceSpec>,
    /// Account of each key; `None` if the table knows no accounts and no request needs a key.
    accounts_by_key: Option<IndexMap<String, Account>>,
    /// Bounds on what callers send.
    pub limits: Limits,
}

impl RouteTable {
    /// Puts a version together; `routes` are pairs of host and route.
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
        Self {
            version,
            hosts,
            services,
            accounts_by_key,
            limits,
        }
    }

    /// Finds route and account of a request. `host` may carry a port.
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
