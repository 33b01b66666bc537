//! What an adapter to a platform provides: its wire, and nothing else.

use std::future::Future;
use std::net::SocketAddr;

use actix_http::header::HeaderMap;
use actix_http::{RequestHead, ResponseHead};
use thiserror::Error;

use crate::clients::TableService;
use crate::fleet::{Chain, ListingRead, Pacing};
use crate::ids::{AccountId, EndpointName, ZoneName};
use crate::route_table::{RouteTable, TableWithSource};
use crate::wire::engine::LayerRange;

/// A page that the instance answers by itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LocalPage {
    /// Whether the instance takes callers.
    Ready,
    /// Which addresses a caller should use.
    Locate {
        /// Availability zone of the caller, if it says so.
        zone: Option<ZoneName>,
    },
}

/// What a request's head says beside host, path and method.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// Names the caller's attempt; endpoints echo it.
    pub id: String,
    /// How long the caller will wait.
    pub timeout_ms: Option<u64>,
    /// Key of the client account.
    pub key: Option<String>,
    /// Last event of the stream that the caller has.
    pub resume_after: Option<u64>,
    /// Tokens of the prompt.
    pub prompt_tokens: Option<u64>,
    /// Most tokens of the answer.
    pub max_response_tokens: Option<u64>,
    /// The caller's guess of the answer's tokens.
    pub response_tokens_hint: Option<u64>,
}

/// A request's head that cannot be understood.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RequestMetadataError {
    /// Its id is missing.
    #[error("the request has no id")]
    MissingId,
}

/// What is set on a request that is sent to an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Dispatch<'a> {
    /// How long the caller will still wait.
    pub timeout_ms: u64,
    /// The endpoint that is meant; another at its address must turn the request away.
    pub endpoint: &'a EndpointName,
    /// Client account, if the request has one.
    pub account: Option<&'a AccountId>,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// Engines that run the request, if the endpoint is an engine that holds layers.
    pub chain: Option<&'a Chain>,
    /// Last event of the stream that the caller has.
    pub resume_after: Option<u64>,
}

/// What the head of an endpoint's answer says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseMetadata {
    /// The request that is answered, as far as the endpoint says.
    pub id: Option<String>,
    /// Whether the endpoint says that the request did not run.
    pub not_run: bool,
    /// Endpoint at whose fault the request did not run.
    pub at_fault: Option<SocketAddr>,
    /// Whether the answer has the endpoint's seal, without which a success counts for nothing.
    pub is_sealed: bool,
    /// How the endpoint wants to be sent requests.
    pub pacing: Pacing,
}

/// Why the platform's store gave nothing that can be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum FeedFailure {
    /// No whole reply in time.
    #[error("the store gave no whole reply in time")]
    NoReply,
    /// The store refuses calls for now.
    #[error("the store refuses calls for now")]
    Refused,
    /// What has changed since the position is no longer known; the whole must be read.
    #[error("the history since the last read is gone")]
    HistoryGone,
    /// What it gave is malformed.
    #[error("the store's reply is malformed: {0}")]
    Malformed(String),
}

/// What one read of a feed gave.
#[derive(Clone, Debug, PartialEq)]
pub struct FeedRead<T> {
    /// Where to go on.
    pub position: u64,
    /// What was read.
    pub content: T,
}

/// The platform's store, as far as the operator and the endpoints write it.
pub trait DeploymentFeeds {
    /// The table of routes: the newest one, or the one written since a position, waiting up to
    /// `wait_ms` for it; `None` if there is none.
    fn table(
        &self,
        since: Option<u64>,
        wait_ms: u64,
    ) -> impl Future<Output = Result<FeedRead<Option<TableWithSource>>, FeedFailure>>;

    /// The list of endpoints: whole, or what has changed since a position, waiting up to `wait_ms`
    /// for a change.
    fn endpoints(
        &self,
        since: Option<u64>,
        wait_ms: u64,
    ) -> impl Future<Output = Result<FeedRead<ListingRead>, FeedFailure>>;
}

/// What an engine says of itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineReport {
    /// Layers that it holds; none while it is being moved to others.
    pub layers: Option<LayerRange>,
    /// Whether an order is being carried out.
    pub is_busy: bool,
    /// Whether it has taken no order since its start: whatever an earlier process ran at its
    /// address is lost.
    pub is_unplaced: bool,
    /// When its process started, in Unix milliseconds, if it says so.
    pub started_unix_ms: Option<u64>,
    /// Factor on its usual time for a step; above 1 it is slow.
    pub slowness: f64,
    /// Requests whose work waits for an engine that does not answer: id and that engine.
    pub stalled: Vec<(String, SocketAddr)>,
}

/// Why an engine did not do as told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum OrderFailure {
    /// It cannot be reached, or no whole reply came: the order may be carried out.
    #[error("no reply")]
    NoReply,
    /// No process listens at its address.
    #[error("no process listens there")]
    NoListener,
    /// The order does not fit its state, or that of the engine at this address.
    #[error("an engine's state does not allow it")]
    Conflict(Option<SocketAddr>),
    /// Another process has given orders under a newer fencing number.
    #[error("the fencing number is out of date")]
    Fenced,
    /// It does not know the request or the order.
    #[error("not known there")]
    Unknown,
}

/// Calls to engines beside requests.
pub trait EngineControl {
    /// Asks an engine how it is. A call behind one that failed uses a fresh connection, so that a
    /// kept one that has gone silent does not make a sound engine look dead.
    fn report(
        &self,
        engine: SocketAddr,
        timeout_ms: u64,
    ) -> impl Future<Output = Result<EngineReport, OrderFailure>>;

    /// Orders an engine to hold these layers and no others.
    fn place(
        &self,
        engine: SocketAddr,
        layers: LayerRange,
        fence: u64,
    ) -> impl Future<Output = Result<(), OrderFailure>>;

    /// Orders the first engine of a running request to use another chain from now on.
    fn reroute(
        &self,
        id: &str,
        chain: &Chain,
        timeout_ms: u64,
    ) -> impl Future<Output = Result<(), OrderFailure>>;
}

/// The wire of one platform.
pub trait Adapter: 'static {
    /// Its store.
    type Store: TableService + DeploymentFeeds;
    /// Its engines.
    type Engines: EngineControl;

    /// The store.
    fn store(&self) -> &Self::Store;

    /// The engines.
    fn engines(&self) -> &Self::Engines;

    /// Which of the instance's own pages a request asks for, if any.
    fn match_local_page(&self, path: &str, query: &str) -> Option<LocalPage>;

    /// Body of the answer to [`LocalPage::Locate`].
    fn locate_body(&self, addresses: &[SocketAddr], lifetime_ms: u64) -> Vec<u8>;

    /// Makes a table of routes from the operator's document.
    fn parse_table(&self, document: &str) -> Result<RouteTable, FeedFailure>;

    /// Reads a request's head.
    fn parse_request_metadata(
        &self,
        head: &RequestHead,
    ) -> Result<RequestMetadata, RequestMetadataError>;

    /// Replaces the headers that the system sets by those of a dispatch.
    fn set_dispatch_headers(&self, headers: &mut HeaderMap, dispatch: &Dispatch<'_>);

    /// Reads the head of an endpoint's answer.
    fn parse_response_metadata(&self, head: &ResponseHead) -> ResponseMetadata;
}
