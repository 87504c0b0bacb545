//! Budget of repeated sends that all ingress instances of a system share.

/// Time that one bucket counts, in milliseconds.
const BUCKET_MS: u64 = 1_000;
/// Share of the allowance that is used; the rest covers counts that are not yet known.
const USED_SHARE: f64 = 0.8;

/// Bounds on repeated sends to one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetLimits {
    /// Repeated sends allowed for each request in the window.
    pub ratio: f64,
    /// Repeated sends allowed beyond that, over all instances.
    pub slack: f64,
    /// Length of the window, in milliseconds.
    pub window_ms: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
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
    /// Creates an empty count.
    pub fn new(limits: BudgetLimits) -> Self {
        // One more bucket than the window has, so that a whole window is always counted.
        let count = limits.window_ms.div_ceil(BUCKET_MS) as usize + 1;
        Self {
            limits,
            buckets: vec![Bucket::default(); count],
        }
    }

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

    /// Counts a request.
    pub fn count_request(&mut self, now: u64) {
        self.bucket(now).requests += 1;
    }

    /// Whether this instance's part of the budget has a repeated send left.
    pub fn has_repeat(&self, now: u64, instances: u32) -> bool {
        let oldest = (now / BUCKET_MS).saturating_sub(self.buckets.len() as u64 - 1);
        let recent = self.buckets.iter().filter(|bucket| bucket.period >= oldest);
        let (requests, repeats) = recent.fold((0, 0), |(requests, repeats), bucket| {
            (requests + bucket.requests, repeats + bucket.repeats)
        });
        let slack = self.limits.slack / f64::from(instances.max(1));
        let allowed = USED_SHARE * (self.limits.ratio * f64::from(requests) + slack);
        f64::from(repeats) + 1.0 <= allowed
    }

    /// Takes one repeated send, if there is one left.
    pub fn take_repeat(&mut self, now: u64, instances: u32) -> bool {
        let taken = self.has_repeat(now, instances);
        if taken {
            self.bucket(now).repeats += 1;
        }
        taken
    }
}
