//! The calls an entry makes, one task each. Every one ends with one message to the actor, but for
//! an open stream, which sends what it reads.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix::Addr;
use actix_web::http::Method;
use actix_web::http::header::{AUTHORIZATION, CONTENT_TYPE, HeaderName};
use bytes::Bytes;
use futures_util::StreamExt;

use super::actor::EntryActor;
use super::messages::{Deliver, StreamRead};
use crate::ids::{EndpointId, Incarnation, InstanceId, StreamId};
use crate::instance::{
    ApplicationFailure, ApplicationReply, CallId, EntryMessage, StreamFailure, TableCall,
    TableReply,
};
use crate::outcome::{IDEMPOTENCY_KEY_HEADER, REQUEST_ID_HEADER};
use crate::platform::{
    EngineApi, EngineCallFailure, HttpCall, HttpEngines, HttpFailure, HttpPeers, HttpStream,
    HttpTable, TableFailure, TableService,
};
use crate::settings::Secret;
use crate::wire::WIRE_VERSION;
use crate::wire::claim::{CLAIMS_PATH, ClaimAnswer, ClaimQuestion};
use crate::wire::engine::{OpenStream, StreamEvent};
use crate::wire::sse::SseReader;

/// Longest wait for an engine's state or cache events.
const STATE_TIMEOUT_MS: u64 = 500;
/// Longest wait for an engine to confirm a cancellation.
const CANCEL_TIMEOUT_MS: u64 = 1_000;
/// Largest answer of an application endpoint.
const APPLICATION_REPLY_LIMIT_BYTES: usize = 16 << 20;
/// Largest answer to a question about a claim.
const CLAIM_REPLY_LIMIT_BYTES: usize = 4 << 10;
/// Longest event of an engine's stream.
const EVENT_LIMIT_BYTES: usize = 64 << 10;
/// How long a stream that has ended may take to close, so that its connection is used again.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(200);

/// Connections to everything the entry calls.
pub(crate) struct Outside {
    /// Table service.
    pub(crate) table: HttpTable,
    /// Model engines.
    pub(crate) engines: HttpEngines,
    /// Application endpoints.
    pub(crate) applications: HttpPeers,
    /// Other entries.
    pub(crate) entries: HttpPeers,
    /// Key shared by the system's own processes.
    pub(crate) peer_key: Secret,
}

/// A call of an application endpoint.
#[derive(Debug)]
pub(crate) struct ApplicationCall {
    /// Method.
    pub(crate) method: String,
    /// Path and query.
    pub(crate) path: String,
    /// `Content-Type`, `X-Request-Id`, `Idempotency-Key`, as far as present.
    pub(crate) headers: Vec<(HeaderName, String)>,
    /// Body.
    pub(crate) body: Vec<u8>,
    /// How long to wait for the whole reply.
    pub(crate) timeout_ms: u64,
    /// Whether a pooled connection must not be used.
    pub(crate) fresh_connection: bool,
}

impl ApplicationCall {
    /// Names the headers passed on to an endpoint.
    pub(crate) fn headers(
        content_type: Option<String>,
        request: &str,
        idempotency_key: Option<&str>,
    ) -> Vec<(HeaderName, String)> {
        let request = (
            HeaderName::from_static(REQUEST_ID_HEADER),
            request.to_owned(),
        );
        let key = idempotency_key.map(|key| {
            let name = HeaderName::from_static(IDEMPOTENCY_KEY_HEADER);
            (name, key.to_owned())
        });
        let content_type = content_type.map(|value| (CONTENT_TYPE, value));
        content_type
            .into_iter()
            .chain(key)
            .chain([request])
            .collect()
    }
}

/// Opens a stream and passes on its events until it ends.
pub(crate) async fn run_stream(
    outside: Rc<Outside>,
    actor: Addr<EntryActor>,
    call: CallId,
    address: SocketAddr,
    open: OpenStream,
    fresh_connection: bool,
) {
    let opened = outside.engines.open(address, &open, fresh_connection).await;
    let failure = match opened {
        Ok(stream) => follow_stream(stream, &actor, call).await,
        Err(EngineCallFailure::NotSent) => Some(StreamFailure::NotSent),
        Err(EngineCallFailure::Refused { error }) => Some(StreamFailure::Refused { error }),
        Err(EngineCallFailure::ReplyLost) => Some(StreamFailure::Broken),
    };
    if failure.is_some() {
        let events = Vec::new();
        actor.do_send(StreamRead {
            call,
            events,
            failure,
        });
    }
}

