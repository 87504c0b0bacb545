//! Gossip membership: target records that gates exchange.
//!
//! A target announces itself regularly to a gate, which grants it a lease and so becomes the
//! lease's holder. Each target has one record, owned by that gate. A record with a higher
//! ([`Incarnation`], version) pair replaces a lower one, whichever gate sends it. Two gates first
//! compare short digests of their views and then exchange only the records that differ. Target load
//! is not part of the gossip.
//!
//! If a gate is lost, the others adopt the leases of its targets: each waits for the duration of a
//! lease and then marks the targets as lost that have announced themselves to no other gate. The
//! record of a lost or departed target is kept for some time as a tombstone.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Number that increases each time a target restarts under the same name.
pub type Incarnation = u64;

/// Retention time for the record of a lost or departed target, in milliseconds.
// The time exceeds any expected partition, so that a gate that rejoins after one cannot revive an
// old record.
pub const TOMBSTONE_MS: u64 = 2 * 60 * 60 * 1_000;

/// Availability of a target, as gates know it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Condition {
    /// The target accepts new work.
    Ready,
    /// The target finishes its work and accepts no new work.
    Draining,
    /// The target's lease expired without a renewal.
    Lost,
    /// The target has announced that it left.
    Left,
}

impl Condition {
    /// Returns whether the target accepts new work.
    pub fn accepts_work(self) -> bool {
        self == Self::Ready
    }

    /// Returns whether the target is lost or has left.
    pub fn is_gone(self) -> bool {
        matches!(self, Self::Lost | Self::Left)
    }
}

/// Gossiped state of one target.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Record<T> {
    /// Name of the target.
    pub name: Box<str>,
    /// Incarnation of the target that the record describes.
    pub incarnation: Incarnation,
    /// Number that increases with each change of the record within the incarnation.
    pub version: u64,
    /// Availability of the target.
    pub condition: Condition,
    /// Name of the gate that holds the target's lease.
    pub holder: Box<str>,
    /// Data that the target announced, of a type that the crate's user chooses.
    pub payload: T,
}

impl<T> Record<T> {
    /// Returns the key that orders conflicting records; the record with the greater key wins.
    ///
    /// The order of the keys is total, so all views converge on the same record.
    fn rank(&self) -> (Incarnation, u64, Condition, &str) {
        (self.incarnation, self.version, self.condition, &self.holder)
    }

    /// Returns a hash of the record without its payload.
    ///
    /// It is an FNV-1a hash with a multiplicative finaliser.
    fn rank_hash(&self) -> u64 {
        const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
        const FNV_PRIME: u64 = 0x0100_0000_01b3;
        let numbers = [self.incarnation, self.version, self.condition as u64];
        let numbers = numbers.into_iter().flat_map(u64::to_le_bytes);
        let bytes = self.name.bytes().chain(numbers).chain(self.holder.bytes());
        let hash = bytes.fold(FNV_OFFSET_BASIS, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
        });
        hash ^ (hash >> 32).wrapping_mul(0x9e37_79b9_7f4a_7c15)
    }
}

/// Digest of one record, for comparing views.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecordDigest {
    /// Name of the target.
    pub name: Box<str>,
    /// Incarnation of the target in the record.
    pub incarnation: Incarnation,
    /// Version of the record.
    pub version: u64,
    /// Hash of the record that distinguishes concurrent changes with the same version.
    pub hash: u64,
}

/// Reason why a gate rejected a target's announcement.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum AnnounceError {
    /// A later incarnation of the target is known.
    #[error("incarnation {given} of this name has been replaced by {known}")]
    Outdated {
        /// Incarnation in the announcement.
        given: Incarnation,
        /// Latest known incarnation.
        known: Incarnation,
    },
    /// The target has already left in this incarnation.
    #[error("incarnation {0} of this name has left; start with a greater one")]
    Left(Incarnation),
    /// A different target has announced the same name and incarnation.
    #[error("another instance announces itself under this name and incarnation")]
    Duplicate,
}

/// Record in a gate's view, with state that only this gate keeps.
#[derive(Clone, Debug)]
struct ViewEntry<T> {
    record: Record<T>,
    /// Time at which the target's lease at this gate expires, in milliseconds.
    ///
    /// It is `None` if this gate has neither granted nor adopted the lease.
    lease_until: Option<u64>,
    /// Time at which this view last changed the record, in milliseconds.
    last_changed: u64,
    /// Hash of the record without its payload, included in the view's hash.
    hash: u64,
}

/// One gate's view of all targets.
#[derive(Clone, Debug)]
pub struct View<T> {
    gate: Box<str>,
    lease_ms: u64,
    records: BTreeMap<Box<str>, ViewEntry<T>>,
    /// Exclusive or of the hashes of all records, without their payloads.
    hash: u64,
}

