//! Notices that this ingress is linked to no control instance.
//!
//! Such an ingress serves with the deployment that it has, and hears of no newer one.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::shared::Shared;

/// Interval at which the links are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time without a link until it is logged.
///
/// The next line follows when that time has doubled.
const FIRST_REPORT_AFTER: Duration = Duration::from_secs(2);

/// Time for which no control instance has been linked, and what was logged of it.
#[derive(Debug)]
struct Unlinked {
    since: Instant,
    next_report: Duration,
}

/// Watches the links to the control instances until the process ends.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut checks = tokio::time::interval(CHECK_INTERVAL);
    let mut unlinked: Option<Unlinked> = None;
    loop {
        checks.tick().await;
        if shared.control.open() > 0 {
            if let Some(ended) = unlinked.take() {
                record_linked(&shared, &ended);
            }
            continue;
        }
        let unlinked = unlinked.get_or_insert_with(|| Unlinked {
            since: Instant::now(),
            next_report: FIRST_REPORT_AFTER,
        });
        record_unlinked(&shared, unlinked);
    }
}

fn record_unlinked(shared: &Shared, unlinked: &mut Unlinked) {
    let elapsed = unlinked.since.elapsed();
    shared
        .metrics
        .unlinked_seconds
        .set(elapsed.as_secs() as i64);
    if elapsed < unlinked.next_report {
        return;
    }
    unlinked.next_report = elapsed * 2;
    tracing::warn!(
        event = "TS4108",
        ms = elapsed.as_millis() as u64,
        version = shared.version(),
        tried = ?shared.control.known(),
        "no control instance is linked"
    );
}

fn record_linked(shared: &Shared, unlinked: &Unlinked) {
    shared.metrics.unlinked_seconds.set(0);
    if unlinked.next_report > FIRST_REPORT_AFTER {
        tracing::info!(
            event = "TS4109",
            ms = unlinked.since.elapsed().as_millis() as u64,
            version = shared.version(),
            "linked to control again"
        );
    }
}
