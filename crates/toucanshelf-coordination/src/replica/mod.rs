//! One replica of the log: elections, replication, commit, snapshots and voter changes.
//!
//! The caller drives a [`Replica`] with [`Replica::tick`], [`Replica::receive`] and
//! [`Replica::propose`]. After each it takes [`Replica::ready`], stores what that holds, calls
//! [`Replica::persisted`], sends the messages and applies [`Replica::take_committed`]. A message
//! is never sent before the state that it promises is durable.

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

pub use entry::{Entry, EntryBody, Index, LogSnapshot, Membership, Persisted, ReplicaId, Term};
pub use message::{Message, MessageBody};
use progress::Progress;
pub use ready::{ProposeError, Ready, ReplicaConfig, Role};
pub use voters::{MAX_VOTERS, VoterPolicy, next_membership};

/// Time between heartbeats of a leader, in milliseconds.
pub const HEARTBEAT_MS: u64 = 100;
/// Shortest time without a leader after which a replica stands for election, in milliseconds.
pub const ELECTION_TIMEOUT_MS: u64 = 600;
/// Time for which a quorum's acknowledgement keeps a leader's lease, in milliseconds.
// Shorter than the election timeout, so that the lease ends before anyone can win an election.
pub const LEASE_MS: u64 = 450;
/// Most bytes of entries in one message.
pub const MAX_APPEND_BYTES: usize = 512 * 1024;
/// Entries kept behind a snapshot for replicas that lag a little.
pub const ENTRIES_KEPT: u64 = 2_048;
/// Bytes of entries kept behind a snapshot, whatever their number.
pub const BYTES_KEPT: usize = 4 * 1024 * 1024;

/// One replica of the log.
#[derive(Debug)]
pub struct Replica {
    config: ReplicaConfig,
    rng: ChaCha8Rng,
    now: u64,

    term: Term,
    vote: Option<ReplicaId>,
    snapshot: LogSnapshot,
    entries: VecDeque<Entry>,
    /// Last index known to be on this replica's disk.
    durable: Index,

    role: Role,
    leader: Option<ReplicaId>,
    /// Last time that a live leader was heard.
    leader_heard: u64,
    election_due: u64,
    heartbeat_due: u64,
    votes: BTreeSet<ReplicaId>,
    /// First index of the leader's own term.
    term_start: Index,
    progress: BTreeMap<ReplicaId, Progress>,

    commit: Index,
    taken: Index,
    installed: Option<LogSnapshot>,
    membership: Membership,

    vote_changed: bool,
    snapshot_changed: bool,
    log_reset: bool,
    first_unstored: Option<Index>,
    outbox: Vec<Message>,
}