impl<T: Clone + PartialEq> View<T> {
    /// Creates the empty view of `gate`, which grants leases of `lease_ms` milliseconds.
    pub fn new(gate: impl Into<Box<str>>, lease_ms: u64) -> Self {
        Self {
            gate: gate.into(),
            lease_ms,
            records: BTreeMap::new(),
            hash: 0,
        }
    }

    /// Returns the record of the target `name`, if it is known.
    pub fn get(&self, name: &str) -> Option<&Record<T>> {
        self.records.get(name).map(|entry| &entry.record)
    }

    /// Returns all records, ordered by name.
    pub fn records(&self) -> impl Iterator<Item = &Record<T>> {
        self.records.values().map(|entry| &entry.record)
    }

    /// Processes a target's announcement or renewal and grants or renews its lease.
    ///
    /// The lease starts at `now`, in milliseconds. Returns the new record if it must be gossiped,
    /// or `None` for a renewal that changes nothing but the lease.
    ///
    /// # Errors
    ///
    /// Fails if a later incarnation is known, or if the target has already left in this one. It
    /// also fails if the target is ready or draining in this incarnation, and `same_target`, called
    /// with the known and the announced payload, returns `false`.
    pub fn announce(
        &mut self,
        now: u64,
        name: &str,
        incarnation: Incarnation,
        condition: Condition,
        payload: T,
        same_target: impl Fn(&T, &T) -> bool,
    ) -> Result<Option<Record<T>>, AnnounceError> {
        let known = self.get(name);
        if let Some(known) = known {
            if incarnation < known.incarnation {
                let known = known.incarnation;
                return Err(AnnounceError::Outdated {
                    given: incarnation,
                    known,
                });
            }
            if incarnation == known.incarnation {
                if known.condition == Condition::Left {
                    return Err(AnnounceError::Left(incarnation));
                }
                if !known.condition.is_gone() && !same_target(&known.payload, &payload) {
                    return Err(AnnounceError::Duplicate);
                }
            }
        }
        // Within one incarnation, a draining target does not become ready again. A lost target
        // takes the announced condition, because the announcement proves that it still runs.
        let condition = match known {
            Some(known) if known.incarnation == incarnation && !known.condition.is_gone() => {
                condition.max(known.condition)
            }
            _ => condition,
        };
        let lease_until = Some(now + self.lease_ms);
        let unchanged = known.is_some_and(|known| {
            known.incarnation == incarnation
                && known.condition == condition
                && known.holder == self.gate
                && known.payload == payload
        });
        if unchanged {
            let entry = self
                .records
                .get_mut(name)
                .expect("an unchanged record is in the view");
            entry.lease_until = lease_until;
            return Ok(None);
        }
        let version = match known {
            Some(known) if known.incarnation == incarnation => known.version + 1,
            _ => 1,
        };
        let holder = self.gate.clone();
        let record = Record {
            name: name.into(),
            incarnation,
            version,
            condition,
            holder,
            payload,
        };
        self.insert_record(now, record.clone(), lease_until);
        Ok(Some(record))
    }

    /// Changes the condition of a known target, for example when an operator drains it.
    ///
    /// The condition only moves forward in the order of [`Condition`]'s values. Returns the new
    /// record, which must be gossiped, or `None` if nothing changed.
    pub fn set_condition(
        &mut self,
        now: u64,
        name: &str,
        condition: Condition,
    ) -> Option<Record<T>> {
        let entry = self.records.get(name)?;
        if entry.record.condition >= condition {
            return None;
        }
        let mut record = entry.record.clone();
        let lease_until = entry.lease_until;
        record.condition = condition;
        record.version += 1;
        self.insert_record(now, record.clone(), lease_until);
        Some(record)
    }

    /// Marks targets with expired leases as lost and removes expired tombstones.
    ///
    /// Records of lost or departed targets are removed after [`TOMBSTONE_MS`]. Returns the
    /// changed records, which must be gossiped.
    pub fn expire(&mut self, now: u64) -> Vec<Record<T>> {
        let expired_leases = self.records.values().filter(|entry| {
            let is_due = entry.lease_until.is_some_and(|until| now >= until);
            is_due && !entry.record.condition.is_gone()
        });
        let lost_targets: Vec<_> = expired_leases
            .map(|entry| entry.record.name.clone())
            .collect();
        let expired_tombstones = self.records.values().filter(|entry| {
            entry.record.condition.is_gone() && now >= entry.last_changed + TOMBSTONE_MS
        });
        let removed_targets: Vec<_> = expired_tombstones
            .map(|entry| entry.record.name.clone())
            .collect();
        for name in removed_targets {
            self.remove_record(&name);
        }
        lost_targets
            .iter()
            .filter_map(|name| self.set_condition(now, name, Condition::Lost))
            .collect()
    }

