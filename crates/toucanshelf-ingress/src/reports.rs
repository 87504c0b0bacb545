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
use toucanshelf_link::dialect::{EngineInstance, EngineReport};
use toucanshelf_link::engine_report::fetch_report;

use crate::shared::Shared;

/// Time within which an engine must answer a request for its report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);
/// Age after which a cached report is fetched again.
const MAX_REPORT_AGE: Duration = Duration::from_millis(120);

/// Result of fetching a report.
///
/// `report` is `None` if this incarnation of the engine sent no valid report in time.
#[derive(Clone, Debug)]
struct CachedReport {
    /// Engine that was asked; another one may have had the same address before.
    engine: EngineInstance,
    fetched_at: Instant,
    report: Option<Arc<EngineReport>>,
}

/// Cache entry for one address, locked while a new report is fetched.
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

    /// Returns the report of an engine, at most `MAX_REPORT_AGE` old.
    ///
    /// Returns `None` if the engine sends no valid report in time, or if another engine or
    /// incarnation answers. Streams that need the same report at the same time share one call to
    /// the engine.
    pub async fn get(&self, shared: &Shared, engine: &EngineInstance) -> Option<Arc<EngineReport>> {
        let slot = {
            let mut slots = self.slots.lock().expect("no holder panics");
            Arc::clone(slots.entry(engine.address).or_default())
        };
        let mut cached = slot.lock().await;
        if let Some(cached) = cached.as_ref()
            && cached.engine == *engine
            && cached.fetched_at.elapsed() < MAX_REPORT_AGE
        {
            return cached.report.clone();
        }
        let report = fetch(shared, engine).await.map(Arc::new);
        *cached = Some(CachedReport {
            engine: engine.clone(),
            fetched_at: Instant::now(),
            report: report.clone(),
        });
        report
    }
}

async fn fetch(shared: &Shared, engine: &EngineInstance) -> Option<EngineReport> {
    match fetch_report(&*shared.dialect, engine, REPORT_TIMEOUT).await {
        Ok(report) => Some(report),
        Err(cause) => {
            let address = engine.address;
            tracing::info!(event = "TS4304", target_id = %engine.id, %address, %cause, "fetching the engine report failed");
            None
        }
    }
}
