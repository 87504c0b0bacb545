//! Simulated cluster of log replicas in virtual time.
//!
//! It injects message loss, crashes, freezes of processes and losses of disks.

use std::collections::{BTreeMap, BTreeSet};

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use toucanshelf_coordination::replica::{
    Entry, EntryBody, Index, Membership, Message, Persisted, Ready, Replica, ReplicaConfig,
    ReplicaId, Role, Term,
};

/// Duration of one simulation step, in milliseconds of virtual time.
pub const STEP_MS: u64 = 10;

/// Simulated disk of one replica; it holds only synced state.
#[derive(Clone, Debug, Default)]
struct Disk {
    persisted: Persisted,
}

impl Disk {
    fn store(&mut self, ready: &Ready) {
        let stored = &mut self.persisted;
        if let Some((term, vote)) = ready.vote {
            stored.term = term;
            stored.vote = vote;
        }
        if let Some(snapshot) = &ready.snapshot {
            stored.snapshot = snapshot.clone();
            let index = snapshot.index;
            stored
                .entries
                .retain(|entry| !ready.log_reset && entry.index > index);
        }
        if let Some(first) = ready.entries.first() {
            stored.entries.retain(|entry| entry.index < first.index);
        }
        stored.entries.extend(ready.entries.iter().cloned());
    }
}

/// Simulated process with its disk and state machine; it has no replica while crashed.
struct Node {
    replica: Option<Replica>,
    disk: Disk,
    /// Commands that the state machine has applied, by log index.
    applied: BTreeMap<Index, Vec<u8>>,
    /// Index of the last log entry that the state machine has applied.
    applied_to: Index,
    /// Virtual time until which the process makes no progress, in milliseconds.
    frozen_until: u64,
    /// Messages that arrived while the process was frozen.
    inbox: Vec<Message>,
}

/// Faults to inject into the network and the nodes.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    /// Fraction of messages that are lost.
    pub loss_rate: f64,
    /// Fraction of messages that are delivered twice.
    pub duplication_rate: f64,
    /// Maximum message delay, in milliseconds.
    pub delay_ms: u64,
    /// Probability of a node fault per step, and of a crash per write.
    pub fault_rate: f64,
    /// Whether node faults include the loss of a disk.
    pub lost_disks: bool,
}

/// Simulated cluster that checks the safety properties of the replicated log.
///
/// It asserts that each term has one leader, at most one lease is valid at a time, and all
/// replicas apply the same entries in the same order.
pub struct Cluster {
    /// Virtual time, in milliseconds.
    pub now: u64,
    /// Function that configures a replica when it starts.
    pub config: fn(ReplicaId) -> ReplicaConfig,
    nodes: BTreeMap<ReplicaId, Node>,
    /// Messages in transit, by delivery time and sequence number.
    network: BTreeMap<(u64, u64), Message>,
    next_message: u64,
    rng: ChaCha8Rng,
    faults: Faults,
    /// Ids of the nodes that are partitioned from all others.
    isolated: BTreeSet<ReplicaId>,
    /// First leader that the simulation observed in each term.
    leaders: BTreeMap<Term, ReplicaId>,
    /// First entry that any replica committed at each index.
    committed: BTreeMap<Index, Entry>,
    next_disk: u32,
    /// Commands that the proposing replica saw committed in the term of the proposal.
    pub acknowledged: BTreeSet<Vec<u8>>,
    /// Proposed commands that are not yet committed, by proposer and index.
    pending: BTreeMap<(ReplicaId, Index), (Term, Vec<u8>)>,
    /// Number of applied log entries between two snapshots of a replica.
    compact_every: u64,
}

impl Cluster {
    pub fn new(voters: u32, seed: u64, faults: Faults) -> Self {
        let ids: Vec<_> = (1..=voters).map(|n| ReplicaId::new(n, 1)).collect();
        let mut out = Self {
            now: 1,
            config: ReplicaConfig::new,
            nodes: BTreeMap::new(),
            network: BTreeMap::new(),
            next_message: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            faults,
            isolated: BTreeSet::new(),
            leaders: BTreeMap::new(),
            committed: BTreeMap::new(),
            next_disk: 2,
            acknowledged: BTreeSet::new(),
            pending: BTreeMap::new(),
            compact_every: 40,
        };
        for id in &ids {
            out.add_node(*id, Persisted::with_voters(ids.iter().copied()));
        }
        out
    }

    fn add_node(&mut self, id: ReplicaId, persisted: Persisted) {
        let disk = Disk { persisted };
        let applied = BTreeMap::new();
        let (applied_to, frozen_until, inbox) = (Index(0), 0, Vec::new());
        let node = Node {
            replica: None,
            disk,
            applied,
            applied_to,
            frozen_until,
            inbox,
        };
        self.nodes.insert(id, node);
        self.start(id);
    }

    pub fn set_faults(&mut self, faults: Faults) {
        self.faults = faults;
    }

