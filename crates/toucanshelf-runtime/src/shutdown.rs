//! Handling of the signals SIGTERM and SIGINT, which request a shutdown, and of SIGHUP.

use tokio::signal::unix::{SignalKind, signal};

/// Waits until the process receives SIGTERM or SIGINT.
///
/// # Panics
///
/// Panics when the signal handlers cannot be registered.
pub async fn requested() {
    let mut term = signal(SignalKind::terminate()).expect("signal handlers can be registered");
    let mut interrupt = signal(SignalKind::interrupt()).expect("signal handlers can be registered");
    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
    }
}

/// Logs each SIGHUP and otherwise ignores it.
///
/// Settings are not reloaded: addresses, limits and identity are fixed while a process runs, and
/// instances learn about each other at run time. Changed settings apply from the next start.
///
/// # Panics
///
/// Panics when the signal handlers cannot be registered.
pub async fn log_reload_signals() {
    let mut reload = signal(SignalKind::hangup()).expect("signal handlers can be registered");
    while reload.recv().await.is_some() {
        tracing::info!(
            event = "TS1401",
            "received SIGHUP; changed settings apply from the next start"
        );
    }
}
