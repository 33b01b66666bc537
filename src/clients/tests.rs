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

/// Serves one status and body at every path.
fn serve(status: u16, body: &'static str) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let server = HttpServer::new(move || {
        let answer = move |_: Bytes| async move {
            let status = StatusCode::from_u16(status).unwrap();
            HttpResponse::build(status).body(body)
        };
        App::new().default_service(web::to(answer))
    });
    actix_rt::spawn(server.workers(1).listen(listener).unwrap().run());
    address
}

/// Reads a request and then does with the connection what `then` does.
fn accept<F, R>(then: F) -> SocketAddr
where
    F: Fn(usize, TcpStream) -> R + 'static,
    R: Future<Output = io::Result<()>> + 'static,
{
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    listener.set_nonblocking(true).unwrap();
    let address = listener.local_addr().unwrap();
    let listener = tokio::net::TcpListener::from_std(listener).unwrap();
    actix_rt::spawn(async move {
        let mut number = 0;
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut head = [0; 1_024];
            let _ = stream.read(&mut head).await;
            actix_rt::spawn(then(number, stream));
            number += 1;
        }
    });
    address
}

async fn close(_: usize, _: TcpStream) -> io::Result<()> {
    Ok(())
}

async fn stay_silent(_: usize, stream: TcpStream) -> io::Result<()> {
    let _kept = stream;
    std::future::pending().await
}

/// Answers whole on connections after the first; on the first, a head and half a body.
async fn cut_the_first(number: usize, mut stream: TcpStream) -> io::Result<()> {
    let body: &[u8] = if number == 0 {
        b"{\"ro"
    } else {
        b"{\"rows\":[]}"
    };
    stream
        .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 11\r\n\r\n")
        .await?;
    stream.write_all(body).await
}

fn refusing() -> SocketAddr {
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
async fn a_committed_transaction_is_read() {
    let address = serve(200, r#"{"result":"committed","version":7,"more":1}"#);
    let reply = transact(address).await;
    assert_eq!(reply, Ok(TransactReply::Committed { version: 7 }));
}

#[actix_web::test]
async fn a_refused_connection_sent_nothing() {
    assert_eq!(transact(refusing()).await, Err(TableFailure::NotSent));
}

#[actix_web::test]
async fn a_connection_closed_after_the_request_loses_the_reply() {
    let failure = transact(accept(close)).await;
    assert_eq!(failure, Err(TableFailure::ReplyLost));
}

#[actix_web::test]
async fn silence_loses_the_reply() {
    let failure = transact(accept(stay_silent)).await;
    assert_eq!(failure, Err(TableFailure::ReplyLost));
}

#[actix_web::test]
async fn limits_and_outages_apply_nothing() {
    for status in [429, 503] {
        let failure = transact(serve(status, "")).await;
        assert_eq!(failure, Err(TableFailure::Throttled));
    }
}

#[actix_web::test]
async fn what_cannot_be_read_may_have_been_applied() {
    for (status, body) in [(200, "{"), (500, ""), (400, ""), (307, "")] {
        let failure = transact(serve(status, body)).await;
        assert_eq!(failure, Err(TableFailure::ReplyLost));
    }
}

#[actix_web::test]
async fn after_a_reply_cut_short_the_next_call_takes_a_fresh_connection() {
    let table = table(accept(cut_the_first));
    assert_eq!(read(&table).await, Err(TableFailure::ReplyLost));
    assert_eq!(read(&table).await, Ok(Rows::default()));
}

/// Answers the first request of its first connection and is silent on it from then on.
async fn fall_silent(number: usize, mut stream: TcpStream) -> io::Result<()> {
    stream
        .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 11\r\n\r\n{\"rows\":[]}")
        .await?;
    if number == 0 {
        return stay_silent(number, stream).await;
    }
    Ok(())
}

#[actix_web::test]
async fn a_pooled_connection_that_fell_silent_is_thrown_away() {
    let table = table(accept(fall_silent));
    assert_eq!(read(&table).await, Ok(Rows::default()));
    assert_eq!(read(&table).await, Err(TableFailure::ReplyLost));
    assert_eq!(read(&table).await, Ok(Rows::default()));
}

#[actix_web::test]
async fn a_call_that_fails_late_keeps_fresh_connections() {
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
async fn objects_that_are_missing_are_not_failures() {
    let objects = HttpObjects::new(&format!("http://{}", serve(404, "")));
    assert_eq!(objects.get("a/b", TIMEOUT_MS).await, Ok(None));
    assert_eq!(objects.delete("a/b", TIMEOUT_MS).await, Ok(()));
}

#[actix_web::test]
async fn an_instance_list_that_is_none_is_malformed() {
    let instances = HttpInstances::new(&format!("http://{}", serve(200, "[]")));
    let failure = instances.list(TIMEOUT_MS).await;
    assert_eq!(failure, Err(InstanceListFailure::Malformed));
}

#[actix_web::test]
async fn an_engines_refusal_is_read() {
    let address = serve(409, r#"{"code":"draining","stage":"e-2"}"#);
    let result = HttpEngines::new()
        .open(address, &open_stream(), false)
        .await;
    let Err(EngineCallFailure::Refused { error }) = result else {
        panic!("not refused");
    };
    assert_eq!(error.code, EngineErrorCode::Draining);
    assert_eq!(error.stage, Some(EndpointId::from("e-2")));
}

#[actix_web::test]
async fn an_error_that_is_not_the_engines_proves_nothing() {
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
    let address = accept(stay_silent);
    let limit = Duration::from_secs(5);
    let call = HttpEngines::new();
    let state = tokio::time::timeout(limit, call.state(address, TIMEOUT_MS)).await;
    assert_eq!(state, Ok(Err(EngineCallFailure::ReplyLost)));
}