    pub fn ids(&self) -> Vec<ReplicaId> {
        self.nodes.keys().copied().collect()
    }

    pub fn start(&mut self, id: ReplicaId) {
        let seed = self.rng.random();
        let node = self.nodes.get_mut(&id).unwrap();
        if node.replica.is_some() {
            return;
        }
        let config = (self.config)(id);
        node.replica = Some(Replica::new(
            config,
            node.disk.persisted.clone(),
            seed,
            self.now,
        ));
        node.applied.clear();
        node.applied_to = Index(0);
    }

    pub fn crash(&mut self, id: ReplicaId) {
        let node = self.nodes.get_mut(&id).unwrap();
        node.replica = None;
        node.inbox.clear();
        self.pending.retain(|(owner, _), _| *owner != id);
    }

    pub fn freeze(&mut self, id: ReplicaId, ms: u64) {
        self.nodes.get_mut(&id).unwrap().frozen_until = self.now + ms;
    }

    /// Partitions a node from all others.
    pub fn isolate(&mut self, id: ReplicaId) {
        self.isolated.insert(id);
    }

    /// Ends the partition of one node.
    pub fn rejoin(&mut self, id: ReplicaId) {
        self.isolated.remove(&id);
    }

    /// Ends all partitions and freezes, and restarts crashed nodes.
    pub fn heal(&mut self) {
        self.isolated.clear();
        for id in self.ids() {
            self.start(id);
            self.nodes.get_mut(&id).unwrap().frozen_until = 0;
        }
    }

    /// Replaces the node by a new one on the same instance.
    ///
    /// The new node has an empty disk and a new replica id.
    pub fn lose_disk(&mut self, id: ReplicaId) -> ReplicaId {
        self.nodes.remove(&id);
        self.pending.retain(|(owner, _), _| *owner != id);
        let instance = (id.0 >> 32) as u32;
        let new_id = ReplicaId::new(instance, self.next_disk);
        self.next_disk += 1;
        self.add_node(new_id, Persisted::default());
        new_id
    }

    /// Adds a node with an empty disk on a new instance.
    pub fn join(&mut self, instance: u32) -> ReplicaId {
        let id = ReplicaId::new(instance, 1);
        self.add_node(id, Persisted::default());
        id
    }

    pub fn replica(&self, id: ReplicaId) -> Option<&Replica> {
        self.nodes.get(&id)?.replica.as_ref()
    }

    /// Returns the replica that holds a valid leader lease, if any.
    pub fn leader(&self) -> Option<ReplicaId> {
        // A frozen process does not advance its clock, so its replica may still report a lease.
        let mut unfrozen = self
            .nodes
            .iter()
            .filter(|(_, node)| self.now >= node.frozen_until);
        let leads = |node: &Node| node.replica.as_ref().is_some_and(Replica::has_lease);
        unfrozen.find(|(_, node)| leads(node)).map(|(id, _)| *id)
    }

    pub fn propose(&mut self, id: ReplicaId, command: &[u8]) -> bool {
        let Some(replica) = self
            .nodes
            .get_mut(&id)
            .and_then(|node| node.replica.as_mut())
        else {
            return false;
        };
        let Ok(index) = replica.propose(command.to_vec()) else {
            return false;
        };
        let term = replica.term();
        self.pending.insert((id, index), (term, command.to_vec()));
        self.process_ready(id);
        true
    }

    pub fn propose_membership(&mut self, id: ReplicaId, next: Membership) -> bool {
        let replica = self
            .nodes
            .get_mut(&id)
            .and_then(|node| node.replica.as_mut());
        let proposed = replica.is_some_and(|replica| replica.propose_membership(next).is_ok());
        self.process_ready(id);
        proposed
    }

    /// Advances the simulation by one step and injects random faults.
    pub fn step(&mut self) {
        self.now += STEP_MS;
        if self.rng.random_bool(self.faults.fault_rate) {
            self.inject_fault();
        }
        let due: Vec<_> = self
            .network
            .range(..(self.now, 0))
            .map(|(key, _)| *key)
            .collect();
        for key in due {
            let message = self.network.remove(&key).unwrap();
            self.deliver(message);
        }
        for id in self.ids() {
            let node = self.nodes.get_mut(&id).unwrap();
            if self.now < node.frozen_until {
                continue;
            }
            let inbox = std::mem::take(&mut node.inbox);
            let Some(replica) = node.replica.as_mut() else {
                continue;
            };
            // A resumed process receives its queued messages before its timers run.
            for message in inbox {
                replica.receive(self.now, message);
            }
            replica.tick(self.now);
            self.process_ready(id);
        }
        self.check_leases();
    }

