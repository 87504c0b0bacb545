//! Tests of heartbeats and departures that other writers send in a target's name.

use http::Request;
use toucanshelf_ingress::Ingress;

use crate::platform_support::{DeploymentBuilder, Platform, Target, call_ingress, send};

/// Start time of the target `t0`, as [`Platform::start`] registers it.
const BORN: u64 = 1_000;
/// Sequence number that a target does not reach.
const FAR_AHEAD: u64 = 1_000_000;

/// A platform with two targets of the same service.
struct TwoTargets {
    platform: Platform,
    targets: [Target; 2],
}

impl TwoTargets {
    async fn start() -> Self {
        let targets = [Target::start([]).await, Target::start([]).await];
        let document = DeploymentBuilder::new(1)
            .service("other")
            .route("read", "a.example", "/read/", "plain")
            .build();
        let registered = targets.each_ref().map(|target| ("plain", target));
        let platform = Platform::start(&document, &registered).await;
        Self { platform, targets }
    }

    /// Returns a heartbeat of the first target, in which the object `overrides` replaces fields.
    fn heartbeat(&self, overrides: &serde_json::Value) -> serde_json::Value {
        let mut heartbeat = serde_json::json!({
            "service": "plain", "address": self.targets[0].address, "zone": "z", "version": "v1",
            "slots": 8, "state": "ready", "cold_left_ms": 0, "seq": 2, "born": BORN
        });
        let fields = overrides.as_object().unwrap().clone();
        heartbeat.as_object_mut().unwrap().extend(fields);
        heartbeat
    }

    /// Sends a heartbeat in the first target's name and returns the status.
    async fn beat(&self, overrides: serde_json::Value) -> u16 {
        let heartbeat = self.heartbeat(&overrides);
        self.platform.send_heartbeat("t0", &heartbeat).await
    }

    /// Sends the departure of a target and returns the status.
    async fn depart(&self, id: &str, body: &str) -> u16 {
        let request = Request::delete(format!("/api/instances/{id}")).header("host", "control");
        let request = request.body(body.into()).unwrap();
        send(self.platform.control_api_address(), request)
            .await
            .status
    }

    /// Sends requests, and returns how many of them the first target has received.
    async fn received_by_first(&self) -> usize {
        let received = || self.targets[0].received_requests().len();
        let before = received();
        for _ in 0..12 {
            assert_eq!(read(&self.platform.ingress).await, 200);
        }
        received() - before
    }
}

async fn read(ingress: &Ingress) -> u16 {
    let id = ("x-toucanshelf-request-id", "r1");
    call_ingress(ingress, "GET", "/read/", &[id]).await.status
}

/// Guards against a drain that is hidden by a heartbeat with fields missing or of another type.
#[tokio::test]
async fn drain_after_invalid_heartbeat() {
    let two = TwoTargets::start().await;
    let mut invalid = two.heartbeat(&serde_json::json!({
        "version": 1, "slots": "six", "seq": FAR_AHEAD
    }));
    invalid.as_object_mut().unwrap().remove("cold_left_ms");
    let invalid_status = two.platform.send_heartbeat("t0", &invalid).await;
    let drain = serde_json::json!({ "state": "draining" });
    assert_eq!(two.beat(drain).await, 200);
    assert_eq!(two.received_by_first().await, 0);
    assert_eq!(invalid_status, 400);
}

/// Guards against a drain that is acknowledged although it was discarded as outdated.
#[tokio::test]
async fn drain_older_than_known_state() {
    let two = TwoTargets::start().await;
    assert_eq!(two.beat(serde_json::json!({ "seq": FAR_AHEAD })).await, 200);
    let drain = serde_json::json!({ "state": "draining" });
    assert_eq!(two.beat(drain).await, 409);
    let drain = serde_json::json!({ "state": "draining", "seq": FAR_AHEAD + 1 });
    assert_eq!(two.beat(drain).await, 200);
    assert_eq!(two.received_by_first().await, 0);
    let late_drain = serde_json::json!({ "state": "draining" });
    assert_eq!(two.beat(late_drain).await, 200, "it drains already");
    let late = serde_json::json!({});
    assert_eq!(two.beat(late).await, 200, "a newer state is known");
}

/// Guards against a drain that is acknowledged although it belongs to an earlier start.
#[tokio::test]
async fn drain_of_earlier_start() {
    let two = TwoTargets::start().await;
    let drain = serde_json::json!({ "state": "draining", "born": BORN - 1 });
    assert_eq!(two.beat(drain).await, 409);
}

