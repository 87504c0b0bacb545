//! Tests of the exchange of loads over links between ingresses and control instances.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::mpsc;
use toucanshelf_control::Control;
use toucanshelf_ingress::Ingress;
use toucanshelf_ingress::targets::TargetKey;
use toucanshelf_link::frame::Frame;
use toucanshelf_link::handshake::SharedKey;
use toucanshelf_link::link::{Link, serve};
use toucanshelf_link::pending::PendingHandshakes;
use toucanshelf_platform::PlatformDialect;
use toucanshelf_routing::load_exchange::{EngineLoad, EngineTag, KnownLoads, LoadPage};
use toucanshelf_runtime::program::DaemonSettings as _;

use crate::control_discovery::control_hello;
use crate::ingress::model_document;
use crate::ingress_links::{frames_until_answer, next, open_link};
use crate::platform_support::{
    Platform, WAIT_TIMEOUT, ingress_settings_text, link_key, start_control,
};

/// Interval of the exchange in these tests.
const INTERVAL: Duration = Duration::from_millis(100);

/// Returns the key of links to stand-ins for control instances, which no real one has.
fn stand_in_key() -> Box<str> {
    format!("{} for stand-ins", link_key()).into()
}

/// Starts an ingress that exchanges loads through the control instances on `link_port`.
async fn start_exchanging(key: &str, name: &str, link_port: u16) -> Ingress {
    let text = ingress_settings_text(name, &["127.0.0.1"], link_port);
    let text = text.replace(&*link_key(), key);
    let text = format!("{text}load-exchange-ms = {}\n", INTERVAL.as_millis());
    let settings = toucanshelf_runtime::settings::parse("ingress.toml", &text).unwrap();
    let dialect = Arc::new(PlatformDialect);
    Ingress::start(settings, dialect).await.unwrap()
}

/// Waits for `reached`, and fails with `what` if it takes too long.
async fn within<T>(what: &str, reached: impl Future<Output = T>) -> T {
    let reached = tokio::time::timeout(WAIT_TIMEOUT, reached).await;
    reached.unwrap_or_else(|_| panic!("{what}"))
}

