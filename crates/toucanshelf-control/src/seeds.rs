//! Finds the other control instances again when no leader is heard.
//!
//! All instances that this one knows may have been replaced while it was out of reach. Their
//! successors call it if they know its address; otherwise the settings file may name them.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::MissedTickBehavior;
use toucanshelf_runtime::settings::SettingsReader;
use toucanshelf_runtime::shutdown;

use crate::Shared;
use crate::settings::ControlSettings;

/// Interval at which the settings are read again while no leader is heard.
const READ_INTERVAL: Duration = Duration::from_millis(500);

/// Opens links to instances that the settings file names, until the process ends.
///
/// The file is read while no leader is heard, and after a SIGHUP.
pub(crate) async fn run(shared: Arc<Shared>) {
    let file = shared.settings.file.clone();
    let mut reader = SettingsReader::<ControlSettings>::new(file);
    let mut reloads = shutdown::reload_signals();
    let mut ticks = tokio::time::interval(READ_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                if shared.driver.status().current {
                    continue;
                }
            }
            Some(()) = reloads.recv() => {}
        }
        let Some(settings) = reader.read().await else {
            continue;
        };
        let members = shared.peers.members();
        let links = settings.known_links().into_iter();
        for address in links.filter(|address| !members.contains(address)) {
            tracing::info!(event = "TS2205", %address, "control instance in the settings file");
            shared.peers.add_address(&shared, address);
        }
    }
}
