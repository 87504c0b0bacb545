//! Tests of an ingress that refuses less urgent requests while its engines are nearly full.

use std::sync::Arc;
use std::time::Duration;

use serde_json::json;
use toucanshelf_ingress::Ingress;
use toucanshelf_ingress::settings::IngressSettings;
use toucanshelf_platform::PlatformDialect;
use toucanshelf_routing::room::FLOOR_INTERVAL;
use toucanshelf_runtime::program::DaemonSettings as _;

use crate::platform_support::{
    DeploymentBuilder, Platform, Target, TargetAction, WAIT_TIMEOUT, ingress_settings_text,
    start_control,
};

const ID: (&str, &str) = ("x-toucanshelf-request-id", "r1");
const DEADLINE: (&str, &str) = ("x-toucanshelf-deadline-ms", "6000");
/// Slots of each engine in use by requests of the test, out of 8.
const USED_SLOTS: u32 = 6;

/// A platform with one engine for each half of a model, whose routes differ in priority.
struct RankedPlatform {
    platform: Platform,
    first: Target,
    _second: Target,
}

impl RankedPlatform {
    /// Starts a platform whose ingress has these settings beyond the usual ones.
    async fn start(settings: &str) -> Self {
        let document = DeploymentBuilder::new(1).model_service("model");
        let routes = [("urgent", 0), ("batch", 1)].map(|(name, priority)| {
            let route = json!({
                "service": "model", "kind": "streaming", "resumable": true, "timeout_ms": 6_000,
                "priority": priority
            });
            (name, route)
        });
        let document = routes.iter().fold(document, |document, (name, route)| {
            document.custom_route(name, &format!("/{name}/"), route)
        });
        let (control, folder) = start_control().await;
        let link_port = control.link_address().port();
        let text = ingress_settings_text("i1", &["127.0.0.1"], link_port);
        let text = format!("{text}{settings}");
        let settings = toucanshelf_runtime::settings::parse("ingress.toml", &text).unwrap();
        let ingress = Ingress::start(settings, Arc::new(PlatformDialect)).await;
        let document = document.build();
        let platform =
            Platform::with_ingress(control, folder, ingress.unwrap(), &document, &[]).await;
        let served = || std::iter::repeat_n(TargetAction::Stream(&["id: 1\ndata: a\n\n"]), 16);
        let (first, second) = (Target::start(served()).await, Target::start(served()).await);
        for (id, target, layers) in [("e0", &first, 0..2), ("e1", &second, 2..4)] {
            let address = target.address;
            platform.register_engine(id, address, "z", layers).await;
        }
        Self {
            platform,
            first,
            _second: second,
        }
    }

    /// Begins or ends requests that use slots of the first engine.
    async fn use_slots(&self, begin: bool) {
        let shared = self.platform.ingress.shared();
        let known = async {
            while shared.targets().choose_route("model", &[], 0).is_none() {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(WAIT_TIMEOUT, known).await.unwrap();
        let mut targets = shared.targets();
        let key = targets.at_address(self.first.address).unwrap();
        for _ in 0..USED_SLOTS {
            if begin {
                targets.begin_request(key, 1.0, true);
            } else {
                targets.end_request(key, 1.0, true);
            }
        }
    }

    async fn wait_until_loads_known(&self) {
        let shared = self.platform.ingress.shared();
        let known = async {
            while !shared.targets().knows_zone_loads(shared.now()) {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(WAIT_TIMEOUT, known).await.unwrap();
    }

    async fn status(&self, path: &str) -> u16 {
        let headers = [ID, DEADLINE];
        self.platform.call("POST", path, &headers).await.status
    }
}

// Pattern: urgent beside batch, on an engine that is nearly full.
#[tokio::test]
async fn batch_refused_while_urgent_begins() {
    let ranked = RankedPlatform::start("load-exchange-ms = 100\nreserved-share = 0.5\n").await;
    ranked.use_slots(true).await;
    ranked.wait_until_loads_known().await;
    let refused = ranked
        .platform
        .call("POST", "/batch/x", &[ID, DEADLINE])
        .await;
    assert_eq!(refused.status, 503);
    assert_eq!(refused.body, r#"{"error":"no-room"}"#);
    let after: f64 = refused.headers["retry-after"]
        .to_str()
        .unwrap()
        .parse()
        .unwrap();
    assert!(after > 0.0 && after <= 2.0, "{after} s of 6");
    // The refusal says that the request has not run.
    assert!(ranked.first.received_requests().is_empty());
    assert_eq!(ranked.status("/urgent/x").await, 200);
    ranked.use_slots(false).await;
    assert_eq!(ranked.status("/batch/x").await, 200);
}

// Pattern: urgent callers take the room; what begins beyond the limit isn't counted as within it.
#[tokio::test]
async fn floor_counted_once() {
    let ranked = RankedPlatform::start("load-exchange-ms = 100\nreserved-share = 0.5\n").await;
    ranked.use_slots(true).await;
    ranked.wait_until_loads_known().await;
    assert_eq!(ranked.status("/batch/x").await, 503);
    for _ in 0..=FLOOR_INTERVAL as u32 {
        assert_eq!(ranked.status("/urgent/x").await, 200);
    }
    assert_eq!(ranked.status("/batch/x").await, 200);
    let admissions = &ranked.platform.ingress.shared().metrics.admissions;
    let counts = ["begun", "floor", "refused"]
        .map(|decision| admissions.with_label_values(&["1", decision]).get());
    assert_eq!(counts, [0, 1, 1]);
}

// Without the settings, requests are sent and engines refuse what they can't take, as before.
#[tokio::test]
async fn nothing_refused_by_default() {
    for settings in ["", "load-exchange-ms = 100\n", "reserved-share = 0.5\n"] {
        let ranked = RankedPlatform::start(settings).await;
        ranked.use_slots(true).await;
        if settings.starts_with("load") {
            ranked.wait_until_loads_known().await;
        }
        assert_eq!(ranked.status("/batch/x").await, 200, "{settings}");
    }
}

#[test]
fn reserved_share_out_of_range() {
    for share in ["-0.1", "1.0", "nan"] {
        let text = ingress_settings_text("i1", &["127.0.0.1"], 1);
        let text = format!("{text}reserved-share = {share}\n");
        let settings: IngressSettings =
            toucanshelf_runtime::settings::parse("ingress.toml", &text).unwrap();
        assert!(settings.check().is_err(), "{share}");
    }
}
