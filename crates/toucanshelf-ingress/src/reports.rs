//! Reports of engines, asked for when a stream stalls.

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
/// Age up to which a report serves other streams, too.
const REPORT_AGE: Duration = Duration::from_millis(120);

#[derive(Clone, Debug)]
struct Known {
    at: Instant,
    report: Option<Arc<EngineReport>>,
}

type Slot = Arc<AsyncMutex<Option<Known>>>;

/// Latest reports by address.
#[derive(Debug, Default)]
pub struct Reports {
    slots: Mutex<HashMap<SocketAddr, Slot>>,
}

impl Reports {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// A fresh report of the engine at `address`; none where it does not answer.
    ///
    /// Streams that ask at the same time share one report.
    pub async fn get(&self, shared: &Shared, address: SocketAddr) -> Option<Arc<EngineReport>> {
        let slot = {
            let mut slots = self.slots.lock().expect("no holder panics");
            Arc::clone(slots.entry(address).or_default())
        };
        let mut known = slot.lock().await;
        if let Some(known) = known.as_ref()
            && known.at.elapsed() < REPORT_AGE
        {
            return known.report.clone();
        }
        let report = fetch(shared, address).await.map(Arc::new);
        *known = Some(Known {
            at: Instant::now(),
            report: report.clone(),
        });
        report
    }
}

async fn fetch(shared: &Shared, address: SocketAddr) -> Option<EngineReport> {
    let call = shared.dialect.report_call();
    let answer = exchange(address, call, REPORT_TIMEOUT).await;
    let decoded = answer.map_err(|e| e.to_string()).and_then(|answer| {
        shared
            .dialect
            .report(answer.body())
            .map_err(|e| e.to_string())
    });
    match decoded {
        Ok(report) => Some(report),
        Err(cause) => {
            tracing::info!(event = "TS4304", %address, %cause, "no report");
            None
        }
    }
}
