use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::time::Duration;

use actix_web::http::StatusCode;
use actix_web::web::{self, Bytes};
use actix_web::{App, HttpResponse, HttpServer};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::*;
use crate::ids::{EndpointId, StreamId};
use crate::wire::engine::{EngineErrorCode, OpenStream};
use crate::wire::platform::{ReadRows, Rows, TransactReply, Transaction};

const TIMEOUT_MS: u64 = 300;

/// Starts a server that responds to every path with the same status and body.
fn serve(status: u16, body: &'static str) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let server = HttpServer::new(move || {
        let respond = move |_: Bytes| async move {
            let status = StatusCode::from_u16(status).unwrap();
            HttpResponse::build(status).body(body)
        };
        App::new().default_service(web::to(respond))
    });
    actix_rt::spawn(server.workers(1).listen(listener).unwrap().run());
    address
}

/// Starts a server that reads one request from each connection and then hands the connection and
/// its index to `handle`.
fn serve_raw<F, R>(handle: F) -> SocketAddr
where
    F: Fn(usize, TcpStream) -> R + 'static,
    R: Future<Output = io::Result<()>> + 'static,
{
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    listener.set_nonblocking(true).unwrap();
    let address = listener.local_addr().unwrap();
    let listener = tokio::net::TcpListener::from_std(listener).unwrap();
    actix_rt::spawn(async move {
        let mut index = 0;
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut head = [0; 1_024];
            let _ = stream.read(&mut head).await;
            actix_rt::spawn(handle(index, stream));
            index += 1;
        }
    });
    address
}

async fn close(_: usize, _: TcpStream) -> io::Result<()> {
    Ok(())
}

async fn never_respond(_: usize, stream: TcpStream) -> io::Result<()> {
    let _open_stream = stream;
    std::future::pending().await
}

/// Sends a truncated body on the first connection and a complete response on later ones.
async fn truncate_first_response(index: usize, mut stream: TcpStream) -> io::Result<()> {
    let body: &[u8] = if index == 0 {
        b"{\"ro"
    } else {
        b"{\"rows\":[]}"
    };
    stream
        .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 11\r\n\r\n")
        .await?;
    stream.write_all(body).await
}

/// An address that refuses connections.
fn unused_address() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    listener.local_addr().unwrap()
}

fn table(address: SocketAddr) -> HttpTable {
    HttpTable::new(&format!("http://{address}"))
}

async fn transact(address: SocketAddr) -> Result<TransactReply, TableFailure> {
    let transaction = Transaction::default();
    table(address).transact(&transaction, TIMEOUT_MS).await
}

async fn read(table: &HttpTable) -> Result<Rows, TableFailure> {
    table.read(&ReadRows { keys: Vec::new() }, TIMEOUT_MS).await
}

fn open_stream() -> OpenStream {
    OpenStream {
        wire_version: 1,
        stream: StreamId::generate(&mut rand::rng()),
        epoch: 1,
        request: "r-1".into(),
        model: "m".to_owned(),
        version: "1".to_owned(),
        adapter: None,
        chain: Vec::new(),
        prompt: String::new(),
        generated: Vec::new(),
        max_tokens: 1,
        priority: 0,
    }
}

