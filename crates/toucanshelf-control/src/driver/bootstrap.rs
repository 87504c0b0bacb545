//! Identities of replicas, and the initial voters of a new replicated log.

use toucanshelf_coordination::replica::{Persisted, Ready, ReplicaId};
use toucanshelf_coordination::store::{LogStore, StoreError};

/// Disk number in the [`ReplicaId`]s of a replicated log's initial voters.
///
/// A [`ReplicaId`] consists of an instance number and a disk number. An instance that has lost its
/// stored data and joins the log again has another disk number, so it is a different replica.
const INITIAL_VOTER_DISK: u32 = 0;

/// Creates the id of the replica of instance `name`, whose disk is empty.
///
/// If the replica `joins` an existing log, its disk number is random and differs from that of the
/// initial voters.
pub(super) fn new_replica_id(name: &str, joins: bool) -> ReplicaId {
    let disk = if joins {
        (rand_u64() as u32).max(INITIAL_VOTER_DISK + 1)
    } else {
        INITIAL_VOTER_DISK
    };
    ReplicaId::new(instance_number(name), disk)
}

/// Stores the initial voters of a new replicated log and returns the stored state.
///
/// Every initial voter stores the same list on its own disk.
pub(super) fn store_initial_membership(
    store: &mut dyn LogStore,
    initial_voters: &[Box<str>],
) -> Result<Persisted, StoreError> {
    let ids = initial_voters.iter();
    let ids = ids.map(|name| ReplicaId::new(instance_number(name), INITIAL_VOTER_DISK));
    let persisted = Persisted::with_voters(ids);
    store.store(&Ready {
        snapshot: Some(persisted.snapshot.clone()),
        ..Ready::default()
    })?;
    Ok(persisted)
}

/// Derives the instance number of a [`ReplicaId`] from the instance's name.
fn instance_number(name: &str) -> u32 {
    toucanshelf_core::digest::Digest::of(name.as_bytes()).prefix() as u32
}

/// Returns a random 64-bit number.
pub(super) fn rand_u64() -> u64 {
    uuid::Uuid::new_v4().as_u64_pair().0
}
