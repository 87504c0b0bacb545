//! Tests of the bookkeeping of orders to engines.

use toucanshelf_control::directory::orders::{Order, OrderState, Orders};
use toucanshelf_core::ids::Incarnation;
use toucanshelf_core::layers::LayerRange;
use toucanshelf_core::registration::{Readiness, Registration};
use toucanshelf_core::registry::Entry;

/// Time to load all layers, in milliseconds.
const LOAD_TIME_MS: u64 = 1_000;

fn range(from: u32, to: u32) -> LayerRange {
    LayerRange::new(from, to).unwrap()
}

/// Returns the registry entry of an engine, first and last seen at 100 ms.
fn entry(incarnation: u64, layers: Option<LayerRange>) -> Entry {
    Entry {
        record: Registration {
            id: "e".into(),
            incarnation: Incarnation(incarnation),
            sequence: 1,
            service: "s".into(),
            address: "10.0.0.1:80".parse().unwrap(),
            zone: "z".into(),
            readiness: Readiness::Ready,
            accelerator: None,
            layers,
        },
        first_seen_ms: 100,
        last_seen_ms: 100,
    }
}

/// Records that an order was sent to the engine at `now`, in milliseconds.
fn send(orders: &mut Orders, entry: &Entry, layers: LayerRange, now: u64) {
    orders.engine(entry, 0).last = Some(Order {
        layers,
        sent_at_ms: now,
        state: OrderState::Sent,
    });
}

#[test]
fn one_at_a_time() {
    let mut orders = Orders::new();
    let engine = entry(1, None);
    assert!(orders.engine(&engine, 0).can_send(0, LOAD_TIME_MS));
    send(&mut orders, &engine, range(0, 4), 0);
    assert!(!orders.engine(&engine, 0).can_send(10, LOAD_TIME_MS));
}

#[test]
fn begun_is_counted() {
    let mut orders = Orders::new();
    let engine = entry(1, None);
    assert_eq!(
        orders.engine(&engine, 0).orders_begun,
        Some(0),
        "a new incarnation has started no order"
    );
    send(&mut orders, &engine, range(0, 4), 0);
    orders.update_state("e", Incarnation(1), range(0, 4), OrderState::Begun);
    assert_eq!(orders.engine(&engine, 0).orders_begun, Some(1));
}

#[test]
fn unanswered_makes_count_unknown() {
    let mut orders = Orders::new();
    let engine = entry(1, None);
    send(&mut orders, &engine, range(0, 4), 0);
    orders.update_state("e", Incarnation(1), range(0, 4), OrderState::Unknown);
    let current = *orders.engine(&engine, 0);
    assert_eq!(
        current.orders_begun, None,
        "the engine may or may not have started the order"
    );
    assert!(!current.can_send(1_000, LOAD_TIME_MS));
    assert!(current.can_send(2_000, LOAD_TIME_MS));
}

#[test]
fn restart_forgets() {
    let mut orders = Orders::new();
    send(&mut orders, &entry(1, None), range(0, 4), 0);
    orders.update_state("e", Incarnation(1), range(0, 4), OrderState::Unknown);
    let current = orders.engine(&entry(2, None), 0);
    assert_eq!(current.orders_begun, Some(0));
    assert!(current.last.is_none());
}

/// Guards against orders to an address where another engine listens, and against its layers.
#[test]
fn ended_engine_gets_no_orders() {
    let mut orders = Orders::new();
    let engine = entry(1, None);
    send(&mut orders, &engine, range(0, 4), 0);
    orders.update_state("e", Incarnation(1), range(0, 4), OrderState::Misdirected);
    let current = orders.engine(&engine, 0);
    current.record_held_layers(Some(range(0, 4)));
    assert!(
        current.has_ended(),
        "a late heartbeat doesn't bring the engine back"
    );
    assert_eq!(current.orders_begun, None);
    for now in [0, 400, 1_500, 4_000, 3_600_000] {
        assert!(!current.can_send(now, LOAD_TIME_MS), "at {now} ms");
    }
    let restarted = orders.engine(&entry(2, None), 0);
    assert!(!restarted.has_ended());
    assert!(restarted.can_send(0, LOAD_TIME_MS));
}

#[test]
fn known_before_leading() {
    let mut orders = Orders::new();
    let engine = entry(1, Some(range(0, 4)));
    assert_eq!(
        orders.engine(&engine, 200).orders_begun,
        None,
        "another leader may have sent orders"
    );
}

#[test]
fn expected_until_seen() {
    let mut orders = Orders::new();
    let engine = entry(1, Some(range(0, 4)));
    send(&mut orders, &engine, range(4, 8), 0);
    orders.update_state("e", Incarnation(1), range(4, 8), OrderState::Begun);
    let current = *orders.engine(&engine, 0);
    assert_eq!(
        current.expected_layers(engine.record.layers, 500, LOAD_TIME_MS),
        Some(range(4, 8))
    );
    assert_eq!(
        current.expected_layers(engine.record.layers, 9_000, LOAD_TIME_MS),
        Some(range(0, 4))
    );
}

#[test]
fn begun_is_waited_for() {
    let mut orders = Orders::new();
    let engine = entry(1, Some(range(0, 4)));
    send(&mut orders, &engine, range(0, 8), 0);
    orders.update_state("e", Incarnation(1), range(0, 8), OrderState::Begun);
    let current = orders.engine(&engine, 0);
    current.record_held_layers(Some(range(0, 4)));
    assert!(
        !current.can_send(500, LOAD_TIME_MS),
        "an engine that is loading rejects other orders"
    );
    current.record_held_layers(Some(range(0, 8)));
    assert!(
        current.can_send(500, LOAD_TIME_MS),
        "the engine holds the ordered layers"
    );
}
