//! Gives a caller its answer as the events come.

use std::time::Duration;

use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use actix_web::http::header::{CACHE_CONTROL, CONTENT_TYPE};
use bytes::{Bytes, BytesMut};
use futures_util::Stream;
use futures_util::stream::unfold;
use thiserror::Error;

use super::caller::{CallerEvent, WaitingCaller};
use super::chunk::{AnswerHead, ChunkRenderer, HEARTBEAT, put_error, whole_answer};
use super::reply::{begin, pass_on, refuse};
use super::request::AnswerForm;
use crate::ids::RequestId;
use crate::outcome::{Outcome, Refusal, RefusalCode};

/// Longest silence of a stream that has begun.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(5);
/// Events rendered into one piece of a stream at most.
const EVENTS_PER_PIECE: usize = 64;
/// Room for a rendered token.
const CHUNK_BYTES: usize = 256;

/// A stream ended without the final word; its connection is cut so that it is not taken for whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the answer was cut short")]
pub(crate) struct AnswerCut;

/// Answers a completion.
pub(crate) async fn answer_completion(
    mut caller: WaitingCaller,
    form: AnswerForm,
    request: &RequestId,
    unix_ms: u64,
) -> HttpResponse {
    let head = AnswerHead::new(&form, request, unix_ms);
    if !form.streamed {
        return answer_whole(&mut caller, &form, &head, request).await;
    }
    match caller.next().await {
        Some(CallerEvent::Refusal(refusal)) => refuse(&refusal, request),
        Some(CallerEvent::Reply { .. }) | None => refuse(&cut_short(), request),
        Some(first) => begin(StatusCode::OK, Outcome::Done, request)
            .insert_header((CONTENT_TYPE, "text/event-stream"))
            .insert_header((CACHE_CONTROL, "no-cache"))
            .streaming(stream_answer(caller, ChunkRenderer::new(form, head), first)),
    }
}

/// Answers a call of an application service.
pub(crate) async fn answer_application(
    mut caller: WaitingCaller,
    request: &RequestId,
) -> HttpResponse {
    match caller.next().await {
        Some(CallerEvent::Reply { reply, replayed }) => pass_on(reply, replayed, request),
        Some(CallerEvent::Refusal(refusal)) => refuse(&refusal, request),
        _ => refuse(&cut_short(), request),
    }
}

async fn answer_whole(
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
                let body = whole_answer(form, head, text, positions, cut_by_length);
                return begin(StatusCode::OK, Outcome::Done, request)
                    .insert_header((CONTENT_TYPE, "application/json"))
                    .body(body);
            }
            CallerEvent::Refusal(refusal) => return refuse(&refusal, request),
            CallerEvent::Reply { .. } => break,
        }
    }
    refuse(&cut_short(), request)
}

/// The final word when there was none: it may have run.
fn cut_short() -> Refusal {
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
) -> impl Stream<Item = Result<Bytes, AnswerCut>> {
    let answer = AnswerStream {
        caller,
        renderer,
        events: vec![first],
        ended: false,
    };
    unfold(answer, |mut answer| async move {
        let piece = answer.next_piece().await?;
        Some((piece, answer))
    })
}

impl AnswerStream {
    async fn next_piece(&mut self) -> Option<Result<Bytes, AnswerCut>> {
        if self.ended {
            return None;
        }
        if self.events.is_empty() {
            let more = self.caller.next_many(&mut self.events, EVENTS_PER_PIECE);
            match tokio::time::timeout(HEARTBEAT_INTERVAL, more).await {
                Ok(0) => {
                    self.ended = true;
                    return Some(Err(AnswerCut));
                }
                Ok(_) => {}
                Err(_) => return Some(Ok(Bytes::from_static(HEARTBEAT))),
            }
        }
        Some(self.render())
    }

    fn render(&mut self) -> Result<Bytes, AnswerCut> {
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
                    return Err(AnswerCut);
                }
            }
        }
        Ok(out.freeze())
    }
}
