//! Work of a stand-in engine on one attempt.

use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_util::StreamExt as _;
use http::HeaderMap;
use tokio::sync::mpsc;
use toucanshelf_core::engine::{CancelRequest, EngineLine, Hop, RunRequest, TokenFrame};
use toucanshelf_core::outcome::{Code, Refusal};
use toucanshelf_link::engine::{EngineClient as _, EngineError};

use crate::answer::Chain;
use crate::engine::Shared;

/// Refuses what this engine can't run, before anything has run.
pub(crate) fn admit(shared: &Shared, request: &RunRequest) -> Result<(), Refusal> {
    let settings = &shared.settings;
    let Some(hop) = request.route.first() else {
        return Err(Refusal::not_run(Code::BadRequest, "the route is empty"));
    };
    let ours = hop.engine == settings.name && hop.incarnation == shared.incarnation;
    if !ours {
        let what = format!(
            "this is {} incarnation {}",
            settings.name, shared.incarnation
        );
        return Err(Refusal::not_run(Code::BadRequest, what));
    }
    if !settings.layers.covers(hop.layers) {
        let what = format!("layers {} are not held here", hop.layers);
        return Err(Refusal::not_run(Code::BadRequest, what));
    }
    if shared.draining.load(Ordering::Relaxed) {
        return Err(Refusal::not_run(Code::NotReady, "draining"));
    }
    if shared.in_flight.load(Ordering::Relaxed) >= settings.slots {
        return Err(Refusal::not_run(Code::Overloaded, "no slot is free"));
    }
    Ok(())
}

/// Runs an attempt: generates tokens at the last stage, passes them back at the others.
pub(crate) async fn run(
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
        tracing::error!(event = "TS9002", "the prompt crashes this engine");
        let _ = shared.crash.try_send(());
        std::future::pending::<()>().await;
    }
    if request.route.len() > 1 {
        relay(shared, request, headers, tx).await;
    } else {
        generate(shared, request, tx).await;
    }
}

async fn generate(shared: &Shared, request: RunRequest, tx: &mpsc::Sender<EngineLine>) {
    let mut chain = Chain::new(&request.prompt);
    for token in &request.delivered {
        chain.push(token);
    }
    let end = chain.length().min(request.max_tokens);
    let interval = Duration::from_millis(shared.settings.token_interval_ms);
    let mut due = tokio::time::Instant::now();
    for position in request.delivered.len() as u32..end {
        due += interval;
        tokio::time::sleep_until(due).await;
        shared.pace.token().await;
        if is_cancelled(shared, &request) {
            return;
        }
        let token = chain.next_token();
        chain.push(&token);
        let frame = TokenFrame {
            request: request.request.clone(),
            attempt: request.attempt,
            position,
            layers: request.route.iter().map(|hop| hop.layers).collect(),
            token,
            last: position + 1 == end,
        };
        if tx.send(EngineLine::Token(frame)).await.is_err() {
            return;
        }
    }
}

async fn relay(
    shared: &Shared,
    mut request: RunRequest,
    headers: HeaderMap,
    tx: &mpsc::Sender<EngineLine>,
) {
    let own: Hop = request.route.remove(0);
    let next = request.route[0].clone();
    let (id, attempt) = (request.request.clone(), request.attempt);
    let broken = |error: &EngineError| EngineLine::Broken {
        engine: next.engine.clone(),
        reason: error.to_string().into(),
        not_run: matches!(error, EngineError::NotSent(_) | EngineError::Refused { .. }),
    };
    let probe = RunRequest {
        route: Vec::new(),
        prompt: "".into(),
        ..request.clone()
    };
    let mut lines = match shared.client.run(next.address, request, headers).await {
        Ok(lines) => lines,
        Err(e) => {
            let _ = tx.send(broken(&e)).await;
            return;
        }
    };
    let mut finished = false;
    while let Some(line) = lines.next().await {
        let line = match line {
            Ok(EngineLine::Token(mut frame)) => {
                shared.pace.token().await;
                finished = frame.last;
                frame.layers.insert(0, own.layers);
                EngineLine::Token(frame)
            }
            Ok(other) => other,
            Err(e) => broken(&e),
        };
        let failed = matches!(line, EngineLine::Broken { .. });
        if tx.send(line).await.is_err() || is_cancelled(shared, &probe) {
            // The next engine sees the closed connection, but may be waiting for its pace.
            shared
                .client
                .cancel(
                    next.address,
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
            .send(broken(&EngineError::Broken(
                "the stream ended early".into(),
            )))
            .await;
    }
}

fn is_cancelled(shared: &Shared, request: &RunRequest) -> bool {
    let cancelled = shared.cancelled.lock().expect("no holder panics");
    cancelled
        .get(&request.request)
        .is_some_and(|attempt| request.attempt <= *attempt)
}
