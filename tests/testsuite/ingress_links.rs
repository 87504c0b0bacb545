//! Tests of what a control instance sends to many linked ingresses.

use std::collections::BTreeMap;
use std::time::Duration;

use futures_util::FutureExt as _;
use http::Request;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use toucanshelf_control::Control;
use toucanshelf_core::crash::{Content, Finding, Outcome};
use toucanshelf_core::ids::{CrashId, PromptPart};
use toucanshelf_core::registration::{Readiness, Registration};
use toucanshelf_link::frame::Frame;
use toucanshelf_link::handshake::{Hello, SharedKey};
use toucanshelf_link::link::{Link, connect};

use crate::platform_support::{
    DeploymentBuilder, Platform, Target, WAIT_TIMEOUT, call_ingress, link_key, send, start_control,
    start_ingress,
};

/// Opens the link of an ingress and reads the list of members, which comes first.
pub async fn open_link(control: &Control, name: &str, zone: &str) -> Link {
    open_asked_link(control, name, zone).await.0
}

/// Does the same as [`open_link`], and returns whether the ingress is asked for all findings.
async fn open_asked_link(control: &Control, name: &str, zone: &str) -> (Link, bool) {
    let key = SharedKey::new(link_key()).unwrap();
    let hello = Hello::for_ingress(name, zone);
    let mut link = connect(control.link_address(), &hello, &key).await.unwrap();
    let members = next(&mut link, |frame| match frame {
        Frame::Members {
            accepts_subscriptions,
            wants_all_findings,
            ..
        } => Some((accepts_subscriptions, wants_all_findings)),
        _ => None,
    });
    let (accepts_subscriptions, is_asked) = members.await;
    assert!(accepts_subscriptions, "the instance accepts subscriptions");
    (link, is_asked)
}

/// Returns the first value that `select` takes from a frame.
pub async fn next<T>(link: &mut Link, select: impl Fn(Frame) -> Option<T>) -> T {
    loop {
        let frame = link.rx.recv().await.expect("the link stays open");
        if let Some(found) = select(frame) {
            return found;
        }
    }
}

/// Returns the frames that arrive before the answer to a question that is sent now.
pub async fn frames_until_answer(link: &mut Link) -> Vec<Frame> {
    link.tx.send(Frame::AskRelays).await.unwrap();
    let mut frames = Vec::new();
    loop {
        match link.rx.recv().await.expect("the link stays open") {
            Frame::Relays { .. } => return frames,
            frame => frames.push(frame),
        }
    }
}

/// Guards against lists of all ingresses that go to each ingress every second.
#[tokio::test]
async fn members_as_counts() {
    let (control, _folder) = start_control().await;
    let mut link = open_link(&control, "i1", "z").await;
    link.tx.send(Frame::WatchCounts).await.unwrap();
    let counts = |frame| match frame {
        Frame::MemberCounts { ingresses, .. } => Some(ingresses),
        _ => None,
    };
    let expected = |counts: &[(&str, u32)]| -> BTreeMap<Box<str>, u32> {
        let counts = counts.iter();
        counts
            .map(|(zone, count)| ((*zone).into(), *count))
            .collect()
    };
    while next(&mut link, counts).await != expected(&[("z", 1)]) {}
    let _other = open_link(&control, "i2", "y").await;
    while next(&mut link, counts).await != expected(&[("y", 1), ("z", 1)]) {}
    let frames = frames_until_answer(&mut link).await;
    let lists = |frame: &&Frame| matches!(frame, Frame::Members { .. });
    assert_eq!(frames.iter().find(lists).map(|_| "a list of members"), None);
}

/// Returns a finding of a crash, sent alone.
fn crash_finding() -> (Finding, Frame) {
    let finding = Finding {
        service: "model".into(),
        content: Content::Part(PromptPart(1)),
        position: 0,
        outcome: Outcome::Crashed {
            crash: CrashId(7),
            in_trial: false,
        },
    };
    let findings = vec![finding.clone()];
    (finding, Frame::CrashFindings { findings })
}

/// Opens the link of an ingress that tells whether it wants findings, and waits until that is known.
async fn open_findings_link(control: &Control, name: &str, wanted: bool) -> Link {
    let mut link = open_link(control, name, "z").await;
    link.tx.send(Frame::WantFindings { wanted }).await.unwrap();
    frames_until_answer(&mut link).await;
    link
}

/// Returns the next findings that arrive on a link.
async fn next_findings(link: &mut Link) -> Vec<Finding> {
    let findings = next(link, |frame| match frame {
        Frame::CrashFindings { findings } if !findings.is_empty() => Some(findings),
        _ => None,
    });
    findings.await
}

/// Returns the number of frames with findings that arrive before the answer to a question.
async fn findings_until_answer(link: &mut Link) -> usize {
    let frames = frames_until_answer(link).await;
    let findings = frames.iter();
    let findings = findings.filter(|frame| matches!(frame, Frame::CrashFindings { .. }));
    findings.count()
}

/// Guards against findings that come from each control instance, while one is enough.
#[tokio::test]
async fn findings_where_wanted() {
    let (control, _folder) = start_control().await;
    let mut wanting = open_findings_link(&control, "i1", true).await;
    let mut other = open_findings_link(&control, "i2", false).await;
    let (finding, frame) = crash_finding();
    other.tx.send(frame).await.unwrap();
    assert_eq!(next_findings(&mut wanting).await, [finding]);
    assert_eq!(findings_until_answer(&mut other).await, 0);
}

