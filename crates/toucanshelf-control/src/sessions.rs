//! Links to gates: configuration out, commands in.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::sync::mpsc;
use toucanshelf_core::ids::Revision;
use toucanshelf_link::frame::{Frame, LogId};
use toucanshelf_link::link::Link;

use crate::Parts;

/// Time between announcements of the revision to a gate.
const HEAD_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which a gate that has gone is listed.
const LISTED_FOR: Duration = Duration::from_mins(1);

/// What is known of one gate.
#[derive(Clone, Debug)]
pub struct GateStanding {
    /// Availability zone.
    pub zone: Box<str>,
    /// Revision in force.
    pub revision: Revision,
    /// Whether its link is open.
    pub connected: bool,
    /// Time of its last message.
    pub heard: Instant,
}

/// Gates that are, or just were, linked to this instance.
#[derive(Debug, Default)]
pub struct Sessions {
    gates: Mutex<BTreeMap<Box<str>, GateStanding>>,
}

impl Sessions {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Gates by name.
    pub fn gates(&self) -> BTreeMap<Box<str>, GateStanding> {
        let mut gates = self.gates.lock().expect("no holder panics");
        gates.retain(|_, gate| gate.connected || gate.heard.elapsed() < LISTED_FOR);
        gates.clone()
    }

    fn note(&self, link: &Link, revision: Option<Revision>, connected: bool) {
        let mut gates = self.gates.lock().expect("no holder panics");
        let known = gates.get(&link.peer.name).map(|gate| gate.revision);
        let revision = revision.or(known).unwrap_or_default();
        let zone = link.peer.zone.clone();
        let standing = GateStanding {
            zone,
            revision,
            connected,
            heard: Instant::now(),
        };
        gates.insert(link.peer.name.clone(), standing);
    }
}

/// Serves one gate until its link closes.
pub(crate) async fn serve(parts: Arc<Parts>, mut link: Link) {
    let mut revisions = parts.driver.revisions();
    // Revision that the gate has or is being sent; none until it has said.
    let mut sent: Option<(LogId, Revision)> = None;
    parts.sessions.note(&link, None, true);
    let mut heads = tokio::time::interval(HEAD_INTERVAL);
    loop {
        tokio::select! {
            frame = link.rx.recv() => {
                let Some(frame) = frame else { break };
                take_frame(&parts, &link, frame, &mut sent);
            }
            _ = heads.tick() => {
                // Silence tells the gate that this instance may be cut off from the leader.
                if parts.driver.standing().current && !send_head(&parts, &link.tx) {
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
        if !feed(&parts, &link.tx, &mut sent) {
            tracing::warn!(event = "TS2301", gate = %link.peer.name, "gate too slow; link closed");
            break;
        }
    }
    parts.sessions.note(&link, None, false);
}

fn take_frame(parts: &Arc<Parts>, link: &Link, frame: Frame, sent: &mut Option<(LogId, Revision)>) {
    match frame {
        Frame::Watch { log, revision } => {
            // A gate without a configuration gets a snapshot, whatever log it had.
            *sent = Some((log.unwrap_or_default(), revision));
            parts.sessions.note(link, Some(revision), true);
        }
        Frame::InForce { revision } => parts.sessions.note(link, Some(revision), true),
        Frame::Submit { id, body, forward } => {
            let (parts, tx) = (Arc::clone(parts), link.tx.clone());
            tokio::spawn(async move {
                let result = parts.submit(body, forward).await;
                let _ = tx.send(Frame::Submitted { id, result }).await;
            });
        }
        _ => {}
    }
}

fn send_head(parts: &Parts, tx: &mpsc::Sender<Frame>) -> bool {
    let (log, revision) = {
        let state = parts.driver.state();
        (state.log(), state.configuration().revision())
    };
    match log {
        Some(log) => tx.try_send(Frame::Head { log, revision }).is_ok(),
        None => true,
    }
}

/// Sends what the gate lacks; returns whether the link can go on.
fn feed(parts: &Parts, tx: &mpsc::Sender<Frame>, sent: &mut Option<(LogId, Revision)>) -> bool {
    let Some((gate_log, gate_revision)) = *sent else {
        return true;
    };
    let state = parts.driver.state();
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
