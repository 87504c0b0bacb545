//! Registrations on their way to the ingresses and the other control instances.
//!
//! Every control instance has to know when each target was last heard, and every ingress what has
//! changed. Many targets report at the same time, above all when no instance knows them any more.
//! An instance therefore collects what they report and sends it together.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::Notify;
use toucanshelf_core::registration::Registration;

use crate::Shared;
use crate::directory::forward_registrations;

/// Minimum time between two transfers.
// Much shorter than the time without a heartbeat after which a target counts as silent.
const TRANSFER_INTERVAL: Duration = Duration::from_millis(100);

/// Latest registration of each target since the last transfer.
#[derive(Debug, Default)]
pub struct Outbox {
    queued: Mutex<BTreeMap<Box<str>, Queued>>,
    ready: Notify,
}

#[derive(Debug)]
struct Queued {
    record: Registration,
    /// Whether data that routing depends on has changed since the last transfer.
    is_changed: bool,
}

/// Registrations for one transfer.
#[derive(Debug, Default)]
pub struct Batch {
    /// Those that have changed, for the ingresses.
    pub changed: Vec<Registration>,
    /// All of them, for the other control instances.
    pub all: Vec<Registration>,
}

impl Outbox {
    /// Creates an empty outbox.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a registration, which replaces an earlier one of the same target.
    ///
    /// `is_changed` tells whether it has changed data that routing depends on.
    pub fn queue(&self, record: Registration, is_changed: bool) {
        let mut queued = self.queued.lock().expect("no lock holder panics");
        let id = record.id.clone();
        let replaced = queued.insert(id.clone(), Queued { record, is_changed });
        if replaced.is_some_and(|replaced| replaced.is_changed)
            && let Some(added) = queued.get_mut(&id)
        {
            added.is_changed = true;
        }
        self.ready.notify_one();
    }

    /// Removes and returns all registrations.
    pub fn take(&self) -> Batch {
        let queued = {
            let mut queued = self.queued.lock().expect("no lock holder panics");
            std::mem::take(&mut *queued)
        };
        let mut batch = Batch::default();
        for Queued { record, is_changed } in queued.into_values() {
            if is_changed {
                batch.changed.push(record.clone());
            }
            batch.all.push(record);
        }
        batch
    }
}

/// Sends what is in the outbox until the process ends.
pub(crate) async fn run(shared: Arc<Shared>) {
    let Some(directory) = &shared.directory else {
        return;
    };
    loop {
        directory.outbox.ready.notified().await;
        let batch = directory.outbox.take();
        if !batch.changed.is_empty() {
            directory.ingresses.push_registrations(&batch.changed);
        }
        if !batch.all.is_empty() {
            forward_registrations(&shared, batch.all);
        }
        tokio::time::sleep(TRANSFER_INTERVAL).await;
    }
}
