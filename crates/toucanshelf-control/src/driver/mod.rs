//! Thread that runs this control instance's replica of the replicated log.
//!
//! The thread stores the state of the replica, sends its messages and applies committed commands.
//! The revision is the number of changes that have been applied to the configuration. A deployment
//! is a versioned document with routes and services, which a platform's operators replace as a
//! whole.

mod apply;
mod bootstrap;
mod members;
mod suspension;

use std::collections::BTreeMap;
use std::fmt;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::sync::{Arc, Mutex, RwLock, RwLockReadGuard};
use std::time::{Duration, Instant};

use tokio::sync::{oneshot, watch};
use toucanshelf_coordination::replica::{
    Departures, Entry, Index, Membership, Message, Persisted, Replica, ReplicaConfig, ReplicaId,
    Role, Term,
};
use toucanshelf_coordination::store::{LogStore, OpenStore, StoreError};
use toucanshelf_core::ids::{LogTimeMs, Revision};
use toucanshelf_core::leaving::LeavingTargets;
use toucanshelf_core::state::{Command, CommandBody, ControlState, Reply};
use toucanshelf_link::frame::{LogId, SubmitError};

use crate::Shared;
use crate::settings::ControlSettings;
use apply::apply_entry;
use bootstrap::rand_u64;
pub(crate) use suspension::next_reopen_delay;

/// Interval between ticks, which advance the replica's timers.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Number of applied entries after which the replicated log is compacted into a snapshot.
const SNAPSHOT_INTERVAL_ENTRIES: u64 = 4_096;
/// Total size of the applied commands after which the log is compacted, in bytes.
const SNAPSHOT_INTERVAL_BYTES: usize = 2 * 1024 * 1024;
/// Maximum number of queued inputs handled together with a received one.
///
/// The changes from all of them are written to the store at once.
const MAX_BATCHED_INPUTS: usize = 512;
/// Time without a leader after which [`ReplicaStatus::current`] is false, in milliseconds.
const LEADER_TIMEOUT_MS: u64 = 1_500;

type ReplySender = oneshot::Sender<Result<Reply, SubmitError>>;

/// Input to the replica's thread.
enum Input {
    /// A log replication message from another replica.
    Message(Message),
    /// A command to commit to the replicated log.
    Submit {
        /// Command, which the replica proposes if it leads.
        body: CommandBody,
        /// Channel to the submitter, for the reply of the state machine.
        reply: ReplySender,
    },
    /// Id of the replica at the other end of a new link.
    ReplicaSeen(ReplicaId),
    /// Announcement of a replica, possibly this one, that its process is about to stop.
    Leaving(ReplicaId),
    /// Request to create the replicated log, because no other instance has one.
    Bootstrap,
    /// Request to end the replica's thread.
    Stop,
}

/// Status of this instance's replica, which its thread publishes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReplicaStatus {
    /// Replica that leads the current election term, if known.
    pub leader: Option<ReplicaId>,
    /// Current election term.
    pub term: Term,
    /// Index of the last committed entry of the replicated log.
    pub commit: Index,
    /// Replicas that vote, and learners, which receive the log without voting.
    pub membership: Membership,
    /// Whether this replica votes according to the last membership change known to be committed.
    pub votes: bool,
    /// Whether this replica had a leader in the last 1.5 seconds.
    ///
    /// It counts as having one if it follows a known leader, or leads with a valid lease.
    pub current: bool,
    /// Whether this replica takes no part in the log, because its store has failed.
    pub suspended: bool,
}

/// Values with which the replica's thread starts.
struct ThreadState {
    inputs: Receiver<Input>,
    store: Box<dyn LogStore>,
    /// State from which the replica starts.
    persisted: Persisted,
}

/// Handle that sends inputs to the replica's thread and reads its published state.
pub struct Driver {
    replica: ReplicaId,
    inputs: Sender<Input>,
    /// Values that the replica's thread takes when it starts.
    thread_state: Mutex<Option<ThreadState>>,
    opener: Arc<dyn OpenStore>,
    state: Arc<RwLock<ControlState>>,
    status: Arc<watch::Sender<ReplicaStatus>>,
    revision: Arc<watch::Sender<Revision>>,
    deployment_version: Arc<watch::Sender<Option<u64>>>,
    leaving_count: Arc<watch::Sender<u64>>,
    failure: Arc<watch::Sender<Option<Box<str>>>>,
}

