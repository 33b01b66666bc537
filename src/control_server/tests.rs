//! The process's listener over real sockets, with a platform that does not answer.

use std::time::Duration;

use jsonrpsee::core::ClientError;
use jsonrpsee::ws_client::{WsClient, WsClientBuilder};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::net::TcpListener;

use super::actor::StopControl;
use super::run::{Running, start};
use crate::ids::{Incarnation, InstanceId, ServiceName};
use crate::rpc::{LocalApiClient, MAX_REQUEST_BYTES, OperatorApiClient, PeerApiClient, fault_of};
use crate::settings;
use crate::wire::WIRE_VERSION;
use crate::wire::local::EntryReport;
use crate::wire::operator::{AcceptRequest, OperatorFault};
use crate::wire::peer::{PeerMessage, PeerUpdates};

const KEY: &str = "key-of-the-own-processes";
const LIMIT: Duration = Duration::from_secs(10);

const SETTINGS: &str = r#"
[instance]
name = "entry-lac-1"
zone = "Lac"
[entry]
listen = "127.0.0.1:7001"
[control]
listen = "127.0.0.1:7002"
[platform]
table = "http://127.0.0.1:9"
objects = "http://127.0.0.1:9"
instances = "http://127.0.0.1:9"
[peers]
key = "key-of-the-own-processes"
"#;

async fn running() -> (Running, WsClient) {
    let settings = settings::parse(SETTINGS).unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let running = start(&settings, listener).unwrap();
    let client = WsClientBuilder::default()
        .request_timeout(LIMIT)
        .build(format!("ws://{address}"))
        .await
        .unwrap();
    (running, client)
}

fn report() -> EntryReport {
    EntryReport {
        wire_version: WIRE_VERSION,
        incarnation: Incarnation::generate(&mut SmallRng::seed_from_u64(1)),
        known_snapshot: 0,
        stopping: false,
        in_flight: 0,
        demands: Vec::new(),
        draining_endpoints: Vec::new(),
        decisions: Vec::new(),
        revisions: indexmap::IndexMap::new(),
        capacities: Vec::new(),
    }
}

fn message() -> PeerMessage {
    PeerMessage {
        wire_version: WIRE_VERSION,
        from: InstanceId::from("entry-lac-2"),
        beats: None,
        news: PeerUpdates::default(),
    }
}

fn fault<T>(result: Result<T, ClientError>) -> Option<OperatorFault> {
    match result {
        Err(ClientError::Call(error)) => fault_of(&error),
        _ => None,
    }
}

#[actix_rt::test]
async fn the_own_processes_show_their_key_at_each_call() {
    let (running, client) = running().await;
    let wrong = || "another-key-of-some-length".to_owned();
    let refused = Some(OperatorFault::Unauthenticated);
    assert_eq!(fault(client.exchange(wrong(), report()).await), refused);
    assert_eq!(fault(client.gossip(wrong(), message()).await), refused);
    assert!(client.exchange(KEY.to_owned(), report()).await.is_ok());
    assert!(client.gossip(KEY.to_owned(), message()).await.is_ok());
    running.end().await;
}

#[actix_rt::test]
async fn without_store_and_peers_nothing_is_handed_out_or_accepted() {
    let (running, client) = running().await;
    let reply = client.exchange(KEY.to_owned(), report()).await.unwrap();
    assert_eq!(reply.snapshot, None);
    let request = AcceptRequest {
        service: ServiceName::from("s"),
        base_revision: 0,
        text: String::new(),
        change_id: uuid::Uuid::from_u128(1),
        note: None,
    };
    let accepted = client.accept(KEY.to_owned(), request).await;
    assert_eq!(fault(accepted), Some(OperatorFault::StoreUnavailable));
    running.end().await;
}

#[actix_rt::test]
async fn the_page_of_counters_shows_traffic_and_no_key() {
    let (running, client) = running().await;
    client.gossip(KEY.to_owned(), message()).await.unwrap();
    let deadline = tokio::time::Instant::now() + LIMIT;
    let page = loop {
        let page = client.metrics(KEY.to_owned()).await.unwrap();
        if page.contains("fescue_control_bytes_received_peer") {
            break page;
        }
        assert!(tokio::time::Instant::now() < deadline, "{page}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    assert!(!page.contains(KEY));
    running.end().await;
}

#[actix_rt::test]
async fn a_request_over_the_limit_costs_its_connection_only() {
    let (running, client) = running().await;
    let request = AcceptRequest {
        service: ServiceName::from("s"),
        base_revision: 0,
        text: "x".repeat(MAX_REQUEST_BYTES as usize + 1),
        change_id: uuid::Uuid::from_u128(1),
        note: None,
    };
    assert!(client.accept(KEY.to_owned(), request).await.is_err());
    running.end().await;
}

#[actix_rt::test]
async fn a_planned_stop_ends_by_itself() {
    let (mut running, client) = running().await;
    client.exchange(KEY.to_owned(), report()).await.unwrap();
    running.actor.do_send(StopControl);
    let stopped = tokio::time::timeout(LIMIT, &mut running.stopped).await;
    assert!(stopped.is_ok());
    running.end().await;
}
