//! Log replication: appends, acknowledgements, commit and snapshots.

use super::entry::{Entry, EntryBody, Index, LogSnapshot, ReplicaId, Term};
use super::message::MessageBody;
use super::progress::{Progress, RESEND_MS, SNAPSHOT_RESEND_MS};
use super::{ELECTION_TIMEOUT_MS, HEARTBEAT_MS, MAX_APPEND_BYTES, Replica, Role};

/// Fields of a received [`MessageBody::Append`].
#[derive(Debug)]
pub(super) struct Append {
    pub previous: Index,
    pub previous_term: Term,
    pub entries: Vec<Entry>,
    pub commit: Index,
    pub sent: u64,
}

impl Replica {
    pub(super) fn tick_leader(&mut self) {
        if self.config.check_quorum && self.now >= self.quorum_ack_time() + ELECTION_TIMEOUT_MS {
            self.become_follower(self.term, None);
            return;
        }
        if self.now >= self.heartbeat_due {
            self.heartbeat_due = self.now + HEARTBEAT_MS;
            for peer in self.peers() {
                self.send_append(peer, true);
            }
        }
    }

    /// Returns the latest send time that a quorum has acknowledged, in milliseconds.
    ///
    /// A follower acknowledges the send time of each message from the leader in its reply.
    pub(super) fn quorum_ack_time(&self) -> u64 {
        let mut acked_sent: Vec<_> = self
            .membership
            .voters
            .iter()
            .map(|id| match self.progress.get(id) {
                _ if *id == self.config.id => self.now,
                Some(progress) => progress.acked_sent,
                None => 0,
            })
            .collect();
        acked_sent.sort_unstable_by(|a, b| b.cmp(a));
        acked_sent
            .get(self.membership.quorum() - 1)
            .copied()
            .unwrap_or(0)
    }

    pub(super) fn refresh_progress(&mut self) {
        let peers = self.peers();
        self.progress.retain(|id, _| peers.contains(id));
        let next = Index(self.last_index().0 + 1);
        let now = self.now;
        for peer in peers {
            self.progress
                .entry(peer)
                .or_insert_with(|| Progress::new(next, now));
        }
    }

    pub(super) fn append_as_leader(&mut self, body: EntryBody) -> Index {
        let index = Index(self.last_index().0 + 1);
        self.push_entry(Entry {
            index,
            term: self.term,
            body,
        });
        index
    }

    pub(super) fn send_new_entries(&mut self) {
        for peer in self.peers() {
            self.send_append(peer, false);
        }
    }

    fn push_entry(&mut self, entry: Entry) {
        let index = entry.index;
        let is_membership = entry.is_membership();
        self.entries.push_back(entry);
        self.first_unpersisted = Some(
            self.first_unpersisted
                .map_or(index, |first| first.min(index)),
        );
        if is_membership {
            self.refresh_membership();
        }
    }

    fn send_append(&mut self, to: ReplicaId, heartbeat: bool) {
        let Some(mut progress) = self.progress.get(&to).copied() else {
            return;
        };
        let last = self.last_index();
        let may_resend = heartbeat && self.now >= progress.resend_due;
        if may_resend && progress.matched > Index(0) && progress.matched < last {
            progress.next = Index(progress.matched.0 + 1);
        }
        let previous = Index(progress.next.0 - 1);
        let Some(previous_term) = self.term_at(previous) else {
            self.send_snapshot(to, progress, heartbeat);
            return;
        };
        let entries = self.batch_from(progress.next);
        if entries.is_empty() && !heartbeat {
            return;
        }
        if let Some(entry) = entries.last() {
            progress.next = Index(entry.index.0 + 1);
            progress.resend_due = self.now + RESEND_MS;
        }
        self.progress.insert(to, progress);
        let commit = self.commit;
        let sent = self.now;
        let body = MessageBody::Append {
            previous,
            previous_term,
            entries,
            commit,
            sent,
        };
        self.send(to, self.term, body);
    }

    fn send_snapshot(&mut self, to: ReplicaId, mut progress: Progress, heartbeat: bool) {
        let sent = self.now;
        if self.now < progress.snapshot_resend_due {
            if !heartbeat {
                return;
            }
            // The heartbeat keeps the follower from starting an election during the snapshot's
            // transfer.
            let previous = self.snapshot.index;
            let previous_term = self.snapshot.term;
            let entries = Vec::new();
            let commit = Index(0);
            let body = MessageBody::Append {
                previous,
                previous_term,
                entries,
                commit,
                sent,
            };
            self.send(to, self.term, body);
            return;
        }
        progress.snapshot_resend_due = self.now + SNAPSHOT_RESEND_MS;
        self.progress.insert(to, progress);
        let snapshot = self.snapshot.clone();
        self.send(to, self.term, MessageBody::Snapshot { snapshot, sent });
    }