/// Returns why the stream broke, or `None` after its last event.
async fn follow_stream(
    mut stream: HttpStream,
    actor: &Addr<EntryActor>,
    call: CallId,
) -> Option<StreamFailure> {
    let mut reader = SseReader::new(EVENT_LIMIT_BYTES);
    while let Some(Ok(piece)) = stream.next().await {
        let read = read_events(&mut reader, &piece);
        let ended = read.events.last().is_some_and(is_last);
        if !read.events.is_empty() {
            actor.do_send(StreamRead {
                call,
                events: read.events,
                failure: None,
            });
        }
        if ended {
            close_stream(stream).await;
            return None;
        }
        if read.broken {
            break;
        }
    }
    Some(StreamFailure::Broken)
}

struct EventsRead {
    events: Vec<StreamEvent>,
    broken: bool,
}

fn read_events(reader: &mut SseReader, piece: &[u8]) -> EventsRead {
    let mut events = Vec::new();
    let mut broken = false;
    let pushed = reader.push(piece, |_, data| match serde_json::from_slice(data) {
        Ok(event) if !broken && !events.last().is_some_and(is_last) => events.push(event),
        Ok(_) => {}
        Err(_) => broken = true,
    });
    broken |= pushed.is_err();
    EventsRead { events, broken }
}

fn is_last(event: &StreamEvent) -> bool {
    matches!(event, StreamEvent::End { .. } | StreamEvent::Failed { .. })
}

/// Reads to the end of the body, which gives the connection back to the pool.
async fn close_stream(mut stream: HttpStream) {
    let rest = async { while let Some(Ok(_)) = stream.next().await {} };
    let _ = tokio::time::timeout(CLOSE_TIMEOUT, rest).await;
}

/// Cancels a stream at one stage; nobody waits for the outcome.
pub(crate) async fn cancel_stream(
    outside: Rc<Outside>,
    address: SocketAddr,
    stream: StreamId,
    epoch: u32,
) {
    let _ = outside
        .engines
        .cancel(address, stream, epoch, CANCEL_TIMEOUT_MS)
        .await;
}

/// Asks one stage how far it is.
pub(crate) async fn probe_stream(
    outside: Rc<Outside>,
    call: CallId,
    address: SocketAddr,
    stream: StreamId,
    timeout_ms: u64,
) -> Deliver {
    let answer = outside.engines.progress(address, stream, timeout_ms).await;
    let (progress, reachable) = match answer {
        Ok(progress) => (progress, true),
        Err(EngineCallFailure::Refused { .. }) => (None, true),
        Err(_) => (None, false),
    };
    Deliver(EntryMessage::StreamProbed {
        call,
        progress,
        reachable,
    })
}

/// Asks an engine what it holds.
pub(crate) async fn read_engine_state(
    outside: Rc<Outside>,
    endpoint: EndpointId,
    address: SocketAddr,
) -> Deliver {
    let state = outside.engines.state(address, STATE_TIMEOUT_MS).await.ok();
    Deliver(EntryMessage::EngineStateRead { endpoint, state })
}

/// Asks an engine for cache events; without an answer there is nothing to tell.
pub(crate) async fn read_cache_events(
    outside: Rc<Outside>,
    endpoint: EndpointId,
    address: SocketAddr,
    after: u64,
) -> Option<Deliver> {
    let answer = outside
        .engines
        .cache_events(address, after, STATE_TIMEOUT_MS)
        .await;
    let events = answer.ok()?;
    Some(Deliver(EntryMessage::CacheEventsRead { endpoint, events }))
}

