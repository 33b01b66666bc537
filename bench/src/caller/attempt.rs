//! One attempt of a request at one entry.

use std::net::SocketAddr;
use std::time::Duration;

use awc::error::{PayloadError, SendRequestError};
use awc::http::Method;
use awc::http::header::HeaderMap;
use awc::{ClientRequest, ClientResponse};
use bytes::Bytes;
use fescueshore::outcome::{
    DEADLINE_HEADER, IDEMPOTENCY_KEY_HEADER, OUTCOME_HEADER, Outcome, REQUEST_ID_HEADER,
    RefusalCode,
};
use fescueshore::wire::caller::{ChatCompletion, ErrorResponse, TextCompletion};
use fescueshore::wire::sse::SseReader;
use futures_util::{Stream, StreamExt};

use super::request::{Ask, Request, Shape};

/// Largest answer read.
const ANSWER_LIMIT_BYTES: usize = 4 << 20;
/// Data of a stream's explicit end.
const DONE: &[u8] = b"[DONE]";
/// Type of a stream's error event.
const ERROR_EVENT: &[u8] = b"error";

/// A body that ended before its end.
const CUT: BrokenBy = BrokenBy::Closed { after_head: true };

/// How long a caller waits.
#[derive(Clone, Copy, Debug)]
pub struct Patience {
    /// For a connection and the head of the response.
    pub head: Duration,
    /// For the next byte.
    pub silence: Duration,
}

impl Default for Patience {
    fn default() -> Self {
        Self {
            head: Duration::from_secs(20),
            silence: Duration::from_secs(10),
        }
    }
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// A complete answer.
    Answered(AnswerBody),
    /// A final word other than an answer.
    Refused(Refused),
    /// Neither.
    Broken(BrokenBy),
    /// The entry answered in a way that the API does not allow.
    Malformed(&'static str),
}

/// Why an attempt has no final word.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BrokenBy {
    /// No connection could be made; nothing was sent.
    NotConnected,
    /// The connection was closed or failed before the end of the answer.
    Closed {
        /// Whether the head of the answer had come.
        after_head: bool,
    },
    /// Nothing came for longer than the caller waits.
    Silent,
}

/// A complete answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerBody {
    /// Text of a completion.
    Text(String),
    /// An application's answer.
    Reply {
        /// HTTP status; the endpoint's own.
        status: u16,
        /// Body.
        body: Vec<u8>,
    },
}

/// A final word other than an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// HTTP status; 200 for the error event of a stream.
    pub status: u16,
    /// Why.
    pub code: RefusalCode,
    /// What is true of the request.
    pub outcome: Outcome,
    /// When to come back.
    pub retry_after_ms: Option<u64>,
}

/// Sends a request to an entry and reads what comes; calls `on_token` at each piece of text.
pub async fn attempt<F>(
    http: &awc::Client,
    entry: SocketAddr,
    request: &Request,
    patience: Patience,
    mut on_token: F,
) -> AttemptEnd
where
    F: FnMut(),
{
    let Some(call) = build_call(http, entry, request) else {
        return AttemptEnd::Malformed("the request's own method");
    };
    let sending = call.send_body(request.body());
    match actix_rt::time::timeout(patience.head, sending).await {
        Ok(Ok(response)) => read(request, response, patience, &mut on_token).await,
        Ok(Err(SendRequestError::Connect(_))) => AttemptEnd::Broken(BrokenBy::NotConnected),
        Ok(Err(_)) => AttemptEnd::Broken(BrokenBy::Closed { after_head: false }),
        Err(_) => AttemptEnd::Broken(BrokenBy::Silent),
    }
}

fn build_call(http: &awc::Client, entry: SocketAddr, request: &Request) -> Option<ClientRequest> {
    let method = Method::from_bytes(request.method().as_bytes()).ok()?;
    let mut call = http
        .request(method, format!("http://{entry}{}", request.path()))
        .bearer_auth(request.api_key())
        .content_type("application/json")
        .insert_header((REQUEST_ID_HEADER, request.id.as_str()));
    if let Some(key) = request.idempotency_key() {
        call = call.insert_header((IDEMPOTENCY_KEY_HEADER, key));
    }
    if let Some(deadline_ms) = request.deadline_ms {
        call = call.insert_header((DEADLINE_HEADER, deadline_ms.to_string()));
    }
    Some(call)
}

async fn read<S, F>(
    request: &Request,
    mut response: ClientResponse<S>,
    patience: Patience,
    on_token: &mut F,
) -> AttemptEnd
where
    S: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
    F: FnMut(),
{
    let status = response.status().as_u16();
    let Some(outcome) = outcome_of(response.headers()) else {
        return AttemptEnd::Malformed("no outcome header");
    };
    let streamed = matches!(&request.ask, Ask::Completion { streamed: true, .. });
    if streamed && outcome == Outcome::Done {
        return read_events(request, response, patience, on_token).await;
    }
    let body = match read_body(&mut response, patience).await {
        Ok(body) => body,
        Err(by) => return AttemptEnd::Broken(by),
    };
    on_token();
    if outcome == Outcome::Done {
        read_answer(request, status, body)
    } else {
        read_refusal(status, outcome, &body)
    }
}