#[actix_web::test]
async fn a_committed_transaction_is_parsed() {
    let address = serve(200, r#"{"result":"committed","version":7,"more":1}"#);
    let reply = transact(address).await;
    assert_eq!(reply, Ok(TransactReply::Committed { version: 7 }));
}

#[actix_web::test]
async fn a_refused_connection_sent_nothing() {
    assert_eq!(transact(unused_address()).await, Err(TableFailure::NotSent));
}

#[actix_web::test]
async fn a_connection_closed_after_the_request_loses_the_reply() {
    let failure = transact(serve_raw(close)).await;
    assert_eq!(failure, Err(TableFailure::ReplyLost));
}

#[actix_web::test]
async fn a_server_that_never_responds_loses_the_reply() {
    let failure = transact(serve_raw(never_respond)).await;
    assert_eq!(failure, Err(TableFailure::ReplyLost));
}

#[actix_web::test]
async fn statuses_429_and_503_mean_nothing_was_applied() {
    for status in [429, 503] {
        let failure = transact(serve(status, "")).await;
        assert_eq!(failure, Err(TableFailure::Throttled));
    }
}

#[actix_web::test]
async fn unreadable_replies_may_have_been_applied() {
    for (status, body) in [(200, "{"), (500, ""), (400, ""), (307, "")] {
        let failure = transact(serve(status, body)).await;
        assert_eq!(failure, Err(TableFailure::ReplyLost));
    }
}

#[actix_web::test]
async fn a_truncated_reply_makes_the_next_call_use_a_new_connection() {
    let table = table(serve_raw(truncate_first_response));
    assert_eq!(read(&table).await, Err(TableFailure::ReplyLost));
    assert_eq!(read(&table).await, Ok(Rows::default()));
}

/// Responds to the first request on each connection; the first connection then stays open without
/// further responses.
async fn stall_first_connection(index: usize, mut stream: TcpStream) -> io::Result<()> {
    stream
        .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 11\r\n\r\n{\"rows\":[]}")
        .await?;
    if index == 0 {
        return never_respond(index, stream).await;
    }
    Ok(())
}

#[actix_web::test]
async fn a_stalled_pooled_connection_is_discarded() {
    let table = table(serve_raw(stall_first_connection));
    assert_eq!(read(&table).await, Ok(Rows::default()));
    assert_eq!(read(&table).await, Err(TableFailure::ReplyLost));
    assert_eq!(read(&table).await, Ok(Rows::default()));
}

#[actix_web::test]
async fn a_late_failure_does_not_discard_a_newer_connection_pool() {
    let peer = http::HttpPeer::new("http://127.0.0.1:1");
    let before = peer.generation();
    peer.discard_connections();
    let fresh = peer.generation();
    peer.discard_generation(before);
    assert_eq!(peer.generation(), fresh);
    peer.discard_generation(fresh);
    assert_ne!(peer.generation(), fresh);
}

#[actix_web::test]
async fn missing_objects_are_not_failures() {
    let objects = HttpObjects::new(&format!("http://{}", serve(404, "")));
    assert_eq!(objects.get("a/b", TIMEOUT_MS).await, Ok(None));
    assert_eq!(objects.delete("a/b", TIMEOUT_MS).await, Ok(()));
}

#[actix_web::test]
async fn a_reply_of_another_type_is_a_malformed_instance_list() {
    let instances = HttpInstances::new(&format!("http://{}", serve(200, "[]")));
    let failure = instances.list(TIMEOUT_MS).await;
    assert_eq!(failure, Err(InstanceListFailure::Malformed));
}

#[actix_web::test]
async fn an_engine_refusal_is_parsed() {
    let address = serve(409, r#"{"code":"draining","stage":"e-2"}"#);
    let result = HttpEngines::new()
        .open(address, &open_stream(), false)
        .await;
    let Err(EngineCallFailure::Refused { error }) = result else {
        panic!("the engine's refusal was not returned");
    };
    assert_eq!(error.code, EngineErrorCode::Draining);
    assert_eq!(error.stage, Some(EndpointId::from("e-2")));
}

#[actix_web::test]
async fn an_error_from_a_gateway_counts_as_a_lost_reply() {
    let address = serve(502, "bad gateway");
    let result = HttpEngines::new()
        .open(address, &open_stream(), false)
        .await;
    assert!(matches!(result, Err(EngineCallFailure::ReplyLost)));
}

#[actix_web::test]
async fn an_unknown_stream_has_no_progress() {
    let stream = StreamId::generate(&mut rand::rng());
    let engines = HttpEngines::new();
    let progress = engines.progress(serve(404, ""), stream, TIMEOUT_MS).await;
    assert_eq!(progress, Ok(None));
}

#[actix_web::test]
async fn a_call_ends_at_its_timeout() {
    let address = serve_raw(never_respond);
    let limit = Duration::from_secs(5);
    let engines = HttpEngines::new();
    let state = tokio::time::timeout(limit, engines.state(address, TIMEOUT_MS)).await;
    assert_eq!(state, Ok(Err(EngineCallFailure::ReplyLost)));
}
