//! Callers: send requests over HTTP and check every answer.

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

/// Time after which a caller gives up.
const PATIENCE: Duration = Duration::from_mins(1);
/// Times that the balancer in front of the gates tries another gate.
const BALANCER_TRIES: usize = 4;
/// Time before the balancer tries again.
const BALANCER_PAUSE: Duration = Duration::from_millis(20);

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ending {
    /// Answered completely.
    Complete,
    /// Refused as not run.
    NotRun,
    /// Failed, as the answer said.
    Failed,
    /// Of unknown fate, as the answer said.
    Unknown,
    /// The connection to the gate broke.
    CutOff,
    /// The caller hung up.
    HungUp,
    /// Nothing said how it ended.
    Lost,
}

/// What a caller saw of one request.
#[derive(Clone, Debug)]
pub struct Sighting {
    /// Organisation that called.
    pub organisation: Box<str>,
    /// How it ended.
    pub ending: Ending,
    /// Time of the request.
    pub started: Instant,
    /// Times of the tokens.
    pub tokens: Vec<Instant>,
    /// Tokens beyond those of the expected answer, or repeated ones.
    pub surplus: usize,
    /// Whether the answer was another request's.
    pub wrong: bool,
    /// Stable code of a refusal.
    pub code: Box<str>,
}

/// One request.
#[derive(Clone, Debug)]
pub struct Call {
    /// Organisation that calls.
    pub organisation: Box<str>,
    /// Text of the request.
    pub text: Box<str>,
    /// Most tokens of the answer.
    pub max_tokens: u32,
    /// Key of a booking.
    pub key: Box<str>,
    /// Tokens after which the caller hangs up; 0 reads to the end.
    pub hang_up_after: u32,
}

type Http = Client<HttpConnector, Full<Bytes>>;

/// HTTP client of all callers.
#[derive(Clone, Debug)]
pub struct Caller {
    http: Http,
    gates: Vec<SocketAddr>,
}

impl Caller {
    /// Creates the client for gates in order.
    pub fn new(gates: Vec<SocketAddr>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let http = Client::builder(TokioExecutor::new()).build(connector);
        Self { http, gates }
    }

    /// Sends a streamed chat completion, first to gate `gate`, and reads the answer.
    pub async fn chat(&self, call: &Call, gate: usize) -> Sighting {
        let body = json!({
            "model": MODEL,
            "stream": true,
            "max_tokens": call.max_tokens,
            "messages": [{ "role": "user", "content": call.text }],
        });
        let mut sighting = Sighting::new(call);
        let exchange = async {
            match self
                .send(call, gate, "/v1/chat/completions", &body.to_string())
                .await
            {
                Ok(response) if response.status() == 200 => {
                    read_stream(call, response, &mut sighting).await
                }
                Ok(response) => read_refusal(response, &mut sighting).await,
                Err(ending) => ending,
            }
        };
        let ending = tokio::time::timeout(PATIENCE, exchange)
            .await
            .unwrap_or(Ending::Lost);
        sighting.ending = ending;
        sighting
    }

    /// Sends a booking, first to gate `gate`.
    pub async fn book(&self, call: &Call, gate: usize) -> Sighting {
        let body = json!({ "assignment": call.text }).to_string();
        let mut sighting = Sighting::new(call);
        let path = format!("/svc/{SERVICE}/assignments");
        let exchange = async {
            match self.send(call, gate, &path, &body).await {
                Ok(response) if response.status().is_success() => Ending::Complete,
                Ok(response) => read_refusal(response, &mut sighting).await,
                Err(ending) => ending,
            }
        };
        let ending = tokio::time::timeout(PATIENCE, exchange)
            .await
            .unwrap_or(Ending::Lost);
        sighting.ending = ending;
        sighting
    }

