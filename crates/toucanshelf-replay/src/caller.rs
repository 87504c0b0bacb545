//! HTTP client that sends requests as callers do and verifies every response.
//!
//! A booking is a `POST` to the plain service, which runs no model; it must not be executed twice.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Request, Response};
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::json;
use toucanshelf_standin::answer;

use crate::layout::{MODEL, SERVICE, caller_token};

/// Time after which a caller abandons a request.
const REQUEST_TIMEOUT: Duration = Duration::from_mins(1);
/// Maximum number of times that the simulated load balancer sends one request.
const BALANCER_ATTEMPTS: usize = 4;
/// Time that the simulated load balancer waits before it tries the next gate.
const BALANCER_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Outcome of a request as its caller observes it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestOutcome {
    /// The caller received the complete response.
    Complete,
    /// The request was rejected and not executed, or no gate was reachable and ready.
    NotRun,
    /// The response reports that the request failed.
    Failed,
    /// The response reports that the request may or may not have been executed.
    Unknown,
    /// The connection to the gate broke during the request.
    CutOff,
    /// The caller cancelled the request by disconnecting.
    HungUp,
    /// The request timed out, or its response is incomplete.
    ///
    /// Such a response lacks its outcome or some of the expected tokens.
    Lost,
}

/// What a caller observed of one request.
#[derive(Clone, Debug)]
pub struct Observation {
    /// Organisation of the caller.
    pub organisation: Box<str>,
    /// Outcome of the request, as the caller observed it.
    pub outcome: RequestOutcome,
    /// Time at which the request was sent.
    pub started: Instant,
    /// Arrival time of each token.
    pub token_times: Vec<Instant>,
    /// Number of tokens beyond the expected response, such as repeated tokens.
    pub extra_tokens: usize,
    /// Whether any token was unexpected, such as one of another request.
    pub mismatched: bool,
    /// Error code of the response, or empty if it has none.
    pub code: Box<str>,
}

/// A request to be sent: a chat completion or a non-idempotent `POST`.
///
/// The `POST` goes to the plain service, which runs no model.
#[derive(Clone, Debug)]
pub struct Call {
    /// Organisation whose token authenticates the request.
    pub organisation: Box<str>,
    /// Prompt of a chat completion, or the `assignment` field of a `POST` body.
    pub text: Box<str>,
    /// Maximum number of tokens in the response.
    pub max_tokens: u32,
    /// Idempotency key of the request.
    pub key: Box<str>,
    /// Number of tokens after which the caller disconnects; 0 reads the whole response.
    pub hang_up_after: u32,
}

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// HTTP client that is shared by all callers.
#[derive(Clone, Debug)]
pub struct Caller {
    http: HttpClient,
    gates: Vec<SocketAddr>,
}

impl Caller {
    /// Creates a client that tries the given gates in order.
    pub fn new(gates: Vec<SocketAddr>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let http = Client::builder(TokioExecutor::new()).build(connector);
        Self { http, gates }
    }

    /// Requests a streamed chat completion and reads the response.
    ///
    /// The gate with the index `gate` is tried first.
    pub async fn chat(&self, call: &Call, gate: usize) -> Observation {
        let body = json!({
            "model": MODEL,
            "stream": true,
            "max_tokens": call.max_tokens,
            "messages": [{ "role": "user", "content": call.text }],
        });
        let mut observation = Observation::new(call);
        let exchange = async {
            match self
                .send(call, gate, "/v1/chat/completions", &body.to_string())
                .await
            {
                Ok(response) if response.status() == 200 => {
                    read_stream(call, response, &mut observation).await
                }
                Ok(response) => read_error_response(response, &mut observation).await,
                Err(outcome) => outcome,
            }
        };
        let outcome = tokio::time::timeout(REQUEST_TIMEOUT, exchange)
            .await
            .unwrap_or(RequestOutcome::Lost);
        observation.outcome = outcome;
        observation
    }

    /// Sends a non-idempotent `POST` to the plain service.
    ///
    /// The gate with the index `gate` is tried first.
    pub async fn book(&self, call: &Call, gate: usize) -> Observation {
        let body = json!({ "assignment": call.text }).to_string();
        let mut observation = Observation::new(call);
        let path = format!("/svc/{SERVICE}/assignments");
        let exchange = async {
            match self.send(call, gate, &path, &body).await {
                Ok(response) if response.status().is_success() => RequestOutcome::Complete,
                Ok(response) => read_error_response(response, &mut observation).await,
                Err(outcome) => outcome,
            }
        };
        let outcome = tokio::time::timeout(REQUEST_TIMEOUT, exchange)
            .await
            .unwrap_or(RequestOutcome::Lost);
        observation.outcome = outcome;
        observation
    }

