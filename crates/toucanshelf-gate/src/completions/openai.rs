//! Bodies of the OpenAI-shaped interface.

use serde::{Deserialize, Serialize};
use serde_json::json;
use toucanshelf_core::outcome::{Code, Refusal};
use toucanshelf_runtime::http::ErrorBody;

use super::pipeline::{Event, Finish};

/// Most tokens that a caller can ask for.
const MAX_TOKENS: u32 = 32_768;
/// Tokens of an answer when the caller names no limit.
const DEFAULT_MAX_TOKENS: u32 = 1_024;
/// Most messages in one chat.
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

/// Form of the answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Form {
    Chat,
    Completion,
}

/// What a caller asks a model.
#[derive(Clone, Debug)]
pub struct Prompt {
    /// Name of the service or model, as given.
    pub model: Box<str>,
    /// Text for the engines.
    pub text: Box<str>,
    /// Most tokens of the answer.
    pub max_tokens: u32,
    /// Whether the answer is streamed.
    pub stream: bool,
    form: Form,
}

/// Reads the body of a chat completion.
///
/// # Errors
///
/// Fails with line and column when the body is malformed, or names the field that is out of
/// bounds.
pub fn parse_chat(body: &[u8]) -> Result<Prompt, Refusal> {
    let body: ChatBody = parse(body)?;
    if body.messages.is_empty() || body.messages.len() > MAX_MESSAGES {
        return Err(bad(format!("messages: 1 to {MAX_MESSAGES} are needed")));
    }
    let lines: Vec<_> = body
        .messages
        .iter()
        .map(|m| format!("{}: {}", m.role, m.content))
        .collect();
    let max_tokens = check_max_tokens(body.max_completion_tokens.or(body.max_tokens))?;
    let (model, stream) = (body.model, body.stream);
    let text = lines.join("\n").into();
    Ok(Prompt {
        model,
        text,
        max_tokens,
        stream,
        form: Form::Chat,
    })
}

/// Reads the body of a text completion.
///
/// # Errors
///
/// Fails with line and column when the body is malformed, or names the field that is out of
/// bounds.
pub fn parse_completion(body: &[u8]) -> Result<Prompt, Refusal> {
    let body: CompletionBody = parse(body)?;
    let max_tokens = check_max_tokens(body.max_tokens)?;
    let (model, text, stream) = (body.model, body.prompt, body.stream);
    Ok(Prompt {
        model,
        text,
        max_tokens,
        stream,
        form: Form::Completion,
    })
}

fn parse<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, Refusal> {
    serde_json::from_slice(body).map_err(|e| bad(format!("reading the body: {e}")))
}

fn bad(what: String) -> Refusal {
    Refusal::not_run(Code::BadRequest, what)
}

fn check_max_tokens(given: Option<u32>) -> Result<u32, Refusal> {
    match given.unwrap_or(DEFAULT_MAX_TOKENS) {
        n if (1..=MAX_TOKENS).contains(&n) => Ok(n),
        n => Err(bad(format!(
            "max_tokens: must lie in 1..={MAX_TOKENS}, not {n}"
        ))),
    }
}

#[derive(Serialize)]
struct Usage {
    completion_tokens: u32,
}

impl Prompt {
    fn object(&self, chunk: bool) -> &'static str {
        match (self.form, chunk) {
            (Form::Chat, false) => "chat.completion",
            (Form::Chat, true) => "chat.completion.chunk",
            (Form::Completion, _) => "text_completion",
        }
    }

    /// Body of an answer that is not streamed.
    pub(super) fn whole_answer(
        &self,
        id: &str,
        text: &str,
        tokens: u32,
        finish: Finish,
    ) -> serde_json::Value {
        let reason = finish.as_str();
        let choice = match self.form {
            Form::Chat => json!({
                "index": 0,
                "message": { "role": "assistant", "content": text },
                "finish_reason": reason,
            }),
            Form::Completion => json!({ "index": 0, "text": text, "finish_reason": reason }),
        };
        json!({
            "id": id,
            "object": self.object(false),
            "model": self.model,
            "choices": [choice],
            "usage": Usage { completion_tokens: tokens },
        })
    }

    /// Server-sent event for one event of the pipeline.
    pub(super) fn stream_chunk(&self, id: &str, event: &Event) -> String {
        match event {
            Event::Token(token) => self.data(id, token, None),
            Event::Ended(Ok(finish)) => {
                format!(
                    "{}data: [DONE]\n\n",
                    self.data(id, "", Some(finish.as_str()))
                )
            }
            Event::Ended(Err(refusal)) => {
                let body = serde_json::to_string(&ErrorBody::new(refusal));
                format!(
                    "event: error\ndata: {}\n\n",
                    body.expect("errors are serialisable")
                )
            }
        }
    }

    fn data(&self, id: &str, text: &str, reason: Option<&str>) -> String {
        let choice = match self.form {
            Form::Chat => json!({
                "index": 0,
                "delta": { "content": text },
                "finish_reason": reason,
            }),
            Form::Completion => json!({ "index": 0, "text": text, "finish_reason": reason }),
        };
        let object = self.object(true);
        let chunk = json!({ "id": id, "object": object, "model": self.model, "choices": [choice] });
        format!("data: {chunk}\n\n")
    }
}
