//! Budget of repeated sends that is divided between the ingress instances of a system.

/// Length of the period that one bucket counts, in milliseconds.
const BUCKET_MS: u64 = 1_000;
/// Share of the budget that may be used.
///
/// The rest covers counts that are not yet known.
const USABLE_SHARE: f64 = 0.8;

/// Limits on repeated sends to one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetLimits {
    /// Number of repeated sends allowed for each request in the window.
    pub ratio: f64,
    /// Number of additional repeated sends in the window, over all instances.
    pub slack: f64,
    /// Length of the window, in milliseconds.
    pub window_ms: u64,
}

/// Requests and repeated sends counted in one period.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    /// Number of the period since time 0, in units of `BUCKET_MS`.
    period: u64,
    requests: u32,
    repeats: u32,
}

/// Counts requests and repeated sends over a sliding window.
#[derive(Clone, Debug)]
pub struct RepeatBudget {
    limits: BudgetLimits,
    buckets: Vec<Bucket>,
}

impl RepeatBudget {
    /// Creates a budget without any counts.
    pub fn new(limits: BudgetLimits) -> Self {
        // The current bucket is only partly filled, so one more covers the whole window.
        let count = limits.window_ms.div_ceil(BUCKET_MS) as usize + 1;
        Self {
            limits,
            buckets: vec![Bucket::default(); count],
        }
    }

    /// Returns the bucket of the current period, cleared if it held an older one.
    fn bucket(&mut self, now: u64) -> &mut Bucket {
        let period = now / BUCKET_MS;
        let count = self.buckets.len() as u64;
        let bucket = &mut self.buckets[(period % count) as usize];
        if bucket.period != period {
            *bucket = Bucket {
                period,
                ..Bucket::default()
            };
        }
        bucket
    }

    /// Counts a request at the time `now`, in milliseconds.
    pub fn count_request(&mut self, now: u64) {
        self.bucket(now).requests += 1;
    }

    /// Whether this instance's part of the budget allows another repeated send.
    pub fn has_repeat(&self, now: u64, instances: u32) -> bool {
        let oldest = (now / BUCKET_MS).saturating_sub(self.buckets.len() as u64 - 1);
        let recent = self.buckets.iter().filter(|bucket| bucket.period >= oldest);
        let (requests, repeats) = recent.fold((0, 0), |(requests, repeats), bucket| {
            (requests + bucket.requests, repeats + bucket.repeats)
        });
        let slack = self.limits.slack / f64::from(instances.max(1));
        let allowed = USABLE_SHARE * (self.limits.ratio * f64::from(requests) + slack);
        f64::from(repeats) + 1.0 <= allowed
    }

    /// Takes one repeated send from the budget; returns false if none is left.
    pub fn take_repeat(&mut self, now: u64, instances: u32) -> bool {
        let taken = self.has_repeat(now, instances);
        if taken {
            self.bucket(now).repeats += 1;
        }
        taken
    }
}