/// Calls an application endpoint.
pub(crate) async fn call_application(
    outside: Rc<Outside>,
    call: CallId,
    address: SocketAddr,
    ask: ApplicationCall,
) -> Deliver {
    let result = ask_application(&outside, address, ask).await;
    Deliver(EntryMessage::ApplicationAnswered {
        call,
        result: result.map_err(|failure| match failure {
            HttpFailure::NotSent | HttpFailure::NoListener => ApplicationFailure::NotSent,
            HttpFailure::ReplyLost => ApplicationFailure::ReplyLost,
        }),
    })
}

async fn ask_application(
    outside: &Outside,
    address: SocketAddr,
    ask: ApplicationCall,
) -> Result<ApplicationReply, HttpFailure> {
    let method = Method::from_bytes(ask.method.as_bytes()).map_err(|_| HttpFailure::NotSent)?;
    let headers = ask.headers.iter();
    let http_call = HttpCall {
        method,
        path: &ask.path,
        headers: headers
            .map(|(name, value)| (name.clone(), value.as_str()))
            .collect(),
        body: Bytes::from(ask.body),
    };
    let peer = outside.applications.at(address);
    if ask.fresh_connection {
        peer.discard_connections();
    }
    let reply = peer
        .call(http_call, ask.timeout_ms, APPLICATION_REPLY_LIMIT_BYTES)
        .await?;
    Ok(ApplicationReply {
        status: reply.status,
        content_type: reply.content_type,
        body: reply.body.to_vec(),
    })
}

/// Calls the table service.
pub(crate) async fn call_table(
    outside: Rc<Outside>,
    call: CallId,
    ask: TableCall,
    timeout_ms: u64,
) -> Deliver {
    let result = ask_table(&outside.table, &ask, timeout_ms).await;
    Deliver(EntryMessage::TableAnswered { call, result })
}

async fn ask_table<T>(
    table: &T,
    ask: &TableCall,
    timeout_ms: u64,
) -> Result<TableReply, TableFailure>
where
    T: TableService,
{
    match ask {
        TableCall::Transact(transaction) => {
            let reply = table.transact(transaction, timeout_ms).await?;
            Ok(TableReply::Transacted(reply))
        }
        TableCall::Read(rows) => {
            let rows = table.read(rows, timeout_ms).await?;
            Ok(TableReply::Read(rows))
        }
        TableCall::Scan(rows) => {
            let rows = table.scan(rows, timeout_ms).await?;
            Ok(TableReply::Read(rows))
        }
    }
}

/// Asks the holder of a claim whether it still works on it.
pub(crate) async fn ask_holder(
    outside: Rc<Outside>,
    call: CallId,
    address: SocketAddr,
    question: ClaimQuestion,
    timeout_ms: u64,
) -> Deliver {
    let working = ask_claim(&outside, address, &question, timeout_ms).await;
    Deliver(EntryMessage::HolderAnswered { call, working })
}

/// Words a question about a claim.
pub(crate) fn claim_question(
    instance: InstanceId,
    incarnation: Incarnation,
    claim: String,
) -> ClaimQuestion {
    ClaimQuestion {
        wire_version: WIRE_VERSION,
        instance,
        incarnation,
        claim,
    }
}

/// Asks over HTTP. A holder listens for as long as it lives, so where nothing listens it is gone;
/// a paused one still listens, and gives no answer.
async fn ask_claim(
    outside: &Outside,
    address: SocketAddr,
    question: &ClaimQuestion,
    timeout_ms: u64,
) -> Option<bool> {
    let bearer = format!("Bearer {}", outside.peer_key.expose());
    let mut http_call = HttpCall::post_json(CLAIMS_PATH, question).ok()?;
    http_call.headers.push((AUTHORIZATION, &bearer));
    let peer = outside.entries.at(address);
    let called = peer
        .call(http_call, timeout_ms, CLAIM_REPLY_LIMIT_BYTES)
        .await;
    let reply = match called {
        Ok(reply) if reply.status == 200 => reply,
        Err(HttpFailure::NoListener) => return Some(false),
        _ => return None,
    };
    let answer: ClaimAnswer = serde_json::from_slice(&reply.body).ok()?;
    Some(answer.working)
}
