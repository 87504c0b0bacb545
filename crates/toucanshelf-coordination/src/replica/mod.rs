//! Raft replica: elections, replication, commit, snapshots and voter changes.
//!
//! The caller drives a [`Replica`] with [`Replica::tick`], [`Replica::receive`] and
//! [`Replica::propose`]. After each call it takes [`Replica::ready`], stores the state in it, calls
//! [`Replica::persisted`], sends the messages and applies the entries from
//! [`Replica::take_committed`]. The state that a message reports must be durable before the message
//! is sent.
//!
//! Voters elect the leader and form the quorum; learners only receive the log. Once a quorum has
//! acknowledged a leader's messages, the leader holds a lease, which lasts for [`LEASE_MS`] from
//! the time at which it sent them. While the lease is valid, no other replica can be elected.

mod departures;
mod election;
mod entry;
mod message;
mod progress;
mod ready;
mod replication;
mod voters;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

pub use departures::Departures;
pub use entry::{Entry, EntryBody, Index, LogSnapshot, Membership, Persisted, ReplicaId, Term};
pub use message::{Message, MessageBody};
use progress::Progress;
pub use ready::{ProposeError, Ready, ReplicaConfig, Role};
pub use voters::{MAX_VOTERS, VoterPolicy, next_membership, silence_limit_ms};

/// Interval between a leader's heartbeats, in milliseconds.
pub const HEARTBEAT_MS: u64 = 100;
/// Minimum time without a leader before a replica starts an election, in milliseconds.
pub const ELECTION_TIMEOUT_MS: u64 = 600;
/// Duration of a leader's lease, in milliseconds.
///
/// It counts from when the leader sent the messages that a quorum has acknowledged.
// The lease is shorter than the election timeout, so it ends before another replica can win.
pub const LEASE_MS: u64 = 450;
/// Maximum size of the log entries in one message, in bytes.
///
/// An entry that exceeds the limit is sent in a message of its own.
pub const MAX_APPEND_BYTES: usize = 512 * 1024;
/// Maximum number of log entries kept although a snapshot already includes them.
///
/// A follower that lags only slightly catches up from these entries instead of a snapshot.
pub const MAX_RETAINED_ENTRIES: u64 = 2_048;
/// Maximum size of the log entries kept although a snapshot includes them, in bytes.
pub const MAX_RETAINED_BYTES: usize = 4 * 1024 * 1024;

/// Raft replica, which its caller drives and which performs no I/O.
#[derive(Debug)]
pub struct Replica {
    config: ReplicaConfig,
    rng: ChaCha8Rng,
    now: u64,

    term: Term,
    vote: Option<ReplicaId>,
    snapshot: LogSnapshot,
    entries: VecDeque<Entry>,
    /// Index of the last entry known to be stored durably on this replica.
    durable_index: Index,

    role: Role,
    leader: Option<ReplicaId>,
    /// Time of the last message from a leader, in milliseconds; 0 means none.
    ///
    /// After a restart it is the time of the restart.
    last_leader_contact: u64,
    /// Leader from which a message was last received.
    last_leader: Option<ReplicaId>,
    /// Time from which this replica leads, in milliseconds, while it does.
    leads_since: u64,
    /// Time at which this replica starts its next election, in milliseconds.
    election_due: u64,
    /// Time at which the leader sends the next heartbeat, in milliseconds.
    heartbeat_due: u64,
    votes: BTreeSet<ReplicaId>,
    /// Index of the first entry of this leader's term.
    term_start: Index,
    progress: BTreeMap<ReplicaId, Progress>,

    commit: Index,
    /// Index of the last entry that the caller took with [`Replica::take_committed`].
    last_taken: Index,
    /// Snapshot that the caller has yet to apply to its state machine.
    installed_snapshot: Option<LogSnapshot>,
    membership: Membership,

    vote_changed: bool,
    snapshot_changed: bool,
    log_reset: bool,
    /// Index of the first entry that the caller must store with the next [`Ready`].
    first_unpersisted: Option<Index>,
    outbox: Vec<Message>,
}

