//! Sums of the loads that the ingresses report for the engines of one zone.

use std::collections::BTreeMap;

use super::page::PageCursor;
use super::{EngineLoad, EngineTag, LoadPage, LoadReport, MAX_AGE_MS};

/// Number of successive reports of one ingress after which the sums count.
///
/// All ingresses report at the same interval, so that each has reported by then.
const WARM_UP_REPORTS: u32 = 3;

/// Latest reports of one ingress.
#[derive(Clone, Debug)]
struct Reporter {
    /// Number of the link on which they came.
    link: u32,
    /// Sequence number of the latest.
    sequence: u32,
    /// Time of the latest, in milliseconds.
    reported_ms: u64,
    /// Number of reports without a pause of [`MAX_AGE_MS`].
    reports: u32,
    /// Loads, with the time at which each was reported, in milliseconds.
    loads: BTreeMap<EngineTag, (EngineLoad, u64)>,
    /// Position of the next page of sums that this ingress receives.
    cursor: PageCursor,
}

impl Reporter {
    fn new(link: u32) -> Self {
        Self {
            link,
            sequence: 0,
            reported_ms: 0,
            reports: 0,
            loads: BTreeMap::new(),
            cursor: PageCursor::new(),
        }
    }

    fn is_fresh(&self, now: u64) -> bool {
        now.saturating_sub(self.reported_ms) <= MAX_AGE_MS
    }

    fn apply(&mut self, now: u64, report: &LoadReport) {
        if !self.is_fresh(now) {
            self.reports = 0;
            self.loads.clear();
        }
        self.sequence = report.sequence;
        self.reported_ms = now;
        self.reports = self.reports.saturating_add(1);
        self.loads.retain(|tag, _| !report.page.covers(*tag));
        let entries = report.page.entries().iter();
        self.loads
            .extend(entries.map(|(tag, load)| (*tag, (*load, now))));
    }
}

/// Answer to the report of an ingress.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadSums {
    /// Number of the latest report of that ingress which the sums include.
    pub sequence_seen: u32,
    /// Sums over all ingresses, that one included.
    pub page: LoadPage,
}

/// Adds up what the ingresses report of the engines in one zone.
///
/// Times are in milliseconds. Reports that are older than [`MAX_AGE_MS`] don't count.
#[derive(Clone, Debug, Default)]
pub struct LoadCollector {
    /// Reports of each ingress, by its name.
    reporters: BTreeMap<Box<str>, Reporter>,
}

impl LoadCollector {
    /// Creates a collector without reports.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a report that the ingress has sent on its link with the number `link`.
    ///
    /// A link with a higher number replaces earlier links of the ingress, with all that it reported on
    /// them. Returns whether the report is newer than the known ones.
    pub fn record(&mut self, ingress: &str, link: u32, now: u64, report: &LoadReport) -> bool {
        let known = self.reporters.get_mut(ingress);
        match known {
            Some(known) if known.link > link => return false,
            Some(known) if known.link == link => {
                if report.sequence <= known.sequence {
                    return false;
                }
                known.apply(now, report);
            }
            _ => {
                let mut reporter = Reporter::new(link);
                reporter.apply(now, report);
                self.reporters.insert(ingress.into(), reporter);
            }
        }
        true
    }

    /// Forgets an ingress whose link has closed, unless it has a newer one.
    pub fn forget(&mut self, ingress: &str, link: u32) {
        if self.reporters.get(ingress).map(|known| known.link) == Some(link) {
            self.reporters.remove(ingress);
        }
    }

    /// Returns whether there are no reports at all.
    pub fn is_empty(&self) -> bool {
        self.reporters.is_empty()
    }

    /// Returns the load of each engine by all ingresses, in the order of the tags.
    pub fn sums(&self, now: u64) -> Vec<(EngineTag, EngineLoad)> {
        self.sum_by_tag(now).into_iter().collect()
    }

    fn sum_by_tag(&self, now: u64) -> BTreeMap<EngineTag, EngineLoad> {
        let mut sums: BTreeMap<EngineTag, EngineLoad> = BTreeMap::new();
        let fresh = self.reporters.values().filter(|known| known.is_fresh(now));
        for (tag, (load, reported_ms)) in fresh.flat_map(|known| &known.loads) {
            if now.saturating_sub(*reported_ms) <= MAX_AGE_MS {
                *sums.entry(*tag).or_default() += *load;
            }
        }
        sums
    }

    /// Returns the sums with which a report of the ingress is answered.
    ///
    /// Returns `None` if it has not reported, or if this collector has begun so recently that other
    /// ingresses may not have reported yet.
    pub fn answer(&mut self, ingress: &str, now: u64) -> Option<LoadSums> {
        let mut fresh = self.reporters.values().filter(|known| known.is_fresh(now));
        if !fresh.any(|known| known.reports >= WARM_UP_REPORTS) {
            return None;
        }
        let sums = self.sum_by_tag(now);
        let reporter = self.reporters.get_mut(ingress)?;
        Some(LoadSums {
            sequence_seen: reporter.sequence,
            page: reporter.cursor.next_page(&sums),
        })
    }
}