fn outcome_of(headers: &HeaderMap) -> Option<Outcome> {
    let text = headers.get(OUTCOME_HEADER)?.to_str().ok()?;
    let all = [Outcome::Done, Outcome::NotRun, Outcome::Unknown];
    all.into_iter().find(|outcome| outcome.as_str() == text)
}

async fn read_body<S>(
    response: &mut ClientResponse<S>,
    patience: Patience,
) -> Result<Vec<u8>, BrokenBy>
where
    S: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
{
    let mut body = Vec::new();
    loop {
        match next_piece(response, patience).await? {
            None => return Ok(body),
            Some(piece) => body.extend_from_slice(&piece),
        }
        if body.len() > ANSWER_LIMIT_BYTES {
            return Err(CUT);
        }
    }
}

/// The next piece of a body; `None` at its end.
async fn next_piece<S>(
    response: &mut ClientResponse<S>,
    patience: Patience,
) -> Result<Option<Bytes>, BrokenBy>
where
    S: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
{
    match actix_rt::time::timeout(patience.silence, response.next()).await {
        Err(_) => Err(BrokenBy::Silent),
        Ok(Some(Err(_))) => Err(CUT),
        Ok(Some(Ok(piece))) => Ok(Some(piece)),
        Ok(None) => Ok(None),
    }
}

fn read_answer(request: &Request, status: u16, body: Vec<u8>) -> AttemptEnd {
    let Ask::Completion { shape, .. } = &request.ask else {
        return AttemptEnd::Answered(AnswerBody::Reply { status, body });
    };
    match answer_text(*shape, &body) {
        Some(text) => AttemptEnd::Answered(AnswerBody::Text(text)),
        None => AttemptEnd::Malformed("not a completion"),
    }
}

fn read_refusal(status: u16, outcome: Outcome, body: &[u8]) -> AttemptEnd {
    let Ok(answer) = serde_json::from_slice::<ErrorResponse>(body) else {
        return AttemptEnd::Malformed("not an error object");
    };
    if answer.error.outcome != outcome {
        return AttemptEnd::Malformed("header and body name different outcomes");
    }
    AttemptEnd::Refused(refused(status, &answer))
}

fn refused(status: u16, answer: &ErrorResponse) -> Refused {
    Refused {
        status,
        code: answer.error.code,
        outcome: answer.error.outcome,
        retry_after_ms: answer.error.retry_after_ms,
    }
}

/// Reads a stream of events up to its explicit end.
async fn read_events<S, F>(
    request: &Request,
    mut response: ClientResponse<S>,
    patience: Patience,
    on_token: &mut F,
) -> AttemptEnd
where
    S: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
    F: FnMut(),
{
    let mut events = SseReader::new(ANSWER_LIMIT_BYTES);
    let mut answer = Streamed::new(request);
    loop {
        let piece = match next_piece(&mut response, patience).await {
            Ok(Some(piece)) => piece,
            Ok(None) => return AttemptEnd::Broken(CUT),
            Err(by) => return AttemptEnd::Broken(by),
        };
        let read = events.push(&piece, |event, data| answer.take(event, data, on_token));
        if read.is_err() {
            return AttemptEnd::Malformed("an event is too long");
        }
        if let Some(end) = answer.end.take() {
            return end;
        }
    }
}

/// A streamed answer as far as it was read.
struct Streamed {
    shape: Shape,
    text: String,
    end: Option<AttemptEnd>,
}

impl Streamed {
    fn new(request: &Request) -> Self {
        let shape = match &request.ask {
            Ask::Completion { shape, .. } => *shape,
            Ask::Call { .. } => Shape::Text,
        };
        Self {
            shape,
            text: String::new(),
            end: None,
        }
    }

    fn take<F>(&mut self, event: &[u8], data: &[u8], on_token: &mut F)
    where
        F: FnMut(),
    {
        if self.end.is_some() {
            self.end = Some(AttemptEnd::Malformed("an event after the end"));
        } else if event == ERROR_EVENT {
            self.end = Some(match serde_json::from_slice::<ErrorResponse>(data) {
                Ok(answer) => AttemptEnd::Refused(refused(200, &answer)),
                Err(_) => AttemptEnd::Malformed("not an error object"),
            });
        } else if data == DONE {
            let text = std::mem::take(&mut self.text);
            self.end = Some(AttemptEnd::Answered(AnswerBody::Text(text)));
        } else {
            self.add(data, on_token);
        }
    }

    fn add<F>(&mut self, data: &[u8], on_token: &mut F)
    where
        F: FnMut(),
    {
        match answer_text(self.shape, data) {
            Some(text) if text.is_empty() => {}
            Some(text) => {
                self.text.push_str(&text);
                on_token();
            }
            None => self.end = Some(AttemptEnd::Malformed("not a chunk")),
        }
    }
}

/// Text of a whole answer, or of a chunk.
fn answer_text(shape: Shape, data: &[u8]) -> Option<String> {
    match shape {
        Shape::Chat => {
            let answer: ChatCompletion = serde_json::from_slice(data).ok()?;
            let choice = answer.choices.into_iter().next();
            let delta = choice.and_then(|choice| choice.message.or(choice.delta));
            Some(delta.and_then(|delta| delta.content).unwrap_or_default())
        }
        Shape::Text => {
            let answer: TextCompletion = serde_json::from_slice(data).ok()?;
            let choice = answer.choices.into_iter().next();
            Some(choice.map(|choice| choice.text).unwrap_or_default())
        }
    }
}
