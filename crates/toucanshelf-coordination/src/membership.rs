//! Gossip of target records between gates.
//!
//! One record per target. Each record is owned by the gate that holds the target's lease; a
//! higher ([`Incarnation`], version) pair replaces a lower one, whichever gate it comes from. Two
//! views compare short digests first and exchange only what differs. Load is never gossiped.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Number that grows each time a target starts anew under the same name.
pub type Incarnation = u64;

/// Time for which the record of a gone target is kept, in milliseconds.
// Longer than any partition in which an old record could come back.
pub const TOMBSTONE_MS: u64 = 2 * 60 * 60 * 1_000;

/// Condition of a target.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Condition {
    /// Takes new work.
    Ready,
    /// Finishes its work and takes nothing new.
    Draining,
    /// Its lease has run out.
    Lost,
    /// It has said good-bye.
    Left,
}

impl Condition {
    /// Whether the target may get new work.
    pub fn takes_work(self) -> bool {
        self == Self::Ready
    }

    /// Whether the target is gone.
    pub fn is_gone(self) -> bool {
        matches!(self, Self::Lost | Self::Left)
    }
}

/// What the gates know of one target.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Record<T> {
    /// Name of the target.
    pub name: Box<str>,
    /// Which start of the target this is about.
    pub incarnation: Incarnation,
    /// Counts changes within the incarnation.
    pub version: u64,
    /// Condition of the target.
    pub condition: Condition,
    /// Gate that holds the target's lease.
    pub holder: Box<str>,
    /// What the target announced.
    pub payload: T,
}

impl<T> Record<T> {
    /// Order in which records replace each other; total, so that all views agree on the winner.
    fn rank(&self) -> (Incarnation, u64, Condition, &str) {
        (self.incarnation, self.version, self.condition, &self.holder)
    }

    /// FNV-1a over the name and rank, finished by a multiplicative mix.
    fn rank_hash(&self) -> u64 {
        const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
        const PRIME: u64 = 0x0100_0000_01b3;
        let numbers = [self.incarnation, self.version, self.condition as u64];
        let numbers = numbers.into_iter().flat_map(u64::to_le_bytes);
        let bytes = self.name.bytes().chain(numbers).chain(self.holder.bytes());
        let hash = bytes.fold(OFFSET, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(PRIME)
        });
        hash ^ (hash >> 32).wrapping_mul(0x9e37_79b9_7f4a_7c15)
    }
}

/// Short summary of one record.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecordDigest {
    /// Name of the target.
    pub name: Box<str>,
    /// Incarnation of the record.
    pub incarnation: Incarnation,
    /// Version of the record.
    pub version: u64,
    /// Hash of the record's rank, which tells concurrent changes of one version apart.
    pub hash: u64,
}

/// Why an announcement was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum AnnounceError {
    /// A later start under the same name is known.
    #[error("incarnation {given} of this name has been replaced by {known}")]
    Outdated {
        /// Incarnation that announced itself.
        given: Incarnation,
        /// Latest one known.
        known: Incarnation,
    },
    /// This incarnation has said good-bye.
    #[error("incarnation {0} of this name has left; start with a greater one")]
    Left(Incarnation),
    /// Another address announces itself with the same name and incarnation.
    #[error("another instance announces itself under this name and incarnation")]
    Duplicate,
}

#[derive(Clone, Debug)]
struct Held<T> {
    record: Record<T>,
    /// Time at which the lease ends; only for records that this gate holds.
    lease_until: Option<u64>,
    /// Time of the last change seen here.
    changed: u64,
    /// Hash of the record's rank, part of the view's hash.
    hash: u64,
}

/// One gate's view of all targets.
#[derive(Clone, Debug)]
pub struct View<T> {
    gate: Box<str>,
    lease_ms: u64,
    records: BTreeMap<Box<str>, Held<T>>,
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

    /// Record of the target called `name`.
    pub fn get(&self, name: &str) -> Option<&Record<T>> {
        self.records.get(name).map(|held| &held.record)
    }

    /// All records, in order of their names.
    pub fn records(&self) -> impl Iterator<Item = &Record<T>> {
        self.records.values().map(|held| &held.record)
    }

