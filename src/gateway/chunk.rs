//! Renders completions, either as chunks of a stream or as one JSON body.

use bytes::{BufMut, BytesMut};

use super::reply::{error_answer, message};
use super::request::{AnswerForm, AnswerShape};
use crate::ids::RequestId;
use crate::outcome::Refusal;
use crate::wire::caller::{
    ChatChoice, ChatCompletion, ChatDelta, FinishReason, TextChoice, TextCompletion, Usage,
};

/// Sent while no token is available, so that both sides can tell a pause from a dead connection.
pub(crate) const HEARTBEAT: &[u8] = b": heartbeat\n\n";
const DONE: &[u8] = b"data: [DONE]\n\n";

/// Renders the chunks of one streamed answer. The part shared by all chunks is rendered once.
pub(crate) struct ChunkRenderer {
    form: AnswerForm,
    head: AnswerHead,
    /// Bytes before a token's text in every chunk except the first one of a chat.
    before: Vec<u8>,
    /// Bytes after a token's text.
    after: &'static [u8],
    tokens: u32,
}

/// Fields that are identical in every chunk of an answer.
#[derive(Clone, Debug)]
pub(crate) struct AnswerHead {
    id: String,
    /// Seconds since the Unix epoch.
    created: u64,
    model: String,
}

impl AnswerHead {
    /// Creates the shared fields of an answer started at `unix_ms`.
    pub(crate) fn new(form: &AnswerForm, request: &RequestId, unix_ms: u64) -> Self {
        let prefix = match form.shape {
            AnswerShape::Chat => "chatcmpl",
            AnswerShape::Text => "cmpl",
        };
        Self {
            id: format!("{prefix}-{request}"),
            created: unix_ms / 1_000,
            model: form.model.clone(),
        }
    }

    fn chat(&self, object: &str, choices: Vec<ChatChoice>, usage: Option<Usage>) -> ChatCompletion {
        ChatCompletion {
            id: self.id.clone(),
            object: object.to_owned(),
            created: self.created,
            model: self.model.clone(),
            choices,
            usage,
        }
    }

    fn text(&self, choices: Vec<TextChoice>, usage: Option<Usage>) -> TextCompletion {
        TextCompletion {
            id: self.id.clone(),
            object: "text_completion".to_owned(),
            created: self.created,
            model: self.model.clone(),
            choices,
            usage,
        }
    }
}

impl ChunkRenderer {
    pub(crate) fn new(form: AnswerForm, head: AnswerHead) -> Self {
        let mut before = Vec::new();
        put_prefix(&mut before, &form, &head);
        let after: &[u8] = match form.shape {
            AnswerShape::Chat => b"\"},\"finish_reason\":null}]}\n\n",
            AnswerShape::Text => b"\",\"finish_reason\":null}]}\n\n",
        };
        Self {
            form,
            head,
            before,
            after,
            tokens: 0,
        }
    }

    /// Renders a token. The first chunk of a chat also contains the role.
    pub(crate) fn put_token(&mut self, out: &mut BytesMut, text: &str) {
        let first = self.tokens == 0;
        self.tokens += 1;
        if first && self.form.shape == AnswerShape::Chat {
            self.put_first_chat_chunk(out, text);
            return;
        }
        out.put_slice(&self.before);
        if !first {
            out.put_u8(b' ');
        }
        put_escaped(out, text);
        out.put_slice(self.after);
    }

    /// Renders the finish reason, the usage if requested, and the end marker.
    pub(crate) fn put_end(&mut self, out: &mut BytesMut, cut_by_length: bool) {
        let reason = finish_reason(cut_by_length);
        self.put_chunk(out, Some(reason), None);
        if self.form.include_usage {
            let usage = usage(self.form.prompt_tokens, self.tokens);
            self.put_chunk(out, None, Some(usage));
        }
        out.put_slice(DONE);
    }

    fn put_first_chat_chunk(&self, out: &mut BytesMut, text: &str) {
        let choice = ChatChoice {
            index: 0,
            message: None,
            delta: Some(ChatDelta {
                role: Some("assistant".to_owned()),
                content: Some(text.to_owned()),
            }),
            finish_reason: None,
        };
        put_data(
            out,
            &self.head.chat("chat.completion.chunk", vec![choice], None),
        );
    }

