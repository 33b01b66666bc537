//! What a caller asks.

use fescueshore::ids::{AccountId, ServiceName};
use fescueshore::wire::caller::{
    ChatContent, ChatMessage, ChatRequest, CompletionOptions, CompletionRequest,
};
use uuid::Uuid;

use crate::answer::{AnswerKey, AnswerSeed};

/// A request with everything needed to check its answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Client account.
    pub account: AccountId,
    /// Request id; the same for every attempt.
    pub id: String,
    /// What is asked.
    pub ask: Ask,
    /// How long, from each attempt, an answer is of use.
    pub deadline_ms: Option<u64>,
}

/// What is asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ask {
    /// A completion.
    Completion {
        /// Who answers.
        target: ModelTarget,
        /// What the user says.
        prompt: String,
        /// Most tokens to generate.
        max_tokens: u32,
        /// Chat or text.
        shape: Shape,
        /// Whether the answer comes as server-sent events.
        streamed: bool,
    },
    /// A call of an application service.
    Call {
        /// Service.
        service: ServiceName,
        /// HTTP method, upper case.
        method: &'static str,
        /// Path behind the service's name.
        path: String,
        /// Body.
        body: String,
        /// Idempotency key, if the call has one.
        key: Option<String>,
    },
}

/// Who answers a completion.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelTarget {
    /// Service.
    pub service: ServiceName,
    /// Model.
    pub model: String,
    /// Version that the service offers.
    pub version: String,
    /// Adapter, if any.
    pub adapter: Option<String>,
}

/// Shape of a completion request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Text,
}

impl Request {
    /// A request under a new id.
    pub fn new(account: &AccountId, ask: Ask) -> Self {
        Self {
            account: account.clone(),
            id: Uuid::now_v7().to_string(),
            ask,
            deadline_ms: None,
        }
    }

    /// The same question as a new request: new id, and a new key if it has one.
    pub fn renewed(&self) -> Self {
        let mut renewed = Self::new(&self.account, self.ask.clone());
        renewed.deadline_ms = self.deadline_ms;
        if let Ask::Call { key: Some(key), .. } = &mut renewed.ask {
            *key = Uuid::now_v7().to_string();
        }
        renewed
    }

    /// Key of the demo documents for the account.
    pub fn api_key(&self) -> String {
        format!("demo-key-{}", self.account)
    }

    /// The service asked.
    pub fn service(&self) -> &ServiceName {
        match &self.ask {
            Ask::Completion { target, .. } => &target.service,
            Ask::Call { service, .. } => service,
        }
    }

    /// Idempotency key, if any.
    pub fn idempotency_key(&self) -> Option<&str> {
        match &self.ask {
            Ask::Call { key, .. } => key.as_deref(),
            Ask::Completion { .. } => None,
        }
    }

    /// Tokens of the prompt; 0 for calls.
    pub fn prompt_tokens(&self) -> u64 {
        match &self.ask {
            Ask::Completion {
                target,
                prompt,
                shape,
                ..
            } => target.prompt(prompt, *shape).split_whitespace().count() as u64,
            Ask::Call { .. } => 0,
        }
    }

    /// HTTP method.
    pub fn method(&self) -> &'static str {
        match &self.ask {
            Ask::Completion { .. } => "POST",
            Ask::Call { method, .. } => method,
        }
    }

    /// Path of the callers' API.
    pub fn path(&self) -> String {
        match &self.ask {
            Ask::Completion { shape, .. } => match shape {
                Shape::Chat => "/v1/chat/completions".to_owned(),
                Shape::Text => "/v1/completions".to_owned(),
            },
            Ask::Call { service, path, .. } => format!("/v1/services/{service}{path}"),
        }
    }

    /// Body to send.
    pub fn body(&self) -> Vec<u8> {
        match &self.ask {
            Ask::Completion {
                target,
                prompt,
                max_tokens,
                shape,
                streamed,
            } => completion_body(target, prompt, *max_tokens, *shape, *streamed),
            Ask::Call { body, .. } => body.clone().into_bytes(),
        }
    }
}

impl ModelTarget {
    /// `model` or `model:adapter`.
    pub fn name(&self) -> String {
        match &self.adapter {
            Some(adapter) => format!("{}:{adapter}", self.model),
            None => self.model.clone(),
        }
    }

    /// The prompt as the engines get it.
    pub fn prompt(&self, prompt: &str, shape: Shape) -> String {
        match shape {
            Shape::Chat => chat(self, prompt, CompletionOptions::default()).prompt(),
            Shape::Text => prompt.to_owned(),
        }
    }

    /// Seed of the answer to a prompt.
    pub fn answer(&self, prompt: &str, shape: Shape) -> AnswerSeed {
        let prompt = self.prompt(prompt, shape);
        AnswerKey {
            model: &self.model,
            version: &self.version,
            adapter: self.adapter.as_deref(),
            prompt: &prompt,
        }
        .seed()
    }
}

fn completion_body(
    target: &ModelTarget,
    prompt: &str,
    max_tokens: u32,
    shape: Shape,
    streamed: bool,
) -> Vec<u8> {
    let options = CompletionOptions {
        max_tokens: Some(max_tokens),
        stream: streamed,
        ..CompletionOptions::default()
    };
    let body = match shape {
        Shape::Chat => serde_json::to_vec(&chat(target, prompt, options)),
        Shape::Text => serde_json::to_vec(&CompletionRequest {
            model: target.name(),
            prompt: prompt.to_owned(),
            options,
        }),
    };
    body.unwrap_or_default()
}

fn chat(target: &ModelTarget, prompt: &str, options: CompletionOptions) -> ChatRequest {
    ChatRequest {
        model: target.name(),
        messages: vec![ChatMessage {
            role: "user".to_owned(),
            content: ChatContent::Text(prompt.to_owned()),
        }],
        options,
    }
}
