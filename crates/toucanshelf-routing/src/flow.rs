//! Maximum flow by Dinic's algorithm, with edges that can be added between runs.
//!
//! The residual capacity of an edge is the amount by which its flow can still grow. The residual
//! graph consists of the edges, and the reversed edges, that have residual capacity.

use std::collections::VecDeque;

/// Handle of a node in a [`FlowGraph`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Node(usize);

/// Handle of an edge in a [`FlowGraph`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Edge(usize);

/// Capacity so large that it never limits the flow over an edge.
pub const UNLIMITED: u64 = u64::MAX / 4;

/// One direction of an edge, with its residual capacity.
#[derive(Clone, Copy, Debug)]
struct Arc {
    to: usize,
    residual: u64,
}

/// Directed graph with a capacity and a flow for each edge.
///
/// Edge `i` consists of the forward arc `2i` and the reverse arc `2i + 1`.
#[derive(Clone, Debug, Default)]
pub struct FlowGraph {
    arcs: Vec<Arc>,
    /// Indices of the arcs that leave each node.
    outgoing: Vec<Vec<usize>>,
}

impl FlowGraph {
    /// Creates an empty graph.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a node without edges and returns its handle.
    pub fn add_node(&mut self) -> Node {
        self.outgoing.push(Vec::new());
        Node(self.outgoing.len() - 1)
    }

    /// Adds an edge without flow and returns its handle.
    pub fn add_edge(&mut self, from: Node, to: Node, capacity: u64) -> Edge {
        let index = self.arcs.len();
        self.arcs.push(Arc {
            to: to.0,
            residual: capacity,
        });
        self.arcs.push(Arc {
            to: from.0,
            residual: 0,
        });
        self.outgoing[from.0].push(index);
        self.outgoing[to.0].push(index + 1);
        Edge(index / 2)
    }

    /// Current flow over an edge, in the unit of its capacity.
    pub fn flow(&self, edge: Edge) -> u64 {
        self.arcs[2 * edge.0 + 1].residual
    }

    /// Raises the flow from `source` to `sink` to its maximum and returns the increase.
    pub fn maximise(&mut self, source: Node, sink: Node) -> u64 {
        let mut added = 0;
        while let Some(level) = self.levels(source.0, sink.0) {
            let mut next = vec![0; self.outgoing.len()];
            loop {
                let pushed = self.push(source.0, sink.0, UNLIMITED, &level, &mut next);
                if pushed == 0 {
                    break;
                }
                added += pushed;
            }
        }
        added
    }

    /// Distance of each node from `source` in the residual graph, in arcs.
    ///
    /// Returns `None` if `sink` cannot be reached.
    fn levels(&self, source: usize, sink: usize) -> Option<Vec<u32>> {
        let mut level = vec![u32::MAX; self.outgoing.len()];
        level[source] = 0;
        let mut queue = VecDeque::from([source]);
        while let Some(node) = queue.pop_front() {
            for arc in self.outgoing[node].iter().map(|i| self.arcs[*i]) {
                if arc.residual > 0 && level[arc.to] == u32::MAX {
                    level[arc.to] = level[node] + 1;
                    queue.push_back(arc.to);
                }
            }
        }
        (level[sink] != u32::MAX).then_some(level)
    }

    /// Adds up to `limit` units of flow along one path from `node` to `sink`.
    ///
    /// Returns the amount added. `next` holds, for each node, the position in `outgoing` of the
    /// first arc that may still lead to `sink`; the arcs before it are exhausted.
    fn push(
        &mut self,
        node: usize,
        sink: usize,
        limit: u64,
        level: &[u32],
        next: &mut [usize],
    ) -> u64 {
        if node == sink {
            return limit;
        }
        while let Some(index) = self.outgoing[node].get(next[node]).copied() {
            let arc = self.arcs[index];
            if arc.residual > 0 && level[arc.to] == level[node] + 1 {
                let pushed = self.push(arc.to, sink, limit.min(arc.residual), level, next);
                if pushed > 0 {
                    self.arcs[index].residual -= pushed;
                    self.arcs[index ^ 1].residual += pushed;
                    return pushed;
                }
            }
            next[node] += 1;
        }
        0
    }
}
