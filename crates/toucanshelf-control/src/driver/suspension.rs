//! Suspension of a replica whose store has failed, until the store works again.
//!
//! A suspended replica stores nothing, so it neither votes nor acknowledges entries, and it doesn't
//! lead. The instance goes on with what it holds and passes commands to the leader that it hears of.
//! A store that has failed is opened anew: what was being written is then there in whole or not at all.

use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::{Duration, Instant};

use toucanshelf_coordination::replica::{Message, Ready, Replica, ReplicaConfig};
use toucanshelf_coordination::store::{LogStore, StoreError};
use toucanshelf_link::frame::SubmitError;

use super::bootstrap::{new_replica_id, rand_u64};
use super::{Core, Input, LEADER_TIMEOUT_MS, ReplicaStatus};

/// Time from a failure of the store to the first attempt to open it again.
const MIN_REOPEN_DELAY: Duration = Duration::from_millis(100);
/// Longest time between two attempts to open a store that has failed.
const MAX_REOPEN_DELAY: Duration = Duration::from_secs(1);

/// Returns the delay that follows `delay`, which failed to be enough.
pub(crate) fn next_reopen_delay(delay: Duration) -> Duration {
    (2 * delay).clamp(MIN_REOPEN_DELAY, MAX_REOPEN_DELAY)
}

impl Core {
    /// Suspends the replica, whose store was closed, until the store can be opened and written again.
    ///
    /// Returns the store, or `None` if the replica is to stop.
    ///
    /// # Errors
    ///
    /// Fails if the store is damaged or now belongs to another replica.
    pub(super) fn suspend(
        &mut self,
        inputs: &Receiver<Input>,
        cause: &StoreError,
    ) -> Result<Option<Box<dyn LogStore>>, StoreError> {
        tracing::error!(event = "TS2106", %cause, "store of the replica failed; replica suspended");
        let suspended_at = Instant::now();
        self.leader_contact_ms = 0;
        // Who is told that a call failed must find the replica suspended.
        self.status.send_modify(|status| {
            status.leader = None;
            status.current = false;
            status.suspended = true;
        });
        self.fail_pending();
        let mut delay = MIN_REOPEN_DELAY;
        loop {
            if !self.wait_suspended(inputs, delay) {
                return Ok(None);
            }
            match self.reopen() {
                Ok(store) => {
                    let ms = suspended_at.elapsed().as_millis() as u64;
                    tracing::info!(event = "TS2108", ms, "replica resumed");
                    return Ok(Some(store));
                }
                Err(e) if e.may_recover() => {
                    tracing::info!(event = "TS2107", cause = %e, "store of the replica still fails");
                    delay = next_reopen_delay(delay);
                }
                Err(e) => return Err(e),
            }
        }
    }

    /// Handles inputs for some time without taking part in the log; returns `false` if it is to stop.
    fn wait_suspended(&mut self, inputs: &Receiver<Input>, time: Duration) -> bool {
        let until = Instant::now() + time;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            match inputs.recv_timeout(left) {
                Ok(Input::Message(message)) => self.note_leader(&message),
                Ok(Input::Submit { reply, .. }) => {
                    let cause = "the disk of this instance fails";
                    // The submitter may have given up meanwhile.
                    let _ = reply.send(Err(SubmitError::NotTaken(cause.into())));
                }
                Ok(input @ (Input::ReplicaSeen(_) | Input::Leaving(_))) => self.handle_input(input),
                Ok(Input::Bootstrap) => {}
                Ok(Input::Stop) | Err(RecvTimeoutError::Disconnected) => return false,
                Err(RecvTimeoutError::Timeout) => {
                    self.expire_leader();
                    return true;
                }
            }
        }
    }

    /// Publishes the leader that a message names, so that commands can be passed to it.
    fn note_leader(&mut self, message: &Message) {
        if !message.body.is_from_leader() || message.term < self.replica.term() {
            return;
        }
        self.leader_contact_ms = self.now();
        self.status.send_if_modified(|status| {
            let heard = ReplicaStatus {
                leader: Some(message.from),
                term: message.term,
                ..status.clone()
            };
            let changed = *status != heard;
            *status = heard;
            changed
        });
    }

    /// Forgets a leader of which nothing was heard for some time.
    fn expire_leader(&mut self) {
        if self.now() >= self.leader_contact_ms + LEADER_TIMEOUT_MS {
            self.status
                .send_if_modified(|status| status.leader.take().is_some());
        }
    }

    /// Opens the store, writes to it and starts the replica from the state that it holds.
    fn reopen(&mut self) -> Result<Box<dyn LogStore>, StoreError> {
        let id = self.replica.id();
        // A store that was emptied meanwhile must not get the old id: it has forgotten its vote.
        let new_id = new_replica_id(&self.shared.settings.name, true);
        let (mut store, found, persisted) = self.opener.open(new_id)?;
        if found != id {
            return Err(StoreError::Corrupted {
                file: "the store".into(),
                detail: "it was emptied or replaced while the replica ran".into(),
            });
        }
        // Opening an existing store writes nothing, so this tells whether the disk can be written.
        store.store(&Ready {
            vote: Some((persisted.term, persisted.vote)),
            ..Ready::default()
        })?;
        let now = self.now();
        self.replica = Replica::new(ReplicaConfig::new(id), persisted, rand_u64(), now);
        Ok(store)
    }
}
