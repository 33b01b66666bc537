//! The callers' API: the chat and text completion shapes of the usual model servers. Fields that
//! this system has no use for are ignored.

use serde::{Deserialize, Serialize};

use crate::outcome::{Outcome, RefusalCode};

/// Body of `POST /v1/chat/completions`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatRequest {
    /// `model` or `model:adapter`.
    pub model: String,
    /// The conversation; never empty.
    pub messages: Vec<ChatMessage>,
    /// What both shapes have in common.
    #[serde(flatten)]
    pub options: CompletionOptions,
}

impl ChatRequest {
    /// The prompt a chat is answered by: a line `role: content` for each message.
    pub fn prompt(&self) -> String {
        let lines: Vec<String> = self.messages.iter().map(ChatMessage::line).collect();
        lines.join("\n")
    }
}

/// One message of a chat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// Who speaks.
    pub role: String,
    /// What is said.
    pub content: ChatContent,
}

impl ChatMessage {
    fn line(&self) -> String {
        format!("{}: {}", self.role, self.content.text())
    }
}

/// Content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum ChatContent {
    /// Plain text.
    Text(String),
    /// Parts; only text is served.
    Parts(Vec<ChatPart>),
}

impl ChatContent {
    fn text(&self) -> String {
        match self {
            Self::Text(text) => text.clone(),
            Self::Parts(parts) => {
                let texts: Vec<&str> = parts.iter().map(|part| part.text.as_str()).collect();
                texts.join(" ")
            }
        }
    }
}

/// A text part of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatPart {
    /// The text.
    pub text: String,
}

/// Body of `POST /v1/completions`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionRequest {
    /// `model` or `model:adapter`.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// What both shapes have in common.
    #[serde(flatten)]
    pub options: CompletionOptions,
}

/// What both request shapes have in common.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionOptions {
    /// Most tokens to generate.
    #[serde(
        default,
        alias = "max_completion_tokens",
        skip_serializing_if = "Option::is_none"
    )]
    pub max_tokens: Option<u32>,
    /// Whether the answer comes as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Number of answers; only 1 is served.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub n: Option<u32>,
    /// Options of a stream.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stream_options: Option<StreamOptions>,
}

/// Options of a streamed answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOptions {
    /// Whether a last chunk carries [`Usage`].
    #[serde(default)]
    pub include_usage: bool,
}

/// A whole chat answer, or a chunk of a streamed one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatCompletion {
    /// `chatcmpl-` and the request id.
    pub id: String,
    /// `chat.completion` or `chat.completion.chunk`.
    pub object: String,
    /// Seconds since the Unix epoch.
    pub created: u64,
    /// The model as asked for.
    pub model: String,
    /// One choice; none in the chunk that carries the usage.
    pub choices: Vec<ChatChoice>,
    /// Tokens spent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// A choice of a chat answer: `message` in a whole answer, `delta` in a chunk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatChoice {
    /// Always 0.
    pub index: u32,
    /// The whole message.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub message: Option<ChatDelta>,
    /// What a chunk adds to the message.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delta: Option<ChatDelta>,
    /// Why the answer ended; absent before its end.
    pub finish_reason: Option<FinishReason>,
}

/// Text of a chat answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatDelta {
    /// `assistant`; in a stream only in the first chunk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<String>,
    /// Text; the texts of a stream's chunks joined give the whole.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
}

/// A whole text answer, or a chunk of a streamed one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TextCompletion {
    /// `cmpl-` and the request id.
    pub id: String,
    /// `text_completion`.
    pub object: String,
    /// Seconds since the Unix epoch.
    pub created: u64,
    /// The model as asked for.
    pub model: String,
    /// One choice; none in the chunk that carries the usage.
    pub choices: Vec<TextChoice>,
    /// Tokens spent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// A choice of a text answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TextChoice {
    /// Always 0.
    pub index: u32,
    /// Text; the texts of a stream's chunks joined give the whole.
    pub text: String,
    /// Why the answer ended; absent before its end.
    pub finish_reason: Option<FinishReason>,
}

/// Why an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model ended it.
    Stop,
    /// `max_tokens` was reached.
    Length,
}

/// Tokens spent on an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens generated.
    pub completion_tokens: u32,
    /// Both.
    pub total_tokens: u32,
}

/// Body of every reply that is not an answer, and data of the `error` event of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorResponse {
    /// The error.
    pub error: ErrorDetail,
}

/// What went wrong.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// Code; part of the API.
    pub code: RefusalCode,
    /// For people.
    pub message: String,
    /// Final outcome of the request.
    pub outcome: Outcome,
    /// When to come back; absent if that cannot help.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

/// Reply of `GET /v1/models`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelList {
    /// `list`.
    pub object: String,
    /// The models.
    pub data: Vec<ModelItem>,
}

/// A model, or a model with an adapter, that the account may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelItem {
    /// `model` or `model:adapter`.
    pub id: String,
    /// `model`.
    pub object: String,
    /// The service that offers it.
    pub owned_by: String,
}