impl Replica {
    /// Creates a replica from its stored state.
    ///
    /// `now` is the current time in milliseconds. The `seed`, combined with the replica's id,
    /// determines its election timeouts.
    pub fn new(config: ReplicaConfig, stored: Persisted, seed: u64, now: u64) -> Self {
        let last = stored.last_index();
        let commit = stored.snapshot.index;
        let mut out = Self {
            config,
            rng: ChaCha8Rng::seed_from_u64(seed ^ config.id.0),
            now,
            term: stored.term,
            vote: stored.vote,
            membership: stored.snapshot.membership.clone(),
            installed_snapshot: (commit > Index(0)).then(|| stored.snapshot.clone()),
            snapshot: stored.snapshot,
            entries: stored.entries.into(),
            durable_index: last,
            role: Role::Follower,
            leader: None,
            // Before its restart, a voter may have acknowledged a lease that is still valid. The
            // restart therefore counts as contact with a leader: the voter grants no vote to
            // another candidate before that lease has ended.
            last_leader_contact: if stored.term > Term(0) { now.max(1) } else { 0 },
            last_leader: None,
            leads_since: 0,
            election_due: 0,
            heartbeat_due: 0,
            votes: BTreeSet::new(),
            term_start: Index(0),
            progress: BTreeMap::new(),
            commit,
            last_taken: commit,
            vote_changed: false,
            snapshot_changed: false,
            log_reset: false,
            first_unpersisted: None,
            outbox: Vec::new(),
        };
        out.refresh_membership();
        out.reset_election_timer();
        out
    }

    /// Returns the id of this replica.
    pub fn id(&self) -> ReplicaId {
        self.config.id
    }

    /// Returns the current term of this replica.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Returns the role of this replica in the current term.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Returns the leader of the current term, if it is known.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// Returns the index of the last entry that this replica knows to be committed.
    pub fn commit_index(&self) -> Index {
        self.commit
    }

    /// Returns the index of the last entry in this replica's log.
    pub fn last_index(&self) -> Index {
        self.entries
            .back()
            .map_or(self.snapshot.index, |entry| entry.index)
    }

    /// Returns the voters and learners that are in effect at this replica.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the voters and learners of the last membership change that is known to be committed.
    pub fn committed_membership(&self) -> Membership {
        if self.is_change_pending() {
            self.membership_at(self.commit)
        } else {
            self.membership.clone()
        }
    }

    /// Returns the number of log entries that this replica holds in memory.
    pub fn entries_in_memory(&self) -> usize {
        self.entries.len()
    }

    /// Returns the end of this leader's lease, in milliseconds.
    ///
    /// No other replica can win an election before that time. Returns `None` if this replica is
    /// not the leader or has not yet committed an entry of its term.
    pub fn lease_until(&self) -> Option<u64> {
        if self.role != Role::Leader || self.commit < self.term_start {
            return None;
        }
        Some(self.quorum_ack_time() + LEASE_MS)
    }

    /// Returns whether this replica is the leader and its lease is valid.
    ///
    /// While the lease is valid, no other replica can have won an election.
    pub fn has_lease(&self) -> bool {
        self.lease_until().is_some_and(|until| self.now < until)
    }

    /// Advances the clock to `now` in milliseconds and runs the timers that are due.
    pub fn tick(&mut self, now: u64) {
        self.now = self.now.max(now);
        if self.role == Role::Leader {
            self.tick_leader();
        } else if self.now >= self.election_due && self.is_voter() {
            self.start_election();
        }
    }

    /// Processes a message from another replica at time `now` in milliseconds.
    pub fn receive(&mut self, now: u64, message: Message) {
        self.now = self.now.max(now);
        if message.to != self.config.id {
            return;
        }
        let from = message.from;
        if message.term > self.term && !self.ignores_term_of(&message) {
            let leader = message.body.is_from_leader().then_some(from);
            self.become_follower(message.term, leader);
        }
        match message.body {
            MessageBody::PreVote {
                last_index,
                last_term,
            } => {
                self.receive_pre_vote(from, message.term, last_index, last_term);
            }
            MessageBody::PreVoteReply { granted } => {
                self.receive_pre_vote_reply(from, message.term, granted);
            }
            MessageBody::Vote {
                last_index,
                last_term,
            } => {
                self.receive_vote(from, message.term, last_index, last_term);
            }
            MessageBody::VoteReply { granted } => {
                self.receive_vote_reply(from, message.term, granted);
            }
            MessageBody::Append {
                previous,
                previous_term,
                entries,
                commit,
                sent,
            } => {
                let append = replication::Append {
                    previous,
                    previous_term,
                    entries,
                    commit,
                    sent,
                };
                self.receive_append(from, message.term, append);
            }
            MessageBody::AppendReply {
                matched,
                rejected,
                sent,
            } => {
                self.receive_append_reply(from, message.term, matched, rejected, sent);
            }
            MessageBody::Snapshot { snapshot, sent } => {
                self.receive_snapshot(from, message.term, snapshot, sent);
            }
        }
    }

