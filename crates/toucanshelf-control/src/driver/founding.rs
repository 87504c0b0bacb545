//! Identities of replicas, and the founding of a new log.

use toucanshelf_coordination::replica::{Persisted, Ready, ReplicaId};
use toucanshelf_coordination::store::{LogStore as _, RedbStore, StoreError};

/// Disk number of the replicas that found a log together.
const FOUNDING_DISK: u32 = 0;

/// Identity for an empty disk; one that joins an existing log never takes a founder's.
pub(super) fn fresh_identity(name: &str, joins: bool) -> ReplicaId {
    let disk = if joins {
        (rand_u64() as u32).max(FOUNDING_DISK + 1)
    } else {
        FOUNDING_DISK
    };
    ReplicaId::new(instance_number(name), disk)
}

/// Stores the membership of a new log, the same on the disk of each founder.
pub(super) fn found_together(
    store: &mut RedbStore,
    founders: &[Box<str>],
) -> Result<Persisted, StoreError> {
    let ids = founders.iter();
    let ids = ids.map(|name| ReplicaId::new(instance_number(name), FOUNDING_DISK));
    let persisted = Persisted::with_voters(ids);
    store.store(&Ready {
        snapshot: Some(persisted.snapshot.clone()),
        ..Ready::default()
    })?;
    Ok(persisted)
}

/// Number of an instance, from its name.
fn instance_number(name: &str) -> u32 {
    toucanshelf_core::digest::Digest::of(name.as_bytes()).prefix() as u32
}

pub(super) fn rand_u64() -> u64 {
    uuid::Uuid::new_v4().as_u64_pair().0
}
