//! Handling of the signals SIGTERM and SIGINT, which request a shutdown, and of SIGHUP.

use tokio::signal::unix::{Signal, SignalKind, signal};

/// The signals SIGTERM and SIGINT, from their registration on.
///
/// Until then, they end the process at once. A program must therefore register them before it
/// listens.
#[derive(Debug)]
pub struct ShutdownSignals {
    term: Signal,
    interrupt: Signal,
}

impl ShutdownSignals {
    /// Registers the handlers of both signals.
    ///
    /// # Panics
    ///
    /// Panics when the handlers cannot be registered, or outside of a tokio runtime.
    pub fn register() -> Self {
        let register = |kind| signal(kind).expect("signal handlers can be registered");
        Self {
            term: register(SignalKind::terminate()),
            interrupt: register(SignalKind::interrupt()),
        }
    }

    /// Waits until the process has received one of the signals since their registration.
    pub async fn received(&mut self) {
        tokio::select! {
            _ = self.term.recv() => {}
            _ = self.interrupt.recv() => {}
        }
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

/// Logs each SIGHUP that `reload` receives.
///
/// Addresses, limits and identity are fixed while a process runs. Only an ingress and a control
/// instance read their seeds again; other changed settings apply from the next start.
pub async fn log_reload_signals(mut reload: Signal) {
    while reload.recv().await.is_some() {
        tracing::info!(
            event = "TS1401",
            "received SIGHUP; changed settings other than new seeds apply from the next start"
        );
    }
}
