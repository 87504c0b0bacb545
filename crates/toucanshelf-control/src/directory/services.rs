//! Services of the deployment, for which the registry uses registrations.

use std::sync::Arc;

use crate::Shared;

/// Tells the registry of the services of each deployment that this instance applies.
pub(crate) async fn follow_deployment(shared: Arc<Shared>) {
    let mut versions = shared.driver.deployment_versions();
    loop {
        versions.borrow_and_update();
        set_services(&shared);
        // The version's sender is dropped with the state that all tasks share.
        if versions.changed().await.is_err() {
            return;
        }
    }
}

fn set_services(shared: &Shared) {
    let Some(directory) = &shared.directory else {
        return;
    };
    let document = shared.driver.state().deployment().cloned();
    let deployment = document.and_then(|document| directory.decode(&document));
    let Some(deployment) = deployment else {
        return;
    };
    let names = deployment.service_names();
    let entered = directory.registry().set_services(names, directory.now());
    for record in entered {
        tracing::info!(
            event = "TS2530",
            target_id = %record.id,
            service = %record.service,
            version = deployment.version,
            "service of a registered target deployed"
        );
    }
}
