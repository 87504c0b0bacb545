//! An ingress process with few descriptors, a control instance and two services.

use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt as _;
use std::path::{Path, PathBuf};
use std::time::Duration;

use http::Request;
use tempfile::TempDir;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::time::timeout;
use toucanshelf_control::Control;
use toucanshelf_soak::process::Process;

use crate::crowd::Crowd;
use crate::platform_support::{
    DeploymentBuilder, Target, TargetAction, WAIT_TIMEOUT, ingress_settings_text, send,
    start_control,
};
use crate::usage::{Usage, queued_bytes};

/// Memory of the machine of an ingress, in bytes.
///
/// Bytes that have arrived for the process and are unread count towards it.
const MACHINE_BYTES: u64 = 160_000_000;
/// Descriptors that the process may open.
const MAX_DESCRIPTORS: usize = 256;
/// Descriptors of the process that callers leave to targets, control and operators.
const RESERVED_DESCRIPTORS: usize = 48;
/// Largest legal body, in bytes.
pub const MAX_BODY_BYTES: usize = 4 << 20;
/// Time after which an ordinary request is sent again.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(10);

/// Time for the process to read the bytes that a crowd has sent.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(20);

/// The processes and services of a test.
///
/// Requests of a crowd go to `/held/`, ordinary ones to `/calm/`, whose service answers at once.
pub struct System {
    ingress: Process,
    usage: Usage,
    _control: Control,
    _targets: [Target; 2],
    _folders: [TempDir; 2],
}

impl System {
    /// Starts the processes; the service of `/held/` answers each request with `answer`.
    pub async fn start(answer: TargetAction) -> Self {
        let (control, data) = start_control().await;
        let document = DeploymentBuilder::new(1)
            .max_body_bytes(MAX_BODY_BYTES)
            .service("calm")
            .route("held", "a.example", "/held/", "plain")
            .route("calm", "a.example", "/calm/", "calm")
            .build();
        let api = control.platform_address().unwrap();
        let deployed = async { while put(api, "/api/config", &document).await != 200 {} };
        timeout(WAIT_TIMEOUT, deployed).await.unwrap();
        let script = std::iter::repeat_n(answer, 1_000);
        let targets = [Target::start(script).await, Target::start([]).await];
        for (n, service) in ["plain", "calm"].iter().enumerate() {
            let heartbeat = serde_json::json!({
                "service": service, "address": targets[n].address, "zone": "z", "version": "v1",
                "slots": 8, "state": "ready", "cold_left_ms": 0, "seq": 1, "born": 1000 + n
            });
            let path = format!("/api/instances/t{n}");
            assert_eq!(put(api, &path, &heartbeat.to_string()).await, 200);
        }
        let folder = tempfile::tempdir().unwrap();
        let settings = folder.path().join("ingress.toml");
        let port = control.link_address().port();
        let text = ingress_settings_text("i1", &["127.0.0.1"], port);
        std::fs::write(&settings, text).unwrap();
        let ingress = Process::start(&limited_program(folder.path()), &settings).unwrap();
        let system = Self {
            usage: Usage::watch(ingress.id(), ingress.address("address")),
            ingress,
            _control: control,
            _targets: targets,
            _folders: [data, folder],
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
        let mut crowd = Crowd::connect(self.address(), count).await;
        let head = format!("POST /held/ HTTP/1.1\r\nhost: a.example\r\n{headers}\r\n");
        crowd.send(head.as_bytes()).await;
        crowd
    }

    /// Waits until the ingress answers an ordinary request with this body.
    pub async fn wait_until_served(&self, body: &[u8]) {
        let served = async {
            while !is_served(self.address(), body).await {
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        };
        let served = timeout(WAIT_TIMEOUT, served).await;
        assert!(served.is_ok(), "no ordinary request was answered");
    }

    /// Waits until the process has read what a crowd has sent, or has had the time to.
    async fn settle(&self) {
        let read = async {
            loop {
                let queued = queued_bytes(self.address());
                if queued.unread + queued.unsent == 0 {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        };
        // Bytes that are still unread afterwards count as memory.
        let _ = timeout(SETTLE_TIMEOUT, read).await;
    }

    /// Checks that the ingress withstands a crowd while it is open.
    pub async fn check(mut self, crowd: Crowd) {
        self.settle().await;
        self.wait_until_served(b"").await;
        drop(crowd);
        assert!(self.ingress.is_running().unwrap(), "the process has ended");
        let (bytes, descriptors) = (self.usage.peak_bytes(), self.usage.peak_descriptors());
        let text = format!("peak of {bytes} bytes and {descriptors} descriptors");
        eprintln!("{text}");
        assert!(bytes <= MACHINE_BYTES, "{text}");
        assert!(
            descriptors <= MAX_DESCRIPTORS - RESERVED_DESCRIPTORS,
            "{text}"
        );
    }
}

/// Calls the platform's API of the control instance, and returns the HTTP status.
async fn put(api: SocketAddr, path: &str, body: &str) -> u16 {
    let request = Request::put(path).header("host", "control");
    send(api, request.body(body.into()).unwrap()).await.status
}

/// Writes a script that runs the ingress with few descriptors, and returns its path.
fn limited_program(folder: &Path) -> PathBuf {
    let path = folder.join("ingress.sh");
    let program = env!("CARGO_BIN_EXE_toucanshelf-ingress");
    let text = format!("#!/bin/sh\nulimit -n {MAX_DESCRIPTORS}\nexec '{program}' \"$@\"\n");
    std::fs::write(&path, text).unwrap();
    std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o700)).unwrap();
    path
}

/// Returns whether an ordinary request on a new connection is answered with a success.
async fn is_served(address: SocketAddr, body: &[u8]) -> bool {
    let call = async {
        let mut stream = TcpStream::connect(address).await?;
        let head = format!(
            "POST /calm/ HTTP/1.1\r\nhost: a.example\r\nconnection: close\r\n\
             content-length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all(head.as_bytes()).await?;
        stream.write_all(body).await?;
        let mut response = Vec::new();
        stream.read_to_end(&mut response).await?;
        std::io::Result::Ok(response)
    };
    let response = timeout(ATTEMPT_TIMEOUT, call).await;
    matches!(response, Ok(Ok(response)) if response.starts_with(b"HTTP/1.1 200 "))
}
