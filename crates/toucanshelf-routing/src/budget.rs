//! Budget of repeated sends, divided between the ingress instances of a system.
//!
//! A repeated send is any send of a request after its first one. Each ingress instance counts its
//! own requests and repeated sends to a service, and allows the latter in proportion to the former.

/// Length of the period whose counts one [`Bucket`] holds, in milliseconds.
const BUCKET_MS: u64 = 1_000;
/// Share of the calculated budget that an instance may use.
///
/// The rest is a margin for counts that are not yet known, such as a new number of ingress
/// instances.
const USABLE_SHARE: f64 = 0.8;

/// Limits on repeated sends to one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetLimits {
    /// Number of repeated sends allowed for each request counted in the window.
    pub ratio: f64,
    /// Number of repeated sends allowed in each window regardless of the requests.
    ///
    /// It is divided evenly among the ingress instances.
    pub slack: f64,
    /// Length of the sliding window over which sends are counted, in milliseconds.
    pub window_ms: u64,
}

/// Requests and repeated sends counted in one period of [`BUCKET_MS`].
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    /// Index of the period, where period 0 starts at time 0.
    period: u64,
    requests: u32,
    repeats: u32,
}

/// Limits the repeated sends of one instance to one service.
#[derive(Clone, Debug)]
pub struct RepeatBudget {
    limits: BudgetLimits,
    /// Time from which the slack may be used, in milliseconds.
    slack_from: u64,
    buckets: Vec<Bucket>,
}

impl RepeatBudget {
    /// Creates a budget that has counted no requests or repeated sends.
    pub fn new(limits: BudgetLimits) -> Self {
        // The window ends within the current period and so usually begins within an older one. To
        // include both, it needs one bucket more than its length in periods.
        let count = limits.window_ms.div_ceil(BUCKET_MS) as usize + 1;
        Self {
            limits,
            slack_from: 0,
            buckets: vec![Bucket::default(); count],
        }
    }

    /// Allows the slack only from a time on, in milliseconds.
    ///
    /// An instance that restarts doesn't know what it has spent before.
    #[must_use]
    pub fn with_slack_from(self, slack_from: u64) -> Self {
        Self { slack_from, ..self }
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
    ///
    /// `now` is in milliseconds, and `instances` is the number of ingress instances.
    pub fn has_repeat(&self, now: u64, instances: u32) -> bool {
        let oldest = (now / BUCKET_MS).saturating_sub(self.buckets.len() as u64 - 1);
        let recent = self.buckets.iter().filter(|bucket| bucket.period >= oldest);
        let (requests, repeats) = recent.fold((0, 0), |(requests, repeats), bucket| {
            (requests + bucket.requests, repeats + bucket.repeats)
        });
        let slack = if now < self.slack_from {
            0.0
        } else {
            self.limits.slack / f64::from(instances.max(1))
        };
        let allowed = USABLE_SHARE * (self.limits.ratio * f64::from(requests) + slack);
        f64::from(repeats) + 1.0 <= allowed
    }

    /// Counts one repeated send; returns false if the budget allows none.
    ///
    /// `now` is in milliseconds, and `instances` is the number of ingress instances.
    pub fn take_repeat(&mut self, now: u64, instances: u32) -> bool {
        let taken = self.has_repeat(now, instances);
        if taken {
            self.bucket(now).repeats += 1;
        }
        taken
    }
}
