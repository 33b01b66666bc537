//! Parses callers' requests. The result has not been checked against any document.

use actix_web::http::header::{AUTHORIZATION, CONTENT_TYPE, HeaderMap};
use sha2::{Digest, Sha256};
use thiserror::Error;
use uuid::Uuid;

use crate::ids::{IdempotencyKey, RequestId, ServiceName};
use crate::instance::{PresentedKey, RequestBody};
use crate::outcome::{
    DEADLINE_HEADER, IDEMPOTENCY_KEY_HEADER, REQUEST_ID_HEADER, Refusal, RefusalCode,
};
use crate::wire::caller::{ChatRequest, CompletionOptions, CompletionRequest};

/// Limit on generated tokens if the caller sets none.
pub(crate) const DEFAULT_MAX_TOKENS: u32 = 512;
/// Largest token limit that a caller may set.
pub(crate) const MAX_TOKENS_LIMIT: u32 = 65_536;
/// Maximum length of a request id or idempotency key.
const MAX_ID_BYTES: usize = 128;
/// Longest deadline that a caller may set: one day.
const MAX_DEADLINE_MS: u64 = 86_400_000;

/// Why a request cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub(crate) enum BadRequest {
    /// The body is over the limit.
    #[error("the body is larger than {limit_bytes} bytes; send less")]
    BodyTooLarge {
        /// The limit.
        limit_bytes: usize,
    },
    /// The body was not received completely.
    #[error("the body did not arrive whole within {timeout_ms} ms; send it again")]
    BodyIncomplete {
        /// Time limit.
        timeout_ms: u64,
    },
    /// The body is not JSON with the expected structure.
    #[error("the body is not a valid request: {detail}")]
    Malformed {
        /// Parser error.
        detail: String,
    },
    /// A chat without messages.
    #[error("`messages` is empty; send at least one message")]
    NoMessages,
    /// More than one answer is requested.
    #[error("`n` is not served above 1; send one request for each answer")]
    SeveralAnswers,
    /// `max_tokens` is out of range.
    #[error("`max_tokens` is not between 1 and {MAX_TOKENS_LIMIT}")]
    MaxTokensRange,
    /// A header's value cannot be used.
    #[error("header `{name}` is not valid: {remedy}")]
    BadHeader {
        /// Header name.
        name: &'static str,
        /// Description of valid values.
        remedy: &'static str,
    },
}

impl BadRequest {
    /// The final response to such a request.
    pub(crate) fn refusal(&self) -> Refusal {
        let code = match self {
            Self::BodyTooLarge { .. } => RefusalCode::BodyTooLarge,
            Self::BadHeader { .. } => RefusalCode::BadHeader,
            _ => RefusalCode::MalformedBody,
        };
        Refusal::not_run(code, None)
    }
}

/// Parsed request headers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RequestHead {
    /// Key of the client account.
    pub(crate) key: Option<PresentedKey>,
    /// Request id, generated if the caller sent none.
    pub(crate) request: RequestId,
    /// Idempotency key.
    pub(crate) idempotency_key: Option<IdempotencyKey>,
    /// Time limit for the answer.
    pub(crate) deadline_ms: Option<u64>,
}

/// Requested form of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct AnswerForm {
    /// Shape of the answer.
    pub(crate) shape: AnswerShape,
    /// Model name as requested.
    pub(crate) model: String,
    /// Whether the answer is sent as server-sent events.
    pub(crate) streamed: bool,
    /// Whether a stream ends with a chunk that contains the usage.
    pub(crate) include_usage: bool,
    /// Tokens of the prompt.
    pub(crate) prompt_tokens: u32,
}

/// Shape of a completion's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnswerShape {
    /// Chat completion.
    Chat,
    /// Text completion.
    Text,
}

/// Reads the headers.
pub(crate) fn read_head(headers: &HeaderMap) -> Result<RequestHead, BadRequest> {
    let request = match read_id(headers, REQUEST_ID_HEADER)? {
        Some(text) => RequestId::from(text),
        None => generate_request_id(),
    };
    let idempotency_key = read_id(headers, IDEMPOTENCY_KEY_HEADER)?;
    Ok(RequestHead {
        key: read_key(headers),
        request,
        idempotency_key: idempotency_key.map(IdempotencyKey::from),
        deadline_ms: read_deadline(headers)?,
    })
}

/// Generates a request id for a caller that sent none.
pub(crate) fn generate_request_id() -> RequestId {
    RequestId::from(Uuid::now_v7().to_string())
}

