//! Thread that runs the replica, stores its state and applies committed commands.

mod apply;
mod founding;

use std::collections::BTreeMap;
use std::fmt;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::sync::{Arc, Mutex, RwLock, RwLockReadGuard};
use std::time::{Duration, Instant};

use tokio::sync::{oneshot, watch};
use toucanshelf_coordination::replica::{
    Entry, Index, MAX_VOTERS, Membership, Message, Persisted, Replica, ReplicaConfig, ReplicaId,
    Role, Term, VoterPolicy, next_membership,
};
use toucanshelf_coordination::store::{LogStore, RedbStore, StoreError};
use toucanshelf_core::ids::{LogTimeMs, Revision};
use toucanshelf_core::state::{Command, CommandBody, ControlState, Reply};
use toucanshelf_link::frame::{LogId, SubmitError};

use crate::Parts;
use crate::settings::ControlSettings;
use apply::apply_entry;
use founding::rand_u64;

/// Time between ticks of the replica.
const TICK: Duration = Duration::from_millis(20);
/// Entries after which the log is replaced by a snapshot.
const SNAPSHOT_EVERY: u64 = 4_096;
/// Bytes of commands after which the log is replaced by a snapshot.
const SNAPSHOT_EVERY_BYTES: usize = 2 * 1024 * 1024;
/// Silence after which another replica may take a voter's place, in milliseconds.
// Longer than a freeze of some seconds, so that a voter that wakes again keeps its place.
const VOTER_SILENCE_MS: u64 = 6_000;
/// Most commands that are stored in one write.
const MAX_BATCH: usize = 512;
/// Time without a leader after which this instance does not call itself current.
const CURRENT_MS: u64 = 1_500;

type ReplySender = oneshot::Sender<Result<Reply, SubmitError>>;

enum Input {
    Message(Message),
    Submit {
        body: CommandBody,
        reply: ReplySender,
    },
    /// A replica that another control instance introduced itself with.
    Seen(ReplicaId),
    /// All other instances have said that their disks are empty.
    Bootstrap,
    Stop,
}

/// What others may know of the replica.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Standing {
    /// Leader of the current term.
    pub leader: Option<ReplicaId>,
    /// Current term.
    pub term: Term,
    /// Last committed index.
    pub commit: Index,
    /// Voters and learners.
    pub membership: Membership,
    /// Whether this replica leads and holds its lease, or has just heard the leader.
    pub current: bool,
}

