//! Tests of engines that have ended and whose addresses belong to other engines.

use std::time::Duration;

use toucanshelf_core::ids::Incarnation;
use toucanshelf_link::dialect::EngineInstance;
use toucanshelf_link::engine_report::{ReportError, fetch_report};
use toucanshelf_platform::PlatformDialect;

use crate::ingress::with_engines_on;
use crate::platform_support::{DeploymentBuilder, Platform, Target, TargetAction, WAIT_TIMEOUT};

/// Interval between two heartbeats of each engine.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

/// Registers engines without layers again and again until `is_reached` holds.
///
/// They are given as `(id, target)` pairs.
async fn beat_until(
    platform: &Platform,
    engines: &[(&str, &Target)],
    is_reached: impl Fn() -> bool,
) {
    let mut sequence = 0;
    while !is_reached() {
        sequence += 1;
        for (id, target) in engines {
            let heartbeat = serde_json::json!({
                "service": "model", "address": target.address, "zone": "z", "version": "v1",
                "slots": 8, "state": "ready", "cold_left_ms": 0, "seq": sequence, "born": 1000, "kind": "card"
            });
            assert_eq!(platform.send_heartbeat(id, &heartbeat).await, 200);
        }
        tokio::time::sleep(HEARTBEAT_INTERVAL).await;
    }
}

/// Guards against orders for an engine that has ended, carried out by the next one at its address.
#[tokio::test(flavor = "multi_thread")]
async fn order_for_lost_engine() {
    let document = DeploymentBuilder::new(1).model_service("model").build();
    let platform = Platform::start(&document, &[]).await;
    let (living, other) = (Target::start([]).await, Target::start([]).await);
    living.identify_as("living");
    other.identify_as("other");
    let engines = [("living", &living), ("lost", &other)];
    let both_called =
        || living.orders_begun() > 0 && other.misdirected_calls() + other.orders_begun() > 0;
    let beats = beat_until(&platform, &engines, both_called);
    tokio::time::timeout(WAIT_TIMEOUT, beats).await.unwrap();
    assert_eq!(
        other.orders_begun(),
        0,
        "an order for `lost` reached `other`"
    );
}

/// Guards against a report of the next engine at an address, taken for that of the one before.
#[tokio::test(flavor = "multi_thread")]
async fn report_of_other_engine() {
    let first = Target::start([TargetAction::Hang(&["id: 1\n\n"])]).await;
    let later = Target::start([]).await;
    first.identify_as("other");
    first.report_stall_at(later.address);
    let document = DeploymentBuilder::new(1)
        .model_service("model")
        .route_of_kind("draft", "/draft/", "model", "streaming");
    let placed = [("z", 0, 2), ("z", 2, 4)];
    let platform = with_engines_on(&document, &[&first, &later], &placed).await;
    let id = ("x-toucanshelf-request-id", "r1");
    assert!(!platform.call("POST", "/draft/", &[id]).await.is_complete);
    let targets = platform.ingress.shared().targets();
    let key = targets.at_address(later.address).unwrap();
    assert!(
        !targets.has_unrecovered_failure(key),
        "the engine that names `later` isn't the one that was asked"
    );
}

/// Guards against the report of one incarnation of an engine, taken for that of another.
#[tokio::test]
async fn report_of_one_incarnation() {
    let target = Target::start([]).await;
    target.identify_as("e");
    let fetch = async |id: &str, incarnation| {
        let engine = EngineInstance {
            id: id.into(),
            incarnation: Incarnation(incarnation),
            address: target.address,
        };
        fetch_report(&PlatformDialect, &engine, WAIT_TIMEOUT).await
    };
    let report = fetch("e", 1000).await.unwrap();
    assert_eq!(report.incarnation, None, "the report states no incarnation");
    target.report_born(2000);
    let report = fetch("e", 2000).await.unwrap();
    assert_eq!(report.incarnation, Some(Incarnation(2000)));
    let restarted = fetch("e", 1000).await.unwrap_err();
    assert!(matches!(restarted, ReportError::Restarted), "{restarted}");
    assert!(restarted.has_ended());
    let other = fetch("f", 2000).await.unwrap_err();
    assert!(other.has_ended(), "{other}");
}
