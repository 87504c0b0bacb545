//! Admits and runs one attempt of a request on a stand-in engine.
//!
//! An attempt is one run of a request over one route. A route lists hops, each of which is an
//! engine with the layers that it runs, in the order of the layers. The engine of the last hop
//! generates the tokens, and each engine before it relays them from the next hop.

use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_util::StreamExt as _;
use http::HeaderMap;
use tokio::sync::mpsc;
use toucanshelf_core::engine::{CancelRequest, EngineLine, Hop, RunRequest, TokenFrame};
use toucanshelf_core::outcome::{Code, Refusal};
use toucanshelf_link::engine::{EngineClient as _, EngineError};

use crate::answer::TokenGenerator;
use crate::engine::Shared;

/// Checks whether this engine can run a request now, before anything has run.
///
/// Returns the reason as a refusal if it can't.
pub(crate) fn admit(shared: &Shared, request: &RunRequest) -> Result<(), Refusal> {
    let settings = &shared.settings;
    let Some(hop) = request.route.first() else {
        return Err(Refusal::not_run(Code::BadRequest, "the route is empty"));
    };
    let is_addressee = hop.engine == settings.name && hop.incarnation == shared.incarnation;
    if !is_addressee {
        let message = format!(
            "this is {} incarnation {}",
            settings.name, shared.incarnation
        );
        return Err(Refusal::not_run(Code::BadRequest, message));
    }
    if !settings.layers.covers(hop.layers) {
        let message = format!("layers {} are not held here", hop.layers);
        return Err(Refusal::not_run(Code::BadRequest, message));
    }
    if shared.draining.load(Ordering::Relaxed) {
        return Err(Refusal::not_run(Code::NotReady, "draining"));
    }
    if shared.in_flight.load(Ordering::Relaxed) >= settings.slots {
        return Err(Refusal::not_run(Code::Overloaded, "no slot is free"));
    }
    Ok(())
}

/// Runs an attempt and sends its response lines to `tx`.
///
/// A prompt that contains the text of the setting `poison` crashes the engine instead.
pub(crate) async fn run_attempt(
    shared: &Shared,
    request: RunRequest,
    headers: HeaderMap,
    tx: &mpsc::Sender<EngineLine>,
) {
    if shared
        .settings
        .poison
        .as_deref()
        .is_some_and(|poison| request.prompt.contains(poison))
    {
        tracing::error!(
            event = "TS9002",
            "the prompt contains the configured poison text; crashing"
        );
        let _ = shared.crash_tx.try_send(());
        std::future::pending::<()>().await;
    }
    if request.route.len() > 1 {
        relay_tokens(shared, request, headers, tx).await;
    } else {
        generate_tokens(shared, request, tx).await;
    }
}

/// Generates the tokens that earlier attempts have not yet delivered to the caller.
async fn generate_tokens(shared: &Shared, request: RunRequest, tx: &mpsc::Sender<EngineLine>) {
    let mut generator = TokenGenerator::new(&request.prompt);
    for token in &request.delivered {
        generator.push(token);
    }
    let end_position = generator.length().min(request.max_tokens);
    let interval = Duration::from_millis(shared.settings.token_interval_ms);
    let mut due = tokio::time::Instant::now();
    for position in request.delivered.len() as u32..end_position {
        due += interval;
        tokio::time::sleep_until(due).await;
        shared.rate_limiter.acquire().await;
        if is_cancelled(shared, &request) {
            return;
        }
        let token = generator.next_token();
        generator.push(&token);
        let frame = TokenFrame {
            request: request.request.clone(),
            attempt: request.attempt,
            position,
            layers: request.route.iter().map(|hop| hop.layers).collect(),
            token,
            last: position + 1 == end_position,
        };
        if tx.send(EngineLine::Token(frame)).await.is_err() {
            return;
        }
    }
}

/// Forwards the request to the next hop and relays the tokens that it returns.
async fn relay_tokens(
    shared: &Shared,
    mut request: RunRequest,
    headers: HeaderMap,
    tx: &mpsc::Sender<EngineLine>,
) {
    let own_hop: Hop = request.route.remove(0);
    let next_hop = request.route[0].clone();
    let (id, attempt) = (request.request.clone(), request.attempt);
    let broken_line = |error: &EngineError| EngineLine::Broken {
        engine: next_hop.engine.clone(),
        reason: error.to_string().into(),
        not_run: matches!(error, EngineError::NotSent(_) | EngineError::Refused { .. }),
    };
    let cancellation_key = RunRequest {
        route: Vec::new(),
        prompt: "".into(),
        ..request.clone()
    };
    let mut lines = match shared.client.run(next_hop.address, request, headers).await {
        Ok(lines) => lines,
        Err(e) => {
            let _ = tx.send(broken_line(&e)).await;
            return;
        }
    };
    let mut finished = false;
    while let Some(line) = lines.next().await {
        let line = match line {
            Ok(EngineLine::Token(mut frame)) => {
                shared.rate_limiter.acquire().await;
                finished = frame.last;
                frame.layers.insert(0, own_hop.layers);
                EngineLine::Token(frame)
            }
            Ok(other) => other,
            Err(e) => broken_line(&e),
        };
        let failed = matches!(line, EngineLine::Broken { .. });
        if tx.send(line).await.is_err() || is_cancelled(shared, &cancellation_key) {
            // The next engine is asked explicitly to cancel the attempt, because it doesn't notice
            // that the connection is closed while it waits for its rate limiter.
            shared
                .client
                .cancel(
                    next_hop.address,
                    CancelRequest {
                        request: id,
                        attempt,
                    },
                )
                .await;
            return;
        }
        if failed {
            return;
        }
    }
    if !finished {
        let _ = tx
            .send(broken_line(&EngineError::Broken(
                "the stream ended early".into(),
            )))
            .await;
    }
}

/// Whether this attempt of a request, or a later one, was cancelled.
fn is_cancelled(shared: &Shared, request: &RunRequest) -> bool {
    let cancelled = shared.cancelled.lock().expect("no holder panics");
    cancelled
        .get(&request.request)
        .is_some_and(|attempt| request.attempt <= *attempt)
}