    /// Sends a request as the platform's load balancer would.
    ///
    /// If a gate can't be reached or isn't ready, the next gate is tried after a delay.
    async fn send(
        &self,
        call: &Call,
        gate: usize,
        path: &str,
        body: &str,
    ) -> Result<Response<Incoming>, RequestOutcome> {
        for attempt in 0..BALANCER_ATTEMPTS {
            let address = self.gates[(gate + attempt) % self.gates.len()];
            let request = Request::builder()
                .method(Method::POST)
                .uri(format!("http://{address}{path}"))
                .header(
                    "authorization",
                    format!("Bearer {}", caller_token(&call.organisation)),
                )
                .header("content-type", "application/json")
                .header("idempotency-key", &*call.key)
                .body(Full::new(Bytes::copy_from_slice(body.as_bytes())))
                .expect("the address and headers form a valid request");
            match self.http.request(request).await {
                Ok(response) if is_not_ready(&response) => {}
                Ok(response) => return Ok(response),
                Err(e) if e.is_connect() => {}
                Err(_) => return Err(RequestOutcome::CutOff),
            }
            tokio::time::sleep(BALANCER_RETRY_DELAY).await;
        }
        Err(RequestOutcome::NotRun)
    }
}

/// Returns whether a gate rejected a request because it is not ready.
fn is_not_ready(response: &Response<Incoming>) -> bool {
    response.status() == 503 && response.headers().contains_key("retry-after")
}

impl Observation {
    fn new(call: &Call) -> Self {
        Self {
            organisation: call.organisation.clone(),
            outcome: RequestOutcome::Lost,
            started: Instant::now(),
            token_times: Vec::new(),
            extra_tokens: 0,
            mismatched: false,
            code: "".into(),
        }
    }
}

/// Reads the outcome and error code of a response whose status isn't a success.
async fn read_error_response(
    response: Response<Incoming>,
    observation: &mut Observation,
) -> RequestOutcome {
    let outcome_header = response.headers().get("x-toucanshelf-outcome").cloned();
    if let Ok(body) = response.into_body().collect().await {
        let value: serde_json::Value = serde_json::from_slice(&body.to_bytes()).unwrap_or_default();
        observation.code = value["error"]["code"].as_str().unwrap_or("").into();
    }
    outcome_header
        .and_then(|value| value.to_str().map(parse_outcome).ok())
        .unwrap_or(RequestOutcome::Lost)
}

/// Parses the outcome that a gate reports in a header or an error event.
fn parse_outcome(outcome: &str) -> RequestOutcome {
    match outcome {
        "complete" => RequestOutcome::Complete,
        "not_run" => RequestOutcome::NotRun,
        "failed" => RequestOutcome::Failed,
        "unknown" => RequestOutcome::Unknown,
        _ => RequestOutcome::Lost,
    }
}

/// Reads a stream of events and compares its tokens with the expected response.
async fn read_stream(
    call: &Call,
    response: Response<Incoming>,
    observation: &mut Observation,
) -> RequestOutcome {
    let mut expected = answer::tokens(&format!("user: {}", call.text), call.max_tokens).into_iter();
    let mut body = response.into_body();
    let mut buf = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return RequestOutcome::CutOff;
        };
        buf.extend_from_slice(frame.data_ref().map_or(&[], |data| data));
        while let Some(end) = buf.windows(2).position(|pair| pair == b"\n\n") {
            let event: Vec<u8> = buf.drain(..end + 2).collect();
            match read_event(&event, &mut expected, observation) {
                Some(outcome) => return outcome,
                None if call.hang_up_after > 0
                    && observation.token_times.len() >= call.hang_up_after as usize =>
                {
                    return RequestOutcome::HungUp;
                }
                None => {}
            }
        }
    }
    // The stream ended without `[DONE]` or an error event, so the request's outcome is unknown.
    RequestOutcome::Lost
}

/// Reads one event and returns the outcome if the event ends the stream.
fn read_event(
    event: &[u8],
    expected: &mut impl Iterator<Item = Box<str>>,
    observation: &mut Observation,
) -> Option<RequestOutcome> {
    let text = String::from_utf8_lossy(event);
    let data = text
        .lines()
        .find_map(|line| line.strip_prefix("data: "))
        .unwrap_or("");
    if data == "[DONE]" {
        // The response is complete only if no expected token is missing.
        return Some(if expected.next().is_none() {
            RequestOutcome::Complete
        } else {
            RequestOutcome::Lost
        });
    }
    let value: serde_json::Value = serde_json::from_str(data).unwrap_or_default();
    if text.starts_with("event: error") {
        observation.code = value["error"]["code"].as_str().unwrap_or("").into();
        return Some(parse_outcome(
            value["error"]["outcome"].as_str().unwrap_or(""),
        ));
    }
    let token = value["choices"][0]["delta"]["content"]
        .as_str()
        .unwrap_or("");
    if token.is_empty() {
        return None;
    }
    observation.token_times.push(Instant::now());
    match expected.next() {
        Some(next) if &*next == token => {}
        Some(_) => observation.mismatched = true,
        None => observation.extra_tokens += 1,
    }
    None
}
