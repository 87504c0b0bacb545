//! Exchange of the loads of engines with the other ingresses, through control instances.
//!
//! The collector of a zone is the control instance that adds up what all ingresses report of the
//! zone's engines. It answers each report with the sums.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{MissedTickBehavior, interval};
use toucanshelf_link::frame::Frame;
use toucanshelf_routing::load_exchange::{LoadPage, MAX_AGE_MS};

use crate::shared::Shared;

/// Starts the exchange, if the settings name its interval.
pub(crate) fn start(shared: &Arc<Shared>) {
    if let Some(interval_ms) = shared.settings.load_exchange_ms {
        let interval = Duration::from_millis(interval_ms);
        tokio::spawn(run(Arc::clone(shared), interval));
    }
}

async fn run(shared: Arc<Shared>, period: Duration) {
    let mut ticks = interval(period);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut dependency = ExchangeState::new(shared.now());
    loop {
        ticks.tick().await;
        let now = shared.now();
        report(&shared, now);
        dependency.update(now, shared.targets().knows_zone_loads(now));
    }
}

/// Reports this ingress's requests at engines to the collectors of their zones.
fn report(shared: &Shared, now: u64) {
    let reports = shared.targets().begin_load_reports(now);
    for (zone, report) in reports {
        let frame = Frame::LoadReport {
            zone: zone.clone(),
            sequence: report.sequence,
            entries: report.page.encode().into(),
        };
        if shared.control.send_to_collector(&zone, frame) {
            let messages = &shared.metrics.load_messages;
            messages.with_label_values(&["report"]).inc();
        }
    }
}

/// Handles the answer of a collector, which contains the reports up to `sequence`.
pub(crate) fn handle_sums(shared: &Shared, zone: &str, sequence: u32, entries: &[u8]) {
    let messages = &shared.metrics.load_messages;
    messages.with_label_values(&["answer"]).inc();
    let page = match LoadPage::decode(entries) {
        Ok(page) => page,
        Err(e) => {
            tracing::warn!(event = "TS4115", zone, sequence, cause = %e, "sums of loads dropped");
            return;
        }
    };
    let now = shared.now();
    let is_new = shared
        .targets()
        .record_zone_loads(zone, now, sequence, &page);
    if !is_new {
        tracing::debug!(event = "TS4116", zone, sequence, "outdated sums of loads");
    }
}

/// Whether the loads in the zone of this ingress are known, as last logged.
#[derive(Debug)]
struct ExchangeState {
    is_lost: bool,
    /// Time at which the loads were last known or the exchange began, in milliseconds.
    known_ms: u64,
}

impl ExchangeState {
    fn new(now: u64) -> Self {
        Self {
            is_lost: false,
            known_ms: now,
        }
    }

    /// Logs that the exchange is lost or regained.
    fn update(&mut self, now: u64, is_known: bool) {
        let unknown_ms = now.saturating_sub(self.known_ms);
        if is_known {
            if self.is_lost {
                tracing::info!(
                    event = "TS4114",
                    unknown_ms,
                    "loads of engines are known again"
                );
            }
            (self.is_lost, self.known_ms) = (false, now);
        } else if !self.is_lost && unknown_ms > MAX_AGE_MS {
            self.is_lost = true;
            tracing::warn!(
                event = "TS4113",
                unknown_ms,
                "loads by other ingresses are unknown; they are guessed from own requests"
            );
        }
    }
}
