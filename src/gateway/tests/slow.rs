//! Tests with callers, engines and control processes that are slow, silent or gone.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use jsonrpsee::server::{ServerBuilder, ServerHandle};
use jsonrpsee::types::ErrorObjectOwned;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::fixture::{
    DEADLINE, KEY, TestEntry, outbound, snapshot, start, start_process, unused_address, wait_until,
};
use crate::gateway::caller::{MAX_BUFFERED_EVENTS, WaitingCaller};
use crate::gateway::calls::cancel_stream;
use crate::gateway::messages::{CallerArrived, IsReady};
use crate::gateway::process::EntryProcess;
use crate::ids::StreamId;
use crate::instance::{CallerRequest, PresentedKey, RequestBody};
use crate::rpc::LocalApiServer;
use crate::wire::WIRE_VERSION;
use crate::wire::local::{EntryReport, ExchangeReply};

const NO_DELAY: Duration = Duration::ZERO;
const SHORT: Duration = Duration::from_millis(100);
/// Events of an answer that the engine is still sending when a caller's buffer is full.
const ANSWER_EVENTS: u32 = 16 * MAX_BUFFERED_EVENTS as u32;

async fn send(entry: &TestEntry, text: &str) -> TcpStream {
    let mut stream = TcpStream::connect(entry.process.address).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    stream
}

async fn read_to_end(mut stream: TcpStream) -> String {
    let mut text = String::new();
    let read = stream.read_to_string(&mut text);
    tokio::time::timeout(DEADLINE, read).await.unwrap().unwrap();
    text
}

#[actix_web::test]
async fn a_caller_silent_in_the_middle_of_its_body_is_refused() {
    let entry = start(NO_DELAY).await;
    let head = "POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 50\r\n\r\n{";
    let answer = read_to_end(send(&entry, head).await).await;
    assert!(answer.contains("malformed_body"), "{answer}");
}

#[actix_web::test]
async fn a_caller_silent_in_the_middle_of_its_head_is_cut() {
    let entry = start(NO_DELAY).await;
    let answer = read_to_end(send(&entry, "POST /v1/comp").await).await;
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
}

/// Sends a request for tokens as a caller that reads none of them.
fn send_without_reading(entry: &TestEntry, max_tokens: u32) -> WaitingCaller {
    let gateway = &entry.process.gateway;
    let (caller, events) = WaitingCaller::open(gateway.actor.clone(), gateway.callers.clone());
    let request = CallerRequest {
        key: Some(PresentedKey::from(KEY.to_owned())),
        request: "r-1".into(),
        idempotency_key: None,
        deadline: None,
        digest: [0; 32],
        body: RequestBody::Completion {
            model: "menu-mind-24b".to_owned(),
            prompt: "x".to_owned(),
            max_tokens,
        },
    };
    gateway.actor.do_send(CallerArrived {
        caller: caller.id(),
        request,
        events,
    });
    caller
}

#[actix_web::test]
async fn a_caller_that_reads_nothing_is_dropped_and_its_stream_cut() {
    let entry = start(NO_DELAY).await;
    let mut unread = send_without_reading(&entry, ANSWER_EVENTS);
    wait_until(|| unread.is_dropped()).await;
    let seen = entry.seen.clone();
    wait_until(|| seen.streams_open.load(Ordering::SeqCst) == 0).await;
    assert_ne!(seen.streams_cut.load(Ordering::SeqCst), 0);
    let mut buffered = 0;
    while unread.next().await.is_some() {
        buffered += 1;
    }
    assert_eq!(buffered, MAX_BUFFERED_EVENTS);
}

#[actix_web::test]
async fn a_caller_gone_silent_does_not_hold_up_a_stop() {
    let mut entry = start(NO_DELAY).await;
    let _unread = send_without_reading(&entry, 3);
    let stop = entry.process.stop_with_stall_timeout(SHORT);
    let left = tokio::time::timeout(DEADLINE, stop).await;
    assert_eq!(left, Ok(1));
}

#[actix_web::test]
async fn an_idle_connection_does_not_hold_up_a_stop() {
    let mut entry = start(NO_DELAY).await;
    let mut idle = send(&entry, "GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n").await;
    let mut answer = [0; 512];
    assert_ne!(idle.read(&mut answer).await.unwrap(), 0);
    let stopped = tokio::time::timeout(DEADLINE, entry.process.stop()).await;
    assert_eq!(stopped, Ok(0));
}

#[actix_web::test]
async fn a_cancellation_lost_to_silence_is_sent_again() {
    let engine = TcpListener::bind(unused_address()).await.unwrap();
    let address = engine.local_addr().unwrap();
    let stream = StreamId::generate(&mut rand::rng());
    let cancel = cancel_stream(Rc::new(outbound()), address, stream, 1);
    let attempts = async {
        let (_silent, _) = engine.accept().await.unwrap();
        let (mut again, _) = engine.accept().await.unwrap();
        let mut head = [0; 512];
        let length = again.read(&mut head).await.unwrap();
        let answer = b"HTTP/1.1 204 No Content\r\n\r\n";
        again.write_all(answer).await.unwrap();
        String::from_utf8(head[..length].to_vec()).unwrap()
    };
    let both = futures_util::future::join(cancel, attempts);
    let ((), sent) = tokio::time::timeout(DEADLINE, both).await.unwrap();
    assert!(sent.starts_with(&format!("POST /v1/streams/{stream}/cancel")));
}

struct TestControl {
    entry: SocketAddr,
    version: u64,
}

#[jsonrpsee::core::async_trait]
impl LocalApiServer for TestControl {
    async fn exchange(
        &self,
        _: String,
        report: EntryReport,
    ) -> Result<ExchangeReply, ErrorObjectOwned> {
        let mut snapshot = snapshot(unused_address(), self.entry);
        snapshot.version = self.version;
        Ok(ExchangeReply {
            wire_version: WIRE_VERSION,
            snapshot: (report.known_snapshot < self.version).then_some(snapshot),
        })
    }
}

async fn start_control(at: SocketAddr, entry: &EntryProcess, version: u64) -> ServerHandle {
    let server = ServerBuilder::default().build(at).await.unwrap();
    let entry = entry.address;
    server.start(TestControl { entry, version }.into_rpc())
}

async fn wait_for_snapshots(entry: &EntryProcess, count: u64) {
    let counters = entry.gateway.counters.clone();
    wait_until(|| counters.value("gateway.snapshots") >= count).await;
}

#[actix_web::test]
async fn a_control_that_restarts_is_reached_again() {
    let control = unused_address();
    let entry = start_process(control);
    let first = start_control(control, &entry, 1).await;
    wait_for_snapshots(&entry, 1).await;
    first.stop().unwrap();
    first.stopped().await;
    let _second = start_control(control, &entry, 2).await;
    wait_for_snapshots(&entry, 2).await;
}

#[actix_web::test]
async fn a_control_that_falls_silent_is_left_and_reached_again() {
    let control = unused_address();
    let entry = start_process(control);
    let silent = TcpListener::bind(control).await.unwrap();
    let (kept, _) = silent.accept().await.unwrap();
    drop(silent);
    let _control = start_control(control, &entry, 1).await;
    wait_for_snapshots(&entry, 1).await;
    assert!(entry.gateway.actor.send(IsReady).await.unwrap());
    drop(kept);
}
