//! Runs an entry process within the test process, with a model engine and an application endpoint.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use actix_web::web::{self, Bytes, Data};
use actix_web::{App, HttpRequest, HttpResponse, HttpServer};
use awc::{Client, ClientRequest};
use futures_util::stream;
use indexmap::IndexMap;

use crate::clients::{HttpEngines, HttpPeers, HttpTable};
use crate::gateway::calls::OutboundClients;
use crate::gateway::messages::{Deliver, IsReady};
use crate::gateway::process::{EntryProcess, EntryVariant};
use crate::gateway::state::BodyLimits;
use crate::ids::{Incarnation, ServiceName};
use crate::instance::EntryMessage;
use crate::settings;
use crate::wire::engine::{EndReason, EngineState, LayerRange, OpenStream, StreamEvent};
use crate::wire::local::{DocumentInForce, EndpointRecord, EntryRecord, Snapshot};
use crate::wire::platform::{InstancePhase, InstanceRole};

pub(super) const PEER_KEY: &str = "peer-key-of-this-test-fleet-0001";
pub(super) const KEY: &str = "demo-key-lac-bistro";
const MENU_MIND: &str = include_str!("../../../examples/kammoun/menu-mind.toml");
const LEDGER_API: &str = include_str!("../../../examples/kammoun/ledger-api.toml");
pub(super) const DEADLINE: Duration = Duration::from_secs(10);
const BODY_TIMEOUT_MS: u64 = 300;
/// Tokens that the engine sends in one timer tick, the least that a sleep lasts, if it has no interval.
const TOKENS_PER_TICK: u32 = 8;

/// Requests and streams observed by the test endpoints.
#[derive(Clone, Default)]
pub(super) struct Seen {
    pub(super) streams_open: Arc<AtomicUsize>,
    pub(super) streams_cut: Arc<AtomicUsize>,
    pub(super) calls: Arc<AtomicUsize>,
    /// Remote address of the connection that carried each stream.
    pub(super) stream_peers: Arc<Mutex<Vec<SocketAddr>>>,
}

pub(super) struct TestEntry {
    pub(super) process: EntryProcess,
    pub(super) seen: Seen,
}

/// Starts the entry and its endpoints. The engine waits `token_interval` before each token after the first.
pub(super) async fn start(token_interval: Duration) -> TestEntry {
    let seen = Seen::default();
    let endpoint = start_endpoint(token_interval, seen.clone());
    let process = start_process(unused_address());
    let snapshot = snapshot(endpoint, process.address);
    let message = Deliver(EntryMessage::SnapshotChanged { snapshot });
    process.gateway.actor.send(message).await.unwrap();
    assert!(process.gateway.actor.send(IsReady).await.unwrap());
    TestEntry { process, seen }
}

/// Clients of an entry without a table service.
pub(super) fn outbound() -> OutboundClients {
    OutboundClients {
        table: HttpTable::new(&format!("http://{}", unused_address())),
        engines: HttpEngines::new(),
        applications: HttpPeers::default(),
        entries: HttpPeers::default(),
        peer_key: PEER_KEY.into(),
    }
}

/// Starts an entry process without a snapshot, with its control process at `control`.
pub(super) fn start_process(control: SocketAddr) -> EntryProcess {
    let text = settings_text(control, unused_address());
    let settings = settings::parse(&text).unwrap();
    let limits = BodyLimits {
        max_bytes: settings.entry.max_body_bytes,
        timeout_ms: BODY_TIMEOUT_MS,
    };
    EntryProcess::start_within(&settings, limits, EntryVariant::default()).unwrap()
}

impl TestEntry {
    pub(super) fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.process.address)
    }

    pub(super) fn post(&self, path: &str) -> ClientRequest {
        let client = Client::builder().timeout(DEADLINE).finish();
        client.post(self.url(path)).bearer_auth(KEY)
    }
}

/// Waits until a condition holds.
pub(super) async fn wait_until<F>(condition: F)
where
    F: Fn() -> bool,
{
    let held = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    tokio::time::timeout(DEADLINE, held).await.unwrap();
}

/// Returns a local address where nothing listens.
pub(super) fn unused_address() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    listener.local_addr().unwrap()
}

fn settings_text(control: SocketAddr, unused_address: SocketAddr) -> String {
    format!(
        r#"
[instance]
name = "entry-lac-1"
zone = "Lac"
[entry]
listen = "127.0.0.1:0"
advertise = "127.0.0.1:7001"
max_body_bytes = 4096
[control]
listen = "{control}"
[platform]
table = "http://{unused_address}"
objects = "http://{unused_address}"
instances = "http://{unused_address}"
[peers]
key = "{PEER_KEY}"
"#
    )
}

