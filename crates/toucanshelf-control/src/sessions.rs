//! Links between this control instance and the gates.
//!
//! Over its link, each gate receives the configuration and submits commands to the replicated log.
//! The revision is the number of changes that have been applied to the configuration.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::sync::mpsc;
use toucanshelf_core::ids::Revision;
use toucanshelf_link::frame::{Frame, LogId};
use toucanshelf_link::link::Link;

use crate::Shared;

/// Interval between announcements of the configuration's revision to a gate.
const HEAD_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which a gate remains in [`Sessions`] after its link has closed.
const DISCONNECTED_RETENTION: Duration = Duration::from_mins(1);

/// State of a gate, as known to this control instance.
#[derive(Clone, Debug)]
pub struct GateState {
    /// Availability zone of the gate.
    pub zone: Box<str>,
    /// Revision of the configuration that the gate last reported to be using.
    pub revision: Revision,
    /// Whether the link to the gate is open.
    pub connected: bool,
    /// Time when the gate last reported its revision, or its link opened or closed.
    pub last_seen: Instant,
}

/// Gates that are linked to this instance or were within the last minute.
#[derive(Debug, Default)]
pub struct Sessions {
    gates: Mutex<BTreeMap<Box<str>, GateState>>,
}

impl Sessions {
    /// Creates an empty table of gates.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the gates by name, without those whose link closed over a minute ago.
    pub fn gates(&self) -> BTreeMap<Box<str>, GateState> {
        let mut gates = self.gates.lock().expect("no lock holder panics");
        gates.retain(|_, gate| gate.connected || gate.last_seen.elapsed() < DISCONNECTED_RETENTION);
        gates.clone()
    }

    fn update(&self, link: &Link, revision: Option<Revision>, connected: bool) {
        let mut gates = self.gates.lock().expect("no lock holder panics");
        let known = gates.get(&link.peer.name).map(|gate| gate.revision);
        let revision = revision.or(known).unwrap_or_default();
        let zone = link.peer.zone.clone();
        let state = GateState {
            zone,
            revision,
            connected,
            last_seen: Instant::now(),
        };
        gates.insert(link.peer.name.clone(), state);
    }
}

/// Handles a gate's frames and sends it the configuration until its link closes.
pub(crate) async fn serve(shared: Arc<Shared>, mut link: Link) {
    let mut revisions = shared.driver.revisions();
    // Log and revision of the configuration that the gate has or is being sent; `None` until the
    // gate has reported its own.
    let mut sent: Option<(LogId, Revision)> = None;
    shared.sessions.update(&link, None, true);
    let mut head_ticks = tokio::time::interval(HEAD_INTERVAL);
    loop {
        tokio::select! {
            frame = link.rx.recv() => {
                let Some(frame) = frame else { break };
                handle_frame(&shared, &link, frame, &mut sent);
            }
            _ = head_ticks.tick() => {
                // Without a leader, this instance sends the gate no announcements. The gate
                // concludes from this that the instance may be cut off from the leader.
                if shared.driver.status().current && !send_head(&shared, &link.tx) {
                    break;
                }
            }
            changed = revisions.changed() => {
                if changed.is_err() {
                    break;
                }
                revisions.mark_unchanged();
            }
        }
        if !send_changes(&shared, &link.tx, &mut sent) {
            tracing::warn!(event = "TS2301", gate = %link.peer.name, "closing link: the gate reads too slowly");
            break;
        }
    }
    shared.sessions.update(&link, None, false);
}

fn handle_frame(
    shared: &Arc<Shared>,
    link: &Link,
    frame: Frame,
    sent: &mut Option<(LogId, Revision)>,
) {
    match frame {
        Frame::Watch { log, revision } => {
            // A gate without a configuration reports no log. Its log id of 0 does not match, so it
            // receives the complete configuration.
            *sent = Some((log.unwrap_or_default(), revision));
            shared.sessions.update(link, Some(revision), true);
        }
        Frame::InForce { revision } => shared.sessions.update(link, Some(revision), true),
        Frame::Submit { id, body, forward } => {
            let (shared, tx) = (Arc::clone(shared), link.tx.clone());
            tokio::spawn(async move {
                let result = shared.submit(body, forward).await;
                let _ = tx.send(Frame::Submitted { id, result }).await;
            });
        }
        _ => {}
    }
}

/// Announces the applied revision of the configuration to a gate.
///
/// Returns `false` if the link's outgoing queue is full.
fn send_head(shared: &Shared, tx: &mpsc::Sender<Frame>) -> bool {
    let (log, revision) = {
        let state = shared.driver.state();
        (state.log(), state.configuration().revision())
    };
    match log {
        Some(log) => tx.try_send(Frame::Head { log, revision }).is_ok(),
        None => true,
    }
}

/// Sends the configuration changes that the gate lacks.
///
/// If the changes are no longer stored, or the gate's configuration comes from another log, it
/// receives the complete configuration. Returns `false` if the link's outgoing queue is full.
fn send_changes(
    shared: &Shared,
    tx: &mpsc::Sender<Frame>,
    sent: &mut Option<(LogId, Revision)>,
) -> bool {
    let Some((gate_log, gate_revision)) = *sent else {
        return true;
    };
    let state = shared.driver.state();
    let Some(log) = state.log() else {
        return true;
    };
    let revision = state.configuration().revision();
    if gate_log == log && gate_revision >= revision {
        return true;
    }
    let deltas = state
        .deltas_after(gate_revision)
        .filter(|_| gate_log == log);
    let frame = match deltas {
        Some(deltas) => Frame::Deltas { log, deltas },
        None => Frame::Configuration {
            log,
            snapshot: state.configuration().snapshot(),
        },
    };
    drop(state);
    *sent = Some((log, revision));
    tx.try_send(frame).is_ok()
}
