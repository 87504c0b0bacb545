//! Tests of the ways in which an ingress finds control instances that it doesn't know.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::mpsc;
use toucanshelf_control::address_book::AddressBook;
use toucanshelf_control::directory::ingress_addresses::IngressAddresses;
use toucanshelf_ingress::Ingress;
use toucanshelf_ingress::settings::IngressSettings;
use toucanshelf_link::frame::Frame;
use toucanshelf_link::handshake::{Hello, SharedKey};
use toucanshelf_link::link::{Link, connect, serve};
use toucanshelf_link::pending::PendingHandshakes;
use toucanshelf_platform::PlatformDialect;
use toucanshelf_runtime::settings::SettingsFile;

use crate::platform_support::{
    DeploymentBuilder, WAIT_TIMEOUT, call_ingress, ingress_settings_text, link_key, start_control,
    start_ingress, start_linked_ingress,
};
use crate::processes::TestFolder;

/// Time for which the address of an ingress is kept, in milliseconds.
const RETENTION_MS: u64 = 10 * 60 * 1_000;

/// Introduces a process as a control instance of `zone`.
pub fn control_hello(zone: &str) -> Hello {
    Hello::for_control(
        "control",
        zone,
        toucanshelf_coordination::replica::ReplicaId::new(1, 1),
    )
}

/// A control instance that ends after it has told an ingress about others.
struct EndingControl {
    links: mpsc::Receiver<Link>,
    port: u16,
}

impl EndingControl {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let port = listener.local_addr().unwrap().port();
        let (tx, links) = mpsc::channel(4);
        let key = SharedKey::new(link_key()).unwrap();
        tokio::spawn(serve(
            listener,
            control_hello("z"),
            key,
            PendingHandshakes::new(8),
            tx,
        ));
        Self { links, port }
    }

    /// Accepts the link of an ingress and introduces itself.
    async fn accept(&mut self) -> Link {
        let link = self.links.recv().await.unwrap();
        let members = Frame::Members {
            links: Vec::new(),
            ingress_zones: Vec::new(),
            accepts_findings: false,
            issues_permits: false,
            sends_patches: false,
            lists_relays: false,
            accepts_subscriptions: false,
            calls_ingresses: true,
            hears_leader: true,
            wants_all_findings: false,
            collects_loads: false,
        };
        link.tx.send(members).await.unwrap();
        link
    }

    /// Names other ingresses to the one that links itself, and ends.
    async fn name_ingresses(mut self, ingresses: Vec<SocketAddr>) {
        let mut link = self.accept().await;
        while !matches!(link.rx.recv().await, Some(Frame::IngressAddress { .. })) {}
        let last_linked_ms = ingresses.into_iter().map(|address| (address, 0)).collect();
        let frame = Frame::IngressAddresses { last_linked_ms };
        // What is queued is written before the link closes.
        link.tx.send(frame).await.unwrap();
    }
}

/// Waits until the ingress is linked to the control instance at `address`.
async fn wait_until_linked(ingress: &Ingress, address: SocketAddr) {
    let control = &ingress.shared().control;
    let linked = async {
        while !control.current().contains(&address) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, linked).await.unwrap();
}

/// Calls an ingress at its link address, names `control`, and waits until the ingress is linked to it.
async fn call_ingress_as_control(ingress: &Ingress, control: SocketAddr) {
    let key = SharedKey::new(link_key()).unwrap();
    let address = ingress.link_address().unwrap();
    let link = connect(address, &control_hello("z"), &key).await.unwrap();
    let links = vec![control];
    link.tx
        .send(Frame::ControlInstances { links })
        .await
        .unwrap();
    wait_until_linked(ingress, control).await;
}

/// Guards against an ingress that takes no notice of a control instance that calls it.
#[tokio::test]
async fn called_by_control() {
    let (control, _folder) = start_control().await;
    let ingress = start_linked_ingress("i1", &["127.9.9.9"], control.link_address().port()).await;
    call_ingress_as_control(&ingress, control.link_address()).await;
}

