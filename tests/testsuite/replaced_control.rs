//! Tests of real processes: ingresses and the replacement of the control instances that they know.

use std::io::{Read as _, Write as _};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::ops::Range;
use std::path::PathBuf;

use toucanshelf_control::address_book::AddressBook;
use toucanshelf_core::digest::Digest;
use toucanshelf_soak::process::Process;

use crate::platform_support::DeploymentBuilder;
use crate::processes::{LINK_KEY, OPERATOR_TOKEN, TestFolder, control_statuses, start, wait_until};

/// Number of control instances that run at a time, and of the seeds.
const CONTROLS: usize = 3;
/// Number of addresses, of which each control instance and each successor has one.
const ADDRESSES: u8 = 6;

/// A platform of real processes, whose control instances have addresses of their own.
struct ProcessPlatform {
    folder: TestFolder,
    /// IP addresses of the control instances.
    ips: Vec<IpAddr>,
    link_port: u16,
    api_port: u16,
}

impl ProcessPlatform {
    /// Chooses addresses; `host` is the first of [`ADDRESSES`] last bytes that no other test uses.
    fn new(host: u8) -> Self {
        let ip = |n| Ipv4Addr::new(127, 253, (std::process::id() % 250) as u8, host + n);
        let ips: Vec<IpAddr> = (0..ADDRESSES).map(|n| ip(n).into()).collect();
        // Both listeners stay open until both ports are known, so that these differ.
        let listeners = [0, 1].map(|_| TcpListener::bind((ips[0], 0)).unwrap());
        let [link_port, api_port] = listeners
            .each_ref()
            .map(|listener| listener.local_addr().unwrap().port());
        Self {
            folder: TestFolder::new(),
            ips,
            link_port,
            api_port,
        }
    }

    /// Returns the addresses of some control instances, as a list in TOML.
    fn seeds(&self, instances: Range<usize>) -> String {
        let seeds: Vec<_> = self.ips[instances]
            .iter()
            .map(|ip| format!("'{}'", SocketAddr::new(*ip, self.api_port)))
            .collect();
        seeds.join(", ")
    }

    /// Starts control instance `n`; the first ones create the replicated log.
    fn start_control(&self, n: usize) -> Process {
        start("toucanshelf-control", &self.write_control(n, 0..CONTROLS))
    }

    /// Writes the settings of control instance `n`, whose seeds are other `instances`.
    fn write_control(&self, n: usize, instances: Range<usize>) -> PathBuf {
        let ip = self.ips[n];
        let (link_port, api_port) = (self.link_port, self.api_port);
        let text = format!(
            "name = '{ip}'\nzone = 'z'\nlisten = '{ip}:0'\nlink-listen = '{ip}:{link_port}'\n\
             link-key = '{LINK_KEY}'\ndata-folder = '{}'\noperator-token-digests = ['{}']\n\
             [deployment]\nlisten = '{ip}:{api_port}'\nseeds = [{}]\nbootstrap = {}\n",
            self.folder.path(&format!("data-{n}")).display(),
            Digest::of(OPERATOR_TOKEN.as_bytes()),
            self.seeds(instances),
            n < CONTROLS,
        );
        self.folder.write(&format!("control-{n}.toml"), &text)
    }

    /// Starts an ingress with the first control instances as seeds.
    fn start_ingress(&self, name: &str) -> Process {
        let text = format!(
            "name = '{name}'\nzone = 'z'\nlisten = '127.0.0.1:0'\nready-listen = '127.0.0.1:0'\n\
             metrics-listen = '127.0.0.1:0'\nlink-listen = '127.0.0.1:0'\nlink-key = '{LINK_KEY}'\nseeds = [{}]\n\
             link-port = {}\n",
            self.seeds(0..CONTROLS),
            self.link_port,
        );
        let path = self.folder.write(&format!("{name}.toml"), &text);
        start("toucanshelf-ingress", &path)
    }

    /// Starts the first control instances and an ingress, which serves the route `/first/` only.
    fn start_deployed(&self) -> (Vec<Process>, Process) {
        let controls: Vec<_> = (0..CONTROLS).map(|n| self.start_control(n)).collect();
        let ingress = self.start_ingress("i1");
        wait_until_voting(&controls);
        let document = DeploymentBuilder::new(1).route("first", "a.example", "/first/", "plain");
        self.deploy(0, &document.build());
        wait_until_only(&ingress, "/first/", "/added/");
        (controls, ingress)
    }

    /// Replaces the route by `/added/` at a successor, and waits until the ingress serves that only.
    fn deploy_added_route(&self, ingress: &Process) {
        let document = DeploymentBuilder::new(2).route("added", "a.example", "/added/", "plain");
        self.deploy(CONTROLS, &document.build());
        wait_until_only(ingress, "/added/", "/first/");
    }

    /// Whether successor `n` has stored the addresses of all successors and of an ingress.
    fn knows_successors(&self, n: usize) -> bool {
        let folder = self.folder.path(&format!("data-{}", CONTROLS + n));
        let book = AddressBook::load(&folder).unwrap();
        let mut successors = self.ips[CONTROLS..].iter();
        successors.all(|ip| book.control.iter().any(|address| address.ip() == *ip))
            && !book.ingresses.is_empty()
    }

    /// Submits a deployment at control instance `n` until it is acknowledged.
    fn deploy(&self, n: usize, document: &str) {
        let address = SocketAddr::new(self.ips[n], self.api_port);
        wait_until(|| status(address, "PUT", "/api/config", document) == Some(200));
    }
}

