//! Collects the loads that ingresses report for engines, by availability zone.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard};

use toucanshelf_link::frame::Frame;
use toucanshelf_link::link::Link;
use toucanshelf_routing::load_exchange::{LoadCollector, LoadPage, LoadReport};

/// Collectors of the zones for which ingresses report to this instance.
#[derive(Debug, Default)]
pub(crate) struct ZoneCollectors {
    by_zone: Mutex<BTreeMap<Box<str>, LoadCollector>>,
}

impl ZoneCollectors {
    fn by_zone(&self) -> MutexGuard<'_, BTreeMap<Box<str>, LoadCollector>> {
        self.by_zone.lock().expect("no lock holder panics")
    }

    /// Records a report that came on the link with the number `id`, and answers it.
    ///
    /// One that is outdated isn't answered. `now` is in milliseconds.
    pub(crate) fn handle_report(
        &self,
        link: &Link,
        id: u32,
        now: u64,
        zone: Box<str>,
        sequence: u32,
        entries: &[u8],
    ) {
        let ingress = &*link.peer.name;
        let page = match LoadPage::decode(entries) {
            Ok(page) => page,
            Err(e) => {
                tracing::warn!(event = "TS2528", ingress, zone, sequence, cause = %e, "load report dropped");
                return;
            }
        };
        let mut by_zone = self.by_zone();
        let collector = by_zone.entry(zone.clone()).or_default();
        if !collector.record(ingress, id, now, &LoadReport { sequence, page }) {
            return;
        }
        let Some(sums) = collector.answer(ingress, now) else {
            return;
        };
        let frame = Frame::ZoneLoads {
            zone,
            sequence_seen: sums.sequence_seen,
            entries: sums.page.encode().into(),
        };
        // A full queue drops the answer, and the next report is answered as well.
        let _ = link.tx.try_send(frame);
    }

    /// Forgets what an ingress has reported on the link with the number `id`, which has closed.
    pub(crate) fn forget(&self, ingress: &str, id: u32) {
        self.by_zone().retain(|_, collector| {
            collector.forget(ingress, id);
            !collector.is_empty()
        });
    }
}