/// Guards against a target that is lost, with its drain, because another writer names its service.
#[tokio::test]
async fn heartbeat_of_other_service() {
    let two = TwoTargets::start().await;
    for overrides in [
        serde_json::json!({ "service": "other", "seq": FAR_AHEAD }),
        serde_json::json!({ "service": "unnamed", "seq": FAR_AHEAD }),
        serde_json::json!({ "address": "127.0.0.1:1", "seq": FAR_AHEAD }),
        serde_json::json!({ "zone": "y", "seq": FAR_AHEAD }),
    ] {
        let status = two.beat(overrides.clone()).await;
        assert_eq!(status, 409, "{overrides}");
    }
    let drain = serde_json::json!({ "state": "draining" });
    assert_eq!(two.beat(drain).await, 200);
    assert_eq!(two.received_by_first().await, 0);
}

/// Guards against a departure that is taken from a body that can't be read.
#[tokio::test]
async fn departure_that_cannot_be_read() {
    let two = TwoTargets::start().await;
    for body in [r#"{"born":"x"}"#, r#"{"born":null}"#, "[1000]", "{", "1000"] {
        assert_eq!(two.depart("t0", body).await, 400, "{body}");
    }
    assert_ne!(two.received_by_first().await, 0);
    assert_eq!(two.depart("t0", "").await, 200);
    assert_eq!(two.received_by_first().await, 0);
}

/// Guards against targets that are lost to registrations of a service that the deployment doesn't name.
///
/// Another writer sends them, with a later start, at the address of each target and in its name.
#[tokio::test]
async fn unnamed_service_beside_targets() {
    let two = TwoTargets::start().await;
    let foreign =
        |address| serde_json::json!({ "service": "unnamed", "address": address, "born": 2 * BORN });
    for (n, target) in two.targets.iter().enumerate() {
        let heartbeat = two.heartbeat(&foreign(target.address));
        for id in [format!("m{n}"), format!("t{n}")] {
            assert_eq!(two.platform.send_heartbeat(&id, &heartbeat).await, 200);
        }
    }
    // The drain of the second target ends a wait for the ingress, which has applied all before it.
    let drain = serde_json::json!({
        "address": two.targets[1].address, "state": "draining", "born": BORN + 1
    });
    let drain = two.heartbeat(&drain);
    assert_eq!(two.platform.send_heartbeat("t1", &drain).await, 200);
    assert_eq!(two.received_by_first().await, 12);
    assert_eq!(two.beat(serde_json::json!({ "seq": 3 })).await, 200);
}

/// Guards against a target that is never used because it registered before its service was deployed.
#[tokio::test]
async fn registered_before_deployment() {
    let two = TwoTargets::start().await;
    let late = Target::start([]).await;
    let registration = serde_json::json!({ "service": "late", "address": late.address });
    let heartbeat = two.heartbeat(&registration);
    assert_eq!(two.platform.send_heartbeat("late", &heartbeat).await, 200);
    let document =
        DeploymentBuilder::new(2)
            .service("late")
            .route("late", "a.example", "/late/", "late");
    assert_eq!(two.platform.put_deployment(&document.build()).await, 200);
    two.platform.wait_until_in_sync().await;
    let id = ("x-toucanshelf-request-id", "r1");
    let answer = call_ingress(&two.platform.ingress, "GET", "/late/", &[id]).await;
    assert_eq!(answer.status, 200);
}

/// Guards against a departure that is acknowledged and forgotten by an instance that has restarted.
///
/// The target is registered at other instances, and a heartbeat of it may still arrive.
#[tokio::test]
async fn departure_of_unknown_target() {
    let two = TwoTargets::start().await;
    assert_eq!(two.depart("unknown", "").await, 503);
    assert_eq!(two.depart("unknown", r#"{"born":1000}"#).await, 503);
    assert_eq!(two.depart("t0", r#"{"born":1000}"#).await, 200);
    assert_eq!(
        two.depart("t0", r#"{"born":1000}"#).await,
        200,
        "sent again"
    );
}

/// Guards against a target that is used again after the departure of a start that was unknown.
#[tokio::test]
async fn departure_of_unknown_start() {
    let two = TwoTargets::start().await;
    assert_eq!(two.depart("t0", r#"{"born":2000}"#).await, 200);
    let late = serde_json::json!({ "born": 2_000, "seq": 1 });
    assert_eq!(two.beat(late).await, 200, "the departure is known");
    assert_eq!(two.received_by_first().await, 0);
    assert_eq!(two.depart("t0", r#"{"born":3000}"#).await, 200);
    let late = serde_json::json!({ "born": 3_000, "seq": 1 });
    assert_eq!(two.beat(late).await, 200);
    assert_eq!(two.received_by_first().await, 0);
}
