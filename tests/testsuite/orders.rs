//! Fate of orders to engines.

use toucanshelf_control::directory::orders::{Fate, Order, Orders};
use toucanshelf_core::ids::Incarnation;
use toucanshelf_core::layers::LayerRange;
use toucanshelf_core::registration::{Readiness, Registration};
use toucanshelf_core::registry::Entry;

const LOAD_MS: u64 = 1_000;

fn range(from: u32, to: u32) -> LayerRange {
    LayerRange::new(from, to).unwrap()
}

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

fn send(orders: &mut Orders, entry: &Entry, layers: LayerRange, now: u64) {
    orders.engine(entry, 0).last = Some(Order {
        layers,
        sent: now,
        fate: Fate::Sent,
    });
}

#[test]
fn one_at_a_time() {
    let mut orders = Orders::new();
    let engine = entry(1, None);
    assert!(orders.engine(&engine, 0).may_order(0, LOAD_MS));
    send(&mut orders, &engine, range(0, 4), 0);
    assert!(!orders.engine(&engine, 0).may_order(10, LOAD_MS));
}

#[test]
fn begun_is_counted() {
    let mut orders = Orders::new();
    let engine = entry(1, None);
    assert_eq!(
        orders.engine(&engine, 0).begun,
        Some(0),
        "a new start has begun none"
    );
    send(&mut orders, &engine, range(0, 4), 0);
    orders.settle("e", Incarnation(1), range(0, 4), Fate::Begun);
    assert_eq!(orders.engine(&engine, 0).begun, Some(1));
}

#[test]
fn unanswered_makes_count_unknown() {
    let mut orders = Orders::new();
    let engine = entry(1, None);
    send(&mut orders, &engine, range(0, 4), 0);
    orders.settle("e", Incarnation(1), range(0, 4), Fate::Unknown);
    let known = *orders.engine(&engine, 0);
    assert_eq!(known.begun, None, "it may or may not have been begun");
    assert!(!known.may_order(1_000, LOAD_MS));
    assert!(known.may_order(2_000, LOAD_MS));
}

#[test]
fn restart_forgets() {
    let mut orders = Orders::new();
    send(&mut orders, &entry(1, None), range(0, 4), 0);
    orders.settle("e", Incarnation(1), range(0, 4), Fate::Unknown);
    let known = orders.engine(&entry(2, None), 0);
    assert_eq!(known.begun, Some(0));
    assert!(known.last.is_none());
}

#[test]
fn known_before_leading() {
    let mut orders = Orders::new();
    let engine = entry(1, Some(range(0, 4)));
    assert_eq!(
        orders.engine(&engine, 200).begun,
        None,
        "another leader may have given orders"
    );
}

#[test]
fn expected_until_seen() {
    let mut orders = Orders::new();
    let engine = entry(1, Some(range(0, 4)));
    send(&mut orders, &engine, range(4, 8), 0);
    orders.settle("e", Incarnation(1), range(4, 8), Fate::Begun);
    let known = *orders.engine(&engine, 0);
    assert_eq!(
        known.expected(engine.record.layers, 500, LOAD_MS),
        Some(range(4, 8))
    );
    assert_eq!(
        known.expected(engine.record.layers, 9_000, LOAD_MS),
        Some(range(0, 4))
    );
}

#[test]
fn begun_is_waited_for() {
    let mut orders = Orders::new();
    let engine = entry(1, Some(range(0, 4)));
    send(&mut orders, &engine, range(0, 8), 0);
    orders.settle("e", Incarnation(1), range(0, 8), Fate::Begun);
    let known = orders.engine(&engine, 0);
    known.note_held(Some(range(0, 4)));
    assert!(
        !known.may_order(500, LOAD_MS),
        "an engine that loads refuses other orders"
    );
    known.note_held(Some(range(0, 8)));
    assert!(known.may_order(500, LOAD_MS), "it holds what was asked for");
}
