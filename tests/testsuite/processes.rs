//! Tests of real processes: settings, signals, spans, kills, freezes and lost data folders.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::time::{Duration, Instant};

use tempfile::TempDir;
use toucanshelf_core::digest::Digest;
use toucanshelf_soak::process::Process;

/// Time after which a condition counts as never met.
///
/// It is far longer than every documented time limit.
const WAIT_TIMEOUT: Duration = Duration::from_secs(40);
/// Shared key of all links in these tests.
pub const LINK_KEY: &str = "link key of the process tests";
/// Token of the operator, and of the targets where the gate settings need one.
pub const OPERATOR_TOKEN: &str = "operator";

/// Names of the programs that read a settings file, and paths of their binaries.
const PROGRAMS: [(&str, &str); 5] = [
    ("toucanshelf-gate", env!("CARGO_BIN_EXE_toucanshelf-gate")),
    (
        "toucanshelf-control",
        env!("CARGO_BIN_EXE_toucanshelf-control"),
    ),
    (
        "toucanshelf-ingress",
        env!("CARGO_BIN_EXE_toucanshelf-ingress"),
    ),
    ("standin-engine", env!("CARGO_BIN_EXE_standin-engine")),
    ("standin-service", env!("CARGO_BIN_EXE_standin-service")),
];

/// Returns the path of the binary of a program.
fn program(name: &str) -> &'static str {
    PROGRAMS.iter().find(|(known, _)| *known == name).unwrap().1
}

/// Starts a program with a settings file.
pub fn start(name: &str, settings: &Path) -> Process {
    Process::start(Path::new(program(name)), settings).unwrap()
}

/// A temporary folder that holds settings, tickets and the data of control instances.
pub struct TestFolder(TempDir);

impl TestFolder {
    /// Creates an empty folder.
    pub fn new() -> Self {
        Self(tempfile::tempdir().unwrap())
    }

    /// Returns the path of an entry of the folder.
    pub fn path(&self, name: &str) -> PathBuf {
        self.0.path().join(name)
    }

    /// Writes a file and returns its path.
    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.path().join(name);
        std::fs::write(&path, text).unwrap();
        path
    }

    /// Writes the settings of control instance `n`, which listens for links on `links[n]`.
    ///
    /// The other addresses are those of its replicas; instance 0 bootstraps the deployment.
    fn control(&self, n: usize, links: &[SocketAddr]) -> PathBuf {
        let others: Vec<_> = links
            .iter()
            .enumerate()
            .filter(|(i, _)| *i != n)
            .map(|(_, address)| address)
            .collect();
        let others: Vec<_> = others
            .iter()
            .map(|address| format!("\"{address}\""))
            .collect();
        let text = format!(
            "name = 'control-{n}'\nzone = 'a'\nlisten = '127.0.0.1:0'\nlink-listen = '{}'\n\
             link-key = '{LINK_KEY}'\ndata-folder = '{}'\nreplicas = [{}]\nbootstrap = {}\n\
             operator-token-digests = ['{}']\n",
            links[n],
            self.0.path().join(format!("data-{n}")).display(),
            others.join(", "),
            n == 0,
            Digest::of(OPERATOR_TOKEN.as_bytes()),
        );
        self.write(&format!("control-{n}.toml"), &text)
    }

    /// Writes the settings of a gate that links to the control instances at `control`.
    fn gate(&self, name: &str, control: &[SocketAddr]) -> PathBuf {
        let control: Vec<_> = control
            .iter()
            .map(|address| format!("\"{address}\""))
            .collect();
        let digest = Digest::of(OPERATOR_TOKEN.as_bytes());
        let text = format!(
            "name = '{name}'\nzone = 'a'\nlisten = '127.0.0.1:0'\nlink-listen = '127.0.0.1:0'\n\
             link-key = '{LINK_KEY}'\ncontrol = [{}]\ntarget-token-digests = ['{digest}']\n\
             operator-token-digests = ['{digest}']\n",
            control.join(", "),
        );
        self.write(&format!("{name}.toml"), &text)
    }

    /// Writes a ticket that sets the weight of the organisation `org-{number}`.
    fn ticket(&self, number: u64, weight: u32) -> PathBuf {
        let text = format!(
            "number = {number}\noperator = 'test'\n[[organisation]]\nid = 'org-{number}'\n\
             weight = {weight}\ntoken-digests = []\n"
        );
        self.write(&format!("ticket-{number}.toml"), &text)
    }
}

