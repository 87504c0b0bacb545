//! What targets say of themselves, in their answers or by refusing a connection.

use toucanshelf_core::ids::Incarnation;
use toucanshelf_core::registration::Readiness;

use super::{TargetKey, Targets};

impl Targets {
    /// Records that the target `id` has said that it leaves; returns whether that is new.
    ///
    /// It gets no more requests. Only a restart, as a new incarnation, ends this.
    pub fn record_leaving(&mut self, id: &str) -> bool {
        let key = self.by_id.get(id).copied();
        let target = key.and_then(|key| self.arena.get_mut(key));
        target.is_some_and(|target| !std::mem::replace(&mut target.leaving, true))
    }

    /// Records that an incarnation of the target `id` leaves; returns whether that is new.
    ///
    /// It has no effect if another incarnation is known.
    pub fn record_leaving_incarnation(&mut self, id: &str, incarnation: Incarnation) -> bool {
        let key = self.by_id.get(id).copied();
        let target = key.and_then(|key| self.arena.get(key));
        target.is_some_and(|target| target.record.incarnation == incarnation)
            && self.record_leaving(id)
    }

    /// Returns the targets of a service that take no new requests, with their incarnations.
    pub fn leaving(&self, service: &str) -> Vec<(Incarnation, Box<str>)> {
        let targets = self.arena.iter().map(|(_, target)| target);
        let leaving = targets.filter(|target| {
            let is_leaving = target.leaving || target.record.readiness != Readiness::Ready;
            is_leaving && &*target.record.service == service
        });
        leaving
            .map(|target| (target.record.incarnation, target.record.id.clone()))
            .collect()
    }

    /// Records that the target `id` wants no requests until `until`.
    ///
    /// `until` is in milliseconds since the ingress started.
    pub fn record_unwanted(&mut self, id: &str, until: u64) {
        let key = self.by_id.get(id).copied();
        if let Some(target) = key.and_then(|key| self.arena.get_mut(key)) {
            target.unwanted_until = until;
        }
    }

    /// Records that the target `id` refuses connections, so that its process seems to have ended.
    pub fn record_ended(&mut self, id: &str) {
        let key = self.by_id.get(id).copied();
        if let Some(target) = key.and_then(|key| self.arena.get_mut(key)) {
            target.ended = true;
        }
    }

    /// Records that the target `id` has answered a request, so that its process has not ended.
    // A cut may refuse connections as well, and an engine behind it goes on with its requests.
    pub fn record_alive(&mut self, id: &str) {
        let key = self.by_id.get(id).copied();
        if let Some(target) = key.and_then(|key| self.arena.get_mut(key)) {
            target.ended = false;
        }
    }

    /// Returns whether the process of a target has ended, and its requests with it.
    ///
    /// It has refused a connection and answered no request since, or another incarnation or target has
    /// replaced it. A target that is only marked down may still run requests.
    pub fn has_ended(&self, key: TargetKey) -> bool {
        self.arena.get(key).is_none_or(|target| target.ended)
    }
}