/// Guards against an ingress that learns late of its own trial, which has ended meanwhile.
///
/// It would let requests with the same content wait for that trial, and refuse them.
#[tokio::test]
async fn findings_of_other_ingresses_only() {
    let (control, _folder) = start_control().await;
    let mut finder = open_findings_link(&control, "i1", true).await;
    let mut other = open_findings_link(&control, "i2", true).await;
    let (finding, frame) = crash_finding();
    finder.tx.send(frame).await.unwrap();
    assert_eq!(next_findings(&mut other).await, [finding]);
    assert_eq!(findings_until_answer(&mut finder).await, 0);
}

/// Guards against a control instance that starts and gets all findings from each of many ingresses.
#[tokio::test]
async fn one_ingress_sends_all_findings() {
    let (control, _folder) = start_control().await;
    let (first, is_asked) = open_asked_link(&control, "i0", "z").await;
    assert!(is_asked, "the first ingress that links is asked");
    let mut others = Vec::new();
    for n in 1..100 {
        let (link, is_asked) = open_asked_link(&control, &format!("i{n}"), "z").await;
        assert!(!is_asked, "the instance asks i{n}, too");
        others.push(link);
    }
    drop(first);
    let directory = control.shared().directory.as_ref().unwrap();
    let closed = async {
        while directory.ingresses.zones().len() > others.len() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, closed).await.unwrap();
    let (_next, is_asked) = open_asked_link(&control, "i0", "z").await;
    assert!(is_asked, "no ingress that was asked is linked any more");
}

/// Guards against findings of trials that reach a control instance late, as copies of another one.
#[test]
fn findings_of_trials_pass() {
    let (finding, _) = crash_finding();
    assert!(!finding.outcome.is_passing());
    assert!(
        !Outcome::Served {
            despite: Vec::new()
        }
        .is_passing()
    );
    assert!(Outcome::TrialStarted.is_passing() && Outcome::TrialEnded.is_passing());
}

/// Guards against a drain that is acknowledged although the ingresses don't know it.
///
/// The target calls again because the first call wasn't answered in time. Until the ingresses have
/// had time to apply the drain, each call has to wait for them.
#[tokio::test]
async fn drain_known_but_not_applied() {
    let target = Target::start([]).await;
    let platform = Platform::start(&DeploymentBuilder::new(1).build(), &[("plain", &target)]).await;
    let mut link = open_link(&platform.control, "slow", "z").await;
    let heartbeat = |sequence: u64| {
        serde_json::json!({
            "service": "plain", "address": target.address, "zone": "z", "version": "v1",
            "slots": 6, "state": "draining", "cold_left_ms": 0, "seq": sequence, "born": 5_000,
        })
    };
    let drain = |frame| match frame {
        Frame::Registrations { push, records } if push > 0 => {
            let drains = |record: &&Registration| record.readiness == Readiness::Draining;
            records.iter().find(drains).map(|_| push)
        }
        _ => None,
    };
    let body = heartbeat(2).to_string();
    let mut call = TcpStream::connect(platform.control_api_address())
        .await
        .unwrap();
    let head = format!(
        "PUT /api/instances/leaving HTTP/1.1\r\nhost: control\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    call.write_all(head.as_bytes()).await.unwrap();
    call.write_all(body.as_bytes()).await.unwrap();
    next(&mut link, drain).await;
    drop(call);
    let beat = heartbeat(3);
    let acknowledge = async {
        let push = next(&mut link, drain).await;
        link.tx
            .send(Frame::RegistrationsSeen { push })
            .await
            .unwrap();
    };
    let (status, ()) = tokio::join!(platform.send_heartbeat("leaving", &beat), acknowledge);
    assert_eq!(status, 200);
    assert_eq!(platform.send_heartbeat("leaving", &heartbeat(4)).await, 200);
    let frames = frames_until_answer(&mut link).await;
    let again = frames.into_iter().find_map(drain);
    assert_eq!(again, None, "a drain that was applied isn't sent again");
}

/// Guards against callers that are refused, and then lost, while all instances start.
#[tokio::test]
async fn request_before_configuration() {
    let (control, folder) = start_control().await;
    let ingress = start_ingress("i1", &control).await;
    let target = Target::start([]).await;
    let document = DeploymentBuilder::new(1)
        .route("route", "a.example", "/route/", "plain")
        .build();
    let deadline = [("x-toucanshelf-deadline-ms", "60000")];
    let impatient = [("x-toucanshelf-deadline-ms", "4")];
    let refused = call_ingress(&ingress, "GET", "/route/", &impatient).await;
    assert_eq!(refused.status, 503);
    let early = call_ingress(&ingress, "GET", "/route/", &deadline);
    let mut early = Box::pin(early);
    assert!((&mut early).now_or_never().is_none());
    let address = control.platform_address().unwrap();
    let register = async {
        let heartbeat = serde_json::json!({
            "service": "plain", "address": target.address, "zone": "z", "version": "v1",
            "slots": 6, "state": "ready", "cold_left_ms": 0, "seq": 1, "born": 1_000,
        });
        let request = Request::put("/api/instances/t0").header("host", "control");
        let status = send(address, request.body(heartbeat.to_string()).unwrap()).await;
        assert_eq!(status.status, 200);
        let request = Request::put("/api/config").header("host", "control");
        let status = send(address, request.body(document).unwrap()).await;
        assert_eq!(status.status, 200);
    };
    let (response, ()) = tokio::join!(early, register);
    assert_eq!(response.status, 200);
    drop(folder);
}
