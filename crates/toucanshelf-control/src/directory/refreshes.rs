//! Heartbeats that change nothing, on their way to the other control instances.
//!
//! Every instance has to know when each target was last heard. A heartbeat that changes nothing may
//! arrive late, so an instance collects those of all targets and forwards them together.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use toucanshelf_core::registration::Registration;

use crate::Shared;
use crate::directory::forward_registrations;

/// Interval between transfers of collected heartbeats.
// Much shorter than the time without a heartbeat after which a target counts as silent.
const FORWARD_INTERVAL: Duration = Duration::from_millis(100);

/// Latest unchanged registration of each target since the last transfer.
#[derive(Debug, Default)]
pub struct Refreshes {
    queued: Mutex<BTreeMap<Box<str>, Registration>>,
}

impl Refreshes {
    /// Creates an empty collection.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a registration, which replaces an earlier one of the same target.
    pub fn queue(&self, record: Registration) {
        let mut queued = self.queued.lock().expect("no lock holder panics");
        queued.insert(record.id.clone(), record);
    }

    /// Removes and returns all registrations.
    pub fn take(&self) -> Vec<Registration> {
        let mut queued = self.queued.lock().expect("no lock holder panics");
        std::mem::take(&mut *queued).into_values().collect()
    }
}

/// Forwards collected heartbeats to the other control instances until the process ends.
pub(crate) async fn forward(shared: Arc<Shared>) {
    let Some(directory) = &shared.directory else {
        return;
    };
    let mut ticks = tokio::time::interval(FORWARD_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let records = directory.refreshes.take();
        if !records.is_empty() {
            forward_registrations(&shared, records);
        }
    }
}