/// Guards against an ingress that needs an address of its own for links.
#[tokio::test]
async fn called_by_control_at_relay_address() {
    let (control, _folder) = start_control().await;
    let port = control.link_address().port();
    let text = ingress_settings_text("i1", &["127.9.9.9"], port);
    let text = text.replace("link-listen = '127.0.0.1:0'\n", "");
    let settings = toucanshelf_runtime::settings::parse("ingress.toml", &text).unwrap();
    let ingress = Ingress::start(settings, Arc::new(PlatformDialect))
        .await
        .unwrap();
    let address = ingress.link_address().unwrap();
    assert_eq!(ingress.shared().relays.own_address(), Some(address));
    call_ingress_as_control(&ingress, control.link_address()).await;
    let other_key = SharedKey::new("another key of sixteen bytes").unwrap();
    let refused = connect(address, &control_hello("z"), &other_key).await;
    assert!(refused.is_err(), "a process with another key was linked");
}

/// Guards against an ingress that never reads its seeds again.
///
/// Its only seed is gone, and nobody else knows it.
#[tokio::test]
async fn seeds_changed_in_file() {
    let (control, _folder) = start_control().await;
    let folder = TestFolder::new();
    let text = |seed| ingress_settings_text("i1", &[seed], control.link_address().port());
    let path = folder.write("i1.toml", &text("127.9.9.9"));
    let file = SettingsFile::new(&path);
    let mut settings: IngressSettings = file.load().unwrap();
    settings.file = Some(file);
    let ingress = Ingress::start(settings, Arc::new(PlatformDialect));
    let ingress = ingress.await.unwrap();
    // While the file is being written, it may be incomplete.
    folder.write("i1.toml", "name = ");
    folder.write("i1.toml", &text("127.0.0.1"));
    wait_until_linked(&ingress, control.link_address()).await;
}

/// Guards against an ingress that stays alone although another one knows control instances.
///
/// The control instances that run have never heard of it, so that none calls it.
#[tokio::test]
async fn other_ingress_asked() {
    let (control, _folder) = start_control().await;
    let other = start_ingress("i1", &control).await;
    wait_until_linked(&other, control.link_address()).await;
    let ending = EndingControl::start().await;
    let ingress = start_linked_ingress("i2", &["127.0.0.1"], ending.port).await;
    ending
        .name_ingresses(vec![other.link_address().unwrap()])
        .await;
    wait_until_linked(&ingress, control.link_address()).await;
}

/// Guards against addresses that are forgotten while their ingress is out of reach, or never.
#[test]
fn addresses_outlast_links() {
    let [first, second] = ["10.0.0.1:7", "10.0.0.2:7"].map(|address| address.parse().unwrap());
    let mut addresses = IngressAddresses::default();
    addresses.record(first, 0, 0);
    addresses.record(second, 0, 0);
    let linked = BTreeSet::from([second]);
    assert_eq!(addresses.lost(&linked, RETENTION_MS), [first]);
    assert!(addresses.ages(RETENTION_MS).contains_key(&first));
    assert_eq!(addresses.lost(&linked, RETENTION_MS + 1), []);
    assert!(!addresses.ages(RETENTION_MS).contains_key(&first));
}

/// Guards against calls to ingresses that have just lost a link, and open it again by themselves.
#[test]
fn no_call_within_second() {
    let address = "10.0.0.1:7".parse().unwrap();
    let mut addresses = IngressAddresses::default();
    addresses.record(address, 0, 5_000);
    assert_eq!(addresses.lost(&BTreeSet::new(), 5_999), []);
    assert_eq!(addresses.lost(&BTreeSet::new(), 6_000), [address]);
    assert_eq!(addresses.lost(&BTreeSet::from([address]), 6_001), []);
    assert_eq!(addresses.lost(&BTreeSet::new(), 7_000), []);
}

