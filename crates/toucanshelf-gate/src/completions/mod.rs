//! Chat and text completions.
//!
//! A route names the engines that run a request, each with the layers of the model that it runs. An
//! attempt is one run of a request over a route. If an attempt fails, another one may continue the
//! answer.

mod attempt_error;
mod failed_engines;
mod loss_tracker;
mod openai;
mod pipeline;
mod recovery;
mod route;

use std::sync::Arc;

use bytes::Bytes;
use dropshot::Body;
use futures_util::stream;
use http::header::{CACHE_CONTROL, CONTENT_TYPE};
use http::{HeaderValue, Response};
use http_body_util::StreamBody;
use hyper::body::Frame;
use tokio::sync::mpsc;
use toucanshelf_core::digest::Digest;
use toucanshelf_core::document::{Class, Object, ObjectKind};
use toucanshelf_core::outcome::{Code, Outcome, Refusal};
use toucanshelf_runtime::http::{OUTCOME_HEADER, json_response};
use tracing::Instrument as _;

use crate::callers::Caller;
use crate::shared::Shared;

pub use openai::{CompletionRequest, parse_chat, parse_completion};
pub use pipeline::{Job, ResponseEvent};

/// Maximum number of events of one answer that are buffered for a slow caller.
const EVENT_QUEUE_CAPACITY: usize = 64;
/// Length of the hashed prompt prefix, in bytes.
///
/// The flow planner uses the hash to choose engines that may have the prefix cached.
const PROMPT_PREFIX_BYTES: usize = 256;

/// Serves a completion as one response or as a stream of events.
///
/// `deadline` is in milliseconds of the gate's clock. The memory of `body`, from which the request was
/// parsed, is held until the request ends.
///
/// # Errors
///
/// Fails if the request is refused or fails before its first token. An answer that is not streamed
/// also fails if the request fails later; a stream then ends with an error event.
pub async fn serve(
    shared: &Arc<Shared>,
    request_id: &str,
    caller: Caller,
    deadline: u64,
    request: CompletionRequest,
    body: Bytes,
) -> Result<Response<Body>, Refusal> {
    let served = resolve_model(shared, &request.model)?;
    let job = Job {
        request_id: request_id.into(),
        fingerprint: Digest::of(format!("{}\n{}", served.model, request.text).as_bytes()).prefix(),
        prefix_hash: prefix_hash(&request.text),
        model: served.model,
        class: served.class,
        prompt: request.text.clone(),
        max_tokens: request.max_tokens,
        caller,
        deadline,
    };
    let (tx, mut rx) = mpsc::channel(EVENT_QUEUE_CAPACITY);
    let guard = shared.requests_in_flight().begin();
    let task_shared = Arc::clone(shared);
    let run_job = async move {
        // The memory of the body stands for that of the prompt.
        let _held = (guard, body);
        let outcome = pipeline::run(&task_shared, job, &tx).await;
        task_shared.metrics.count(outcome);
    };
    tokio::spawn(run_job.in_current_span());
    // The response head waits for the first event, so that a refusal can set the HTTP status.
    let first = match rx.recv().await {
        Some(ResponseEvent::Ended(Err(refusal))) => return Err(refusal),
        Some(event) => event,
        None => return Err(Refusal::new(Outcome::Failed, Code::TargetLost, "no answer")),
    };
    if request.stream {
        Ok(stream_response(request_id, &request, first, rx))
    } else {
        buffered_response(request_id, &request, first, rx).await
    }
}

/// Model that serves a requested name, and the scheduling class of the request.
#[derive(Debug)]
struct ServedModel {
    model: Box<str>,
    class: Class,
}

/// Resolves the requested name of a service or model.
///
/// The name is a canonical id or a name in any naming scheme that the configuration defines. A
/// request that names the model itself is interactive.
fn resolve_model(shared: &Shared, name: &str) -> Result<ServedModel, Refusal> {
    let active = shared.active_configuration();
    let configuration = active.configuration();
    if let Ok(id) = configuration.resolve(ObjectKind::Service, name)
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
    match configuration.resolve(ObjectKind::Model, name) {
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
    let end = prompt.len().min(PROMPT_PREFIX_BYTES);
    Digest::of(&prompt.as_bytes()[..end]).prefix()
}

async fn buffered_response(
    request_id: &str,
    request: &CompletionRequest,
    first: ResponseEvent,
    mut rx: mpsc::Receiver<ResponseEvent>,
) -> Result<Response<Body>, Refusal> {
    let mut text = String::new();
    let mut tokens = 0;
    let mut next = Some(first);
    while let Some(event) = next {
        match event {
            ResponseEvent::Token(token) => {
                text.push_str(&token);
                tokens += 1;
            }
            ResponseEvent::Ended(Err(refusal)) => return Err(refusal),
            ResponseEvent::Ended(Ok(finish)) => {
                let body = request.response_body(request_id, &text, tokens, finish);
                return Ok(with_outcome(json_response(200, &body), Outcome::Complete));
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
    request: &CompletionRequest,
    first: ResponseEvent,
    rx: mpsc::Receiver<ResponseEvent>,
) -> Response<Body> {
    let state = (
        Some(first),
        rx,
        request.clone(),
        Box::<str>::from(request_id),
    );
    let chunks = stream::unfold(state, |(next, mut rx, request, id)| async move {
        let event = match next {
            Some(event) => event,
            None => rx.recv().await?,
        };
        let text = request.stream_event(&id, &event);
        let frame = Frame::data(Bytes::from(text));
        Some((
            Ok::<_, std::convert::Infallible>(frame),
            (None, rx, request, id),
        ))
    });
    let mut response = Response::new(Body::wrap(StreamBody::new(chunks)));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    response
}

/// Adds the header that states the outcome of a request to its response.
pub fn with_outcome(mut response: Response<Body>, outcome: Outcome) -> Response<Body> {
    let value =
        HeaderValue::from_str(&outcome.to_string()).expect("outcomes are valid header values");
    response.headers_mut().insert(OUTCOME_HEADER, value);
    response
}
