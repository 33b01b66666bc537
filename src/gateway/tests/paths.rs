use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use actix_web::http::StatusCode;
use awc::{Client, ClientResponse};
use futures_util::StreamExt;
use indexmap::IndexSet;
use serde_json::{Value, json};

use super::fixture::{
    DEADLINE, KEY, PEER_KEY, TestEntry, outbound, start, unused_address, wait_until,
};
use crate::gateway::claim_call::{claim_question, query_holder};
use crate::ids::Incarnation;
use crate::instance::{CallId, EntryMessage};
use crate::wire::caller::{ErrorResponse, ModelList};
use crate::wire::locate::LocateResponse;

const FAST: Duration = Duration::from_millis(1);
const SLOW: Duration = Duration::from_millis(20);
const CHAT: &str = "/v1/chat/completions";

fn chat(max_tokens: u32, stream: bool) -> Value {
    json!({"model": "menu-mind-24b:recipe-cost", "max_tokens": max_tokens, "stream": stream,
        "messages": [{"role": "user", "content": "cost of harissa"}]})
}

fn header(response: &ClientResponse, name: &str) -> String {
    let value = response.headers().get(name).unwrap();
    value.to_str().unwrap().to_owned()
}

async fn text(response: &mut ClientResponse) -> String {
    let body = response.body().await.unwrap();
    String::from_utf8(body.to_vec()).unwrap()
}

async fn error(mut response: ClientResponse) -> (StatusCode, String) {
    assert_eq!(header(&response, "x-fescue-outcome"), "not-run");
    let body: ErrorResponse = response.json().await.unwrap();
    let code = serde_json::to_value(body.error.code).unwrap();
    (response.status(), code.as_str().unwrap().to_owned())
}

#[actix_web::test]
async fn a_full_answer_is_returned() {
    let entry = start(FAST).await;
    let request = entry.post(CHAT).insert_header(("x-request-id", "r-1"));
    let mut response = request.send_json(&chat(3, false)).await.unwrap();
    assert_eq!(response.status(), StatusCode::OK);
    assert_eq!(header(&response, "x-fescue-outcome"), "done");
    assert_eq!(header(&response, "x-request-id"), "r-1");
    let answer: Value = response.json().await.unwrap();
    assert_eq!(answer["choices"][0]["message"]["content"], "t0 t1 t2");
    assert_eq!(answer["usage"]["completion_tokens"], 3);
}

#[actix_web::test]
async fn a_streamed_answer_ends_with_done() {
    let entry = start(FAST).await;
    let mut response = entry.post(CHAT).send_json(&chat(50, true)).await.unwrap();
    assert_eq!(header(&response, "content-type"), "text/event-stream");
    let stream = text(&mut response).await;
    assert_eq!(stream.matches("\"content\":").count(), 50);
    assert!(stream.ends_with("data: [DONE]\n\n"));
}

#[actix_web::test]
async fn connections_to_an_engine_are_used_again() {
    let entry = start(SLOW).await;
    let until = Instant::now() + DEADLINE;
    // A stream uses another connection while the first one is busy reading the engine's state or has
    // not been returned to the pool yet, so six consecutive streams may use up to three connections.
    while connections_of_last(&entry, 6).is_none_or(|count| count > 3) {
        assert!(Instant::now() < until, "connections are not used again");
        let mut response = entry.post(CHAT).send_json(&chat(2, false)).await.unwrap();
        text(&mut response).await;
    }
}

/// Counts the connections used by the last `count` streams; `None` if there were fewer streams.
fn connections_of_last(entry: &TestEntry, count: usize) -> Option<usize> {
    let peers = entry.seen.stream_peers.lock().unwrap();
    let first = peers.len().checked_sub(count)?;
    let last: IndexSet<_> = peers[first..].iter().collect();
    Some(last.len())
}

#[actix_web::test]
async fn a_caller_that_leaves_cancels_its_stream() {
    let entry = start(SLOW).await;
    let mut response = entry.post(CHAT).send_json(&chat(500, true)).await.unwrap();
    response.next().await.unwrap().unwrap();
    drop(response);
    let cut = entry.seen.streams_cut.clone();
    wait_until(|| cut.load(Ordering::SeqCst) == 1).await;
}

#[actix_web::test]
async fn a_caller_that_leaves_before_a_full_answer_cancels_its_stream() {
    let entry = start(SLOW).await;
    let body = chat(500, false);
    let asking = entry.post(CHAT).send_json(&body);
    let seen = entry.seen.clone();
    let opened = wait_until(|| seen.streams_open.load(Ordering::SeqCst) == 1);
    tokio::select! {
        _ = asking => panic!("answered"),
        () = opened => {}
    }
    wait_until(|| seen.streams_cut.load(Ordering::SeqCst) == 1).await;
}

#[actix_web::test]
async fn an_application_call_is_passed_on() {
    let entry = start(FAST).await;
    let request = entry
        .post("/v1/services/ledger-api/prices?of=tomato")
        .insert_header(("x-request-id", "r-2"));
    let mut response = request.send_body("body").await.unwrap();
    assert_eq!(response.status(), StatusCode::CREATED);
    assert_eq!(header(&response, "content-type"), "text/plain");
    assert_eq!(text(&mut response).await, "POST of=tomato r-2 body");
}