/// Guards against addresses that control instances keep alive by telling each other.
#[test]
fn addresses_age_while_told() {
    let address = "10.0.0.1:7".parse().unwrap();
    let mut first = IngressAddresses::default();
    let mut second = IngressAddresses::default();
    first.record(address, 0, 0);
    for now in (0..=RETENTION_MS).step_by(1_000) {
        for (known, last_linked_ms) in first.ages(now) {
            second.record(known, last_linked_ms, now);
        }
        for (known, last_linked_ms) in second.ages(now) {
            first.record(known, last_linked_ms, now);
        }
    }
    assert_eq!(first.lost(&BTreeSet::new(), RETENTION_MS + 1), []);
    assert_eq!(second.lost(&BTreeSet::new(), RETENTION_MS + 1), []);
}

/// Returns the status of a request, and whether the response says when to come back.
async fn call(ingress: &Ingress, path: &str) -> (u16, bool) {
    let response = call_ingress(ingress, "GET", path, &[]).await;
    (
        response.status,
        response.headers.contains_key("retry-after"),
    )
}

/// Guards against a 404 for a route that was added while the ingress hears of no changes.
///
/// Callers don't come back after a 404, although another ingress would serve them.
#[tokio::test]
async fn unknown_route_without_control() {
    let mut control = EndingControl::start().await;
    let ingress = start_linked_ingress("i1", &["127.0.0.1"], control.port).await;
    let link = control.accept().await;
    let document = DeploymentBuilder::new(1).route("r", "a.example", "/r/", "plain");
    let document = document.build().into_bytes().into();
    let frame = Frame::Deployment {
        version: 1,
        document,
    };
    link.tx.send(frame).await.unwrap();
    let mut installed = ingress.shared().deployments.installed();
    let version = installed.wait_for(Option::is_some);
    tokio::time::timeout(WAIT_TIMEOUT, version)
        .await
        .unwrap()
        .unwrap();
    assert_eq!(call(&ingress, "/added/").await, (404, false));
    drop((control, link));
    let unlinked = async {
        while ingress.shared().control.is_current() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, unlinked).await.unwrap();
    assert_eq!(call(&ingress, "/added/").await, (503, true));
}

/// Guards against an ingress that holds on to a control instance which hears of nothing itself.
#[tokio::test]
async fn control_without_leader_counts_as_none() {
    let (control, _folder) = start_control().await;
    let other = start_ingress("i1", &control).await;
    wait_until_linked(&other, control.link_address()).await;
    let mut island = EndingControl::start().await;
    let ingress = start_linked_ingress("i2", &["127.0.0.1"], island.port).await;
    let link = island.accept().await;
    let addresses = [(other.link_address().unwrap(), 0)].into();
    let frame = Frame::IngressAddresses {
        last_linked_ms: addresses,
    };
    link.tx.send(frame).await.unwrap();
    let counts = Frame::MemberCounts {
        links: Vec::new(),
        ingresses: [("z".into(), 1)].into(),
        hears_leader: false,
    };
    link.tx.send(counts).await.unwrap();
    wait_until_linked(&ingress, control.link_address()).await;
}

/// Guards against addresses that are lost or half stored.
#[test]
fn address_book_stored_again() {
    let folder = tempfile::tempdir().unwrap();
    assert_eq!(
        AddressBook::load(folder.path()).unwrap(),
        AddressBook::default()
    );
    let mut book = AddressBook::default();
    for port in 1..=3 {
        book.control
            .push(SocketAddr::new([10, 0, 0, 1].into(), port));
        book.ingresses
            .push(SocketAddr::new([10, 0, 0, 2].into(), port));
        book.store(folder.path()).unwrap();
        assert_eq!(AddressBook::load(folder.path()).unwrap(), book);
    }
    std::fs::write(folder.path().join("addresses.toml"), "control = 7").unwrap();
    assert!(AddressBook::load(folder.path()).is_err());
}
