//! Signals that ask a daemon to stop.

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
