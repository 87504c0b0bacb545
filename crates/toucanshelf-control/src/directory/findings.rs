//! Exchange of findings about content that crashes targets, among control instances.
//!
//! Each control instance keeps all findings in force, so that they outlast any single process. An
//! ingress sends its findings to each control instance that it is linked to. These forward them to
//! each other, in case one of them has no link to that ingress. A control instance that starts gets
//! all findings from each of the others, and from one ingress.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use toucanshelf_core::crash::Finding;
use toucanshelf_link::frame::Frame;

use crate::Shared;

/// Interval at which new findings are forwarded.
// Each finding goes to all ingresses, and targets that reset connections cause hundreds a second.
const FORWARD_INTERVAL: Duration = Duration::from_millis(200);

/// Forwards new findings to the ingresses and control instances from time to time.
pub(crate) async fn forward(shared: Arc<Shared>) {
    let Some(directory) = &shared.directory else {
        return;
    };
    let mut ticks = tokio::time::interval(FORWARD_INTERVAL);
    loop {
        ticks.tick().await;
        let mut findings = directory.ingresses.forward_findings();
        // Findings of trials come from the ingress itself; later copies would count as new trials.
        findings.retain(|finding| !finding.outcome.is_passing());
        if !findings.is_empty() {
            shared.peers.share_findings(&findings);
        }
    }
}

/// Sends all findings to the control instance at `address`, and then the new ones.
///
/// Returns `false` if the queue of its link is full, so that the link must be closed.
pub(crate) fn send_all(shared: &Shared, address: SocketAddr) -> bool {
    let Some(directory) = &shared.directory else {
        return true;
    };
    // From here on, new findings are forwarded to the peer, so that none is missed in between.
    let Some(tx) = shared.peers.add_finding_peer(address) else {
        return true;
    };
    let findings = directory.crash_findings();
    findings.is_empty() || tx.try_send(Frame::CrashFindings { findings }).is_ok()
}

/// Adds findings of another control instance, and forwards the new ones to the ingresses.
pub(crate) fn receive_from_peer(shared: &Shared, findings: Vec<Finding>) {
    if let Some(directory) = &shared.directory {
        let received = findings.len();
        let new = directory.apply_findings(findings);
        if !new.is_empty() {
            tracing::info!(
                event = "TS2525",
                received,
                new = new.len(),
                "findings of another control instance added"
            );
        }
        directory.ingresses.queue_findings(None, new);
    }
}
