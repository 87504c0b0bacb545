//! Handling of the signals SIGTERM and SIGINT, which request a shutdown, and of SIGHUP.

use tokio::signal::unix::{Signal, SignalKind, signal};

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

/// Returns a stream of SIGHUP signals, each of which says that the settings file has changed.
///
/// # Panics
///
/// Panics when the signal handler cannot be registered.
pub fn reload_signals() -> Signal {
    signal(SignalKind::hangup()).expect("signal handlers can be registered")
}

/// Logs each SIGHUP.
///
/// Addresses, limits and identity are fixed while a process runs. Only an ingress and a control
/// instance read their seeds again; other changed settings apply from the next start.
///
/// # Panics
///
/// Panics when the signal handlers cannot be registered.
pub async fn log_reload_signals() {
    let mut reload = reload_signals();
    while reload.recv().await.is_some() {
        tracing::info!(
            event = "TS1401",
            "received SIGHUP; changed settings other than new seeds apply from the next start"
        );
    }
}
