//! Fetches and caches the state reports of engines.
//!
//! An engine is a target that runs layers of a model. Its report names the requests that wait for
//! an unresponsive engine, and the ingress fetches it when a stream receives no events.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::Mutex as AsyncMutex;
use tokio::time::Instant;
use toucanshelf_link::dialect::EngineReport;
use toucanshelf_link::exchange::exchange;

use crate::shared::Shared;

/// Time within which an engine must answer a request for its report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);
/// Age after which a cached report is fetched again.
const MAX_REPORT_AGE: Duration = Duration::from_millis(120);

/// Result of fetching a report.
///
/// `report` is `None` if the engine sent no valid report in time.
#[derive(Clone, Debug)]
struct CachedReport {
    fetched_at: Instant,
    report: Option<Arc<EngineReport>>,
}

/// Cache entry for one engine, locked while a new report is fetched.
type Slot = Arc<AsyncMutex<Option<CachedReport>>>;

/// Cache of the latest report of each engine, by the engine's address.
#[derive(Debug, Default)]
pub struct Reports {
    slots: Mutex<HashMap<SocketAddr, Slot>>,
}

impl Reports {
    /// Creates an empty cache.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the report of the engine at `address`, at most `MAX_REPORT_AGE` old.
    ///
    /// Returns `None` if the engine sends no valid report in time. Streams that need the same
    /// report at the same time share one call to the engine.
    pub async fn get(&self, shared: &Shared, address: SocketAddr) -> Option<Arc<EngineReport>> {
        let slot = {
            let mut slots = self.slots.lock().expect("no holder panics");
            Arc::clone(slots.entry(address).or_default())
        };
        let mut cached = slot.lock().await;
        if let Some(cached) = cached.as_ref()
            && cached.fetched_at.elapsed() < MAX_REPORT_AGE
        {
            return cached.report.clone();
        }
        let report = fetch_report(shared, address).await.map(Arc::new);
        *cached = Some(CachedReport {
            fetched_at: Instant::now(),
            report: report.clone(),
        });
        report
    }
}

async fn fetch_report(shared: &Shared, address: SocketAddr) -> Option<EngineReport> {
    let call = shared.dialect.report_call();
    let response = exchange(address, call, REPORT_TIMEOUT).await;
    let decoded = response.map_err(|e| e.to_string()).and_then(|response| {
        shared
            .dialect
            .report(response.body())
            .map_err(|e| e.to_string())
    });
    match decoded {
        Ok(report) => Some(report),
        Err(cause) => {
            tracing::info!(event = "TS4304", %address, %cause, "fetching the engine report failed");
            None
        }
    }
}