    /// Takes an announcement or its renewal, and holds its lease from `now` on.
    ///
    /// Returns the new record when others must learn of it; a plain renewal changes nothing.
    ///
    /// # Errors
    ///
    /// Fails when the incarnation is outdated or has left, or `same_target` says that the known
    /// payload belongs to another instance that is still there.
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
        // A target never goes back from draining to ready within one incarnation.
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
            let held = self.records.get_mut(name).expect("the record is known");
            held.lease_until = lease_until;
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
        self.put(now, record.clone(), lease_until);
        Ok(Some(record))
    }

    /// Changes the condition of a known target, for example when an operator drains it.
    ///
    /// Returns the new record when others must learn of it.
    pub fn set_condition(
        &mut self,
        now: u64,
        name: &str,
        condition: Condition,
    ) -> Option<Record<T>> {
        let held = self.records.get(name)?;
        if held.record.condition >= condition {
            return None;
        }
        let mut record = held.record.clone();
        let lease_until = held.lease_until;
        record.condition = condition;
        record.version += 1;
        self.put(now, record.clone(), lease_until);
        Some(record)
    }

    /// Ends leases that ran out and forgets targets that are long gone.
    ///
    /// Returns the records that others must learn of.
    pub fn expire(&mut self, now: u64) -> Vec<Record<T>> {
        let ended = self.records.values().filter(|held| {
            let over = held.lease_until.is_some_and(|until| now >= until);
            over && !held.record.condition.is_gone()
        });
        let names: Vec<_> = ended.map(|held| held.record.name.clone()).collect();
        let old = self
            .records
            .values()
            .filter(|held| held.record.condition.is_gone() && now >= held.changed + TOMBSTONE_MS);
        let forgotten: Vec<_> = old.map(|held| held.record.name.clone()).collect();
        for name in forgotten {
            self.forget(&name);
        }
        names
            .iter()
            .filter_map(|name| self.set_condition(now, name, Condition::Lost))
            .collect()
    }

    /// Takes over the targets whose holder is gone; each must renew here or elsewhere.
    ///
    /// The records stay as they are, so that a renewal at another gate wins.
    pub fn adopt(&mut self, now: u64, lost_gate: &str) -> usize {
        let lease_until = Some(now + self.lease_ms);
        let mut adopted = 0;
        for held in self.records.values_mut() {
            if &*held.record.holder == lost_gate && !held.record.condition.is_gone() {
                held.lease_until = lease_until;
                adopted += 1;
            }
        }
        adopted
    }

    /// Gives targets back to a gate that is there again.
    pub fn give_back(&mut self, gate: &str) {
        let held = self.records.values_mut();
        for held in held.filter(|held| &*held.record.holder == gate) {
            held.lease_until = None;
        }
    }

    /// Takes records from another gate and returns those that were news.
    ///
    /// A claim that a target is lost is refuted at once while this gate holds its lease.
    pub fn merge(&mut self, now: u64, records: Vec<Record<T>>) -> Vec<Record<T>> {
        let mut news = Vec::new();
        for record in records {
            let known = self.records.get(&record.name);
            if known.is_some_and(|known| known.record.rank() >= record.rank()) {
                continue;
            }
            let lease = known.and_then(|known| known.lease_until);
            if let Some(known) = known.filter(|known| self.refutes(now, known, &record)) {
                let mut refuted = known.record.clone();
                refuted.version = record.version + 1;
                self.put(now, refuted.clone(), lease);
                news.push(refuted);
                continue;
            }
            // A lease held here stays only while the record is still this gate's.
            let lease = lease.filter(|_| record.holder == self.gate);
            self.put(now, record.clone(), lease);
            news.push(record);
        }
        news
    }

    fn refutes(&self, now: u64, known: &Held<T>, claim: &Record<T>) -> bool {
        claim.condition == Condition::Lost
            && claim.incarnation == known.record.incarnation
            && known.record.holder == self.gate
            && !known.record.condition.is_gone()
            && known.lease_until.is_some_and(|until| now < until)
    }

    /// Hash over all ranks; equal for views that hold the same records.
    pub fn hash(&self) -> u64 {
        self.hash
    }

    /// Digest of every record.
    pub fn digests(&self) -> Vec<RecordDigest> {
        let digest = |record: &Record<T>| RecordDigest {
            name: record.name.clone(),
            incarnation: record.incarnation,
            version: record.version,
            hash: record.rank_hash(),
        };
        self.records().map(digest).collect()
    }

    /// Records that a view with these digests lacks or has in an older version.
    pub fn missing_from(&self, digests: &[RecordDigest]) -> Vec<Record<T>> {
        let theirs: BTreeMap<&str, _> = digests.iter().map(|d| (&*d.name, d)).collect();
        let newer = self.records().filter(|record| {
            theirs.get(&*record.name).is_none_or(|digest| {
                let ours = (record.incarnation, record.version);
                let known = (digest.incarnation, digest.version);
                ours > known || (ours == known && record.rank_hash() != digest.hash)
            })
        });
        newer.cloned().collect()
    }

    fn put(&mut self, now: u64, record: Record<T>, lease_until: Option<u64>) {
        let hash = record.rank_hash();
        if let Some(old) = self.records.get(&record.name) {
            self.hash ^= old.hash;
        }
        self.hash ^= hash;
        let name = record.name.clone();
        self.records.insert(
            name,
            Held {
                record,
                lease_until,
                changed: now,
                hash,
            },
        );
    }

    fn forget(&mut self, name: &str) {
        if let Some(held) = self.records.remove(name) {
            self.hash ^= held.hash;
        }
    }
}
