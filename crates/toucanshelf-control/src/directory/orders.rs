//! Orders that the leader has sent to engines, and their last known state.
//!
//! An order tells an engine which layers of a model to hold. An engine starts an order when it
//! accepts it, and counts the orders that it has started since its own start. An order is pending
//! while the engine is expected to execute it or to report its effect. An incarnation is one run of
//! an engine, from its start to its end. Times are in milliseconds since the start of this control
//! instance.

use std::collections::BTreeMap;

use toucanshelf_core::ids::Incarnation;
use toucanshelf_core::layers::LayerRange;
use toucanshelf_core::registry::Entry;

/// Time after which an unresponsive engine may get another order, in milliseconds.
///
/// Measured from the sending of the order that the engine did not respond to.
const UNANSWERED_RETRY_MS: u64 = 1_500;
/// Time added to the estimated load time of ordered layers, in milliseconds.
///
/// If the engine has not reported the layers within the sum of both after the order was sent, the
/// order may be repeated.
// Covers two heartbeats of an engine, which report the layers that it holds.
const EFFECT_TIMEOUT_MS: u64 = 3_000;
/// Time after which an engine that rejected an order may get another, in milliseconds.
///
/// Measured from the sending of the rejected order.
const REJECTED_RETRY_MS: u64 = 400;

/// Last known state of an order to an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderState {
    /// The order is being sent, or the engine has not responded yet.
    Sent,
    /// The engine has accepted the order, or already holds the ordered layers.
    Begun,
    /// The engine has reported that it holds the ordered layers.
    Done,
    /// The request failed or timed out without a response from the engine.
    ///
    /// The engine may execute the order now, later or never.
    Unknown,
    /// The engine rejected the order, or no connection to it could be opened.
    Rejected,
    /// Another engine or incarnation answers at the address, so that the engine has ended.
    Misdirected,
}

/// An order that tells an engine which layers to hold.
#[derive(Clone, Copy, Debug)]
pub struct Order {
    /// Layers that the engine must hold.
    pub layers: LayerRange,
    /// Time when the order was sent, in milliseconds since this instance started.
    pub sent_at_ms: u64,
    /// Last known state of the order.
    pub state: OrderState,
}

/// What this control instance knows of the orders to one incarnation of an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineOrders {
    incarnation: Incarnation,
    /// Number of orders that the engine has started; `None` if it is unknown.
    ///
    /// It becomes unknown when the result of an order is any other than [`OrderState::Begun`].
    pub orders_begun: Option<u64>,
    /// Latest order that this control instance has sent to the engine.
    pub last: Option<Order>,
}

/// Orders to all engines, by the id of the engine.
#[derive(Debug, Default)]
pub struct Orders {
    engines: BTreeMap<Box<str>, EngineOrders>,
}

impl Orders {
    /// Creates an empty table of orders.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether the table contains no order to any engine.
    pub fn is_empty(&self) -> bool {
        self.engines.values().all(|engine| engine.last.is_none())
    }

    /// Returns the orders to the current incarnation of an engine.
    ///
    /// The orders to a previous incarnation are dropped. An engine that first registered after
    /// `leading_since_ms` and holds no layers has started no order. For any other engine, the
    /// number of started orders is unknown at first, because another leader may have sent it
    /// orders.
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

    /// Sets the state of an engine's latest order, if that is for `layers`.
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

    /// Records how many orders an engine has reported to have started.
    pub fn record_orders_begun(&mut self, id: &str, incarnation: Incarnation, orders_begun: u64) {
        if let Some(engine) = self.engines.get_mut(id)
            && engine.incarnation == incarnation
        {
            engine.orders_begun = Some(orders_begun);
        }
    }
}

impl EngineOrders {
    /// Returns whether another engine or incarnation has answered at the engine's address.
    ///
    /// Late heartbeats of the engine may still arrive. It gets no more orders.
    pub fn has_ended(&self) -> bool {
        self.last
            .is_some_and(|order| order.state == OrderState::Misdirected)
    }

    /// Marks the latest order as done if the engine reports the ordered layers.
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

    /// Returns whether another order may be sent to the engine now.
    ///
    /// It may not while the latest order is pending, because an engine rejects orders while it
    /// executes one.
    pub fn can_send(&self, now: u64, load_time_ms: u64) -> bool {
        match &self.last {
            Some(order) if order.state == OrderState::Misdirected => false,
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
            OrderState::Done | OrderState::Misdirected | OrderState::Rejected => false,
        }
    }
}
