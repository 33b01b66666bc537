//! Test fixture: four engines in two layer ranges, two replicas and one entry.

use std::net::SocketAddr;

use indexmap::IndexMap;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::entry::{Entry, EntryConfig, EntryLimits, ShareSource};
use crate::ids::{Incarnation, RequestId, ServiceName};
use crate::instance::{
    CallId, CallerId, CallerRequest, EntryEffect, EntryMessage, PresentedKey, RequestBody,
};
use crate::routing::FlowWeighted;
use crate::wire::engine::{EngineState, LayerRange, OpenStream, StreamEvent};
use crate::wire::local::{DocumentInForce, EndpointRecord, EntryRecord, Snapshot};
use crate::wire::platform::{InstancePhase, InstanceRole};

const MENU_MIND: &str = r#"
service = "menu-mind"
kind = "model"

[models.menu-mind-24b]
version = "v1"
layers = 24
activation_bytes = 8192
adapters = ["recipe-cost"]
"#;
const LEDGER_API: &str = r#"
service = "ledger-api"
kind = "application"

[[non_idempotent]]
method = "POST"
path = "/stock-counts"

[[non_idempotent]]
method = "POST"
path = "/deliveries"
endpoint_deduplicates = true
"#;
pub(super) const KEY: &str = "key-grill-chain";

pub(super) type TestEntry = Entry<FlowWeighted>;

pub(super) fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

pub(super) fn config(seed: u64) -> EntryConfig {
    EntryConfig {
        instance: "entry-lac-1".into(),
        zone: "Lac".into(),
        advertise: address(7001),
        incarnation: Incarnation::generate(&mut SmallRng::seed_from_u64(seed)),
        seed,
        unix_at_start_ms: 1_800_000_000_000,
        limits: EntryLimits::default(),
        shares: ShareSource::Control,
    }
}

/// A document with two accounts and an operator.
fn with_accounts(text: &str) -> String {
    let digests = |key: &str| {
        let digest = hex::encode(crate::keys::digest(key).0);
        format!("key_digests = [\"sha256:{digest}\"]\n")
    };
    let grill_chain = digests(KEY);
    let lac_bistro = digests("key-lac-bistro");
    let amira = digests("key-amira");
    format!(
        "{text}\n[accounts.grill-chain]\nweight = 6\n{grill_chain}\n\
        [accounts.lac-bistro]\nweight = 1\n{lac_bistro}\n\
        [operators.amira]\nrole = \"editor\"\n{amira}"
    )
}

/// Name, port and layers of each engine.
pub(super) const ENGINES: [(&str, u16, u16, u16); 4] = [
    ("front-1", 8001, 0, 12),
    ("front-2", 8002, 0, 12),
    ("back-1", 8003, 12, 24),
    ("back-2", 8004, 12, 24),
];

/// Name and port of each replica.
pub(super) const REPLICAS: [(&str, u16); 2] = [("ledger-1", 9001), ("ledger-2", 9002)];

fn endpoint(name: &str, port: u16, role: InstanceRole, service: &str) -> EndpointRecord {
    EndpointRecord {
        endpoint: name.into(),
        role,
        service: service.into(),
        zone: "Lac".into(),
        address: address(port),
        phase: InstancePhase::Live,
    }
}

pub(super) fn document(service: &str, revision: u64, text: &str) -> DocumentInForce {
    DocumentInForce {
        service: service.into(),
        revision,
        text: text.to_owned(),
    }
}

pub(super) fn entry_record(name: &str, zone: &str, port: u16, serving: bool) -> EntryRecord {
    EntryRecord {
        instance: name.into(),
        zone: zone.into(),
        address: address(port),
        serving,
    }
}