impl fmt::Debug for Driver {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Driver")
            .field("replica", &self.replica)
            .finish_non_exhaustive()
    }
}

impl Driver {
    /// Opens the replica's store, without starting the replica.
    ///
    /// # Errors
    ///
    /// Fails when the store cannot be used or is damaged.
    pub fn open(
        settings: &ControlSettings,
        opener: Arc<dyn OpenStore>,
    ) -> Result<Self, StoreError> {
        let initial_voters = settings.initial_voters();
        let new_id = bootstrap::new_replica_id(&settings.name, initial_voters.is_empty());
        let (mut store, replica, mut persisted) = opener.open(new_id)?;
        if !initial_voters.is_empty() && persisted == Persisted::default() {
            persisted = bootstrap::store_initial_membership(&mut *store, &initial_voters)?;
        }
        if settings.deployment.is_none()
            && settings.is_alone()
            && persisted.snapshot.membership.voters.is_empty()
        {
            persisted.snapshot.membership.voters.insert(replica);
        }
        let (inputs, receiver) = channel();
        Ok(Self {
            replica,
            inputs,
            thread_state: Mutex::new(Some(ThreadState {
                inputs: receiver,
                store,
                persisted,
            })),
            opener,
            state: Arc::default(),
            status: Arc::new(watch::Sender::new(ReplicaStatus::default())),
            revision: Arc::new(watch::Sender::new(Revision(0))),
            deployment_version: Arc::new(watch::Sender::new(None)),
            leaving_count: Arc::new(watch::Sender::new(0)),
            failure: Arc::new(watch::Sender::new(None)),
        })
    }

    /// Starts the replica's thread, unless it was started before.
    pub(crate) fn start(&self, settings: &ControlSettings, shared: Arc<Shared>) {
        let thread_state = self
            .thread_state
            .lock()
            .expect("no lock holder panics")
            .take();
        let Some(ThreadState {
            inputs,
            store,
            persisted,
        }) = thread_state
        else {
            return;
        };
        let core = Core::new(self, persisted, shared);
        let failure = Arc::clone(&self.failure);
        let spawned = std::thread::Builder::new()
            .name("replica".into())
            .spawn(move || {
                if let Err(e) = core.run(store, &inputs) {
                    tracing::error!(event = "TS2101", cause = %e, "the store of the replica failed");
                    failure.send_replace(Some(e.to_string().into()));
                }
            });
        spawned.expect("the system can start threads");
        tracing::info!(event = "TS2102", name = %settings.name, replica = self.replica.0, "replica started");
    }

    /// Returns the id of this instance's replica.
    pub fn replica(&self) -> ReplicaId {
        self.replica
    }