async fn wait_until(what: &str, reached: impl Fn() -> bool) {
    let wait = async {
        while !reached() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    within(what, wait).await;
}

/// Returns the load of the target at `address` by other ingresses, as known to `ingress`.
fn others(ingress: &Ingress, address: SocketAddr) -> Option<EngineLoad> {
    let shared = ingress.shared();
    let (targets, now) = (shared.targets(), shared.now());
    let others = targets.others_load(targets.at_address(address)?, now)?;
    Some(others.load)
}

fn key_at(ingress: &Ingress, address: SocketAddr) -> TargetKey {
    let targets = ingress.shared().targets();
    targets.at_address(address).expect("the target is known")
}

fn messages(ingress: &Ingress, kind: &str) -> u64 {
    let messages = &ingress.shared().metrics.load_messages;
    messages.with_label_values(&[kind]).get()
}

/// Guards against ingresses that don't know of each other's requests, or go on with old numbers when
/// control is lost.
#[tokio::test(flavor = "multi_thread")]
async fn two_ingresses_until_control_is_killed() {
    // Control runs in a runtime of its own, so that it can be killed.
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let (control, folder) = runtime.spawn(start_control()).await.unwrap();
    let link_port = control.link_address().port();
    let first = start_exchanging(&link_key(), "i1", link_port).await;
    let second = start_exchanging(&link_key(), "i2", link_port).await;
    let document = model_document().build();
    let platform = Platform::with_ingress(control, folder, first, &document, &[]).await;
    let first = &platform.ingress;
    let address: SocketAddr = "127.0.0.1:9".parse().unwrap();
    platform.register_engine("e0", address, "z", 0..4).await;
    let none = Some(EngineLoad::default());
    wait_until("both know that the engine has no load", || {
        others(first, address) == none && others(&second, address) == none
    })
    .await;
    let key = key_at(first, address);
    for i in 0..3 {
        let mut targets = first.shared().targets();
        targets.begin_request(key, 1_024.0, i == 0);
    }
    let load = EngineLoad {
        first_requests: 1,
        requests: 3,
        token_layers: 3_072.0,
    };
    wait_until("the other ingress learns of the requests", || {
        others(&second, address) == Some(load)
    })
    .await;
    wait_until("own requests aren't others'", || {
        others(first, address) == none
    })
    .await;
    let choose = || {
        let now = second.shared().now();
        let route = second.shared().targets().choose_route("model", &[], now);
        assert!(route.is_some());
    };
    wait_until("the age of the load is observed", || {
        choose();
        second.shared().metrics.load_age.get_sample_count() > 0
    })
    .await;
    first.shared().targets().end_request(key, 1_024.0, true);
    wait_until("the end of a request is told", || {
        others(&second, address).is_some_and(|load| load.requests == 2 && load.first_requests == 0)
    })
    .await;
    for ingress in [first, &second] {
        assert!(messages(ingress, "report") > 0 && messages(ingress, "answer") > 0);
    }
    runtime.shutdown_background();
    wait_until("old loads are used for ever", || {
        others(first, address).is_none() && others(&second, address).is_none()
    })
    .await;
    choose();
}

/// Guards against an ingress that reports although its settings don't name the interval.
#[tokio::test]
async fn no_exchange_by_default() {
    let platform = Platform::start(&model_document().build(), &[]).await;
    tokio::time::sleep(3 * INTERVAL).await;
    assert_eq!(messages(&platform.ingress, "report"), 0);
    let text = ingress_settings_text("i1", &["127.0.0.1"], 1);
    for (interval_ms, accepted) in [(99, false), (100, true), (1_000, true), (1_001, false)] {
        let text = format!("{text}load-exchange-ms = {interval_ms}\n");
        let settings: toucanshelf_ingress::settings::IngressSettings =
            toucanshelf_runtime::settings::parse("ingress.toml", &text).unwrap();
        let expected = Err("load-exchange-ms: must lie in 100..=1000".into());
        assert_eq!(settings.check(), if accepted { Ok(()) } else { expected });
    }
}

/// The link of an ingress to a control instance, and what the ingress reports on it.
struct Reporter {
    link: Link,
    known: KnownLoads,
}

impl Reporter {
    async fn new(control: &Control, name: &str) -> Self {
        Self {
            link: open_link(control, name, "z").await,
            known: KnownLoads::new(),
        }
    }

    /// Reports `requests` requests at one engine, and returns those of all ingresses in the answer.
    async fn report(&mut self, requests: u32) -> Option<u32> {
        let load = EngineLoad {
            first_requests: 0,
            requests,
            token_layers: 0.0,
        };
        let report = self.known.begin_report(0, [(EngineTag(7), load)]);
        let entries = report.page.encode();
        self.send(report.sequence, entries).await
    }

    async fn send(&mut self, sequence: u32, entries: Vec<u8>) -> Option<u32> {
        let report = Frame::LoadReport {
            zone: "z".into(),
            sequence,
            entries: entries.into(),
        };
        self.link.tx.send(report).await.unwrap();
        let frames = frames_until_answer(&mut self.link).await;
        frames.into_iter().find_map(|frame| match frame {
            Frame::ZoneLoads {
                zone,
                sequence_seen,
                entries,
            } => {
                assert_eq!((&*zone, sequence_seen), ("z", sequence));
                let page = LoadPage::decode(&entries).unwrap();
                Some(page.entries().iter().map(|(_, load)| load.requests).sum())
            }
            _ => None,
        })
    }
}

async fn wait_until_linked(control: &Control, count: usize) {
    wait_until("a link is closed", || {
        let directory = control.shared().directory.as_ref().unwrap();
        directory.ingresses.zones().len() == count
    })
    .await;
}

/// Guards against an ingress that counts twice after a restart, or for ever after its link has closed.
#[tokio::test]
async fn links_of_restarted_ingress() {
    let (control, _folder) = start_control().await;
    let mut observer = Reporter::new(&control, "i1").await;
    let mut restarting = Reporter::new(&control, "i2").await;
    let first = async {
        while observer.report(0).await != Some(5) {
            restarting.report(5).await;
        }
    };
    within("a report counts", first).await;
    let mut restarted = Reporter::new(&control, "i2").await;
    let replaced = async {
        while observer.report(0).await != Some(2) {
            restarted.report(2).await;
            restarting.report(5).await;
            assert!(observer.report(0).await.is_none_or(|sum| sum <= 2));
        }
    };
    within("the restarted ingress counts", replaced).await;
    drop(restarting);
    wait_until_linked(&control, 2).await;
    let still = async {
        while observer.report(0).await != Some(2) {
            restarted.report(2).await;
        }
    };
    within("the end of the old link changes nothing", still).await;
    drop(restarted);
    wait_until_linked(&control, 1).await;
    let ended = async { while observer.report(0).await != Some(0) {} };
    within("an ingress without link doesn't count", ended).await;
}

/// Guards against a control instance that fails, or closes the link, at a report that it can't read.
#[tokio::test]
async fn malformed_report_is_dropped() {
    let (control, _folder) = start_control().await;
    let mut reporter = Reporter::new(&control, "i1").await;
    let before = async { while reporter.report(2).await != Some(2) {} };
    within("a report counts", before).await;
    let malformed = reporter.send(u32::MAX, b"no page".to_vec());
    assert_eq!(within("the link stays open", malformed).await, None);
    let after = async { while reporter.report(3).await != Some(3) {} };
    within("a later report counts", after).await;
}

/// Accepts links of ingresses in place of a control instance of `zone`.
async fn listen_as_control(zone: &str) -> (SocketAddr, mpsc::Receiver<Link>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (tx, links) = mpsc::channel(4);
    let key = SharedKey::new(stand_in_key()).unwrap();
    tokio::spawn(serve(
        listener,
        control_hello(zone),
        key,
        PendingHandshakes::new(8),
        tx,
    ));
    (address, links)
}

/// Returns the list of members by a control instance that has announced only these abilities.
fn members(links: &[SocketAddr], abilities: &serde_json::Value) -> Frame {
    let mut fields = serde_json::json!({ "links": [], "ingress_zones": ["z"] });
    let abilities = abilities.as_object().unwrap().clone();
    fields.as_object_mut().unwrap().extend(abilities);
    let mut buf = Vec::new();
    ciborium::into_writer(&serde_json::json!({ "Members": fields }), &mut buf).unwrap();
    let mut frame = ciborium::from_reader(&*buf).unwrap();
    if let Frame::Members { links: known, .. } = &mut frame {
        *known = links.to_vec();
    }
    frame
}

/// Returns the number of the next report, for the zone of the ingress.
async fn next_report(link: &mut Link) -> u32 {
    let report = next(link, |frame| match frame {
        Frame::LoadReport { zone, sequence, .. } => Some((zone, sequence)),
        _ => None,
    });
    let (zone, sequence) = within("a report arrives", report).await;
    assert_eq!(&*zone, "z");
    sequence
}

/// Guards against reports to a control instance of a build that doesn't know them.
#[tokio::test]
async fn control_of_older_build() {
    let (address, mut links) = listen_as_control("z").await;
    let ingress = start_exchanging(&stand_in_key(), "i1", address.port()).await;
    let mut link = within("the ingress is linked", links.recv()).await.unwrap();
    let older = members(&[], &serde_json::json!({}));
    link.tx.send(older).await.unwrap();
    let reported = tokio::time::timeout(5 * INTERVAL, next_report(&mut link)).await;
    assert!(reported.is_err(), "an older build gets a report");
    assert_eq!(messages(&ingress, "report"), 0);
    let newer = members(&[], &serde_json::json!({ "collects_loads": true }));
    link.tx.send(newer).await.unwrap();
    next_report(&mut link).await;
}

/// Guards against a collector in another zone while there is one in that of the engines.
#[tokio::test]
async fn collector_in_zone_of_engines() {
    let (far_address, mut far_links) = listen_as_control("y").await;
    let (near_address, mut near_links) = listen_as_control("z").await;
    let ingress = start_exchanging(&stand_in_key(), "i1", far_address.port()).await;
    let mut far = within("the ingress is linked", far_links.recv())
        .await
        .unwrap();
    let abilities = serde_json::json!({ "collects_loads": true });
    far.tx.send(members(&[], &abilities)).await.unwrap();
    next_report(&mut far).await;
    far.tx
        .send(members(&[near_address], &abilities))
        .await
        .unwrap();
    let mut near = within("the ingress is linked", near_links.recv())
        .await
        .unwrap();
    near.tx.send(members(&[], &abilities)).await.unwrap();
    let first = next_report(&mut near).await;
    assert_eq!(next_report(&mut near).await, first + 1);
    drop((near, near_links));
    let taken_over = async { while next_report(&mut far).await <= first + 1 {} };
    within("another collector takes over", taken_over).await;
    assert!(messages(&ingress, "report") > 0);
}

/// Guards against an ingress that goes on with old loads if its reports arrive but no answers.
#[tokio::test]
async fn link_without_answers() {
    let (address, mut links) = listen_as_control("z").await;
    let ingress = start_exchanging(&stand_in_key(), "i1", address.port()).await;
    let mut link = within("the ingress is linked", links.recv()).await.unwrap();
    let abilities = serde_json::json!({ "collects_loads": true });
    link.tx.send(members(&[], &abilities)).await.unwrap();
    let knows = || {
        let shared = ingress.shared();
        shared.targets().knows_zone_loads(shared.now())
    };
    assert!(!knows());
    let page = KnownLoads::new().begin_report(0, []).page.encode();
    let answers = async {
        while !knows() {
            let sequence_seen = next_report(&mut link).await;
            for entries in [b"no page".to_vec(), page.clone()] {
                let answer = Frame::ZoneLoads {
                    zone: "z".into(),
                    sequence_seen,
                    entries: entries.into(),
                };
                link.tx.send(answer).await.unwrap();
            }
        }
    };
    within("answers are read", answers).await;
    let reports = async {
        while knows() {
            next_report(&mut link).await;
        }
    };
    within("old loads expire", reports).await;
    next_report(&mut link).await;
}