/// Sends a request for the host `a.example` and returns the status of the response, if one comes.
fn status(address: SocketAddr, method: &str, path: &str, body: &str) -> Option<u16> {
    let mut stream = TcpStream::connect(address).ok()?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nhost: a.example\r\nconnection: close\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    text.split(' ').nth(1)?.parse().ok()
}

/// Waits until an ingress knows the route `known`, but not the route `unknown`.
///
/// The service has no targets, so that a request on a known route gets 503.
fn wait_until_only(ingress: &Process, known: &str, unknown: &str) {
    let caller = |path| status(ingress.address("address"), "GET", path, "");
    wait_until(|| caller(unknown) == Some(404) && caller(known) == Some(503));
}

/// Waits until the control instances, and no others, are the voters of the replicated log.
fn wait_until_voting(controls: &[Process]) {
    let addresses: Vec<_> = controls
        .iter()
        .map(|process| process.address("http"))
        .collect();
    wait_until(|| {
        let statuses = control_statuses(&addresses);
        let mut replicas: Vec<_> = statuses
            .iter()
            .filter_map(|status| status["replica"].as_u64())
            .collect();
        replicas.sort_unstable();
        let vote = |status: &serde_json::Value| {
            let voters = status["voters"].as_array().into_iter().flatten();
            let mut voters: Vec<_> = voters.filter_map(serde_json::Value::as_u64).collect();
            voters.sort_unstable();
            voters == replicas
        };
        replicas.len() == CONTROLS && statuses.iter().all(vote)
    });
}

/// Replaces all control instances, one after the other; each successor starts first.
fn replace_all(platform: &ProcessPlatform, controls: &mut [Process]) {
    for n in 0..CONTROLS {
        let successor = platform.start_control(CONTROLS + n);
        let mut predecessor = std::mem::replace(&mut controls[n], successor);
        let joined = [controls[n].address("http")];
        wait_until(|| {
            control_statuses(&joined)
                .iter()
                .any(|s| s["current"] == true)
        });
        predecessor.signal("-TERM").unwrap();
        predecessor.wait().unwrap();
        wait_until_voting(controls);
    }
}

/// Guards against control instances without a quorum after planned replacements in quick succession.
///
/// Both successors run and have caught up before the first instance is stopped. The second one is
/// stopped as soon as the first has ended, so that no time is left to notice its silence.
#[test]
fn two_stopped_in_turn() {
    let platform = ProcessPlatform::new(40);
    let mut controls: Vec<_> = (0..CONTROLS).map(|n| platform.start_control(n)).collect();
    wait_until_voting(&controls);
    let document = DeploymentBuilder::new(1).route("first", "a.example", "/first/", "plain");
    platform.deploy(0, &document.build());
    let successors = [CONTROLS, CONTROLS + 1].map(|n| platform.start_control(n));
    let addresses = successors.each_ref().map(|process| process.address("http"));
    wait_until(|| {
        let statuses = control_statuses(&addresses);
        statuses.len() == 2 && statuses.iter().all(|s| s["current"] == true)
    });

    for mut stopped in controls.drain(1..) {
        stopped.signal("-TERM").unwrap();
        stopped.wait().unwrap();
    }
    controls.extend(successors);

    wait_until_voting(&controls);
    let document = DeploymentBuilder::new(2).route("added", "a.example", "/added/", "plain");
    platform.deploy(0, &document.build());
}

/// Guards against an ingress that keeps an old deployment for good.
///
/// It is out of reach while all control instances that it knows are replaced.
#[test]
fn ingress_out_of_reach_while_all_replaced() {
    let platform = ProcessPlatform::new(10);
    let (mut controls, ingress) = platform.start_deployed();

    ingress.signal("-STOP").unwrap();
    replace_all(&platform, &mut controls);
    ingress.signal("-CONT").unwrap();

    platform.deploy_added_route(&ingress);
}

/// Guards against successors that find neither each other nor an ingress after a restart of all.
///
/// All control instances were replaced while the ingress was out of reach. Then the successors are
/// killed at once, and the settings of all still name instances that are gone.
#[test]
fn all_successors_killed() {
    let platform = ProcessPlatform::new(30);
    let (mut controls, ingress) = platform.start_deployed();

    ingress.signal("-STOP").unwrap();
    replace_all(&platform, &mut controls);
    wait_until(|| (0..CONTROLS).all(|n| platform.knows_successors(n)));
    for control in &mut controls {
        control.kill().unwrap();
    }
    for (n, control) in controls.iter_mut().enumerate() {
        *control = platform.start_control(CONTROLS + n);
    }
    wait_until_voting(&controls);
    ingress.signal("-CONT").unwrap();

    platform.deploy_added_route(&ingress);
}

/// Guards against a control instance that never reads its seeds again.
///
/// It starts with seeds that are gone, and nobody else knows it.
#[test]
fn control_with_seeds_that_are_gone() {
    let platform = ProcessPlatform::new(20);
    let controls: Vec<_> = (0..CONTROLS).map(|n| platform.start_control(n)).collect();
    wait_until_voting(&controls);
    let path = platform.write_control(CONTROLS, CONTROLS + 1..CONTROLS + 2);
    let late = start("toucanshelf-control", &path);
    platform.write_control(CONTROLS, 0..CONTROLS);
    let address = [late.address("http")];
    wait_until(|| {
        control_statuses(&address)
            .iter()
            .any(|s| s["current"] == true)
    });
}