/// Handle on the replica's thread.
pub struct Driver {
    replica: ReplicaId,
    inputs: Sender<Input>,
    receiver: Mutex<Option<(Receiver<Input>, RedbStore, Persisted)>>,
    state: Arc<RwLock<ControlState>>,
    standing: Arc<watch::Sender<Standing>>,
    revision: Arc<watch::Sender<Revision>>,
    deployed: Arc<watch::Sender<Option<u64>>>,
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
    /// Opens the data folder; the replica starts with [`Driver::start`].
    ///
    /// # Errors
    ///
    /// Fails when the data folder can't be used or is damaged.
    pub fn open(settings: &ControlSettings) -> Result<Self, StoreError> {
        let founders = settings.founders();
        let fresh = founding::fresh_identity(&settings.name, founders.is_empty());
        let (mut store, replica, mut persisted) = RedbStore::open(&settings.data_folder, fresh)?;
        if !founders.is_empty() && persisted == Persisted::default() {
            persisted = founding::found_together(&mut store, &founders)?;
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
            receiver: Mutex::new(Some((receiver, store, persisted))),
            state: Arc::default(),
            standing: Arc::new(watch::Sender::new(Standing::default())),
            revision: Arc::new(watch::Sender::new(Revision(0))),
            deployed: Arc::new(watch::Sender::new(None)),
            failure: Arc::new(watch::Sender::new(None)),
        })
    }

    /// Starts the replica's thread; called once.
    pub(crate) fn start(&self, settings: &ControlSettings, parts: Arc<Parts>) {
        let taken = self.receiver.lock().expect("no holder panics").take();
        let Some((receiver, store, persisted)) = taken else {
            return;
        };
        let core = Core::new(self, store, persisted, parts);
        let failure = Arc::clone(&self.failure);
        let spawned = std::thread::Builder::new()
            .name("replica".into())
            .spawn(move || {
                if let Err(e) = core.run(&receiver) {
                    tracing::error!(event = "TS2101", cause = %e, "the replica's store failed");
                    failure.send_replace(Some(e.to_string().into()));
                }
            });
        spawned.expect("the system can start threads");
        tracing::info!(event = "TS2102", name = %settings.name, replica = self.replica.0, "replica started");
    }

    /// Identity of the replica.
    pub fn replica(&self) -> ReplicaId {
        self.replica
    }

    /// Applied state.
    pub fn state(&self) -> RwLockReadGuard<'_, ControlState> {
        self.state.read().expect("no writer panics")
    }

    /// Identity of the log, once it is named.
    pub fn log(&self) -> Option<LogId> {
        self.state().log()
    }

    /// Leader of the current term, where it is known.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.standing.borrow().leader
    }

    /// What is known of the replica.
    pub fn standing(&self) -> Standing {
        self.standing.borrow().clone()
    }

    /// Receiver of the applied revision.
    pub fn revisions(&self) -> watch::Receiver<Revision> {
        self.revision.subscribe()
    }

    /// Receiver of the version of the deployment in force.
    pub fn deployments(&self) -> watch::Receiver<Option<u64>> {
        self.deployed.subscribe()
    }

    /// Commits a command if this replica leads.
    ///
    /// # Errors
    ///
    /// Fails with [`SubmitError::NotTaken`] only when the command will never be committed.
    pub async fn submit(&self, body: CommandBody) -> Result<Reply, SubmitError> {
        let (reply, answer) = oneshot::channel();
        if self.inputs.send(Input::Submit { body, reply }).is_err() {
            return Err(SubmitError::NotTaken("the replica has stopped".into()));
        }
        let lost = Err(SubmitError::Unknown("the replica stopped".into()));
        answer.await.unwrap_or(lost)
    }

    /// Passes on a message from another replica.
    pub fn receive(&self, message: Message) {
        self.input(Input::Message(message));
    }

    /// Notes a replica that another control instance introduced itself with.
    pub fn see(&self, replica: ReplicaId) {
        self.input(Input::Seen(replica));
    }

    /// Founds the log; every other instance has said that its disk is empty.
    pub fn bootstrap(&self) {
        self.input(Input::Bootstrap);
    }

    /// Stops the replica's thread.
    pub fn stop(&self) {
        self.input(Input::Stop);
    }

    fn input(&self, input: Input) {
        // Fails only when the thread has stopped, and then nothing is left to be told.
        let _ = self.inputs.send(input);
    }

    /// Waits until the store fails, and returns the cause.
    pub async fn failed(&self) -> Box<str> {
        let mut failure = self.failure.subscribe();
        let failed = failure.wait_for(Option::is_some).await;
        failed
            .ok()
            .and_then(|cause| cause.clone())
            .unwrap_or_default()
    }
}

struct Core {
    replica: Replica,
    store: RedbStore,
    parts: Arc<Parts>,
    state: Arc<RwLock<ControlState>>,
    standing: Arc<watch::Sender<Standing>>,
    revision: Arc<watch::Sender<Revision>>,
    deployed: Arc<watch::Sender<Option<u64>>>,
    started: Instant,
    pending: BTreeMap<Index, (Term, ReplySender)>,
    seen: Vec<ReplicaId>,
    applied: Index,
    snapshot_at: Index,
    bytes_since_snapshot: usize,
    log_time: u64,
    leader_heard: u64,
}