/// The bearer token of the `Authorization` header.
pub(crate) fn read_key(headers: &HeaderMap) -> Option<PresentedKey> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.split_once(' ')?;
    let key = key.trim();
    (scheme.eq_ignore_ascii_case("bearer") && !key.is_empty())
        .then(|| PresentedKey::from(key.to_owned()))
}

/// The `Content-Type` header.
pub(crate) fn read_content_type(headers: &HeaderMap) -> Option<String> {
    let value = headers.get(CONTENT_TYPE)?;
    value.to_str().ok().map(str::to_owned)
}

fn read_id<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, BadRequest> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let fault = BadRequest::BadHeader {
        name,
        remedy: "1 to 128 visible ASCII characters",
    };
    let text = value.to_str().map_err(|_| fault.clone())?;
    let visible = text.bytes().all(|byte| byte.is_ascii_graphic());
    if text.is_empty() || text.len() > MAX_ID_BYTES || !visible {
        return Err(fault);
    }
    Ok(Some(text))
}

fn read_deadline(headers: &HeaderMap) -> Result<Option<u64>, BadRequest> {
    let Some(value) = headers.get(DEADLINE_HEADER) else {
        return Ok(None);
    };
    let number = value.to_str().ok().and_then(|text| text.parse().ok());
    match number {
        Some(deadline_ms) if deadline_ms <= MAX_DEADLINE_MS => Ok(Some(deadline_ms)),
        _ => Err(BadRequest::BadHeader {
            name: DEADLINE_HEADER,
            remedy: "a number of milliseconds, a day at most",
        }),
    }
}

/// Reads the body of a completion.
pub(crate) fn read_completion(
    shape: AnswerShape,
    body: &[u8],
) -> Result<(RequestBody, AnswerForm), BadRequest> {
    match shape {
        AnswerShape::Chat => read_chat(body),
        AnswerShape::Text => read_text(body),
    }
}

fn read_chat(body: &[u8]) -> Result<(RequestBody, AnswerForm), BadRequest> {
    let chat: ChatRequest = serde_json::from_slice(body).map_err(malformed)?;
    if chat.messages.is_empty() {
        return Err(BadRequest::NoMessages);
    }
    let prompt = chat.prompt();
    make_completion(AnswerShape::Chat, chat.model, prompt, &chat.options)
}

fn read_text(body: &[u8]) -> Result<(RequestBody, AnswerForm), BadRequest> {
    let text: CompletionRequest = serde_json::from_slice(body).map_err(malformed)?;
    make_completion(AnswerShape::Text, text.model, text.prompt, &text.options)
}

fn malformed(error: serde_json::Error) -> BadRequest {
    BadRequest::Malformed {
        detail: error.to_string(),
    }
}

fn make_completion(
    shape: AnswerShape,
    model: String,
    prompt: String,
    options: &CompletionOptions,
) -> Result<(RequestBody, AnswerForm), BadRequest> {
    if options.n.is_some_and(|n| n != 1) {
        return Err(BadRequest::SeveralAnswers);
    }
    let max_tokens = options.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    if max_tokens == 0 || max_tokens > MAX_TOKENS_LIMIT {
        return Err(BadRequest::MaxTokensRange);
    }
    let form = AnswerForm {
        shape,
        model: model.clone(),
        streamed: options.stream,
        include_usage: options.stream_options.unwrap_or_default().include_usage,
        prompt_tokens: count_tokens(&prompt),
    };
    let body = RequestBody::Completion {
        model,
        prompt,
        max_tokens,
    };
    Ok((body, form))
}

fn count_tokens(text: &str) -> u32 {
    u32::try_from(text.split_whitespace().count()).unwrap_or(u32::MAX)
}

/// Splits the path after `/v1/services/` into the service and the remaining path and query.
pub(crate) fn split_service_path(path_and_query: &str) -> Option<(ServiceName, &str)> {
    let rest = path_and_query.strip_prefix("/v1/services/")?;
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (service, path) = rest.split_at(end);
    if service.is_empty() || !path.starts_with('/') {
        return None;
    }
    Some((ServiceName::from(service), path))
}

/// SHA-256 of method, path and body, which shows whether a key or id is reused for the same request.
pub(crate) fn digest_request(method: &str, path: &str, body: &[u8]) -> [u8; 32] {
    let mut hasher = Sha256::new();
    for part in [method.as_bytes(), path.as_bytes(), body] {
        let length = u64::try_from(part.len()).unwrap_or(u64::MAX);
        hasher.update(length.to_be_bytes());
        hasher.update(part);
    }
    hasher.finalize().into()
}