    pub fn run(&mut self, ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.step();
        }
    }

    /// Injects a random fault into a random node, or ends all faults.
    fn inject_fault(&mut self) {
        let ids = self.ids();
        let id = ids[self.rng.random_range(0..ids.len())];
        match self.rng.random_range(0..8) {
            0 | 1 => self.crash(id),
            2 => {
                let ms = self.rng.random_range(100..2_000);
                self.freeze(id, ms);
            }
            3 => self.isolate(id),
            4 if self.faults.lost_disks && self.isolated.is_empty() => {
                self.lose_disk(id);
            }
            _ => self.heal(),
        }
    }

    fn deliver(&mut self, message: Message) {
        if self.isolated.contains(&message.from) || self.isolated.contains(&message.to) {
            return;
        }
        let Some(node) = self.nodes.get_mut(&message.to) else {
            return;
        };
        if self.now < node.frozen_until {
            node.inbox.push(message);
            return;
        }
        let to = message.to;
        if let Some(replica) = node.replica.as_mut() {
            replica.receive(self.now, message);
            self.process_ready(to);
        }
    }

    /// Stores, sends and applies the output of a replica until it has none.
    fn process_ready(&mut self, id: ReplicaId) {
        loop {
            let node = self.nodes.get_mut(&id).unwrap();
            let Some(replica) = node.replica.as_mut() else {
                return;
            };
            let ready = replica.ready();
            let idle = !ready.must_store() && ready.messages.is_empty();
            // A crash may occur before the write, or between the write and the sending of messages.
            if ready.must_store() && self.rng.random_bool(self.faults.fault_rate) {
                if self.rng.random_bool(0.5) {
                    node.disk.store(&ready);
                }
                self.crash(id);
                return;
            }
            node.disk.store(&ready);
            replica.persisted(&ready);
            let (role, term) = (replica.role(), replica.term());
            for message in ready.messages {
                self.enqueue(&message);
            }
            if role == Role::Leader {
                let first = *self.leaders.entry(term).or_insert(id);
                assert_eq!(first, id, "two leaders in {term:?}");
            }
            self.apply(id);
            if idle {
                return;
            }
        }
    }

    /// Puts a message into the network, subject to loss, duplication and delay.
    fn enqueue(&mut self, message: &Message) {
        if self.rng.random_bool(self.faults.loss_rate) {
            return;
        }
        let copies = if self.rng.random_bool(self.faults.duplication_rate) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let due = self.now + self.rng.random_range(0..=self.faults.delay_ms);
            self.next_message += 1;
            self.network
                .insert((due, self.next_message), message.clone());
        }
    }

    fn apply(&mut self, id: ReplicaId) {
        let node = self.nodes.get_mut(&id).unwrap();
        let replica = node.replica.as_mut().unwrap();
        if let Some(snapshot) = replica.take_installed_snapshot() {
            assert!(
                snapshot.index >= node.applied_to,
                "{id:?} installed an older snapshot"
            );
            node.applied = decode(&snapshot.state);
            node.applied_to = snapshot.index;
        }
        for entry in replica.take_committed() {
            assert_eq!(
                entry.index.0,
                node.applied_to.0 + 1,
                "{id:?} skipped an entry"
            );
            node.applied_to = entry.index;
            let first = self
                .committed
                .entry(entry.index)
                .or_insert_with(|| entry.clone());
            assert_eq!(*first, entry, "{id:?} committed a different entry");
            if let EntryBody::Command(command) = &entry.body {
                node.applied.insert(entry.index, command.clone());
            }
            if let Some((term, command)) = self.pending.remove(&(id, entry.index))
                && term == entry.term
            {
                self.acknowledged.insert(command);
            }
        }
        if node.applied_to.0.is_multiple_of(self.compact_every) {
            replica.compact(node.applied_to, encode(&node.applied));
        }
    }

    /// Asserts that at most one replica holds a valid lease, ignoring frozen processes.
    fn check_leases(&self) {
        let unfrozen = self
            .nodes
            .iter()
            .filter(|(_, node)| self.now >= node.frozen_until);
        let holders: Vec<_> = unfrozen
            .filter(|(_, node)| node.replica.as_ref().is_some_and(Replica::has_lease))
            .map(|(id, _)| *id)
            .collect();
        assert!(
            holders.len() <= 1,
            "several replicas hold a lease: {holders:?}"
        );
    }

    /// Asserts that replica `id` has applied every acknowledged command exactly once.
    pub fn check_complete(&self, id: ReplicaId) {
        let node = &self.nodes[&id];
        for command in &self.acknowledged {
            let copies = node
                .applied
                .values()
                .filter(|applied| *applied == command)
                .count();
            assert_eq!(
                copies, 1,
                "command {command:?} is applied {copies} times at {id:?}"
            );
        }
    }

    pub fn applied_to(&self, id: ReplicaId) -> Index {
        self.nodes[&id].applied_to
    }
}

fn encode(applied: &BTreeMap<Index, Vec<u8>>) -> Vec<u8> {
    let mut buf = Vec::new();
    ciborium::into_writer(applied, &mut buf).unwrap();
    buf
}

fn decode(bytes: &[u8]) -> BTreeMap<Index, Vec<u8>> {
    if bytes.is_empty() {
        BTreeMap::new()
    } else {
        ciborium::from_reader(bytes).unwrap()
    }
}