/// Runs a program to its end, with `arg` unless that is empty.
fn run(name: &str, settings: &Path, arg: &str) -> Output {
    let mut command = Command::new(program(name));
    command.arg("--settings").arg(settings);
    if !arg.is_empty() {
        command.arg(arg);
    }
    command.output().unwrap()
}

/// Runs `toucanctl` as the operator against the given control instances.
fn run_toucanctl(controls: &[SocketAddr], args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_toucanctl"));
    command.args(args).env("TOUCANSHELF_TOKEN", OPERATOR_TOKEN);
    for address in controls {
        command.args(["--control", &address.to_string()]);
    }
    command.output().unwrap()
}

/// Applies a ticket, and repeats the call on failure until `WAIT_TIMEOUT` has passed.
fn apply_ticket(controls: &[SocketAddr], ticket: &Path) {
    let timeout_at = Instant::now() + WAIT_TIMEOUT;
    loop {
        let output = run_toucanctl(controls, &["ticket", "apply", ticket.to_str().unwrap()]);
        if output.status.success() {
            return;
        }
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(
            Instant::now() < timeout_at,
            "the ticket was not applied: {text}"
        );
    }
}

/// Returns three free link addresses on a loopback address that no other test uses.
///
/// `host` is the last byte of the loopback address and must be unique to the test. All three
/// listeners stay open until the last port is assigned, so that the ports differ.
fn free_link_addresses(host: u8) -> Vec<SocketAddr> {
    let ip = std::net::Ipv4Addr::new(127, 254, (std::process::id() % 250) as u8, host);
    let listeners: Vec<_> = (0..3)
        .map(|_| std::net::TcpListener::bind((ip, 0)).unwrap())
        .collect();
    listeners
        .iter()
        .map(|listener| listener.local_addr().unwrap())
        .collect()
}

#[test]
fn settings_with_unknown_key() {
    let folder = TestFolder::new();
    for (name, _) in PROGRAMS {
        let path = folder.write("wrong.toml", "name = 'x'\ncolour = 'red'\n");
        let output = run(name, &path, "--check");
        let text = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{name}: {text}");
        assert!(
            text.contains("wrong.toml:2:1") && text.contains("colour"),
            "{name}: {text}"
        );
    }
}

#[test]
fn settings_with_wrong_type() {
    let folder = TestFolder::new();
    let path = folder.write("wrong.toml", "name = 'x'\nzone = 7\n");
    for (name, _) in PROGRAMS {
        let output = run(name, &path, "");
        let text = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{name}: {text}");
        assert!(
            text.contains("wrong.toml:2:8") && text.contains("zone"),
            "{name}: {text}"
        );
    }
}

#[test]
fn settings_without_address() {
    let folder = TestFolder::new();
    let path = folder.write("short.toml", "name = 'x'\nzone = 'a'\n");
    for (name, _) in PROGRAMS {
        let output = run(name, &path, "--check");
        let text = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{name}: {text}");
        assert!(text.contains("missing field `"), "{name}: {text}");
    }
}

#[test]
fn settings_that_are_valid() {
    let folder = TestFolder::new();
    let path = folder.gate("gate-1", &free_link_addresses(10));
    assert!(run("toucanshelf-gate", &path, "--check").status.success());
    assert!(run("toucanshelf-gate", &path, "--help").status.success());
    let version = run("toucanshelf-gate", &path, "--version");
    assert!(String::from_utf8_lossy(&version.stdout).contains(env!("CARGO_PKG_VERSION")));
}

