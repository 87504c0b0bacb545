//! Requests to models.

mod fault;
mod openai;
mod pipeline;
mod recovery;
mod route;
mod suspicion;

use std::sync::Arc;

use bytes::Bytes;
use dropshot::Body;
use futures_util::stream;
use http::header::{CACHE_CONTROL, CONTENT_TYPE};
use http::{HeaderMap, HeaderValue, Response};
use http_body_util::StreamBody;
use hyper::body::Frame;
use tokio::sync::mpsc;
use toucanshelf_core::digest::Digest;
use toucanshelf_core::document::{Class, Object, ObjectKind};
use toucanshelf_core::outcome::{Code, Outcome, Refusal};
use toucanshelf_runtime::http::{OUTCOME_HEADER, json_response};
use tracing::Instrument as _;

use crate::callers;
use crate::shared::Shared;

pub use openai::{Prompt, parse_chat, parse_completion};
pub use pipeline::{Event, Job};

/// Events that may wait for a slow caller.
const QUEUED_EVENTS: usize = 64;
/// Bytes of the prompt that decide which engine may have it cached.
const PREFIX_BYTES: usize = 256;

/// Serves a request to a model.
///
/// # Errors
///
/// Fails when the request was refused or came to nothing before its first token.
pub async fn serve(
    shared: &Arc<Shared>,
    request_id: &str,
    headers: &HeaderMap,
    parsed: Result<Prompt, Refusal>,
) -> Result<Response<Body>, Refusal> {
    let caller = callers::authenticate(shared, headers)?;
    let deadline = callers::deadline(shared, headers)?;
    let prompt = parsed?;
    let target = resolve(shared, &prompt.model)?;
    let job = Job {
        request: request_id.into(),
        fingerprint: Digest::of(format!("{}\n{}", target.model, prompt.text).as_bytes()).prefix(),
        prefix: prefix_hash(&prompt.text),
        model: target.model,
        class: target.class,
        prompt: prompt.text.clone(),
        max_tokens: prompt.max_tokens,
        caller,
        deadline,
    };
    let (tx, mut rx) = mpsc::channel(QUEUED_EVENTS);
    let guard = shared.requests_in_flight().begin();
    let task = Arc::clone(shared);
    let run = async move {
        let _guard = guard;
        let outcome = pipeline::run(&task, job, &tx).await;
        task.metrics.count(outcome);
    };
    tokio::spawn(run.in_current_span());
    // The head of the answer waits for the first event, so that a refusal has a status of its own.
    let first = match rx.recv().await {
        Some(Event::Ended(Err(refusal))) => return Err(refusal),
        Some(event) => event,
        None => return Err(Refusal::new(Outcome::Failed, Code::TargetLost, "no answer")),
    };
    if prompt.stream {
        Ok(stream_response(request_id, &prompt, first, rx))
    } else {
        whole_response(request_id, &prompt, first, rx).await
    }
}

/// Model behind the name that a caller gave.
#[derive(Debug)]
struct ServedModel {
    model: Box<str>,
    class: Class,
}

/// Resolves the name of a service, or of a model in any scheme.
fn resolve(shared: &Shared, given: &str) -> Result<ServedModel, Refusal> {
    let in_force = shared.active_configuration();
    let configuration = in_force.configuration();
    if let Ok(id) = configuration.resolve(ObjectKind::Service, given)
        && let Some(Object::Service(service)) = configuration.get(
            &toucanshelf_core::document::ObjectKey::new(ObjectKind::Service, id),
        )
        && let Some(model) = &service.model
    {
        return Ok(ServedModel {
            model: model.clone(),
            class: service.class,
        });
    }
    match configuration.resolve(ObjectKind::Model, given) {
        Ok(model) => Ok(ServedModel {
            model,
            class: Class::Interactive,
        }),
        Err(e) => {
            let candidates = e.candidates();
            let code = if candidates.is_empty() {
                Code::UnknownName
            } else {
                Code::AmbiguousName
            };
            Err(Refusal::not_run(code, e.to_string()).with_candidates(candidates))
        }
    }
}

fn prefix_hash(prompt: &str) -> u64 {
    let end = prompt.len().min(PREFIX_BYTES);
    Digest::of(&prompt.as_bytes()[..end]).prefix()
}

async fn whole_response(
    request_id: &str,
    prompt: &Prompt,
    first: Event,
    mut rx: mpsc::Receiver<Event>,
) -> Result<Response<Body>, Refusal> {
    let mut text = String::new();
    let mut tokens = 0;
    let mut next = Some(first);
    while let Some(event) = next {
        match event {
            Event::Token(token) => {
                text.push_str(&token);
                tokens += 1;
            }
            Event::Ended(Err(refusal)) => return Err(refusal),
            Event::Ended(Ok(finish)) => {
                let answer = prompt.whole_answer(request_id, &text, tokens, finish);
                return Ok(with_outcome(json_response(200, &answer), Outcome::Complete));
            }
        }
        next = rx.recv().await;
    }
    Err(Refusal::new(
        Outcome::Failed,
        Code::TargetLost,
        "the answer broke off",
    ))
}

fn stream_response(
    request_id: &str,
    prompt: &Prompt,
    first: Event,
    rx: mpsc::Receiver<Event>,
) -> Response<Body> {
    let state = (
        Some(first),
        rx,
        prompt.clone(),
        Box::<str>::from(request_id),
    );
    let chunks = stream::unfold(state, |(next, mut rx, prompt, id)| async move {
        let event = match next {
            Some(event) => event,
            None => rx.recv().await?,
        };
        let text = prompt.stream_chunk(&id, &event);
        let frame = Frame::data(Bytes::from(text));
        Some((
            Ok::<_, std::convert::Infallible>(frame),
            (None, rx, prompt, id),
        ))
    });
    let mut response = Response::new(Body::wrap(StreamBody::new(chunks)));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    response
}

/// Adds the header with the outcome.
pub fn with_outcome(mut response: Response<Body>, outcome: Outcome) -> Response<Body> {
    let value = HeaderValue::from_str(&outcome.to_string()).expect("outcomes are ASCII");
    response.headers_mut().insert(OUTCOME_HEADER, value);
    response
}