    /// Sends a request as the platform's balancer does: a gate that can't be reached or says
    /// that it is not ready is left for the next.
    async fn send(
        &self,
        call: &Call,
        gate: usize,
        path: &str,
        body: &str,
    ) -> Result<Response<Incoming>, Ending> {
        for turn in 0..BALANCER_TRIES {
            let address = self.gates[(gate + turn) % self.gates.len()];
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
                .expect("the gate's address makes a valid request");
            match self.http.request(request).await {
                Ok(response) if is_not_ready(&response) => {}
                Ok(response) => return Ok(response),
                Err(e) if e.is_connect() => {}
                Err(_) => return Err(Ending::CutOff),
            }
            tokio::time::sleep(BALANCER_PAUSE).await;
        }
        Err(Ending::NotRun)
    }
}

fn is_not_ready(response: &Response<Incoming>) -> bool {
    response.status() == 503 && response.headers().contains_key("retry-after")
}

impl Sighting {
    fn new(call: &Call) -> Self {
        Self {
            organisation: call.organisation.clone(),
            ending: Ending::Lost,
            started: Instant::now(),
            tokens: Vec::new(),
            surplus: 0,
            wrong: false,
            code: "".into(),
        }
    }
}

async fn read_refusal(response: Response<Incoming>, sighting: &mut Sighting) -> Ending {
    let outcome = response.headers().get("x-toucanshelf-outcome").cloned();
    if let Ok(body) = response.into_body().collect().await {
        let value: serde_json::Value = serde_json::from_slice(&body.to_bytes()).unwrap_or_default();
        sighting.code = value["error"]["code"].as_str().unwrap_or("").into();
    }
    outcome
        .and_then(|value| value.to_str().map(ending_of).ok())
        .unwrap_or(Ending::Lost)
}

fn ending_of(outcome: &str) -> Ending {
    match outcome {
        "complete" => Ending::Complete,
        "not_run" => Ending::NotRun,
        "failed" => Ending::Failed,
        "unknown" => Ending::Unknown,
        _ => Ending::Lost,
    }
}

async fn read_stream(call: &Call, response: Response<Incoming>, sighting: &mut Sighting) -> Ending {
    let mut expected = answer::tokens(&format!("user: {}", call.text), call.max_tokens).into_iter();
    let mut body = response.into_body();
    let mut buf = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return Ending::CutOff;
        };
        buf.extend_from_slice(frame.data_ref().map_or(&[], |data| data));
        while let Some(end) = buf.windows(2).position(|pair| pair == b"\n\n") {
            let event: Vec<u8> = buf.drain(..end + 2).collect();
            match read_event(&event, &mut expected, sighting) {
                Some(ending) => return ending,
                None if call.hang_up_after > 0
                    && sighting.tokens.len() >= call.hang_up_after as usize =>
                {
                    return Ending::HungUp;
                }
                None => {}
            }
        }
    }
    // A stream must end in `[DONE]` or an error event.
    Ending::Lost
}

fn read_event(
    event: &[u8],
    expected: &mut impl Iterator<Item = Box<str>>,
    sighting: &mut Sighting,
) -> Option<Ending> {
    let text = String::from_utf8_lossy(event);
    let data = text
        .lines()
        .find_map(|line| line.strip_prefix("data: "))
        .unwrap_or("");
    if data == "[DONE]" {
        // A whole answer has no token left.
        return Some(if expected.next().is_none() {
            Ending::Complete
        } else {
            Ending::Lost
        });
    }
    let value: serde_json::Value = serde_json::from_str(data).unwrap_or_default();
    if text.starts_with("event: error") {
        sighting.code = value["error"]["code"].as_str().unwrap_or("").into();
        return Some(ending_of(value["error"]["outcome"].as_str().unwrap_or("")));
    }
    let token = value["choices"][0]["delta"]["content"]
        .as_str()
        .unwrap_or("");
    if token.is_empty() {
        return None;
    }
    sighting.tokens.push(Instant::now());
    match expected.next() {
        Some(next) if &*next == token => {}
        Some(_) => sighting.wrong = true,
        None => sighting.surplus += 1,
    }
    None
}
