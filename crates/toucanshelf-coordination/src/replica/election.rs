//! Elections: pre-votes, votes and role changes.

use super::entry::{EntryBody, Index, ReplicaId, Term};
use super::message::{Message, MessageBody};
use super::{ELECTION_TIMEOUT_MS, HEARTBEAT_MS, Replica, Role};

impl Replica {
    /// Returns whether a higher term in `message` leaves this replica's term unchanged.
    ///
    /// A pre-vote request or a granted pre-vote never changes the term. A vote request is ignored
    /// while a leader is active: a replica that rejoins after a partition then cannot depose the
    /// leader, and the leader's lease stays valid.
    pub(super) fn ignores_term_of(&self, message: &Message) -> bool {
        match message.body {
            MessageBody::PreVote { .. } | MessageBody::PreVoteReply { granted: true } => true,
            MessageBody::Vote { .. } => self.has_active_leader(),
            _ => false,
        }
    }

    /// Returns whether a leader, possibly this replica, is known to be active.
    fn has_active_leader(&self) -> bool {
        match self.role {
            Role::Leader => self.has_lease(),
            _ => {
                self.last_leader_contact > 0
                    && self.now < self.last_leader_contact + ELECTION_TIMEOUT_MS
            }
        }
    }

    pub(super) fn become_follower(&mut self, term: Term, leader: Option<ReplicaId>) {
        if term > self.term {
            self.term = term;
            self.vote = None;
            self.vote_changed = true;
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.votes.clear();
        self.progress.clear();
        self.reset_election_timer();
    }

    pub(super) fn start_election(&mut self) {
        self.leader = None;
        self.reset_election_timer();
        if self.config.pre_vote {
            self.role = Role::PreCandidate;
            self.votes = [self.config.id].into();
            let term = Term(self.term.0 + 1);
            self.request_votes(term, true);
        } else {
            self.become_candidate();
        }
        self.count_votes();
    }

    fn become_candidate(&mut self) {
        self.role = Role::Candidate;
        self.term = Term(self.term.0 + 1);
        self.vote = Some(self.config.id);
        self.vote_changed = true;
        self.votes = [self.config.id].into();
        self.reset_election_timer();
        self.request_votes(self.term, false);
    }

    fn request_votes(&mut self, term: Term, pre_vote: bool) {
        let last_index = self.last_index();
        let last_term = self.last_term();
        for peer in self.peers() {
            if !self.membership.voters.contains(&peer) {
                continue;
            }
            let body = if pre_vote {
                MessageBody::PreVote {
                    last_index,
                    last_term,
                }
            } else {
                MessageBody::Vote {
                    last_index,
                    last_term,
                }
            };
            self.send(peer, term, body);
        }
    }

    fn count_votes(&mut self) {
        if !self.is_quorum(&self.votes) {
            return;
        }
        match self.role {
            Role::PreCandidate => {
                self.become_candidate();
                self.count_votes();
            }
            Role::Candidate => self.become_leader(),
            Role::Follower | Role::Leader => {}
        }
    }

    fn become_leader(&mut self) {
        self.role = Role::Leader;
        self.leads_since = self.now;
        self.leader = Some(self.config.id);
        self.heartbeat_due = self.now + HEARTBEAT_MS;
        self.progress.clear();
        self.refresh_progress();
        self.term_start = Index(self.last_index().0 + 1);
        self.append_as_leader(EntryBody::Blank);
    }

    fn is_up_to_date(&self, last_index: Index, last_term: Term) -> bool {
        (last_term, last_index) >= (self.last_term(), self.last_index())
    }

    pub(super) fn receive_pre_vote(
        &mut self,
        from: ReplicaId,
        term: Term,
        last_index: Index,
        last_term: Term,
    ) {
        let granted = term > self.term
            && !self.has_active_leader()
            && self.is_up_to_date(last_index, last_term);
        let reply_term = if granted { term } else { self.term };
        self.send(from, reply_term, MessageBody::PreVoteReply { granted });
    }

    pub(super) fn receive_pre_vote_reply(&mut self, from: ReplicaId, term: Term, granted: bool) {
        if self.role == Role::PreCandidate && granted && term.0 == self.term.0 + 1 {
            self.votes.insert(from);
            self.count_votes();
        }
    }

    pub(super) fn receive_vote(
        &mut self,
        from: ReplicaId,
        term: Term,
        last_index: Index,
        last_term: Term,
    ) {
        if term > self.term {
            // A leader is active, so `ignores_term_of` has kept this replica in its term. The vote
            // request of the later term gets no reply.
            return;
        }
        let can_vote = self.vote.is_none() || self.vote == Some(from);
        let granted = term == self.term
            && can_vote
            && self.role == Role::Follower
            && self.is_up_to_date(last_index, last_term);
        if granted {
            self.vote = Some(from);
            self.vote_changed = true;
            self.reset_election_timer();
        }
        self.send(from, self.term, MessageBody::VoteReply { granted });
    }

    pub(super) fn receive_vote_reply(&mut self, from: ReplicaId, term: Term, granted: bool) {
        if self.role == Role::Candidate && granted && term == self.term {
            self.votes.insert(from);
            self.count_votes();
        }
    }
}
