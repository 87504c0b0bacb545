//! Tests of a new leader's wait for the reports of engines.
//!
//! Guards against layers that are loaded again after the loss of all control instances, because the
//! first plan knows only a part of the engines that hold them.

use toucanshelf_control::directory::warm_up::WarmUp;
use toucanshelf_core::ids::Incarnation;
use toucanshelf_core::layers::LayerRange;
use toucanshelf_core::registration::{Readiness, Registration};
use toucanshelf_core::registry::Registry;
use toucanshelf_routing::placement::{EngineProfile, ModelShape, Repartitioning, plan};

const HEARTBEAT_MS: u64 = 1_000;
const ENGINES: u64 = 300;
/// Interval between comparisons of layers with the plan, in milliseconds.
const TICK_MS: u64 = 100;

/// Registers engine `n` at `now`, with layers if `holds` is set.
fn report(registry: &mut Registry, n: u64, holds: bool, now: u64) {
    let record = Registration {
        id: format!("e{n}").into(),
        incarnation: Incarnation(1),
        sequence: now + 1,
        service: "s".into(),
        address: format!("10.0.{}.{}:80", n / 200, n % 200).parse().unwrap(),
        zone: "z".into(),
        readiness: Readiness::Ready,
        accelerator: None,
        layers: holds.then(|| LayerRange::new(0, 4).unwrap()),
    };
    registry.apply(record, now);
}

/// Returns when the wait that starts at `since` ends, if each report comes at its time.
///
/// A report is the number of an engine and a time in order; all times are in milliseconds.
fn end_of_wait(
    mut registry: Registry,
    reports: impl IntoIterator<Item = (u64, u64)>,
    holds: bool,
    since: u64,
) -> u64 {
    let mut warm_up = WarmUp::new(since, HEARTBEAT_MS);
    let mut reports = reports.into_iter().peekable();
    for now in (since..).step_by(TICK_MS as usize) {
        while let Some((n, at)) = reports.next_if(|(_, at)| *at <= now) {
            report(&mut registry, n, holds, at);
        }
        if warm_up.is_over(&registry, now) {
            return now - since;
        }
    }
    unreachable!("the range of times has no end")
}

/// Returns reports of engines `first..last`, spread evenly over `span_ms` from `since`.
fn spread(first: u64, last: u64, since: u64, span_ms: u64) -> impl Iterator<Item = (u64, u64)> {
    let interval = move |n| (n - first) * span_ms / (last - first);
    (first..last).map(move |n| (n, since + interval(n)))
}

/// Returns a registry in which engines `0..count` last reported at 0 ms.
fn known(count: u64) -> Registry {
    let mut registry = Registry::new();
    for n in 0..count {
        report(&mut registry, n, true, 0);
    }
    registry
}

#[test]
fn registrations_that_trickle_in() {
    let reports = spread(0, ENGINES, 0, 5_000);
    let end = end_of_wait(Registry::new(), reports, true, 0);
    assert!((5_000..=8_000).contains(&end), "ended after {end} ms");
}

/// A successor that was started before its election knows the engines that have reported meanwhile.
#[test]
fn registrations_before_election() {
    let mut registry = Registry::new();
    for (n, at) in spread(0, 100, 0, 2_000) {
        report(&mut registry, n, true, at);
    }
    let again = spread(0, 100, 2_000, 1_000);
    let new = spread(100, ENGINES, 2_000, 4_000);
    let mut reports: Vec<_> = again.chain(new).collect();
    reports.sort_by_key(|(_, at)| *at);
    let end = end_of_wait(registry, reports, true, 2_000);
    assert!((4_000..=8_000).contains(&end), "ended after {end} ms");
}

#[test]
fn known_engines_report() {
    let reports = spread(0, ENGINES, 10_000, 1_000);
    let end = end_of_wait(known(ENGINES), reports, true, 10_000);
    assert_eq!(end, 1_400);
}

#[test]
fn known_engines_stay_silent() {
    let reports = spread(0, ENGINES / 2, 10_000, 6_000);
    let end = end_of_wait(known(ENGINES), reports, true, 10_000);
    assert!((6_000..=8_000).contains(&end), "ended after {end} ms");
}

/// Guards against gaps that stay open because engines keep registering.
#[test]
fn endless_registrations() {
    let reports = (0..ENGINES).map(|n| (n, n * n / 4));
    let end = end_of_wait(Registry::new(), reports, true, 0);
    assert!(end <= 8_000, "ended after {end} ms");
}

/// Guards against a later first placement.
#[test]
fn no_engine_holds_layers() {
    let reports = spread(0, ENGINES, 0, 5_000);
    assert_eq!(end_of_wait(Registry::new(), reports, false, 0), 1_400);
}

#[test]
fn no_engines() {
    assert_eq!(end_of_wait(Registry::new(), [], false, 0), 1_400);
}

/// Returns 90 engines of three kinds in three zones, and the layers that each is planned to hold.
fn placed_engines(shape: &ModelShape) -> Vec<EngineProfile> {
    let kinds = [(72_000.0, 2.4), (43_200.0, 5.6), (21_600.0, 16.0)];
    let engine = |n: u16| {
        let (memory_mb, step_factor) = kinds[usize::from(n / 3 % 3)];
        EngineProfile {
            zone: n % 3,
            memory_mb,
            step_factor,
            held: None,
            loading: false,
        }
    };
    let mut engines: Vec<_> = (0..90).map(engine).collect();
    while let orders = orders(shape, &engines)
        && !orders.is_empty()
    {
        for (n, layers) in orders {
            engines[n].held = Some(layers);
        }
    }
    engines
}

/// Returns the engines that a plan for `engines` has load other layers.
fn orders(shape: &ModelShape, engines: &[EngineProfile]) -> Vec<(usize, LayerRange)> {
    let planned = plan(shape, engines, Repartitioning::Deferred);
    let planned = planned.into_iter().enumerate().zip(engines);
    let changed = planned.filter(|((_, layers), engine)| *layers != engine.held);
    changed
        .filter_map(|((n, layers), _)| Some((n, layers?)))
        .collect()
}

/// Returns the orders of the first plan after the loss of all control instances.
///
/// Each engine has then reported its layers once, at a time within `span_ms` in a mixed order.
fn orders_after_loss(span_ms: u64) -> usize {
    let shape = ModelShape {
        layers: 80,
        layer_mb: 1_750.0,
        token_layer_mb: 0.0074,
        slots: 192,
        typical_tokens: 1_000.0,
        entry_weight: 1.0,
    };
    let engines = placed_engines(&shape);
    // 37 and 90 have no common divisor, so that each engine reports once.
    let order: Vec<_> = (0..engines.len() as u64).map(|n| n * 37 % 90).collect();
    let reports = order.iter().zip(0..).map(|(n, i)| (*n, i * span_ms / 90));
    let end = end_of_wait(Registry::new(), reports, true, 0);
    let has_reported = |i: usize| i as u64 * span_ms / 90 <= end;
    let reported = order.iter().enumerate().filter(|(i, _)| has_reported(*i));
    let reported: Vec<_> = reported.map(|(_, n)| engines[*n as usize]).collect();
    orders(&shape, &reported).len()
}

#[test]
fn nothing_is_ordered_after_loss() {
    for span_ms in [1_000, 2_000, 3_000, 5_000, 6_000] {
        assert_eq!(orders_after_loss(span_ms), 0, "reports within {span_ms} ms");
    }
}