    /// Adopts the leases of the targets of a lost gate.
    ///
    /// Returns the number of these targets. [`Self::expire`] marks a target as lost if it renews
    /// its lease at no gate before the adopted lease expires. The records themselves do not change,
    /// so that a renewal at another gate takes precedence.
    pub fn adopt(&mut self, now: u64, lost_gate: &str) -> usize {
        let lease_until = Some(now + self.lease_ms);
        let mut adopted = 0;
        for entry in self.records.values_mut() {
            if &*entry.record.holder == lost_gate && !entry.record.condition.is_gone() {
                entry.lease_until = lease_until;
                adopted += 1;
            }
        }
        adopted
    }

    /// Drops the leases that this gate adopted from `gate`, which is reachable again.
    pub fn release_adopted(&mut self, gate: &str) {
        let entries = self.records.values_mut();
        for entry in entries.filter(|entry| &*entry.record.holder == gate) {
            entry.lease_until = None;
        }
    }

    /// Merges records from another gate and returns the records that changed in this view.
    ///
    /// If a record reports a target as lost while this gate holds its lease, the gate refutes the
    /// report with a record of a higher version.
    pub fn merge(&mut self, now: u64, records: Vec<Record<T>>) -> Vec<Record<T>> {
        let mut updates = Vec::new();
        for record in records {
            let known = self.records.get(&record.name);
            if known.is_some_and(|known| known.record.rank() >= record.rank()) {
                continue;
            }
            let lease = known.and_then(|known| known.lease_until);
            if let Some(known) = known.filter(|known| self.refutes(now, known, &record)) {
                let mut refuted = known.record.clone();
                refuted.version = record.version + 1;
                self.insert_record(now, refuted.clone(), lease);
                updates.push(refuted);
                continue;
            }
            // Drops the target's lease unless the new record names this gate as its holder.
            let lease = lease.filter(|_| record.holder == self.gate);
            self.insert_record(now, record.clone(), lease);
            updates.push(record);
        }
        updates
    }

    /// Returns whether this gate's lease disproves a report that a target is lost.
    ///
    /// `claim` is the record with the report, and `known` is the target's entry in this view.
    fn refutes(&self, now: u64, known: &ViewEntry<T>, claim: &Record<T>) -> bool {
        claim.condition == Condition::Lost
            && claim.incarnation == known.record.incarnation
            && known.record.holder == self.gate
            && !known.record.condition.is_gone()
            && known.lease_until.is_some_and(|until| now < until)
    }

    /// Returns a hash of all records in this view, without their payloads.
    ///
    /// Views that hold the same records have equal hashes.
    pub fn hash(&self) -> u64 {
        self.hash
    }

    /// Returns the digests of all records in this view.
    pub fn digests(&self) -> Vec<RecordDigest> {
        let digest = |record: &Record<T>| RecordDigest {
            name: record.name.clone(),
            incarnation: record.incarnation,
            version: record.version,
            hash: record.rank_hash(),
        };
        self.records().map(digest).collect()
    }

    /// Returns the records to send to a view with these digests.
    ///
    /// They are the records that the other view lacks, has in an older incarnation or version, or
    /// has in the same incarnation and version but with a different hash.
    pub fn missing_from(&self, digests: &[RecordDigest]) -> Vec<Record<T>> {
        let digests_by_name: BTreeMap<&str, _> = digests.iter().map(|d| (&*d.name, d)).collect();
        let newer = self.records().filter(|record| {
            digests_by_name.get(&*record.name).is_none_or(|digest| {
                let ours = (record.incarnation, record.version);
                let known = (digest.incarnation, digest.version);
                ours > known || (ours == known && record.rank_hash() != digest.hash)
            })
        });
        newer.cloned().collect()
    }

    fn insert_record(&mut self, now: u64, record: Record<T>, lease_until: Option<u64>) {
        let hash = record.rank_hash();
        if let Some(old) = self.records.get(&record.name) {
            self.hash ^= old.hash;
        }
        self.hash ^= hash;
        let name = record.name.clone();
        self.records.insert(
            name,
            ViewEntry {
                record,
                lease_until,
                last_changed: now,
                hash,
            },
        );
    }

    fn remove_record(&mut self, name: &str) {
        if let Some(entry) = self.records.remove(name) {
            self.hash ^= entry.hash;
        }
    }
}