#[test]
fn stop_by_sigterm() {
    let folder = TestFolder::new();
    let links = free_link_addresses(11);
    let mut control = start("toucanshelf-control", &folder.control(0, &links[..1]));
    let mut gate = start("toucanshelf-gate", &folder.gate("gate-1", &links[..1]));
    apply_ticket(&[control.address("http")], &folder.ticket(1, 1));
    gate.signal("-TERM").unwrap();
    assert_eq!(gate.wait().unwrap().code(), Some(0));
    control.signal("-TERM").unwrap();
    assert_eq!(control.wait().unwrap().code(), Some(0));
}

/// Guards against a program that a SIGTERM ends at once, although it listens already.
#[test]
fn stop_right_after_listening() {
    let folder = TestFolder::new();
    let path = folder.gate("gate-1", &free_link_addresses(64));
    // Few starts leave time for the signal before the program waits for it.
    for _ in 0..3 {
        std::thread::scope(|scope| {
            for _ in 0..32 {
                scope.spawn(|| {
                    let mut gate = start("toucanshelf-gate", &path);
                    gate.signal("-TERM").unwrap();
                    assert_eq!(gate.wait().unwrap().code(), Some(0));
                });
            }
        });
    }
}

/// Checks that a gate sends its spans to the collector that its settings name.
#[test]
fn spans_to_collector() {
    use std::io::{Read as _, Write as _};
    let collector = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let folder = TestFolder::new();
    let path = folder.gate("gate-1", &free_link_addresses(13));
    let url = format!("http://{}/v1/traces", collector.local_addr().unwrap());
    let text = std::fs::read_to_string(&path).unwrap();
    std::fs::write(&path, format!("{text}[log]\ncollector = '{url}'\n")).unwrap();
    let mut gate = start("toucanshelf-gate", &path);
    let mut caller = std::net::TcpStream::connect(gate.address("http")).unwrap();
    let trace = "4bf92f3577b34da6a3ce929d0e0e4736";
    let request = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: gate\r\nconnection: close\r\n\
         traceparent: 00-{trace}-00f067aa0ba902b7-01\r\ncontent-length: 2\r\n\r\n{{}}"
    );
    caller.write_all(request.as_bytes()).unwrap();
    let mut answer = String::new();
    caller.read_to_string(&mut answer).unwrap();
    assert!(
        answer.contains(&format!("traceparent: 00-{trace}-")),
        "{answer}"
    );
    gate.signal("-TERM").unwrap();
    let (mut post, _) = collector.accept().unwrap();
    let mut text = String::new();
    while !text.contains(trace) {
        let mut buf = [0; 4096];
        let read = post.read(&mut buf).unwrap();
        assert!(read > 0, "no span of the trace: {text}");
        text.push_str(&String::from_utf8_lossy(&buf[..read]));
    }
    post.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}")
        .unwrap();
    assert_eq!(gate.wait().unwrap().code(), Some(0));
}

