//! What an ingress knows of the load of a zone's engines by the other ingresses.

use std::collections::{BTreeMap, HashMap, VecDeque};

use super::page::PageCursor;
use super::{EngineLoad, EngineTag, LoadPage, LoadReport, MAX_AGE_MS, OthersLoad};

/// Time for which own reports are kept, in milliseconds.
///
/// An answer that counts is at most [`MAX_AGE_MS`] younger than its report, and may contain reports
/// that were sent as long before that one.
const REPORT_RETENTION_MS: u64 = 2 * MAX_AGE_MS;

/// A report of this ingress and the time at which it was made, in milliseconds.
#[derive(Clone, Debug)]
struct SentReport {
    report: LoadReport,
    sent_ms: u64,
}

/// Load of an engine as of a report of this ingress.
#[derive(Clone, Copy, Debug)]
struct KnownLoad {
    /// Load by the other ingresses.
    others: EngineLoad,
    /// Load by this ingress, as reported.
    own: EngineLoad,
    /// Time of the report, in milliseconds.
    as_of_ms: u64,
}

/// Reports of one ingress for a zone, and the loads by other ingresses that it was told.
///
/// Times are in milliseconds.
#[derive(Clone, Debug)]
pub struct KnownLoads {
    /// Number of the latest report.
    sequence: u32,
    cursor: PageCursor,
    sent: VecDeque<SentReport>,
    /// Highest number of a report that was answered.
    answered: u32,
    /// Loads of the engines that the sums name.
    loads: HashMap<EngineTag, KnownLoad>,
    /// Answers that began at the first tag: the time of the first one, and the last tag so far.
    sweep: Option<(u64, EngineTag)>,
    /// Time of the report that was answered with the first page of the latest complete sweep.
    complete_ms: Option<u64>,
}

impl Default for KnownLoads {
    fn default() -> Self {
        Self::new()
    }
}

impl KnownLoads {
    /// Creates a state without reports and loads.
    pub fn new() -> Self {
        Self {
            sequence: 0,
            cursor: PageCursor::new(),
            sent: VecDeque::new(),
            answered: 0,
            loads: HashMap::new(),
            sweep: None,
            complete_ms: None,
        }
    }

    /// Makes the next report from the present loads of all engines by this ingress.
    pub fn begin_report(
        &mut self,
        now: u64,
        entries: impl IntoIterator<Item = (EngineTag, EngineLoad)>,
    ) -> LoadReport {
        let mut loads: BTreeMap<EngineTag, EngineLoad> = BTreeMap::new();
        for (tag, load) in entries {
            *loads.entry(tag).or_default() += load;
        }
        self.sequence += 1;
        let report = LoadReport {
            sequence: self.sequence,
            page: self.cursor.next_page(&loads),
        };
        let is_old = |sent: &SentReport| now.saturating_sub(sent.sent_ms) > REPORT_RETENTION_MS;
        while self.sent.front().is_some_and(is_old) {
            self.sent.pop_front();
        }
        self.sent.push_back(SentReport {
            report: report.clone(),
            sent_ms: now,
        });
        report
    }

    /// Records sums that contain the reports of this ingress up to the number `sequence`.
    ///
    /// 0 stands for none of them. Returns `false`, and changes nothing, if later sums are known or the
    /// report was made too long ago.
    pub fn record_sums(&mut self, now: u64, sequence: u32, page: &LoadPage) -> bool {
        let known = self.sent.iter().map(|sent| &sent.report.sequence);
        let known = known.rev().position(|known| *known == sequence);
        let as_of_ms = match known {
            Some(i) => self.sent[self.sent.len() - 1 - i].sent_ms,
            None if sequence == 0 => now,
            None => return false,
        };
        if sequence < self.answered {
            return false;
        }
        self.answered = sequence;
        self.loads.retain(|tag, _| !page.covers(*tag));
        for (tag, sum) in page.entries() {
            let own = self.own_part(*tag, sequence);
            let load = KnownLoad {
                others: sum.without(own),
                own,
                as_of_ms,
            };
            self.loads.insert(*tag, load);
        }
        self.continue_sweep(as_of_ms, page);
        true
    }

    /// Returns the load of an engine by this ingress, as of its report with the number `sequence`.
    fn own_part(&self, tag: EngineTag, sequence: u32) -> EngineLoad {
        let sent = self.sent.iter().rev().map(|sent| &sent.report);
        let mut contained = sent.filter(|report| report.sequence <= sequence);
        let load = contained.find_map(|report| report.page.load(tag));
        load.unwrap_or_default()
    }

    /// Records that all tags were told, if `page` ends a series of pages that began at the first one.
    fn continue_sweep(&mut self, as_of_ms: u64, page: &LoadPage) {
        let (first, last) = page.range();
        let began_ms = match self.sweep {
            _ if first.0 == 0 => Some(as_of_ms),
            Some((began_ms, before)) if before.0.checked_add(1) == Some(first.0) => Some(began_ms),
            _ => None,
        };
        self.sweep = began_ms.map(|began_ms| (began_ms, last));
        if last.0 == u32::MAX && began_ms.is_some() {
            self.complete_ms = began_ms;
        }
    }

    /// Returns the load of an engine by the other ingresses.
    ///
    /// Returns `None` if it is unknown or older than [`MAX_AGE_MS`].
    pub fn others(&self, tag: EngineTag, now: u64) -> Option<OthersLoad> {
        let known = match self.loads.get(&tag) {
            Some(known) => *known,
            // An engine that the sums don't name has no load.
            None => KnownLoad {
                others: EngineLoad::default(),
                own: EngineLoad::default(),
                as_of_ms: self.complete_ms?,
            },
        };
        let age_ms = now.saturating_sub(known.as_of_ms);
        (age_ms <= MAX_AGE_MS).then_some(OthersLoad {
            load: known.others,
            own: known.own,
            age_ms,
        })
    }

    /// Returns whether the loads of all engines are known and not older than [`MAX_AGE_MS`].
    pub fn is_fresh(&self, now: u64) -> bool {
        self.complete_ms
            .is_some_and(|as_of_ms| now.saturating_sub(as_of_ms) <= MAX_AGE_MS)
    }
}