pub(super) fn snapshot(version: u64) -> Snapshot {
    let engines = ENGINES
        .iter()
        .map(|(name, port, ..)| endpoint(name, *port, InstanceRole::Engine, "menu-mind"));
    let replicas = REPLICAS
        .iter()
        .map(|(name, port)| endpoint(name, *port, InstanceRole::Application, "ledger-api"));
    Snapshot {
        version,
        documents: vec![
            document("menu-mind", 1, &with_accounts(MENU_MIND)),
            document("ledger-api", 1, &with_accounts(LEDGER_API)),
        ],
        endpoints: engines.chain(replicas).collect(),
        entries: vec![
            entry_record("entry-lac-1", "Lac", 7001, true),
            entry_record("entry-lac-2", "Lac", 7002, true),
            entry_record("entry-marsa-1", "Marsa", 7003, true),
        ],
        shares: Vec::new(),
        parts: Vec::new(),
    }
}

pub(super) fn engine_state(name: &str, first: u16, end: u16) -> EngineState {
    EngineState {
        endpoint: name.into(),
        incarnation: Incarnation::generate(&mut SmallRng::seed_from_u64(u64::from(first))),
        accelerator: "small".to_owned(),
        model: "menu-mind-24b".to_owned(),
        version: "v1".to_owned(),
        adapters: vec!["recipe-cost".to_owned()],
        layers: LayerRange { first, end },
        fence: 0,
        draining: false,
        layer_tokens_per_s: 12_000.0,
        batch_limit: 8,
        stream_limit: 0,
        running: 0,
        waiting: 0,
        load_age_ms: 0,
        links: IndexMap::new(),
    }
}

/// Creates an entry that has read the full snapshot and every engine's state.
pub(super) fn entry() -> TestEntry {
    let mut entry = Entry::new(config(7), FlowWeighted);
    entry.handle(
        EntryMessage::SnapshotChanged {
            snapshot: snapshot(1),
        },
        0,
    );
    for (name, _, first, end) in ENGINES {
        let state = Some(engine_state(name, first, end));
        let endpoint = name.into();
        entry.handle(EntryMessage::EngineStateRead { endpoint, state }, 0);
    }
    entry
}

pub(super) fn completion(key: &str, request: &str, max_tokens: u32) -> CallerRequest {
    CallerRequest {
        key: Some(PresentedKey::from(key.to_owned())),
        request: RequestId::from(request),
        idempotency_key: None,
        deadline: None,
        digest: [1; 32],
        body: RequestBody::Completion {
            model: "menu-mind-24b:recipe-cost".to_owned(),
            prompt: "price of twelve kilos of lamb".to_owned(),
            max_tokens,
        },
    }
}

pub(super) fn call(key: &str, request: &str, method: &str, path: &str) -> CallerRequest {
    CallerRequest {
        key: Some(PresentedKey::from(key.to_owned())),
        request: RequestId::from(request),
        idempotency_key: None,
        deadline: None,
        digest: [2; 32],
        body: RequestBody::Application {
            service: ServiceName::from("ledger-api"),
            method: method.to_owned(),
            path: path.to_owned(),
            content_type: None,
            body: b"{}".to_vec(),
        },
    }
}

/// A stock count under an idempotency key.
pub(super) fn stock_count(request: &str, key: &str) -> CallerRequest {
    CallerRequest {
        idempotency_key: Some(key.into()),
        ..call(KEY, request, "POST", "/stock-counts")
    }
}

pub(super) fn arrive(
    entry: &mut TestEntry,
    caller: u64,
    request: CallerRequest,
    now_ms: u64,
) -> Vec<EntryEffect> {
    let caller = CallerId(caller);
    entry.handle(EntryMessage::Arrived { caller, request }, now_ms)
}

/// Returns the stream opened by the effects, if any.
pub(super) fn opened(effects: &[EntryEffect]) -> Option<(CallId, OpenStream)> {
    effects.iter().find_map(|effect| match effect {
        EntryEffect::OpenStream { call, open, .. } => Some((*call, open.clone())),
        _ => None,
    })
}

pub(super) fn token(call: CallId, epoch: u32, position: u32) -> EntryMessage {
    EntryMessage::StreamEvent {
        call,
        event: StreamEvent::Token {
            epoch,
            position,
            text: format!("t{position}"),
        },
    }
}
#[test]
fn the_documents_check() {
    for text in [MENU_MIND, LEDGER_API] {
        crate::document::Document::parse(&with_accounts(text)).unwrap();
    }
}