/// Guards against lost or changed verdicts while control instances fail.
///
/// Tickets are applied while the leader is killed, the next leader is frozen for longer than its
/// lease, and another control instance restarts without its data folder. At the end every verdict
/// must still be the first one, and every gate must have the newest revision.
#[test]
fn tickets_under_kill_and_freeze() {
    let folder = TestFolder::new();
    let links = free_link_addresses(12);
    let settings: Vec<_> = (0..3).map(|n| folder.control(n, &links)).collect();
    let mut controls: Vec<_> = settings
        .iter()
        .map(|path| start("toucanshelf-control", path))
        .collect();
    let gates: Vec<_> = (1..=2)
        .map(|n| {
            start(
                "toucanshelf-gate",
                &folder.gate(&format!("gate-{n}"), &links),
            )
        })
        .collect();
    let addresses = |controls: &[Process]| -> Vec<_> {
        controls
            .iter()
            .map(|process| process.address("http"))
            .collect()
    };
    apply_ticket(&addresses(&controls), &folder.ticket(1, 1));
    wait_until(|| {
        control_statuses(&addresses(&controls))
            .iter()
            .any(|s| s["voters"].as_array().unwrap().len() == 3)
    });

    let leader = leader_of(&addresses(&controls));
    controls[leader].kill().unwrap();
    apply_ticket(&addresses(&controls), &folder.ticket(2, 1));
    controls[leader] = start("toucanshelf-control", &settings[leader]);

    let next = leader_of(&addresses(&controls));
    controls[next].signal("-STOP").unwrap();
    let remaining: Vec<_> = (0..3)
        .filter(|n| *n != next)
        .map(|n| controls[n].address("http"))
        .collect();
    apply_ticket(&remaining, &folder.ticket(3, 1));
    controls[next].signal("-CONT").unwrap();
    apply_ticket(&[controls[next].address("http")], &folder.ticket(4, 1));

    let emptied = (leader_of(&addresses(&controls)) + 1) % 3;
    controls[emptied].kill().unwrap();
    std::fs::remove_dir_all(folder.0.path().join(format!("data-{emptied}"))).unwrap();
    controls[emptied] = start("toucanshelf-control", &settings[emptied]);
    apply_ticket(&addresses(&controls), &folder.ticket(5, 1));

    for number in 1..=5u64 {
        let output = run_toucanctl(
            &addresses(&controls),
            &["ticket", "show", &number.to_string(), "--json"],
        );
        let record: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
        assert_eq!(record["verdict"]["revision"], number, "{record}");
    }
    // After these failures, other content under a used ticket number must still conflict.
    let output = run_toucanctl(
        &addresses(&controls),
        &["ticket", "apply", folder.ticket(3, 9).to_str().unwrap()],
    );
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stdout).contains("conflict"));
    for gate in &gates {
        wait_until(|| readiness(gate.address("http"))["revision"] == 5);
    }
}

/// Guards against a timeout too large for the clock, which ended `toucanctl` with a panic.
#[test]
fn ticket_wait_with_largest_timeout() {
    let folder = TestFolder::new();
    let links = free_link_addresses(63);
    let control = start("toucanshelf-control", &folder.control(0, &links[..1]));
    let _gate = start("toucanshelf-gate", &folder.gate("g", &links[..1]));
    let controls = [control.address("http")];
    apply_ticket(&controls, &folder.ticket(1, 1));
    let timeout = u64::MAX.to_string();
    let output = run_toucanctl(&controls, &["ticket", "wait", "1", "--timeout", &timeout]);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
}

/// Polls `condition` until it holds, and panics when `WAIT_TIMEOUT` has passed.
pub fn wait_until(mut condition: impl FnMut() -> bool) {
    let timeout_at = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(
            Instant::now() < timeout_at,
            "the condition was not met within {WAIT_TIMEOUT:?}"
        );
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Returns the statuses of the control instances.
///
/// The list is empty if `toucanctl` prints no valid JSON.
pub fn control_statuses(controls: &[SocketAddr]) -> Vec<serde_json::Value> {
    let output = run_toucanctl(controls, &["status", "--json"]);
    serde_json::from_slice(&output.stdout).unwrap_or_default()
}

/// Waits until a control instance leads, and returns its index.
fn leader_of(controls: &[SocketAddr]) -> usize {
    let mut found = None;
    wait_until(|| {
        let statuses = control_statuses(controls);
        let leading = statuses
            .iter()
            .find(|s| s["current"] == true && s["leader"] == s["replica"]);
        let name = leading.and_then(|s| s["name"].as_str()?.strip_prefix("control-")?.parse().ok());
        found = name;
        found.is_some()
    });
    found.unwrap()
}

/// Returns the readiness report of a gate, or null if the response holds no JSON.
fn readiness(gate: SocketAddr) -> serde_json::Value {
    use std::io::{Read as _, Write as _};
    let mut stream = std::net::TcpStream::connect(gate).unwrap();
    let request = "GET /health/ready HTTP/1.1\r\nhost: gate\r\nconnection: close\r\n\r\n";
    stream.write_all(request.as_bytes()).unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    let body = text.split("\r\n\r\n").nth(1).unwrap_or("");
    serde_json::from_str(body).unwrap_or_default()
}
