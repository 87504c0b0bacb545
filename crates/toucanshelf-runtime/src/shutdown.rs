//! Signals that ask a daemon to stop or to look at its settings.

use tokio::signal::unix::{SignalKind, signal};

/// Waits for SIGTERM or SIGINT.
///
/// # Panics
///
/// Panics when the system does not let the process take signals.
pub async fn requested() {
    let mut term = signal(SignalKind::terminate()).expect("signals can be taken");
    let mut interrupt = signal(SignalKind::interrupt()).expect("signals can be taken");
    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
    }
}

/// Notes each SIGHUP in the log, for as long as the process runs.
///
/// Addresses, limits and identity are fixed for the life of a process; other instances are
/// learned from each other. So changed settings count from the next start.
///
/// # Panics
///
/// Panics when the system does not let the process take signals.
pub async fn note_reloads() {
    let mut reload = signal(SignalKind::hangup()).expect("signals can be taken");
    while reload.recv().await.is_some() {
        tracing::info!(
            event = "TS1401",
            "settings changed; they count from the next start"
        );
    }
}