    fn batch_from(&self, first: Index) -> Vec<Entry> {
        let mut bytes = 0;
        let entries = self.entries_from(first);
        entries
            .take_while(|entry| {
                let fits = bytes == 0 || bytes + entry.size() <= MAX_APPEND_BYTES;
                bytes += entry.size();
                fits
            })
            .cloned()
            .collect()
    }

    fn record_leader_contact(&mut self, from: ReplicaId) {
        self.role = Role::Follower;
        self.leader = Some(from);
        self.last_leader_contact = self.now;
        self.last_leader = Some(from);
        self.reset_election_timer();
    }

    fn reply(&mut self, to: ReplicaId, matched: Index, rejected: bool, sent: u64) {
        self.send(
            to,
            self.term,
            MessageBody::AppendReply {
                matched,
                rejected,
                sent,
            },
        );
    }

    pub(super) fn receive_append(&mut self, from: ReplicaId, term: Term, append: Append) {
        if term < self.term {
            // The rejection tells an outdated leader the current term.
            self.reply(from, Index(0), true, append.sent);
            return;
        }
        self.record_leader_contact(from);
        let log_matches = append.previous <= self.snapshot.index
            || self.term_at(append.previous) == Some(append.previous_term);
        if !log_matches {
            let retry_index = self.last_index().min(Index(append.previous.0 - 1));
            self.reply(
                from,
                retry_index.max(self.snapshot.index),
                true,
                append.sent,
            );
            return;
        }
        let matched = append
            .entries
            .last()
            .map_or(append.previous, |entry| entry.index);
        for entry in append.entries {
            self.append_if_new(entry);
        }
        self.commit = self.commit.max(append.commit.min(matched));
        self.reply(from, matched, false, append.sent);
    }

    fn append_if_new(&mut self, entry: Entry) {
        if entry.index <= self.snapshot.index || self.term_at(entry.index) == Some(entry.term) {
            return;
        }
        if entry.index <= self.last_index() {
            self.truncate_from(entry.index);
        }
        self.push_entry(entry);
    }

    fn truncate_from(&mut self, index: Index) {
        assert!(
            index > self.commit,
            "a committed entry must not be truncated"
        );
        while self
            .entries
            .back()
            .is_some_and(|entry| entry.index >= index)
        {
            self.entries.pop_back();
        }
        self.durable_index = self.durable_index.min(Index(index.0 - 1));
        self.refresh_membership();
    }

    pub(super) fn receive_append_reply(
        &mut self,
        from: ReplicaId,
        term: Term,
        matched: Index,
        rejected: bool,
        sent: u64,
    ) {
        if self.role != Role::Leader || term != self.term {
            return;
        }
        let last = self.last_index();
        let Some(progress) = self.progress.get_mut(&from) else {
            return;
        };
        progress.acked_sent = progress.acked_sent.max(sent);
        if rejected {
            progress.next = Index(matched.0 + 1).max(Index(progress.matched.0 + 1));
            progress.resend_due = self.now + RESEND_MS;
            self.send_append(from, false);
            return;
        }
        progress.matched = progress.matched.max(matched.min(last));
        progress.next = progress.next.max(Index(progress.matched.0 + 1));
        self.advance_commit();
    }

    pub(super) fn advance_commit(&mut self) {
        let mut matched: Vec<_> = self
            .membership
            .voters
            .iter()
            .map(|id| match self.progress.get(id) {
                _ if *id == self.config.id => self.durable_index,
                Some(progress) => progress.matched,
                None => Index(0),
            })
            .collect();
        matched.sort_unstable_by(|a, b| b.cmp(a));
        let index = matched[self.membership.quorum() - 1];
        if index > self.commit && self.term_at(index) == Some(self.term) {
            self.commit = index;
            if !self.membership_at(index).voters.contains(&self.config.id) {
                self.become_follower(self.term, None);
            }
        }
    }

    pub(super) fn receive_snapshot(
        &mut self,
        from: ReplicaId,
        term: Term,
        snapshot: LogSnapshot,
        sent: u64,
    ) {
        if term < self.term {
            self.reply(from, Index(0), true, sent);
            return;
        }
        self.record_leader_contact(from);
        let index = snapshot.index;
        if index > self.commit {
            self.install(snapshot);
        }
        self.reply(from, index, false, sent);
    }

    fn install(&mut self, snapshot: LogSnapshot) {
        self.entries.clear();
        self.first_unpersisted = None;
        self.commit = snapshot.index;
        self.last_taken = snapshot.index;
        self.durable_index = snapshot.index;
        self.installed_snapshot = Some(snapshot.clone());
        self.snapshot = snapshot;
        self.snapshot_changed = true;
        self.log_reset = true;
        self.refresh_membership();
    }
}
