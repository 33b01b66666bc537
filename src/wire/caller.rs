//! The client-facing API, compatible with the chat and text completion endpoints of common model
//! servers. Unsupported fields are ignored.

use serde::{Deserialize, Serialize};

use crate::outcome::{Outcome, RefusalCode};

/// Body of `POST /v1/chat/completions`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatRequest {
    /// `model` or `model:adapter`.
    pub model: String,
    /// The conversation. Never empty.
    pub messages: Vec<ChatMessage>,
    /// Options shared by both request types.
    #[serde(flatten)]
    pub options: CompletionOptions,
}

impl ChatRequest {
    /// Builds the prompt: one `role: content` line per message.
    pub fn prompt(&self) -> String {
        let lines: Vec<String> = self.messages.iter().map(ChatMessage::line).collect();
        lines.join("\n")
    }
}

/// One message of a chat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// Role of the author.
    pub role: String,
    /// Content of the message.
    pub content: ChatContent,
}

impl ChatMessage {
    fn line(&self) -> String {
        format!("{}: {}", self.role, self.content.text())
    }
}

/// Content of a chat message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum ChatContent {
    /// Plain text.
    Text(String),
    /// Content parts. Only text parts are supported.
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

/// A text part of a chat message.
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
    /// Options shared by both request types.
    #[serde(flatten)]
    pub options: CompletionOptions,
}

/// Options shared by chat and text completion requests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionOptions {
    /// Maximum number of tokens to generate.
    #[serde(
        default,
        alias = "max_completion_tokens",
        skip_serializing_if = "Option::is_none"
    )]
    pub max_tokens: Option<u32>,
    /// Whether to stream the response as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Number of completions. Only 1 is supported.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub n: Option<u32>,
    /// Options for streamed responses.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stream_options: Option<StreamOptions>,
}

/// Options for streamed responses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOptions {
    /// Whether to send a final chunk with [`Usage`].
    #[serde(default)]
    pub include_usage: bool,
}

/// A complete chat completion, or one chunk of a streamed one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatCompletion {
    /// `chatcmpl-` followed by the request ID.
    pub id: String,
    /// `chat.completion` or `chat.completion.chunk`.
    pub object: String,
    /// Creation time, in seconds since the Unix epoch.
    pub created: u64,
    /// Model name as given in the request.
    pub model: String,
    /// A single choice, or none in the chunk that carries the usage.
    pub choices: Vec<ChatChoice>,
    /// Token counts.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// A choice of a chat completion: `message` in a complete response, `delta` in a chunk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatChoice {
    /// Always 0.
    pub index: u32,
    /// The complete message.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub message: Option<ChatDelta>,
    /// Part of the message carried by this chunk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delta: Option<ChatDelta>,
    /// Why generation ended. Absent until then.
    pub finish_reason: Option<FinishReason>,
}

/// Role and text of a chat message or chunk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatDelta {
    /// `assistant`. In a stream, only the first chunk has it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<String>,
    /// Generated text. The chunks of a stream concatenate to the complete text.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
}

/// A complete text completion, or one chunk of a streamed one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TextCompletion {
    /// `cmpl-` followed by the request ID.
    pub id: String,
    /// `text_completion`.
    pub object: String,
    /// Creation time, in seconds since the Unix epoch.
    pub created: u64,
    /// Model name as given in the request.
    pub model: String,
    /// A single choice, or none in the chunk that carries the usage.
    pub choices: Vec<TextChoice>,
    /// Token counts.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// A choice of a text completion.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TextChoice {
    /// Always 0.
    pub index: u32,
    /// Generated text. The chunks of a stream concatenate to the complete text.
    pub text: String,
    /// Why generation ended. Absent until then.
    pub finish_reason: Option<FinishReason>,
}

/// Why generation ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model emitted its end of text.
    Stop,
    /// `max_tokens` was reached.
    Length,
}

/// Token counts of a completion.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens in the prompt.
    pub prompt_tokens: u32,
    /// Tokens generated.
    pub completion_tokens: u32,
    /// Sum of prompt and completion tokens.
    pub total_tokens: u32,
}

/// Body of every error response, and data of the `error` event of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorResponse {
    /// The error.
    pub error: ErrorDetail,
}

/// Details of an error.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// Error code. Part of the stable API.
    pub code: RefusalCode,
    /// Human-readable message.
    pub message: String,
    /// Final outcome of the request.
    pub outcome: Outcome,
    /// How long to wait before a retry. Absent if a retry cannot succeed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

/// Response to `GET /v1/models`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelList {
    /// `list`.
    pub object: String,
    /// The models.
    pub data: Vec<ModelItem>,
}

/// A model, with or without an adapter, that the account may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelItem {
    /// `model` or `model:adapter`.
    pub id: String,
    /// `model`.
    pub object: String,
    /// Service that offers the model.
    pub owned_by: String,
}