    fn put_chunk(&self, out: &mut BytesMut, reason: Option<FinishReason>, usage: Option<Usage>) {
        let with_choice = usage.is_none();
        match self.form.shape {
            AnswerShape::Chat => {
                let choice = ChatChoice {
                    index: 0,
                    message: None,
                    delta: Some(ChatDelta::default()),
                    finish_reason: reason,
                };
                let choices = with_choice.then_some(choice).into_iter().collect();
                put_data(
                    out,
                    &self.head.chat("chat.completion.chunk", choices, usage),
                );
            }
            AnswerShape::Text => {
                let choice = TextChoice {
                    index: 0,
                    text: String::new(),
                    finish_reason: reason,
                };
                let choices = with_choice.then_some(choice).into_iter().collect();
                put_data(out, &self.head.text(choices, usage));
            }
        }
    }
}

/// Renders the error event that ends an incomplete stream.
pub(crate) fn put_error(out: &mut BytesMut, refusal: &Refusal) {
    out.put_slice(b"event: error\n");
    put_data(out, &error_answer(refusal, message(refusal.code)));
}

/// Renders a complete answer as JSON.
pub(crate) fn full_answer(
    form: &AnswerForm,
    head: &AnswerHead,
    text: String,
    tokens: u32,
    cut_by_length: bool,
) -> Vec<u8> {
    let reason = Some(finish_reason(cut_by_length));
    let usage = Some(usage(form.prompt_tokens, tokens));
    match form.shape {
        AnswerShape::Chat => {
            let choice = ChatChoice {
                index: 0,
                message: Some(ChatDelta {
                    role: Some("assistant".to_owned()),
                    content: Some(text),
                }),
                delta: None,
                finish_reason: reason,
            };
            to_json(&head.chat("chat.completion", vec![choice], usage))
        }
        AnswerShape::Text => {
            let choice = TextChoice {
                index: 0,
                text,
                finish_reason: reason,
            };
            to_json(&head.text(vec![choice], usage))
        }
    }
}

fn finish_reason(cut_by_length: bool) -> FinishReason {
    if cut_by_length {
        FinishReason::Length
    } else {
        FinishReason::Stop
    }
}

fn usage(prompt_tokens: u32, completion_tokens: u32) -> Usage {
    Usage {
        prompt_tokens,
        completion_tokens,
        total_tokens: prompt_tokens.saturating_add(completion_tokens),
    }
}

fn put_prefix(out: &mut Vec<u8>, form: &AnswerForm, head: &AnswerHead) {
    let (object, choice) = match form.shape {
        AnswerShape::Chat => ("chat.completion.chunk", "\"delta\":{\"content\":\""),
        AnswerShape::Text => ("text_completion", "\"text\":\""),
    };
    let id = json_string(&head.id);
    let model = json_string(&head.model);
    let created = head.created;
    let prefix = format!(
        "data: {{\"id\":{id},\"object\":\"{object}\",\"created\":{created},\"model\":{model},\
         \"choices\":[{{\"index\":0,{choice}"
    );
    out.extend_from_slice(prefix.as_bytes());
}

/// Writes text as the content of a JSON string, without the quotes.
fn put_escaped(out: &mut BytesMut, text: &str) {
    let plain = |byte: u8| byte >= 0x20 && byte != b'"' && byte != b'\\';
    if text.bytes().all(plain) {
        out.put_slice(text.as_bytes());
        return;
    }
    let quoted = json_string(text);
    let inside = quoted.get(1..quoted.len() - 1).unwrap_or_default();
    out.put_slice(inside.as_bytes());
}

fn put_data<T>(out: &mut BytesMut, value: &T)
where
    T: serde::Serialize,
{
    out.put_slice(b"data: ");
    out.put_slice(&to_json(value));
    out.put_slice(b"\n\n");
}

fn json_string(text: &str) -> String {
    serde_json::Value::from(text).to_string()
}

/// Serializes a value. The types used here have only string keys and finite numbers, so this cannot
/// fail.
fn to_json<T>(value: &T) -> Vec<u8>
where
    T: serde::Serialize,
{
    serde_json::to_vec(value).unwrap_or_default()
}