    /// Appends a command to the log and returns its index.
    ///
    /// # Errors
    ///
    /// Returns [`ProposeError::NotLeader`] if this replica is not the leader.
    pub fn propose(&mut self, command: Vec<u8>) -> Result<Index, ProposeError> {
        if self.role != Role::Leader {
            return Err(ProposeError::NotLeader(self.leader));
        }
        Ok(self.append_as_leader(EntryBody::Command(command)))
    }

    /// Appends a change of voters and learners to the log and returns its index.
    ///
    /// # Errors
    ///
    /// Fails if this replica is not the leader, has not yet committed an entry of its term, or
    /// has an uncommitted membership change. It also fails if the change affects more than one
    /// voter, leaves no voters, adds a voter that has not caught up with the committed log, or if no
    /// quorum of the changed voters answers now.
    pub fn propose_membership(&mut self, next: Membership) -> Result<Index, ProposeError> {
        if self.role != Role::Leader {
            return Err(ProposeError::NotLeader(self.leader));
        }
        if self.commit < self.term_start || self.is_change_pending() {
            return Err(ProposeError::ChangePending);
        }
        let changed = self
            .membership
            .voters
            .symmetric_difference(&next.voters)
            .count();
        let mut added = next.voters.difference(&self.membership.voters);
        let caught_up = added.all(|id| self.has_caught_up(*id));
        if changed > 1 || next.voters.is_empty() || !caught_up {
            return Err(ProposeError::InvalidChange);
        }
        let answering = next.voters.iter().filter(|id| self.answers(**id)).count();
        if answering < next.quorum() {
            return Err(ProposeError::NoQuorum);
        }
        Ok(self.append_as_leader(EntryBody::Membership(next)))
    }

    /// Returns the state to store and the messages to send afterwards.
    pub fn ready(&mut self) -> Ready {
        if self.role == Role::Leader {
            self.send_new_entries();
        }
        let vote = std::mem::take(&mut self.vote_changed).then_some((self.term, self.vote));
        let snapshot = std::mem::take(&mut self.snapshot_changed).then(|| self.snapshot.clone());
        let entries = match self.first_unpersisted.take() {
            Some(first) => self.entries_from(first).cloned().collect(),
            None => Vec::new(),
        };
        let log_reset = std::mem::take(&mut self.log_reset);
        Ready {
            vote,
            snapshot,
            log_reset,
            entries,
            first_retained: self.entries.front().map(|entry| entry.index),
            messages: std::mem::take(&mut self.outbox),
        }
    }

    /// Informs the replica that the state in `ready` has been stored durably.
    pub fn persisted(&mut self, ready: &Ready) {
        if let Some(snapshot) = &ready.snapshot {
            self.durable_index = self.durable_index.max(snapshot.index);
        }
        if let Some(last) = ready.entries.last() {
            // A later append may have replaced these entries while they were being stored.
            if self.term_at(last.index) == Some(last.term) {
                self.durable_index = last.index;
            }
        }
        if self.role == Role::Leader {
            self.advance_commit();
        }
    }

    /// Returns the snapshot that the caller has yet to apply, if any.
    ///
    /// It was received from a leader or stored before a restart. The caller must apply it before
    /// any entry.
    pub fn take_installed_snapshot(&mut self) -> Option<LogSnapshot> {
        self.installed_snapshot.take()
    }

    /// Returns the committed entries that have not been returned before, in order.
    pub fn take_committed(&mut self) -> Vec<Entry> {
        let until = self.commit.min(self.durable_index);
        let first = Index(self.last_taken.0 + 1);
        let out: Vec<_> = self
            .entries_from(first)
            .take_while(|entry| entry.index <= until)
            .cloned()
            .collect();
        if let Some(last) = out.last() {
            self.last_taken = last.index;
        }
        out
    }

    /// Replaces the log up to `index` by a snapshot of the state machine.
    ///
    /// The call has no effect if `index` is not after the previous snapshot, or is after the last
    /// entry returned by [`Replica::take_committed`].
    pub fn compact(&mut self, index: Index, state: Vec<u8>) {
        if index <= self.snapshot.index || index > self.last_taken {
            return;
        }
        let term = self
            .term_at(index)
            .expect("every taken entry after the snapshot is in the log");
        let membership = self.membership_at(index);
        self.snapshot = LogSnapshot {
            index,
            term,
            membership,
            state,
        };
        self.snapshot_changed = true;
        let last_dropped = self.last_dropped(index);
        while self
            .entries
            .front()
            .is_some_and(|entry| entry.index.0 <= last_dropped)
        {
            self.entries.pop_front();
        }
    }