#[actix_web::test]
async fn without_a_table_service_a_non_idempotent_call_is_not_run() {
    let entry = start(FAST).await;
    let path = "/v1/services/ledger-api/stock-counts";
    let key = ("idempotency-key", uuid::Uuid::now_v7().to_string());
    let mut request = entry.post(path).insert_header(key);
    let refused = error(request.send_body("body").await.unwrap()).await;
    assert_eq!(refused.0, StatusCode::SERVICE_UNAVAILABLE);
    request = entry.post(path);
    let refused = error(request.send_body("body").await.unwrap()).await;
    assert_eq!(
        refused,
        (StatusCode::BAD_REQUEST, "missing_header".to_owned())
    );
    assert_eq!(entry.seen.calls.load(Ordering::SeqCst), 0);
}

#[actix_web::test]
async fn bad_requests_are_refused_before_any_work() {
    let entry = start(FAST).await;
    let cases = [
        ("{", 400, "malformed_body"),
        (r#"{"model":"no-such","prompt":"x"}"#, 404, "unknown_model"),
    ];
    for (body, status, code) in cases {
        let response = entry.post("/v1/completions").send_body(body).await.unwrap();
        let (refused, name) = error(response).await;
        assert_eq!((refused.as_u16(), name.as_str()), (status, code));
    }
    let large = "x".repeat(5_000);
    let response = entry.post(CHAT).send_body(large).await.unwrap();
    assert_eq!(error(response).await.1, "body_too_large");
    let no_service = entry.post("/v1/services/no-such/prices");
    let response = no_service.send().await.unwrap();
    assert_eq!(error(response).await.1, "unknown_service");
    let wrong_key = Client::default().post(entry.url(CHAT)).bearer_auth("wrong");
    let response = wrong_key.send_json(&chat(1, false)).await.unwrap();
    assert_eq!(error(response).await.1, "unauthenticated");
    assert_eq!(entry.seen.streams_open.load(Ordering::SeqCst), 0);
}

#[actix_web::test]
async fn service_paths_respond() {
    let entry = start(FAST).await;
    let client = Client::default();
    for (path, status) in [
        ("/healthz", 200),
        ("/readyz", 200),
        ("/metrics", 200),
        ("/v1/locate", 404),
        ("/v1/locate?service=a&service=b", 404),
        ("/v1/locate?service=no-such", 404),
        ("/v1/nothing", 404),
    ] {
        let response = client.get(entry.url(path)).send().await.unwrap();
        assert_eq!(response.status().as_u16(), status, "{path}");
    }
    let locate = entry.url("/v1/locate?service=menu-mind");
    let mut response = client.get(locate).send().await.unwrap();
    let located: LocateResponse = response.json().await.unwrap();
    assert_eq!(located.entries[0].address, entry.process.address);
}

#[actix_web::test]
async fn models_are_listed_with_their_adapters() {
    let entry = start(FAST).await;
    let request = Client::default().get(entry.url("/v1/models"));
    let mut response = request.bearer_auth(KEY).send().await.unwrap();
    let models: ModelList = response.json().await.unwrap();
    let ids: Vec<&str> = models.data.iter().map(|model| model.id.as_str()).collect();
    let expected = [
        "menu-mind-24b",
        "menu-mind-24b:recipe-cost",
        "menu-mind-24b:waste-notes",
    ];
    assert_eq!(ids, expected);
}

async fn query_claim(entry: &TestEntry, key: &str) -> ClientResponse {
    let question = json!({"wire_version": 1, "instance": "entry-lac-1",
        "incarnation": "00000000-0000-0000-0000-000000000000", "claim": "claims/x"});
    let request = Client::default().post(entry.url("/internal/claims"));
    request.bearer_auth(key).send_json(&question).await.unwrap()
}

#[actix_web::test]
async fn claims_are_answered_to_other_entries_only() {
    let entry = start(FAST).await;
    let mut answered = query_claim(&entry, PEER_KEY).await;
    let answer: Value = answered.json().await.unwrap();
    assert_eq!(answer["working"], false);
    let refused = query_claim(&entry, KEY).await;
    assert_eq!(error(refused).await.1, "unauthenticated");
}

async fn working_at(address: SocketAddr) -> Option<bool> {
    let incarnation = Incarnation::generate(&mut rand::rng());
    let question = claim_question("entry-lac-1".into(), incarnation, "claims/x".to_owned());
    let answer = query_holder(Rc::new(outbound()), CallId(1), address, question, 300);
    match answer.await.0 {
        EntryMessage::HolderAnswered { working, .. } => working,
        other => panic!("{other:?}"),
    }
}

#[actix_web::test]
async fn a_holder_is_gone_where_nothing_listens_but_not_where_it_is_silent() {
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    assert_eq!(working_at(silent.local_addr().unwrap()).await, None);
    assert_eq!(working_at(unused_address()).await, Some(false));
    let entry = start(FAST).await;
    assert_eq!(working_at(entry.process.address).await, Some(false));
}

#[actix_web::test]
async fn a_planned_stop_cuts_off_nothing() {
    let mut entry = start(SLOW).await;
    let mut kept = entry.post(CHAT).send_json(&chat(20, true)).await.unwrap();
    kept.next().await.unwrap().unwrap();
    let url = entry.url(CHAT);
    let stopping = async {
        entry.process.stop().await;
    };
    let asking = async {
        let late = Client::default().post(url).bearer_auth(KEY);
        let late = late.send_json(&chat(1, false)).await.unwrap();
        assert_eq!(header(&late, "connection"), "close");
        assert_eq!(error(late).await.1, "stopping");
        text(&mut kept).await
    };
    let limit = Duration::from_secs(10);
    let both = futures_util::future::join(stopping, asking);
    let ((), rest) = tokio::time::timeout(limit, both).await.unwrap();
    assert!(rest.ends_with("data: [DONE]\n\n"));
}
