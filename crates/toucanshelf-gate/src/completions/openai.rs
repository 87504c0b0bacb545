//! Request and response bodies of the OpenAI-compatible API.

use serde::{Deserialize, Serialize};
use serde_json::json;
use toucanshelf_core::outcome::{Code, Refusal};
use toucanshelf_runtime::http::ErrorBody;

use super::pipeline::{FinishReason, ResponseEvent};

/// Maximum value of `max_tokens` in a request.
const MAX_TOKENS: u32 = 32_768;
/// Maximum number of tokens in an answer if the request sets no limit.
const DEFAULT_MAX_TOKENS: u32 = 1_024;
/// Maximum number of messages in a chat request.
const MAX_MESSAGES: usize = 1_024;

#[derive(Debug, Deserialize)]
struct ChatBody {
    model: Box<str>,
    messages: Vec<ChatMessage>,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
}

#[derive(Debug, Deserialize)]
struct ChatMessage {
    role: Box<str>,
    content: Box<str>,
}

#[derive(Debug, Deserialize)]
struct CompletionBody {
    model: Box<str>,
    prompt: Box<str>,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u32>,
}

/// Format of the response, which depends on the endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ResponseFormat {
    Chat,
    Completion,
}

/// A parsed chat or text completion request.
#[derive(Clone, Debug)]
pub struct CompletionRequest {
    /// Name of the service or model, as sent by the caller.
    pub model: Box<str>,
    /// Prompt text that is sent to the engines.
    pub text: Box<str>,
    /// Maximum number of tokens in the answer.
    pub max_tokens: u32,
    /// Whether the caller asked for a stream of events.
    pub stream: bool,
    format: ResponseFormat,
}

/// Parses the body of a chat completion request.
///
/// # Errors
///
/// Fails with the line and column if the body is malformed, or with the name of the field if a
/// value is out of range.
pub fn parse_chat(body: &[u8]) -> Result<CompletionRequest, Refusal> {
    let body: ChatBody = parse_body(body)?;
    if body.messages.is_empty() || body.messages.len() > MAX_MESSAGES {
        return Err(bad_request(format!(
            "messages: 1 to {MAX_MESSAGES} are needed"
        )));
    }
    let chat_lines: Vec<_> = body
        .messages
        .iter()
        .map(|m| format!("{}: {}", m.role, m.content))
        .collect();
    let max_tokens = check_max_tokens(body.max_completion_tokens.or(body.max_tokens))?;
    let (model, stream) = (body.model, body.stream);
    let text = chat_lines.join("\n").into();
    Ok(CompletionRequest {
        model,
        text,
        max_tokens,
        stream,
        format: ResponseFormat::Chat,
    })
}

/// Parses the body of a text completion request.
///
/// # Errors
///
/// Fails with the line and column if the body is malformed, or with the name of the field if a
/// value is out of range.
pub fn parse_completion(body: &[u8]) -> Result<CompletionRequest, Refusal> {
    let body: CompletionBody = parse_body(body)?;
    let max_tokens = check_max_tokens(body.max_tokens)?;
    let (model, text, stream) = (body.model, body.prompt, body.stream);
    Ok(CompletionRequest {
        model,
        text,
        max_tokens,
        stream,
        format: ResponseFormat::Completion,
    })
}

fn parse_body<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, Refusal> {
    serde_json::from_slice(body).map_err(|e| bad_request(format!("reading the body: {e}")))
}

fn bad_request(message: String) -> Refusal {
    Refusal::not_run(Code::BadRequest, message)
}

fn check_max_tokens(requested: Option<u32>) -> Result<u32, Refusal> {
    match requested.unwrap_or(DEFAULT_MAX_TOKENS) {
        n if (1..=MAX_TOKENS).contains(&n) => Ok(n),
        n => Err(bad_request(format!(
            "max_tokens: must lie in 1..={MAX_TOKENS}, not {n}"
        ))),
    }
}

#[derive(Serialize)]
struct Usage {
    completion_tokens: u32,
}

impl CompletionRequest {
    fn object_type(&self, is_chunk: bool) -> &'static str {
        match (self.format, is_chunk) {
            (ResponseFormat::Chat, false) => "chat.completion",
            (ResponseFormat::Chat, true) => "chat.completion.chunk",
            (ResponseFormat::Completion, _) => "text_completion",
        }
    }

    /// Returns the response body of an answer that is not streamed.
    pub(super) fn response_body(
        &self,
        id: &str,
        text: &str,
        tokens: u32,
        finish_reason: FinishReason,
    ) -> serde_json::Value {
        let reason = finish_reason.as_str();
        let choice = match self.format {
            ResponseFormat::Chat => json!({
                "index": 0,
                "message": { "role": "assistant", "content": text },
                "finish_reason": reason,
            }),
            ResponseFormat::Completion => {
                json!({ "index": 0, "text": text, "finish_reason": reason })
            }
        };
        json!({
            "id": id,
            "object": self.object_type(false),
            "model": self.model,
            "choices": [choice],
            "usage": Usage { completion_tokens: tokens },
        })
    }

    /// Formats one event of the answer as server-sent events.
    ///
    /// A complete answer ends with a chunk that holds the finish reason and a `[DONE]` event.
    pub(super) fn stream_event(&self, id: &str, event: &ResponseEvent) -> String {
        match event {
            ResponseEvent::Token(token) => self.data_event(id, token, None),
            ResponseEvent::Ended(Ok(finish)) => {
                format!(
                    "{}data: [DONE]\n\n",
                    self.data_event(id, "", Some(finish.as_str()))
                )
            }
            ResponseEvent::Ended(Err(refusal)) => {
                let body = serde_json::to_string(&ErrorBody::new(refusal));
                format!(
                    "event: error\ndata: {}\n\n",
                    body.expect("error bodies are serialisable")
                )
            }
        }
    }

    fn data_event(&self, id: &str, text: &str, reason: Option<&str>) -> String {
        let choice = match self.format {
            ResponseFormat::Chat => json!({
                "index": 0,
                "delta": { "content": text },
                "finish_reason": reason,
            }),
            ResponseFormat::Completion => {
                json!({ "index": 0, "text": text, "finish_reason": reason })
            }
        };
        let object_type = self.object_type(true);
        let chunk =
            json!({ "id": id, "object": object_type, "model": self.model, "choices": [choice] });
        format!("data: {chunk}\n\n")
    }
}