    /// Returns the last index to drop from the log after a snapshot at `index`.
    fn last_dropped(&self, index: Index) -> u64 {
        let count_cutoff = index.0.saturating_sub(MAX_RETAINED_ENTRIES);
        let mut bytes = 0;
        let newest_first = self.entries.iter().rev();
        let size_cutoff = newest_first
            .skip_while(|entry| entry.index > index)
            .find(|entry| {
                bytes += entry.size();
                bytes > MAX_RETAINED_BYTES
            });
        size_cutoff.map_or(count_cutoff, |entry| count_cutoff.max(entry.index.0))
    }

    /// Returns the age of the latest message that a follower has acknowledged, in milliseconds.
    ///
    /// The leader of an earlier term that has acknowledged nothing since counts as silent from its last
    /// message on, once it has had time to answer this leader. Returns `None` if this replica is not the
    /// leader or does not know the follower.
    pub fn time_since_ack(&self, id: ReplicaId) -> Option<u64> {
        let progress = self.progress.get(&id)?;
        if self.role != Role::Leader {
            return None;
        }
        let is_silent = progress.acked_sent <= self.leads_since
            && self.now >= self.leads_since + ELECTION_TIMEOUT_MS;
        let last_heard = if is_silent && self.last_leader == Some(id) {
            self.last_leader_contact
        } else {
            progress.acked_sent
        };
        Some(self.now.saturating_sub(last_heard))
    }

    /// Returns whether the log has a membership change that isn't known to be committed.
    fn is_change_pending(&self) -> bool {
        let mut uncommitted = self.entries_from(Index(self.commit.0 + 1));
        uncommitted.any(Entry::is_membership)
    }

    /// Returns whether a replica is known to have all committed entries.
    fn has_caught_up(&self, id: ReplicaId) -> bool {
        let progress = self.progress.get(&id);
        progress.is_some_and(|progress| progress.matched >= self.commit)
    }

    /// Returns whether a replica has lately acknowledged a message of this leader's term.
    fn answers(&self, id: ReplicaId) -> bool {
        let has_acked = |progress: &Progress| {
            progress.matched > Index(0) && self.now < progress.acked_sent + ELECTION_TIMEOUT_MS
        };
        id == self.config.id || self.progress.get(&id).is_some_and(has_acked)
    }

    fn is_voter(&self) -> bool {
        self.membership.voters.contains(&self.config.id)
    }

    fn is_quorum(&self, ids: &BTreeSet<ReplicaId>) -> bool {
        let count = self.membership.voters.intersection(ids).count();
        count >= self.membership.quorum()
    }

    fn entries_from(&self, first: Index) -> impl Iterator<Item = &Entry> {
        let start = self
            .entries
            .front()
            .map_or(0, |front| first.0.saturating_sub(front.index.0));
        self.entries.iter().skip(start as usize)
    }

    fn term_at(&self, index: Index) -> Option<Term> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        let front = self.entries.front()?.index;
        let offset = index.0.checked_sub(front.0)?;
        self.entries.get(offset as usize).map(|entry| entry.term)
    }

    fn last_term(&self) -> Term {
        self.entries
            .back()
            .map_or(self.snapshot.term, |entry| entry.term)
    }

    fn membership_at(&self, index: Index) -> Membership {
        let mut entries = self
            .entries
            .iter()
            .rev()
            .skip_while(|entry| entry.index > index);
        let found = entries.find_map(|entry| match &entry.body {
            EntryBody::Membership(membership) => Some(membership.clone()),
            _ => None,
        });
        found.unwrap_or_else(|| self.snapshot.membership.clone())
    }

    fn refresh_membership(&mut self) {
        self.membership = self.membership_at(self.last_index());
        if self.role == Role::Leader {
            self.refresh_progress();
        }
    }

    fn reset_election_timer(&mut self) {
        if self.membership.voters.len() == 1 && self.is_voter() {
            // The only voter cannot compete with another candidate and starts its election at once.
            self.election_due = self.now;
            return;
        }
        let jitter = self.rng.random_range(0..ELECTION_TIMEOUT_MS);
        self.election_due = self.now + ELECTION_TIMEOUT_MS + jitter;
    }

    fn send(&mut self, to: ReplicaId, term: Term, body: MessageBody) {
        self.outbox.push(Message {
            from: self.config.id,
            to,
            term,
            body,
        });
    }

    fn peers(&self) -> Vec<ReplicaId> {
        let all = self.membership.voters.union(&self.membership.learners);
        all.copied().filter(|id| *id != self.config.id).collect()
    }
}