impl Core {
    fn new(driver: &Driver, store: RedbStore, persisted: Persisted, parts: Arc<Parts>) -> Self {
        let config = ReplicaConfig::new(driver.replica);
        let snapshot_at = persisted.snapshot.index;
        let replica = Replica::new(config, persisted, rand_u64(), 1);
        Self {
            replica,
            store,
            parts,
            state: Arc::clone(&driver.state),
            standing: Arc::clone(&driver.standing),
            revision: Arc::clone(&driver.revision),
            deployed: Arc::clone(&driver.deployed),
            started: Instant::now(),
            pending: BTreeMap::new(),
            seen: Vec::new(),
            applied: snapshot_at,
            snapshot_at,
            bytes_since_snapshot: 0,
            log_time: 0,
            leader_heard: 0,
        }
    }

    fn run(mut self, inputs: &Receiver<Input>) -> Result<(), StoreError> {
        let mut next_tick = Instant::now();
        loop {
            let wait = next_tick.saturating_duration_since(Instant::now());
            match inputs.recv_timeout(wait) {
                Ok(input) => {
                    // Whatever else has arrived is stored in the same write.
                    let more = inputs.try_iter().take(MAX_BATCH);
                    for input in std::iter::once(input).chain(more) {
                        if matches!(input, Input::Stop) {
                            return Ok(());
                        }
                        self.take(input);
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return Ok(()),
            }
            if Instant::now() >= next_tick {
                next_tick = Instant::now() + TICK;
                self.replica.tick(self.now());
                self.adjust_membership();
            }
            self.settle()?;
        }
    }

    fn now(&self) -> u64 {
        // Starts above 0, which stands for "never" in the replica.
        self.started.elapsed().as_millis() as u64 + 1
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Message(message) => self.replica.receive(self.now(), message),
            Input::Submit { body, reply } => self.propose(body, reply),
            Input::Seen(id) => {
                // A replica takes the place of its predecessor on the same instance.
                self.seen.retain(|old| !old.same_instance(id));
                self.seen.push(id);
            }
            Input::Bootstrap => self.found(),
            Input::Stop => {}
        }
    }

    fn found(&mut self) {
        let empty = self.replica.last_index() == Index(0) && self.replica.term() == Term(0);
        if empty && self.replica.membership().voters.is_empty() {
            let id = self.replica.id();
            let stored = Persisted::with_voters([id]);
            self.replica = Replica::new(ReplicaConfig::new(id), stored, rand_u64(), self.now());
        }
    }

    fn propose(&mut self, body: CommandBody, reply: ReplySender) {
        let at = unix_ms().max(self.log_time);
        self.log_time = at;
        let command = Command {
            at: LogTimeMs(at),
            body,
        };
        let mut buf = Vec::new();
        ciborium::into_writer(&command, &mut buf).expect("commands are serialisable");
        match self.replica.propose(buf) {
            Ok(index) => {
                self.pending.insert(index, (self.replica.term(), reply));
            }
            Err(e) => {
                let _ = reply.send(Err(SubmitError::NotTaken(e.to_string().into())));
            }
        }
    }

    /// Stores, sends and applies until nothing more follows from what has been taken.
    fn settle(&mut self) -> Result<(), StoreError> {
        loop {
            let ready = self.replica.ready();
            if ready.must_store() {
                self.store.store(&ready)?;
            }
            self.replica.persisted(&ready);
            let idle = !ready.must_store() && ready.messages.is_empty();
            for message in ready.messages {
                self.parts.peers.send(message);
            }
            self.apply();
            if idle {
                break;
            }
        }
        if self.replica.role() != Role::Leader {
            self.lose_pending();
        }
        self.publish();
        Ok(())
    }

    fn apply(&mut self) {
        if let Some(snapshot) = self.replica.take_installed_snapshot() {
            if !snapshot.state.is_empty() {
                let state = ControlState::from_bytes(&snapshot.state);
                *self.state.write().expect("no writer panics") =
                    state.expect("a snapshot was written by this program's state machine");
            }
            self.applied = snapshot.index;
            self.snapshot_at = snapshot.index;
        }
        let entries = self.replica.take_committed();
        if entries.is_empty() {
            return;
        }
        {
            let mut state = self.state.write().expect("no writer panics");
            for entry in &entries {
                apply_entry(&mut state, entry, &mut self.pending);
            }
        }
        self.applied = entries.last().map_or(self.applied, |entry| entry.index);
        let commands = entries.iter().filter_map(Entry::command);
        self.bytes_since_snapshot += commands.map(<[u8]>::len).sum::<usize>();
        let due = self.applied.0 >= self.snapshot_at.0 + SNAPSHOT_EVERY;
        if due || self.bytes_since_snapshot >= SNAPSHOT_EVERY_BYTES {
            self.bytes_since_snapshot = 0;
            self.snapshot_at = self.applied;
            let bytes = self.state.read().expect("no writer panics").to_bytes();
            self.replica.compact(self.applied, bytes);
        }
    }

    fn lose_pending(&mut self) {
        for (_, (_, reply)) in std::mem::take(&mut self.pending) {
            let lost = SubmitError::Unknown("this instance no longer leads".into());
            let _ = reply.send(Err(lost));
        }
    }

    fn publish(&mut self) {
        let now = self.now();
        let leads = self.replica.has_lease();
        let follows = self.replica.role() == Role::Follower && self.replica.leader().is_some();
        if leads || follows {
            self.leader_heard = now;
        }
        let standing = Standing {
            leader: self.replica.leader(),
            term: self.replica.term(),
            commit: self.replica.commit_index(),
            membership: self.replica.membership().clone(),
            current: self.leader_heard > 0 && now < self.leader_heard + CURRENT_MS,
        };
        self.standing.send_if_modified(|old| {
            let changed = *old != standing;
            if changed && old.leader != standing.leader {
                tracing::info!(event = "TS2103", term = standing.term.0, leader = ?standing.leader, "leader changed");
            }
            *old = standing;
            changed
        });
        let deployed = self
            .state
            .read()
            .expect("no writer panics")
            .deployment_version();
        self.deployed
            .send_if_modified(|old| std::mem::replace(old, deployed) != deployed);
        let revision = self
            .state
            .read()
            .expect("no writer panics")
            .configuration()
            .revision();
        self.revision
            .send_if_modified(|old| std::mem::replace(old, revision) != revision);
    }

    fn voter_policy(&self) -> VoterPolicy {
        let Some(deployment) = &self.parts.settings.deployment else {
            return VoterPolicy::new(MAX_VOTERS);
        };
        let mut policy = VoterPolicy::new(2 * deployment.tolerated_losses + 1);
        let members = self.replica.membership();
        let ids = members.voters.iter().chain(&members.learners).copied();
        let silent = ids.filter(|id| {
            let silence = self.replica.time_since_ack(*id);
            silence.is_some_and(|silence| silence > VOTER_SILENCE_MS)
        });
        policy.unresponsive = silent.collect();
        policy
    }

    /// As leader, names a new log, adds new replicas as learners and promotes those in step.
    fn adjust_membership(&mut self) {
        if !self.replica.has_lease() {
            return;
        }
        if self.parts.driver.log().is_none() && self.pending.is_empty() {
            let (reply, _) = oneshot::channel();
            self.propose(CommandBody::Found { log: rand_u64() }, reply);
        }
        let policy = self.voter_policy();
        let Some(next) = next_membership(self.replica.membership(), &self.seen, &policy) else {
            return;
        };
        match self.replica.propose_membership(next) {
            Ok(index) => tracing::info!(event = "TS2104", index = index.0, "voters change"),
            Err(cause) => tracing::trace!(event = "TS2105", %cause, "voters stay"),
        }
    }
}

fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}
