//! Engine streams. Each open stream has a task that forwards its events to the actor.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix::Addr;
use futures_util::StreamExt;

use super::actor::EntryActor;
use super::calls::OutboundClients;
use super::messages::StreamRead;
use crate::clients::{EngineCallFailure, HttpStream};
use crate::instance::{CallId, StreamFailure};
use crate::wire::engine::{OpenStream, StreamEvent};
use crate::wire::sse::SseReader;

/// Maximum size of an event of an engine's stream.
const MAX_EVENT_BYTES: usize = 64 << 10;
/// Time limit for reading an ended stream to the end of its body, so that the connection can be
/// reused.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(200);

/// Opens a stream and forwards its events until it ends.
pub(crate) async fn run_stream(
    outbound: Rc<OutboundClients>,
    actor: Addr<EntryActor>,
    call: CallId,
    address: SocketAddr,
    open: OpenStream,
    fresh_connection: bool,
) {
    let opened = outbound
        .engines
        .open(address, &open, fresh_connection)
        .await;
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
    let mut reader = SseReader::new(MAX_EVENT_BYTES);
    while let Some(Ok(chunk)) = stream.next().await {
        let read = read_events(&mut reader, &chunk);
        let ended = read.events.last().is_some_and(StreamEvent::is_last);
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

fn read_events(reader: &mut SseReader, chunk: &[u8]) -> EventsRead {
    let mut events = Vec::new();
    let mut broken = false;
    let pushed = reader.push(chunk, |_, data| match serde_json::from_slice(data) {
        Ok(event) if !broken && !events.last().is_some_and(StreamEvent::is_last) => {
            events.push(event)
        }
        Ok(_) => {}
        Err(_) => broken = true,
    });
    broken |= pushed.is_err();
    EventsRead { events, broken }
}

/// Reads to the end of the body, which returns the connection to the pool.
async fn close_stream(mut stream: HttpStream) {
    let rest = async { while let Some(Ok(_)) = stream.next().await {} };
    let _ = tokio::time::timeout(CLOSE_TIMEOUT, rest).await;
}