impl Replica {
    /// Starts a replica from its stored state at time `now` in milliseconds.
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
            installed: (commit > Index(0)).then(|| stored.snapshot.clone()),
            snapshot: stored.snapshot,
            entries: stored.entries.into(),
            durable: last,
            role: Role::Follower,
            leader: None,
            // A voter that restarts may have acknowledged a lease that still runs.
            leader_heard: if stored.term > Term(0) { now.max(1) } else { 0 },
            election_due: 0,
            heartbeat_due: 0,
            votes: BTreeSet::new(),
            term_start: Index(0),
            progress: BTreeMap::new(),
            commit,
            taken: commit,
            vote_changed: false,
            snapshot_changed: false,
            log_reset: false,
            first_unstored: None,
            outbox: Vec::new(),
        };
        out.refresh_membership();
        out.reset_election_timer();
        out
    }

    /// Identity of this replica.
    pub fn id(&self) -> ReplicaId {
        self.config.id
    }

    /// Current term.
    pub fn term(&self) -> Term {
        self.term
    }

    /// What this replica does in its term.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Replica that leads the current term, where it is known.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// Last committed index.
    pub fn commit_index(&self) -> Index {
        self.commit
    }

    /// Last index of the log.
    pub fn last_index(&self) -> Index {
        self.entries
            .back()
            .map_or(self.snapshot.index, |entry| entry.index)
    }

    /// Voters and learners in force.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Number of entries held in memory.
    pub fn entries_held(&self) -> usize {
        self.entries.len()
    }

    /// Time until which no other replica can have won an election, in milliseconds.
    ///
    /// None where this replica does not lead, or has not yet committed an entry of its term.
    pub fn lease_until(&self) -> Option<u64> {
        if self.role != Role::Leader || self.commit < self.term_start {
            return None;
        }
        Some(self.quorum_heard() + LEASE_MS)
    }

    /// Whether this replica leads and no other can have won an election yet.
    pub fn has_lease(&self) -> bool {
        self.lease_until().is_some_and(|until| self.now < until)
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: u64) {
        self.now = self.now.max(now);
        if self.role == Role::Leader {
            self.tick_leader();
        } else if self.now >= self.election_due && self.is_voter() {
            self.start_election();
        }
    }

    /// Takes a message from another replica.
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

    /// Adds a command to the log.
    ///
    /// # Errors
    ///
    /// Fails when this replica does not lead.
    pub fn propose(&mut self, command: Vec<u8>) -> Result<Index, ProposeError> {
        if self.role != Role::Leader {
            return Err(ProposeError::NotLeader(self.leader));
        }
        Ok(self.append_own(EntryBody::Command(command)))
    }

    /// Adds a change of voters and learners to the log.
    ///
    /// # Errors
    ///
    /// Fails when this replica does not lead, an earlier change is not committed yet, or the
    /// change is more than one voter.
    pub fn propose_membership(&mut self, next: Membership) -> Result<Index, ProposeError> {
        if self.role != Role::Leader {
            return Err(ProposeError::NotLeader(self.leader));
        }
        let under_way = self
            .entries_from(Index(self.commit.0 + 1))
            .any(Entry::is_membership);
        if self.commit < self.term_start || under_way {
            return Err(ProposeError::ChangeUnderWay);
        }
        let changed = self
            .membership
            .voters
            .symmetric_difference(&next.voters)
            .count();
        let mut added = next.voters.difference(&self.membership.voters);
        let caught_up = added.all(|id| {
            self.progress
                .get(id)
                .is_some_and(|p| p.matched >= self.commit)
        });
        if changed > 1 || next.voters.is_empty() || !caught_up {
            return Err(ProposeError::BadChange);
        }
        Ok(self.append_own(EntryBody::Membership(next)))
    }

    /// What must be stored and sent now.
    pub fn ready(&mut self) -> Ready {
        if self.role == Role::Leader {
            self.send_new_entries();
        }
        let vote = std::mem::take(&mut self.vote_changed).then_some((self.term, self.vote));
        let snapshot = std::mem::take(&mut self.snapshot_changed).then(|| self.snapshot.clone());
        let entries = match self.first_unstored.take() {
            Some(first) => self.entries_from(first).cloned().collect(),
            None => Vec::new(),
        };
        let log_reset = std::mem::take(&mut self.log_reset);
        Ready {
            vote,
            snapshot,
            log_reset,
            entries,
            kept_from: self.entries.front().map(|entry| entry.index),
            messages: std::mem::take(&mut self.outbox),
        }
    }

    /// Notes that the state in `ready` is durable.
    pub fn persisted(&mut self, ready: &Ready) {
        if let Some(snapshot) = &ready.snapshot {
            self.durable = self.durable.max(snapshot.index);
        }
        if let Some(last) = ready.entries.last() {
            // A later append may have replaced these entries meanwhile.
            if self.term_at(last.index) == Some(last.term) {
                self.durable = last.index;
            }
        }
        if self.role == Role::Leader {
            self.advance_commit();
        }
    }

    /// Snapshot that was installed since the last call, to be applied before any entry.
    pub fn take_installed(&mut self) -> Option<LogSnapshot> {
        self.installed.take()
    }

    /// Entries that are committed and not yet taken, in order.
    pub fn take_committed(&mut self) -> Vec<Entry> {
        let until = self.commit.min(self.durable);
        let first = Index(self.taken.0 + 1);
        let out: Vec<_> = self
            .entries_from(first)
            .take_while(|entry| entry.index <= until)
            .cloned()
            .collect();
        if let Some(last) = out.last() {
            self.taken = last.index;
        }
        out
    }

    /// Replaces the log up to `index`, which must have been taken, by a snapshot of the state.
    pub fn compact(&mut self, index: Index, state: Vec<u8>) {
        if index <= self.snapshot.index || index > self.taken {
            return;
        }
        let term = self
            .term_at(index)
            .expect("a taken entry above the snapshot is in the log");
        let membership = self.membership_at(index);
        self.snapshot = LogSnapshot {
            index,
            term,
            membership,
            state,
        };
        self.snapshot_changed = true;
        let keep_from = self.keep_from(index);
        while self
            .entries
            .front()
            .is_some_and(|entry| entry.index.0 <= keep_from)
        {
            self.entries.pop_front();
        }
    }

    /// Last entry up to `index` that is dropped behind a snapshot.
    fn keep_from(&self, index: Index) -> u64 {
        let oldest = index.0.saturating_sub(ENTRIES_KEPT);
        let mut bytes = 0;
        let covered = self.entries.iter().rev();
        let too_many = covered
            .skip_while(|entry| entry.index > index)
            .find(|entry| {
                bytes += entry.size();
                bytes > BYTES_KEPT
            });
        too_many.map_or(oldest, |entry| oldest.max(entry.index.0))
    }

    /// Time for which a follower has not answered this leader, in milliseconds.
    ///
    /// None where this replica does not lead or does not know the follower.
    pub fn silence_of(&self, id: ReplicaId) -> Option<u64> {
        let progress = self.progress.get(&id)?;
        (self.role == Role::Leader).then(|| self.now.saturating_sub(progress.heard))
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
            // Nobody else can lead, so there is nothing to wait for.
            self.election_due = self.now;
            return;
        }
        let spread = self.rng.random_range(0..ELECTION_TIMEOUT_MS);
        self.election_due = self.now + ELECTION_TIMEOUT_MS + spread;
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
