//! An ingress process with few descriptors, a control instance and two services.

use std::net::SocketAddr;

use tempfile::TempDir;
use tokio::time::timeout;
use toucanshelf_control::Control;
use toucanshelf_replay::layout::Addresses;

use crate::client::Call;
use crate::crowd::Crowd;
use crate::machine::{Machine, Watched};
use crate::platform_support::{
    DeploymentBuilder, Target, TargetAction, WAIT_TIMEOUT, ingress_settings_text, start_control,
};

/// Machine of an ingress, whose process may open few descriptors.
pub const SMALL_MACHINE: Machine = Machine {
    bytes: 160_000_000,
    descriptors: 256,
    reserved_descriptors: 48,
};
/// The smallest machine of an ingress.
pub const FULL_MACHINE: Machine = Machine {
    bytes: 160_000_000,
    descriptors: 4_100,
    reserved_descriptors: 248,
};
/// Largest legal body, in bytes.
pub const MAX_BODY_BYTES: usize = 4 << 20;
/// Path of the service whose answers the test chooses.
pub const HELD: &str = "POST /held/";
/// Path of a model, whose first engine answers as that service does.
pub const STREAMED: &str = "POST /streamed/";

/// Listeners of an ingress other than the one for callers.
#[derive(Clone, Copy, Debug)]
pub struct Listeners {
    pub ready: SocketAddr,
    pub metrics: SocketAddr,
    pub relay: SocketAddr,
    pub link: SocketAddr,
}

/// The processes and services of a test.
///
/// Requests of a crowd go to `/held/`, ordinary ones to `/calm/`, whose service answers at once.
pub struct System {
    pub ingress: Watched,
    pub listeners: Listeners,
    _control: Control,
    _targets: [Target; 4],
    _data: TempDir,
}

impl System {
    /// Starts the processes; the service of `/held/` answers each request with `answer`.
    pub async fn start(answer: TargetAction) -> Self {
        Self::start_on(SMALL_MACHINE, answer).await
    }

    /// Starts the processes, the ingress on this machine.
    pub async fn start_on(machine: Machine, answer: TargetAction) -> Self {
        let (control, data) = start_control().await;
        let document = DeploymentBuilder::new(1)
            .max_body_bytes(MAX_BODY_BYTES)
            .service("calm")
            .model_service("model")
            .timed_route("streamed", "/streamed/", "model", "streaming", 600_000)
            .route("held", "a.example", "/held/", "plain")
            .route("calm", "a.example", "/calm/", "calm")
            .build();
        let api = control.platform_address().unwrap();
        let deploy = Call::new(api, "PUT /api/config").with_body(document);
        deploy.wait_until_served().await;
        let script = std::iter::repeat_n(answer, 10_000);
        let targets = [
            Target::start(script.clone()).await,
            Target::start([]).await,
            Target::start(script).await,
            Target::start([]).await,
        ];
        for (n, service) in ["plain", "calm"].iter().enumerate() {
            let heartbeat = heartbeat(service, targets[n].address, n);
            heartbeat_call(api, n, &heartbeat).wait_until_served().await;
        }
        // Only the first engine of a model is asked.
        for (n, from) in [(2, 0), (3, 2)] {
            let heartbeat = serde_json::json!({
                "service": "model", "address": targets[n].address, "zone": "z", "version": "v1",
                "slots": 1_000, "state": "ready", "cold_left_ms": 0, "seq": 1, "born": 1000 + n,
                "kind": "card", "layers": { "from": from, "target": from + 2, "version": 1 }
            });
            let call = heartbeat_call(api, n, &heartbeat.to_string());
            call.wait_until_served().await;
        }
        let mut addresses = Addresses::new();
        let listeners = Listeners {
            ready: addresses.allocate(),
            metrics: addresses.allocate(),
            relay: addresses.allocate(),
            link: addresses.allocate(),
        };
        drop(addresses);
        let mut text = ingress_settings_text("i1", &["127.0.0.1"], control.link_address().port());
        let others = [
            ("ready", listeners.ready),
            ("metrics", listeners.metrics),
            ("relay", listeners.relay),
            ("link", listeners.link),
        ];
        for (name, address) in others {
            let any = format!("{name}-listen = '127.0.0.1:0'");
            text = text.replace(&any, &format!("{name}-listen = '{address}'"));
        }
        let program = env!("CARGO_BIN_EXE_toucanshelf-ingress");
        let watched = others.map(|(_, address)| address);
        let system = Self {
            ingress: Watched::start(program, &text, machine, &["address"], &watched),
            listeners,
            _control: control,
            _targets: targets,
            _data: data,
        };
        system.wait_until_served(b"").await;
        system
    }

    /// Returns the address for callers.
    pub fn address(&self) -> SocketAddr {
        self.ingress.address("address")
    }

    /// Opens a crowd of callers that each send a request head with these header lines.
    pub async fn open_crowd(&self, count: usize, headers: &str) -> Crowd {
        Crowd::open(self.address(), count, HELD, headers).await
    }

    /// Waits until the ingress answers an ordinary request with this body.
    pub async fn wait_until_served(&self, body: &[u8]) {
        let call = Call::new(self.address(), "POST /calm/").with_body(body);
        call.wait_until_served().await;
    }

    /// Waits until the probe, the metrics and a relayed request are answered.
    async fn wait_until_others_served(&self) {
        let Listeners {
            ready,
            metrics,
            relay,
            ..
        } = self.listeners;
        for call in [
            Call::new(ready, "GET /api/ready"),
            Call::new(metrics, "GET /metrics"),
            Call::new(relay, "POST /calm/"),
        ] {
            call.wait_until_served().await;
        }
    }

    /// Checks that the ingress withstands a crowd while it is open.
    pub async fn check(self, crowd: Crowd) {
        self.ingress.settle().await;
        self.check_beside(crowd).await;
    }

    /// Does the same with any crowd, whether its bytes are read or not.
    pub async fn check_beside<C>(mut self, crowd: C) {
        self.wait_until_served(b"").await;
        self.wait_until_others_served().await;
        drop(crowd);
        self.ingress.check();
    }
}

/// Returns the state that a target of a service sends.
pub fn heartbeat(service: &str, address: SocketAddr, n: usize) -> String {
    let heartbeat = serde_json::json!({
        "service": service, "address": address, "zone": "z", "version": "v1",
        "slots": 8, "state": "ready", "cold_left_ms": 0, "seq": 1, "born": 1000 + n
    });
    heartbeat.to_string()
}

/// Returns the call that sends a heartbeat of target number `n`.
pub fn heartbeat_call(api: SocketAddr, n: usize, heartbeat: &str) -> Call {
    Call::new(api, &format!("PUT /api/instances/t{n}")).with_body(heartbeat)
}

/// Waits until an ingress in this process uses a deployment of at least this version.
pub async fn wait_for_version(ingress: &toucanshelf_ingress::Ingress, version: u64) {
    let reached = async {
        while ingress.shared().version() < Some(version) {
            tokio::time::sleep(std::time::Duration::from_millis(50)).await;
        }
    };
    let reached = timeout(WAIT_TIMEOUT, reached).await;
    assert!(reached.is_ok(), "no link brought version {version}");
}