    /// Locks the state machine for reading and returns it.
    pub fn state(&self) -> RwLockReadGuard<'_, ControlState> {
        self.state.read().expect("no lock holder panics")
    }

    /// Returns the id of the replicated log, once its first leader has set it.
    pub fn log(&self) -> Option<LogId> {
        self.state().log()
    }

    /// Returns the replica that leads the current election term, if known.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.status.borrow().leader
    }

    /// Returns the latest published status of this instance's replica.
    pub fn status(&self) -> ReplicaStatus {
        self.status.borrow().clone()
    }

    /// Returns a receiver that follows the published status.
    pub fn statuses(&self) -> watch::Receiver<ReplicaStatus> {
        self.status.subscribe()
    }

    /// Returns a receiver that follows the applied revision of the configuration.
    pub fn revisions(&self) -> watch::Receiver<Revision> {
        self.revision.subscribe()
    }

    /// Returns a receiver that follows the version of the applied deployment.
    pub fn deployment_versions(&self) -> watch::Receiver<Option<u64>> {
        self.deployment_version.subscribe()
    }

    /// Returns a receiver that follows how many departures and drains of targets were recorded.
    pub fn leaving_counts(&self) -> watch::Receiver<u64> {
        self.leaving_count.subscribe()
    }

    /// Returns the other replicas that receive the log, whether they vote or not.
    pub(crate) fn other_replicas(&self) -> Vec<ReplicaId> {
        let membership = &self.status.borrow().membership;
        let replicas = membership.voters.iter().chain(&membership.learners);
        replicas.copied().filter(|id| *id != self.replica).collect()
    }

    /// Commits a command if this replica leads, and returns the state machine's reply.
    ///
    /// # Errors
    ///
    /// Fails with [`SubmitError::NotTaken`] only when the command will never be committed.
    pub async fn submit(&self, body: CommandBody) -> Result<Reply, SubmitError> {
        let (reply, result) = oneshot::channel();
        if self.inputs.send(Input::Submit { body, reply }).is_err() {
            return Err(SubmitError::NotTaken("the replica has stopped".into()));
        }
        let unknown = Err(SubmitError::Unknown("the replica stopped".into()));
        result.await.unwrap_or(unknown)
    }

    /// Passes a log replication message from another replica to this replica's thread.
    pub fn receive(&self, message: Message) {
        self.send_input(Input::Message(message));
    }

    /// Records another control instance's replica, which the leader may add as a learner.
    pub fn record_replica(&self, replica: ReplicaId) {
        self.send_input(Input::ReplicaSeen(replica));
    }

    /// Records that the process of a replica, possibly this one, is about to stop.
    ///
    /// The leader then prefers other voters to it.
    pub fn announce_departure(&self, replica: ReplicaId) {
        self.send_input(Input::Leaving(replica));
    }

    /// Creates the replicated log, unless this replica already has one.
    ///
    /// Must be called only after every other control instance has reported that it has no log.
    pub fn bootstrap(&self) {
        self.send_input(Input::Bootstrap);
    }

    /// Asks the replica's thread to stop, without waiting for it.
    pub fn stop(&self) {
        self.send_input(Input::Stop);
    }

    fn send_input(&self, input: Input) {
        // Sending fails only after the thread has stopped, when no input is needed any more.
        let _ = self.inputs.send(input);
    }

    /// Waits until the replica's store fails, and returns the cause.
    pub async fn failed(&self) -> Box<str> {
        let mut failure = self.failure.subscribe();
        let failed = failure.wait_for(Option::is_some).await;
        failed
            .ok()
            .and_then(|cause| cause.clone())
            .unwrap_or_default()
    }
}

/// State of the thread that runs this instance's replica of the replicated log.
struct Core {
    replica: Replica,
    opener: Arc<dyn OpenStore>,
    shared: Arc<Shared>,
    state: Arc<RwLock<ControlState>>,
    status: Arc<watch::Sender<ReplicaStatus>>,
    revision: Arc<watch::Sender<Revision>>,
    deployment_version: Arc<watch::Sender<Option<u64>>>,
    leaving_count: Arc<watch::Sender<u64>>,
    started: Instant,
    /// Reply senders of proposed but not yet applied commands, by log index.
    ///
    /// Each is stored with the term in which its command was proposed.
    pending: BTreeMap<Index, (Term, ReplySender)>,
    /// Latest known replica of each other control instance.
    known_replicas: Vec<ReplicaId>,
    /// Replicas whose processes are about to stop.
    departures: Departures,
    /// Index of the last log entry that the state machine has applied.
    applied: Index,
    /// Index of the last log entry that the latest snapshot covers.
    snapshot_index: Index,
    bytes_since_snapshot: usize,
    /// Timestamp of the latest proposed command, in milliseconds since the Unix epoch.
    ///
    /// Later commands never get an earlier timestamp, even if the system clock is set back.
    last_command_ms: u64,
    /// Time when this replica last had a leader or led with a valid lease.
    ///
    /// In milliseconds since the thread's state was created; 0 if that has never happened.
    leader_contact_ms: u64,
}

impl Core {
    fn new(driver: &Driver, persisted: Persisted, shared: Arc<Shared>) -> Self {
        let config = ReplicaConfig::new(driver.replica);
        let snapshot_index = persisted.snapshot.index;
        let replica = Replica::new(config, persisted, rand_u64(), 1);
        Self {
            replica,
            opener: Arc::clone(&driver.opener),
            shared,
            state: Arc::clone(&driver.state),
            status: Arc::clone(&driver.status),
            revision: Arc::clone(&driver.revision),
            deployment_version: Arc::clone(&driver.deployment_version),
            leaving_count: Arc::clone(&driver.leaving_count),
            started: Instant::now(),
            pending: BTreeMap::new(),
            known_replicas: Vec::new(),
            departures: Departures::new(),
            applied: Index(0),
            snapshot_index,
            bytes_since_snapshot: 0,
            last_command_ms: 0,
            leader_contact_ms: 0,
        }
    }

