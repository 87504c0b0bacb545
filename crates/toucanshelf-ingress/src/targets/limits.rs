//! Limits that targets name in their answers, and the time for which a target lacks a permit.

use std::time::Duration;

use toucanshelf_routing::permits::{Permit, PermitBucket};

use super::{Target, TargetKey, Targets};

/// Limit on the requests that a target accepts from all ingresses together.
#[derive(Clone, Copy, Debug)]
pub(super) struct TargetLimit {
    /// Requests a second.
    rate: f64,
    /// Time since the start of the ingress at which an answer last named the limit.
    named: Duration,
    /// Time until which the target isn't chosen for lack of a permit.
    ///
    /// In milliseconds since the ingress started.
    pub(super) deferred_until: u64,
    /// Permits of this ingress for the time in which no control instance issues them.
    own_share: PermitBucket,
}

/// Change of a target's limit, in requests a second; `None` stands for no limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitChange {
    /// Limit that applied until now.
    pub before: Option<f64>,
    /// Limit that applies from now on.
    pub after: Option<f64>,
}

impl Targets {
    /// Records which limit an answer of the target `id` names, if any.
    ///
    /// `sent` and `now` are the times of the request and of the answer, since the ingress started. An
    /// answer without a limit ends it, unless the request was sent before the limit was last named.
    /// Returns the change, or `None` if the limit stays the same.
    pub fn record_limit(
        &mut self,
        id: &str,
        rate: Option<f64>,
        sent: Duration,
        now: Duration,
    ) -> Option<LimitChange> {
        let key = *self.by_id.get(id)?;
        let target = self.arena.get_mut(key)?;
        let known = target.limit;
        match (rate, known) {
            (Some(rate), _) => {
                let new = TargetLimit {
                    rate,
                    named: now,
                    deferred_until: 0,
                    own_share: PermitBucket::new(now.as_millis() as u64, 0.0),
                };
                let limit = target.limit.get_or_insert(new);
                (limit.rate, limit.named) = (rate, now);
            }
            (None, Some(known)) if sent >= known.named => target.limit = None,
            (None, _) => return None,
        }
        let (before, after) = (known.map(|limit| limit.rate), rate);
        (before != after).then_some(LimitChange { before, after })
    }

    /// Returns the identity of a target that names a limit, and that limit in requests a second.
    pub fn limit(&self, key: TargetKey) -> Option<(Box<str>, f64)> {
        let target = self.arena.get(key)?;
        let limit = target.limit?;
        Some((target.record.id.clone(), limit.rate))
    }

    /// Keeps a target from being chosen until a time, in milliseconds, for lack of a permit.
    pub fn defer(&mut self, key: TargetKey, until: u64) {
        if let Some(limit) = self.limit_mut(key) {
            limit.deferred_until = until;
        }
    }

    /// Issues a permit for a limited target at `rate` a second, in place of a control instance.
    pub fn ask_own_share(&mut self, key: TargetKey, now: u64, rate: f64) -> Permit {
        let limit = self.limit_mut(key);
        limit.map_or(Permit::Granted, |limit| limit.own_share.ask(now, rate))
    }

    fn limit_mut(&mut self, key: TargetKey) -> Option<&mut TargetLimit> {
        self.arena.get_mut(key)?.limit.as_mut()
    }

    /// Returns the time until a target of `service` may be chosen, in milliseconds.
    ///
    /// Returns `None` if some target that could receive a request now lacks no permit and wants
    /// requests. `now` is in milliseconds.
    pub fn permit_wait_ms(&self, service: &str, now: u64) -> Option<u64> {
        let receives = |target: &Target| {
            let layers = target.record.layers;
            &*target.record.service == service
                && target.is_usable(now)
                && (!self.has_model(service) || layers.is_some_and(|layers| layers.from() == 0))
        };
        let targets = self.arena.iter().filter(|(_, target)| receives(target));
        let waits = targets.map(|(_, target)| target.deferred_until().saturating_sub(now));
        waits.min().filter(|wait| *wait > 0)
    }
}
