//! Distribution of the deployment to the ingress instances.
//!
//! This instance announces each version that it has applied. An ingress then requests the changes
//! since its own version, and reports the version that it uses. A patch is a change of the document
//! in compact form.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, timeout};
use toucanshelf_core::deployment_patch::DeploymentPatch;
use toucanshelf_core::state::{CommandBody, DeploymentDocument, Reply};
use toucanshelf_link::frame::{Frame, SubmitError};
use toucanshelf_link::link::Link;

use crate::Shared;
use crate::directory::Directory;

/// Maximum time that a request of an ingress waits for this instance to apply a version.
const FETCH_WAIT: Duration = Duration::from_secs(1);
/// Maximum time from a submission until its acknowledgement, while ingresses are awaited.
///
/// It does not limit the time that the replicated log takes.
// Operators turn to another instance after one second without an answer.
const IN_FORCE_TIMEOUT: Duration = Duration::from_millis(800);
/// Number of attempts to submit a patch of the current document.
///
/// An attempt fails if another change is committed first. After the last one, the whole document is
/// submitted.
const PATCH_ATTEMPTS: u32 = 3;
/// Maximum time to wait for this instance to apply the change that was committed first.
const APPLY_TIMEOUT: Duration = Duration::from_millis(200);

/// Commits a deployment to the replicated log and returns the version that is current afterwards.
///
/// # Errors
///
/// Fails with [`SubmitError::NotTaken`] only if the deployment will never be committed.
pub(crate) async fn submit(
    shared: &Shared,
    document: &DeploymentDocument,
) -> Result<Reply, SubmitError> {
    let others = shared.driver.other_replicas();
    let reads_patches = shared.peers.all_read(&others, |readable| readable.patches);
    if reads_patches != Some(true) {
        let command = CommandBody::Deploy {
            version: document.version,
            document: document.bytes.clone(),
        };
        return shared.submit(command, true).await;
    }
    for _ in 0..PATCH_ATTEMPTS {
        let base = shared.driver.state().deployment().cloned();
        let newer = base
            .as_ref()
            .is_some_and(|base| base.version >= document.version);
        if newer {
            return Ok(Reply::Deployment(base.map(|base| base.version)));
        }
        let patch = DeploymentPatch::new(base.as_deref(), document);
        let reply = shared.submit(CommandBody::DeployPatch(patch), true).await?;
        let Reply::Deployment(Some(current)) = reply else {
            return Ok(reply);
        };
        if current >= document.version {
            return Ok(reply);
        }
        let mut applied = shared.driver.deployment_versions();
        let caught_up = applied.wait_for(|applied| applied.is_some_and(|own| own >= current));
        // If this instance lags behind, the next attempt fails as well, and the last one does not
        // depend on what it has applied.
        let _ = timeout(APPLY_TIMEOUT, caught_up).await;
    }
    let patch = DeploymentPatch::new(None, document);
    shared.submit(CommandBody::DeployPatch(patch), true).await
}

/// Waits until all linked ingresses use `version`, or until the submission must be acknowledged.
///
/// `submitted` is the time at which the operator's call arrived.
pub(crate) async fn wait_until_in_force(directory: &Directory, version: u64, submitted: Instant) {
    let due = submitted + IN_FORCE_TIMEOUT;
    let missing = directory.ingresses.wait_until_in_force(version, due).await;
    tracing::info!(
        event = "TS2516",
        version,
        missing = missing.len(),
        first_missing = missing.first().map(|name| &**name),
        ms = submitted.elapsed().as_millis() as u64,
        "deployment distributed"
    );
}

/// Answers an ingress that requests the deployment, once this instance has applied `wanted`.
///
/// `known` is the version that the ingress has.
pub(crate) fn answer_fetch(shared: &Arc<Shared>, link: &Link, known: Option<u64>, wanted: u64) {
    let (shared, tx) = (Arc::clone(shared), link.tx.clone());
    let ingress = link.peer.name.clone();
    tokio::spawn(async move {
        let mut applied = shared.driver.deployment_versions();
        let caught_up = applied.wait_for(|applied| applied.is_some_and(|own| own >= wanted));
        if !matches!(timeout(FETCH_WAIT, caught_up).await, Ok(Ok(_))) {
            tracing::info!(event = "TS2509", %ingress, wanted, "deployment requested too early");
            return;
        }
        let Some(patches) = patches_after(&shared, known) else {
            return;
        };
        tracing::info!(
            event = "TS2508",
            %ingress,
            known,
            version = patches.last().map(|patch| patch.version),
            patches = patches.len(),
            bytes = patches.iter().map(|patch| patch.bytes.len()).sum::<usize>(),
            "deployment sent"
        );
        // A full queue drops the answer, and the ingress asks another instance.
        let _ = tx.try_send(Frame::DeploymentPatches { patches });
    });
}

/// Returns the patches that lead from `known` to the current deployment.
///
/// If this instance no longer has them, the result is the whole document.
fn patches_after(shared: &Shared, known: Option<u64>) -> Option<Vec<Arc<DeploymentPatch>>> {
    let directory = shared.directory.as_ref()?;
    let (patches, document) = {
        let state = shared.driver.state();
        let patches = known.and_then(|known| state.patches_after(known));
        (patches, state.deployment().cloned()?)
    };
    Some(patches.unwrap_or_else(|| vec![directory.whole_document(&document)]))
}