    /// Runs the replica until it is stopped; while its store fails, the replica is suspended.
    fn run(
        mut self,
        mut store: Box<dyn LogStore>,
        inputs: &Receiver<Input>,
    ) -> Result<(), StoreError> {
        loop {
            match self.replicate(&mut *store, inputs) {
                Err(e) if e.may_recover() => {
                    // The failed store must be closed before it is opened again.
                    drop(store);
                    match self.suspend(inputs, &e)? {
                        Some(reopened) => store = reopened,
                        None => return Ok(()),
                    }
                }
                result => return result,
            }
        }
    }

    /// Runs the replica until it is stopped or its store fails.
    fn replicate(
        &mut self,
        store: &mut dyn LogStore,
        inputs: &Receiver<Input>,
    ) -> Result<(), StoreError> {
        let mut next_tick = Instant::now();
        loop {
            let wait = next_tick.saturating_duration_since(Instant::now());
            match inputs.recv_timeout(wait) {
                Ok(input) => {
                    // Inputs that are already queued share one write to the store.
                    let more = inputs.try_iter().take(MAX_BATCHED_INPUTS);
                    for input in std::iter::once(input).chain(more) {
                        if matches!(input, Input::Stop) {
                            return Ok(());
                        }
                        self.handle_input(input);
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return Ok(()),
            }
            if Instant::now() >= next_tick {
                next_tick = Instant::now() + TICK_INTERVAL;
                self.replica.tick(self.now());
                self.adjust_membership();
            }
            self.process_ready(store)?;
        }
    }

    fn now(&self) -> u64 {
        // The result is at least 1, because a stored time of 0 means that the event never happened.
        self.started.elapsed().as_millis() as u64 + 1
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Message(message) => self.replica.receive(self.now(), message),
            Input::Submit { body, reply } => self.propose(body, reply),
            Input::ReplicaSeen(id) => {
                // An instance that has lost its disk returns as a new replica, which replaces the
                // previous one.
                self.known_replicas.retain(|old| !old.same_instance(id));
                self.known_replicas.push(id);
                self.departures.cancel(id);
            }
            Input::Leaving(id) => {
                if self.departures.announce(id, self.now()) {
                    tracing::info!(event = "TS2110", replica = id.0, "replica is about to stop");
                }
            }
            Input::Bootstrap => self.create_log(),
            Input::Stop => {}
        }
    }

    /// Creates a replicated log with this replica as its only voter.
    ///
    /// Has no effect if the replica already has entries, a term or voters.
    fn create_log(&mut self) {
        let empty = self.replica.last_index() == Index(0) && self.replica.term() == Term(0);
        if empty && self.replica.membership().voters.is_empty() {
            let id = self.replica.id();
            let stored = Persisted::with_voters([id]);
            self.replica = Replica::new(ReplicaConfig::new(id), stored, rand_u64(), self.now());
        }
    }

    /// Proposes a command and keeps its reply sender until the command is applied.
    fn propose(&mut self, body: CommandBody, reply: ReplySender) {
        let at = unix_ms().max(self.last_command_ms);
        self.last_command_ms = at;
        let command = Command {
            at: LogTimeMs(at),
            body,
        };
        let mut buf = Vec::new();
        ciborium::into_writer(&command, &mut buf).expect("commands are always serialisable");
        match self.replica.propose(buf) {
            Ok(index) => {
                self.pending.insert(index, (self.replica.term(), reply));
            }
            Err(e) => {
                let _ = reply.send(Err(SubmitError::NotTaken(e.to_string().into())));
            }
        }
    }

    /// Stores the replica's new state, sends its messages and applies committed entries.
    ///
    /// Repeats this until the replica has no more output.
    fn process_ready(&mut self, store: &mut dyn LogStore) -> Result<(), StoreError> {
        loop {
            let ready = self.replica.ready();
            if ready.must_store() {
                store.store(&ready)?;
            }
            self.replica.persisted(&ready);
            let idle = !ready.must_store() && ready.messages.is_empty();
            for message in ready.messages {
                self.shared.peers.send(message);
            }
            self.apply();
            if idle {
                break;
            }
        }
        if self.replica.role() != Role::Leader {
            self.fail_pending();
        }
        self.publish_status();
        Ok(())
    }

    /// Applies installed snapshots and committed entries, and compacts the log when it is due.
    fn apply(&mut self) {
        // After a suspension, the state machine may be ahead of the replica's snapshot and entries.
        let snapshot = self.replica.take_installed_snapshot();
        if let Some(snapshot) = snapshot.filter(|snapshot| snapshot.index > self.applied) {
            if !snapshot.state.is_empty() {
                let state = ControlState::from_bytes(&snapshot.state);
                *self.state.write().expect("no lock holder panics") =
                    state.expect("snapshots are encoded by the state machine of this program");
            }
            self.applied = snapshot.index;
            self.snapshot_index = snapshot.index;
        }
        let mut entries = self.replica.take_committed();
        entries.retain(|entry| entry.index > self.applied);
        if entries.is_empty() {
            return;
        }
        {
            let mut state = self.state.write().expect("no lock holder panics");
            for entry in &entries {
                apply_entry(&mut state, entry, &mut self.pending);
            }
        }
        self.applied = entries.last().map_or(self.applied, |entry| entry.index);
        let commands = entries.iter().filter_map(Entry::command);
        self.bytes_since_snapshot += commands.map(<[u8]>::len).sum::<usize>();
        let due = self.applied.0 >= self.snapshot_index.0 + SNAPSHOT_INTERVAL_ENTRIES;
        if due || self.bytes_since_snapshot >= SNAPSHOT_INTERVAL_BYTES {
            self.bytes_since_snapshot = 0;
            self.snapshot_index = self.applied;
            let bytes = self.state.read().expect("no lock holder panics").to_bytes();
            self.replica.compact(self.applied, bytes);
        }
    }

    /// Replies to all pending commands that their outcome is unknown.
    ///
    /// A replica that no longer leads cannot tell whether they will be committed.
    fn fail_pending(&mut self) {
        for (_, (_, reply)) in std::mem::take(&mut self.pending) {
            let unknown = SubmitError::Unknown("this instance no longer leads".into());
            let _ = reply.send(Err(unknown));
        }
    }

    /// Publishes the replica's status, and what subscribers follow of the applied state.
    ///
    /// Subscribers are notified only of changes.
    fn publish_status(&mut self) {
        let now = self.now();
        let leads = self.replica.has_lease();
        let follows = self.replica.role() == Role::Follower && self.replica.leader().is_some();
        if leads || follows {
            self.leader_contact_ms = now;
        }
        let status = ReplicaStatus {
            leader: self.replica.leader(),
            term: self.replica.term(),
            commit: self.replica.commit_index(),
            membership: self.replica.membership().clone(),
            votes: self
                .replica
                .committed_membership()
                .voters
                .contains(&self.replica.id()),
            current: self.leader_contact_ms > 0 && now < self.leader_contact_ms + LEADER_TIMEOUT_MS,
            suspended: false,
        };
        self.status.send_if_modified(|old| {
            let changed = *old != status;
            if changed && old.leader != status.leader {
                tracing::info!(event = "TS2103", term = status.term.0, leader = ?status.leader, "leader changed");
            }
            *old = status;
            changed
        });
        let (deployment_version, leaving_count, revision) = {
            let state = self.state.read().expect("no lock holder panics");
            let leaving_count = state.leaving().map_or(0, LeavingTargets::count);
            let revision = state.configuration().revision();
            (state.deployment_version(), leaving_count, revision)
        };
        publish_change(&self.deployment_version, deployment_version);
        publish_change(&self.leaving_count, leaving_count);
        publish_change(&self.revision, revision);
    }
}

/// Sends a value to its subscribers if it differs from the last one.
fn publish_change<T: Copy + PartialEq>(tx: &watch::Sender<T>, value: T) {
    tx.send_if_modified(|old| std::mem::replace(old, value) != value);
}

/// Returns the time since the Unix epoch, in milliseconds.
fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}