pub(super) fn snapshot(endpoint: SocketAddr, entry: SocketAddr) -> Snapshot {
    let document = |service: &str, text: &str| DocumentInForce {
        service: service.into(),
        revision: 1,
        text: text.to_owned(),
    };
    let record = |role, name: &str, service: &str| EndpointRecord {
        endpoint: name.into(),
        role,
        service: ServiceName::from(service),
        zone: "Lac".into(),
        address: endpoint,
        phase: InstancePhase::Live,
    };
    Snapshot {
        version: 1,
        documents: vec![
            document("menu-mind", MENU_MIND),
            document("ledger-api", LEDGER_API),
        ],
        endpoints: vec![
            record(InstanceRole::Engine, "engine-1", "menu-mind"),
            record(InstanceRole::Application, "ledger-1", "ledger-api"),
        ],
        entries: vec![EntryRecord {
            instance: "entry-lac-1".into(),
            zone: "Lac".into(),
            address: entry,
            serving: true,
        }],
        shares: Vec::new(),
        parts: Vec::new(),
    }
}

#[derive(Clone)]
struct EndpointState {
    incarnation: Incarnation,
    token_interval: Duration,
    seen: Seen,
}

/// Starts a server that acts as an engine with all layers and as an application endpoint.
fn start_endpoint(token_interval: Duration, seen: Seen) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let incarnation = Incarnation::generate(&mut rand::rng());
    let server = HttpServer::new(move || {
        let state = EndpointState {
            incarnation,
            token_interval,
            seen: seen.clone(),
        };
        App::new()
            .app_data(Data::new(state))
            .route("/v1/state", web::get().to(engine_state))
            .route("/v1/streams", web::post().to(run_stream))
            .route("/prices", web::to(answer_call))
    });
    let server = server.workers(1).disable_signals();
    actix_rt::spawn(server.listen(listener).unwrap().run());
    address
}

async fn engine_state(state: Data<EndpointState>) -> HttpResponse {
    HttpResponse::Ok().json(EngineState {
        endpoint: "engine-1".into(),
        incarnation: state.incarnation,
        accelerator: "small".to_owned(),
        model: "menu-mind-24b".to_owned(),
        version: "2026-11".to_owned(),
        adapters: vec!["recipe-cost".to_owned(), "waste-notes".to_owned()],
        layers: LayerRange { first: 0, end: 24 },
        fence: 0,
        draining: false,
        layer_tokens_per_s: 1_000_000.0,
        batch_limit: 1_000,
        stream_limit: 0,
        running: 0,
        waiting: 0,
        load_age_ms: 0,
        links: IndexMap::new(),
    })
}

/// Counts a stream as cut if it is dropped before its last event.
struct StreamGuard {
    seen: Seen,
    complete: bool,
}

impl Drop for StreamGuard {
    fn drop(&mut self) {
        self.seen.streams_open.fetch_sub(1, Ordering::SeqCst);
        if !self.complete {
            self.seen.streams_cut.fetch_add(1, Ordering::SeqCst);
        }
    }
}

async fn run_stream(state: Data<EndpointState>, http: HttpRequest, body: Bytes) -> HttpResponse {
    let peer = http.peer_addr().unwrap();
    state.seen.stream_peers.lock().unwrap().push(peer);
    let open: OpenStream = serde_json::from_slice(&body).unwrap();
    state.seen.streams_open.fetch_add(1, Ordering::SeqCst);
    let guard = StreamGuard {
        seen: state.seen.clone(),
        complete: false,
    };
    let token_interval = state.token_interval;
    let events = stream::unfold((0, guard), move |(position, mut guard)| {
        let event = event_at(&open, position);
        async move {
            let is_paced = !token_interval.is_zero() || position % TOKENS_PER_TICK == 0;
            if position > 0 && is_paced {
                tokio::time::sleep(token_interval).await;
            }
            let event = event?;
            guard.complete = matches!(event, StreamEvent::End { .. });
            let data = serde_json::to_string(&event).unwrap();
            let chunk = Bytes::from(format!("data: {data}\n\n"));
            Some((Ok::<_, std::io::Error>(chunk), (position + 1, guard)))
        }
    });
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .streaming(events)
}

fn event_at(open: &OpenStream, position: u32) -> Option<StreamEvent> {
    let epoch = open.epoch;
    let text = format!("t{position}");
    match position {
        _ if position < open.max_tokens => Some(StreamEvent::Token {
            epoch,
            position,
            text,
        }),
        _ if position == open.max_tokens => Some(StreamEvent::End {
            epoch,
            positions: open.max_tokens,
            reason: EndReason::Length,
        }),
        _ => None,
    }
}

async fn answer_call(state: Data<EndpointState>, http: HttpRequest, body: Bytes) -> HttpResponse {
    state.seen.calls.fetch_add(1, Ordering::SeqCst);
    let request = http.headers().get("x-request-id").unwrap();
    let request = request.to_str().unwrap();
    let method = http.method();
    let query = http.query_string();
    HttpResponse::Created()
        .content_type("text/plain")
        .body(format!(
            "{method} {query} {request} {}",
            String::from_utf8_lossy(&body)
        ))
}
