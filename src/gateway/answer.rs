//! Converts the events of a request into its HTTP response.

use std::time::Duration;

use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use actix_web::http::header::{CACHE_CONTROL, CONTENT_TYPE};
use bytes::{Bytes, BytesMut};
use futures_util::Stream;
use futures_util::stream::unfold;
use thiserror::Error;

use super::caller::{CallerEvent, WaitingCaller};
use super::chunk::{AnswerHead, ChunkRenderer, HEARTBEAT, full_answer, put_error};
use super::reply::{begin, forward_reply, refuse};
use super::request::AnswerForm;
use crate::ids::RequestId;
use crate::outcome::{Outcome, Refusal, RefusalCode};

/// Maximum time between two writes to a response stream, after which a heartbeat is sent.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum number of events rendered into one chunk of the response body.
const MAX_EVENTS_PER_CHUNK: usize = 64;
/// Buffer capacity reserved for each rendered token.
const CHUNK_BYTES: usize = 256;

/// A response stream ended without a final event. The connection is closed abruptly, so that the
/// caller does not mistake the response for a complete one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("response stream truncated before its end")]
pub(crate) struct ResponseTruncated;

/// Responds to a completion request.
pub(crate) async fn answer_completion(
    mut caller: WaitingCaller,
    form: AnswerForm,
    request: &RequestId,
    unix_ms: u64,
) -> HttpResponse {
    let head = AnswerHead::new(&form, request, unix_ms);
    if !form.streamed {
        return answer_unstreamed(&mut caller, &form, &head, request).await;
    }
    match caller.next().await {
        Some(CallerEvent::Refusal(refusal)) => refuse(&refusal, request),
        Some(CallerEvent::Reply { .. }) | None => refuse(&missing_final_response(), request),
        Some(first) => begin(StatusCode::OK, Outcome::Done, request)
            .insert_header((CONTENT_TYPE, "text/event-stream"))
            .insert_header((CACHE_CONTROL, "no-cache"))
            .streaming(stream_answer(caller, ChunkRenderer::new(form, head), first)),
    }
}

/// Responds to a call of an application service.
pub(crate) async fn answer_application(
    mut caller: WaitingCaller,
    request: &RequestId,
) -> HttpResponse {
    match caller.next().await {
        Some(CallerEvent::Reply { reply, replayed }) => forward_reply(reply, replayed, request),
        Some(CallerEvent::Refusal(refusal)) => refuse(&refusal, request),
        _ => refuse(&missing_final_response(), request),
    }
}

async fn answer_unstreamed(
    caller: &mut WaitingCaller,
    form: &AnswerForm,
    head: &AnswerHead,
    request: &RequestId,
) -> HttpResponse {
    let mut text = String::new();
    while let Some(event) = caller.next().await {
        match event {
            CallerEvent::Token { text: token } => {
                if !text.is_empty() {
                    text.push(' ');
                }
                text.push_str(&token);
            }
            CallerEvent::End {
                positions,
                cut_by_length,
            } => {
                let body = full_answer(form, head, text, positions, cut_by_length);
                return begin(StatusCode::OK, Outcome::Done, request)
                    .insert_header((CONTENT_TYPE, "application/json"))
                    .body(body);
            }
            CallerEvent::Refusal(refusal) => return refuse(&refusal, request),
            CallerEvent::Reply { .. } => break,
        }
    }
    refuse(&missing_final_response(), request)
}

/// The refusal sent if the actor dropped the caller without a final response. The request may have
/// run, so its outcome is unknown.
fn missing_final_response() -> Refusal {
    Refusal::unknown(RefusalCode::EndpointFailed, None)
}

struct AnswerStream {
    caller: WaitingCaller,
    renderer: ChunkRenderer,
    events: Vec<CallerEvent>,
    ended: bool,
}

fn stream_answer(
    caller: WaitingCaller,
    renderer: ChunkRenderer,
    first: CallerEvent,
) -> impl Stream<Item = Result<Bytes, ResponseTruncated>> {
    let answer = AnswerStream {
        caller,
        renderer,
        events: vec![first],
        ended: false,
    };
    unfold(answer, |mut answer| async move {
        let chunk = answer.next_chunk().await?;
        Some((chunk, answer))
    })
}

impl AnswerStream {
    async fn next_chunk(&mut self) -> Option<Result<Bytes, ResponseTruncated>> {
        if self.ended {
            return None;
        }
        if self.events.is_empty() {
            let more = self
                .caller
                .next_many(&mut self.events, MAX_EVENTS_PER_CHUNK);
            match tokio::time::timeout(HEARTBEAT_INTERVAL, more).await {
                Ok(0) => {
                    self.ended = true;
                    return Some(Err(ResponseTruncated));
                }
                Ok(_) => {}
                Err(_) => return Some(Ok(Bytes::from_static(HEARTBEAT))),
            }
        }
        Some(self.render())
    }

    fn render(&mut self) -> Result<Bytes, ResponseTruncated> {
        let mut out = BytesMut::with_capacity(self.events.len() * CHUNK_BYTES);
        for event in self.events.drain(..) {
            match event {
                CallerEvent::Token { text } => self.renderer.put_token(&mut out, &text),
                CallerEvent::End { cut_by_length, .. } => {
                    self.renderer.put_end(&mut out, cut_by_length);
                    self.ended = true;
                }
                CallerEvent::Refusal(refusal) => {
                    put_error(&mut out, &refusal);
                    self.ended = true;
                }
                CallerEvent::Reply { .. } => {
                    self.ended = true;
                    return Err(ResponseTruncated);
                }
            }
        }
        Ok(out.freeze())
    }
}
