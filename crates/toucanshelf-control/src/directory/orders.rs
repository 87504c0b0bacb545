//! Orders sent to engines, and their last known state.

use std::collections::BTreeMap;

use toucanshelf_core::ids::Incarnation;
use toucanshelf_core::layers::LayerRange;
use toucanshelf_core::registry::Entry;

/// Time before an order without a response may be sent again, in milliseconds.
const UNANSWERED_RETRY_MS: u64 = 1_500;
/// Wait beyond the load time before an order without effect is repeated, in milliseconds.
// Covers two heartbeats of an engine, which report the layers that it holds.
const EFFECT_TIMEOUT_MS: u64 = 3_000;
/// Time before a rejected order may be sent again, in milliseconds.
const REJECTED_RETRY_MS: u64 = 400;

/// Last known state of an order that tells an engine which layers to hold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderState {
    /// The order was sent, and no response has arrived.
    Sent,
    /// The engine has started the order, or already holds the layers.
    Begun,
    /// The engine holds the ordered layers.
    Done,
    /// No response arrived.
    ///
    /// The engine may execute the order now, later or never.
    Unknown,
    /// The engine rejected the order, or could not be connected to.
    Rejected,
}

/// An order that tells an engine which layers to hold.
#[derive(Clone, Copy, Debug)]
pub struct Order {
    /// Layers that the engine must hold.
    pub layers: LayerRange,
    /// Time at which the order was sent, in milliseconds.
    pub sent_at_ms: u64,
    /// Last known state of the order.
    pub state: OrderState,
}

/// Orders to one incarnation of an engine, as far as this instance knows.
#[derive(Clone, Copy, Debug)]
pub struct EngineOrders {
    incarnation: Incarnation,
    /// Number of orders that the engine has started; `None` if it is unknown.
    ///
    /// Any result other than [`OrderState::Begun`] makes the number unknown.
    pub orders_begun: Option<u64>,
    /// Latest order to the engine.
    pub last: Option<Order>,
}

/// Orders by the id of the engine.
#[derive(Debug, Default)]
pub struct Orders {
    engines: BTreeMap<Box<str>, EngineOrders>,
}

impl Orders {
    /// Creates a table without orders.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether no order has been sent to any of the engines.
    pub fn is_empty(&self) -> bool {
        self.engines.values().all(|engine| engine.last.is_none())
    }

    /// Returns the orders to the current incarnation of an engine.
    ///
    /// The orders to a previous incarnation are dropped. If the engine registered without layers
    /// after `leading_since_ms`, it has started no order. Otherwise the number is unknown, because
    /// another leader may have sent orders to it.
    pub fn engine(&mut self, entry: &Entry, leading_since_ms: u64) -> &mut EngineOrders {
        let record = &entry.record;
        let is_new = entry.first_seen_ms > leading_since_ms && record.layers.is_none();
        let fresh = EngineOrders {
            incarnation: record.incarnation,
            orders_begun: is_new.then_some(0),
            last: None,
        };
        let current = self.engines.entry(record.id.clone()).or_insert(fresh);
        if current.incarnation != record.incarnation {
            *current = fresh;
        }
        current
    }

    /// Updates the state of the order for `layers`, if it is still the latest.
    ///
    /// Any state other than [`OrderState::Begun`] makes the number of started orders unknown.
    pub fn update_state(
        &mut self,
        id: &str,
        incarnation: Incarnation,
        layers: LayerRange,
        state: OrderState,
    ) {
        let Some(engine) = self.engines.get_mut(id) else {
            return;
        };
        let Some(order) = engine.last.as_mut() else {
            return;
        };
        if engine.incarnation != incarnation || order.layers != layers {
            return;
        }
        order.state = state;
        engine.orders_begun = match state {
            OrderState::Begun => engine.orders_begun.map(|count| count + 1),
            _ => None,
        };
    }

    /// Records the number of started orders that an engine has reported.
    pub fn record_orders_begun(&mut self, id: &str, incarnation: Incarnation, orders_begun: u64) {
        if let Some(engine) = self.engines.get_mut(id)
            && engine.incarnation == incarnation
        {
            engine.orders_begun = Some(orders_begun);
        }
    }
}

impl EngineOrders {
    /// Records the layers that the engine has reported.
    pub fn record_held_layers(&mut self, held: Option<LayerRange>) {
        if let Some(order) = &mut self.last
            && matches!(order.state, OrderState::Begun | OrderState::Unknown)
            && held == Some(order.layers)
        {
            order.state = OrderState::Done;
        }
    }

    /// Returns the layers that the engine is expected to hold.
    ///
    /// These are the layers of a pending order, or else the layers in `held`.
    pub fn expected_layers(
        &self,
        held: Option<LayerRange>,
        now: u64,
        load_time_ms: u64,
    ) -> Option<LayerRange> {
        match self.last {
            Some(order) if order.is_pending(now, load_time_ms) => Some(order.layers),
            _ => held,
        }
    }

    /// Returns whether another order may be sent now.
    ///
    /// An engine rejects orders while it executes one.
    pub fn can_send(&self, now: u64, load_time_ms: u64) -> bool {
        match &self.last {
            Some(order) if order.state == OrderState::Rejected => {
                now >= order.sent_at_ms + REJECTED_RETRY_MS
            }
            Some(order) => !order.is_pending(now, load_time_ms),
            None => true,
        }
    }
}

impl Order {
    fn is_pending(&self, now: u64, load_time_ms: u64) -> bool {
        match self.state {
            OrderState::Sent => true,
            OrderState::Begun => now < self.sent_at_ms + load_time_ms + EFFECT_TIMEOUT_MS,
            OrderState::Unknown => now < self.sent_at_ms + UNANSWERED_RETRY_MS,
            OrderState::Done | OrderState::Rejected => false,
        }
    }
}
