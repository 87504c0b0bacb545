//! Orders to engines: what was sent, and what is known of its fate.

use std::collections::BTreeMap;

use toucanshelf_core::ids::Incarnation;
use toucanshelf_core::layers::LayerRange;
use toucanshelf_core::registry::Entry;

/// Time after which an order without an answer is sent again, in milliseconds.
const UNANSWERED_MS: u64 = 1_500;
/// Time beyond the load after which an accepted order that shows no effect is sent again, in
/// milliseconds.
// Two heartbeats of an engine, which tell what it holds.
const EFFECT_MS: u64 = 3_000;
/// Pause after an order that the engine did not take, in milliseconds.
const REJECTED_PAUSE_MS: u64 = 400;

/// Fate of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fate {
    /// On its way.
    Sent,
    /// The engine has begun it, or already holds what it asks for.
    Begun,
    /// The engine holds what it asks for.
    Done,
    /// There was no answer: it may run now, later or never.
    Unknown,
    /// The engine did not take it.
    Rejected,
}

/// Latest order to one start of an engine.
#[derive(Clone, Copy, Debug)]
pub struct Order {
    /// Layers that the engine is to hold.
    pub layers: LayerRange,
    /// Time of the order, in milliseconds.
    pub sent: u64,
    /// What is known of it.
    pub fate: Fate,
}

/// What this instance knows of one start of an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineOrders {
    incarnation: Incarnation,
    /// Orders that the engine has begun; unknown after an order without an answer.
    pub begun: Option<u64>,
    /// Latest order.
    pub last: Option<Order>,
}

/// Orders by engine.
#[derive(Debug, Default)]
pub struct Orders {
    engines: BTreeMap<Box<str>, EngineOrders>,
}

impl Orders {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether any order was ever sent.
    pub fn is_empty(&self) -> bool {
        self.engines.values().all(|engine| engine.last.is_none())
    }

    /// What is known of an engine; a new start of it has begun no order.
    pub fn engine(&mut self, entry: &Entry, led_since: u64) -> &mut EngineOrders {
        let record = &entry.record;
        let is_new = entry.first_seen_ms > led_since && record.layers.is_none();
        let fresh = EngineOrders {
            incarnation: record.incarnation,
            begun: is_new.then_some(0),
            last: None,
        };
        let known = self.engines.entry(record.id.clone()).or_insert(fresh);
        if known.incarnation != record.incarnation {
            *known = fresh;
        }
        known
    }

    /// Notes the fate of the order for `layers` to an engine, unless a later one was sent.
    pub fn settle(&mut self, id: &str, incarnation: Incarnation, layers: LayerRange, fate: Fate) {
        let Some(engine) = self.engines.get_mut(id) else {
            return;
        };
        let Some(order) = engine.last.as_mut() else {
            return;
        };
        if engine.incarnation != incarnation || order.layers != layers {
            return;
        }
        order.fate = fate;
        engine.begun = match fate {
            Fate::Begun => engine.begun.map(|begun| begun + 1),
            _ => None,
        };
    }

    /// Notes how many orders an engine has begun, as it reports.
    pub fn note_begun(&mut self, id: &str, incarnation: Incarnation, begun: u64) {
        if let Some(engine) = self.engines.get_mut(id)
            && engine.incarnation == incarnation
        {
            engine.begun = Some(begun);
        }
    }
}

impl EngineOrders {
    /// Notes what the engine says that it holds.
    pub fn note_held(&mut self, held: Option<LayerRange>) {
        if let Some(order) = &mut self.last
            && matches!(order.fate, Fate::Begun | Fate::Unknown)
            && held == Some(order.layers)
        {
            order.fate = Fate::Done;
        }
    }

    /// Layers that the engine will hold, as far as known.
    pub fn expected(&self, held: Option<LayerRange>, now: u64, load_ms: u64) -> Option<LayerRange> {
        match self.last {
            Some(order) if order.is_open(now, load_ms) => Some(order.layers),
            _ => held,
        }
    }

    /// Whether another order may be sent now.
    ///
    /// An engine takes no order while it carries one out.
    pub fn may_order(&self, now: u64, load_ms: u64) -> bool {
        match &self.last {
            Some(order) if order.fate == Fate::Rejected => now >= order.sent + REJECTED_PAUSE_MS,
            Some(order) => !order.is_open(now, load_ms),
            None => true,
        }
    }
}

impl Order {
    fn is_open(&self, now: u64, load_ms: u64) -> bool {
        match self.fate {
            Fate::Sent => true,
            Fate::Begun => now < self.sent + load_ms + EFFECT_MS,
            Fate::Unknown => now < self.sent + UNANSWERED_MS,
            Fate::Done | Fate::Rejected => false,
        }
    }
}
