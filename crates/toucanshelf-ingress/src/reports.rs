//! Fetches and caches the reports of engines when streams stall.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::Mutex as AsyncMutex;
use tokio::time::Instant;
use toucanshelf_link::dialect::EngineReport;
use toucanshelf_link::exchange::exchange;

use crate::shared::Shared;

/// Time within which an engine must send its report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum age of a report that is shared with other streams.
const MAX_REPORT_AGE: Duration = Duration::from_millis(120);

/// Result of a report call; the report is `None` if the engine didn't answer.
#[derive(Clone, Debug)]
struct CachedReport {
    fetched_at: Instant,
    report: Option<Arc<EngineReport>>,
}

/// Latest report of one engine, locked while a new one is fetched.
type Slot = Arc<AsyncMutex<Option<CachedReport>>>;

/// Cache of the latest report of each engine, by address.
#[derive(Debug, Default)]
pub struct Reports {
    slots: Mutex<HashMap<SocketAddr, Slot>>,
}

impl Reports {
    /// Creates an empty cache.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns a recent report of an engine; `None` if it doesn't answer.
    ///
    /// Streams that request a report at the same time share one call.
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
