//! Tests of requests whose content crashes the targets that run them.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use toucanshelf_core::crash::{Content, Finding, Outcome};
use toucanshelf_core::ids::{CrashId, PromptPart};
use toucanshelf_ingress::Ingress;
use toucanshelf_ingress::shared::Shared;

use crate::ingress::{model_document, with_engines_at, with_engines_on};
use crate::platform_support::{
    CallerResponse, DeploymentBuilder, Platform, ReceivedRequest, Target, TargetAction,
    call_ingress, start_ingress,
};
use crate::raw_target::{RawAnswer, RawTarget};

/// Identifier of the prompt part that crashes engines.
const DEADLY: &str = "deadbeef";
/// Time after the fifth crash from which only few requests may reach engines (`contact_ms`).
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Number of requests that may still reach engines after that time.
const MAX_LATE_REQUESTS: usize = 3;

/// Starts `count` engines that crash on the part [`DEADLY`], and a platform with them.
///
/// A further engine holds the later layers of every route.
async fn with_crashing_engines(count: usize) -> (Platform, Vec<Target>) {
    with_crashing_engines_on(&model_document(), count).await
}

/// Does the same on a deployment like [`model_document`].
async fn with_crashing_engines_on(
    document: &DeploymentBuilder,
    count: usize,
) -> (Platform, Vec<Target>) {
    with_engines_crashing_after(&[], document, count).await
}

/// Does the same with engines that send these chunks of a stream before they crash.
async fn with_engines_crashing_after(
    sent: &'static [&'static str],
    document: &DeploymentBuilder,
    count: usize,
) -> (Platform, Vec<Target>) {
    let mut engines = Vec::new();
    for _ in 0..count {
        let script = vec![TargetAction::Stream(&["id: 1\n\n"]); 64];
        let engine = Target::start_crashing_after(sent, script, |req| {
            req.header("x-toucanshelf-prompt-prefix").contains(DEADLY)
        });
        engines.push(engine.await);
    }
    engines.push(Target::start([]).await);
    let mut placed = vec![("z", 0, 2); count];
    placed.push(("z", 2, 4));
    let platform = with_engines_on(document, &engines.iter().collect::<Vec<_>>(), &placed).await;
    (platform, engines)
}

/// Sends request number `n` with the prompt parts `shared` and a part of its own.
async fn call_with_parts(platform: &Platform, n: usize, shared: &str) -> u16 {
    let response = call_at(&platform.ingress, n, shared).await;
    response.status
}

/// Sends such a request to any ingress.
async fn call_at(ingress: &Ingress, n: usize, shared: &str) -> CallerResponse {
    let id = format!("r{n}");
    let prefix = format!("{shared},f{n:x}:9");
    let headers = [
        ("x-toucanshelf-request-id", &*id),
        ("x-toucanshelf-prompt-prefix", &*prefix),
    ];
    call_ingress(ingress, "POST", "/draft/", &headers).await
}

/// Returns the number of requests with the part [`DEADLY`] that engines have received.
fn deadly_requests(engines: &[Target]) -> usize {
    let received = engines.iter().flat_map(Target::received_requests);
    received
        .filter(|req| req.header("x-toucanshelf-prompt-prefix").contains(DEADLY))
        .count()
}

/// Returns a finding about the part of a prompt at `position`.
fn finding(part: u64, position: u8, outcome: Outcome) -> Finding {
    Finding {
        service: "model".into(),
        content: Content::Part(PromptPart(part)),
        position,
        outcome,
    }
}

/// Returns the finding that crash `id` ended a request with the part.
fn crash_of(part: u64, position: u8, id: u64, in_trial: bool) -> Finding {
    let crash = CrashId(id);
    finding(part, position, Outcome::Crashed { crash, in_trial })
}

/// Guards against new requests with one part crashing engine after engine.
#[tokio::test]
async fn part_that_crashes_engines() {
    let (platform, engines) = with_crashing_engines(14).await;
    let deadly = format!("aa:40,{DEADLY}:7");
    for n in 0..10 {
        let crashes = engines.iter().filter(|engine| engine.has_crashed()).count();
        if crashes >= 5 {
            break;
        }
        assert_ne!(call_with_parts(&platform, n, &deadly).await, 200);
        assert_eq!(call_with_parts(&platform, 100 + n, "aa:40").await, 200);
    }
    tokio::time::sleep(CONTACT_TIME).await;
    let before = deadly_requests(&engines);
    for n in 20..28 {
        assert_ne!(call_with_parts(&platform, n, &deadly).await, 200);
    }
    let late = deadly_requests(&engines) - before;
    assert!(late <= MAX_LATE_REQUESTS, "{late} requests reached engines");
    for n in 120..128 {
        assert_eq!(
            call_with_parts(&platform, n, "aa:40").await,
            200,
            "a request that shares only the first part is sound"
        );
    }
}

/// Guards against refusing sound requests because of a part that they share with deadly ones.
///
/// The deadly part is the first one of the prompt. Three such requests come at once, so that the first
/// crashes are in requests with both parts.
#[tokio::test]
async fn sound_part_behind_deadly_one() {
    let (platform, engines) = with_crashing_engines(16).await;
    // The requests differ in more than their last part, or each would be a copy of the first one.
    let call = async |n: usize, shared: &str| {
        let (path, id) = (format!("/draft/{n}"), format!("r{n}"));
        let prefix = format!("{shared},f{n:x}:9");
        let headers = [
            ("x-toucanshelf-request-id", &*id),
            ("x-toucanshelf-prompt-prefix", &*prefix),
        ];
        platform.call("POST", &path, &headers).await.status
    };
    let deadly = format!("{DEADLY}:40,bb:7");
    let at_once = (0..3).map(|n| call(n, &deadly));
    for status in futures_util::future::join_all(at_once).await {
        assert_ne!(status, 200);
    }
    let mut served = 0;
    for n in 10..40 {
        let sound = call(100 + n, "aa:40,bb:7").await;
        served += usize::from(sound == 200);
        assert_ne!(call(n, &deadly).await, 200);
    }
    assert!(served >= 15, "{served} of 30 sound requests were served");
    let received = deadly_requests(&engines);
    assert!(
        received <= 6 + MAX_LATE_REQUESTS,
        "{received} requests reached engines"
    );
}

/// Guards against taking a request for sound as soon as its engine has sent an event.
///
/// The request is resumed after the first crash, and its second engine crashes as well.
#[tokio::test]
async fn part_that_crashes_engines_after_first_event() {
    let document = model_document();
    let started = with_engines_crashing_after(&["id: 1\n\n"], &document, 14);
    let (platform, engines) = started.await;
    let deadly = format!("aa:40,{DEADLY}:7");
    for n in 0..10 {
        let response = call_at(&platform.ingress, n, &deadly).await;
        assert!(response.status == 503 || !response.is_complete);
        assert_eq!(call_with_parts(&platform, 100 + n, "aa:40").await, 200);
    }
    let received = deadly_requests(&engines);
    assert!(
        received <= 5 + MAX_LATE_REQUESTS,
        "{received} requests reached engines"
    );
}

/// Guards against holding back sound requests until one that begins after the crashes has ended.
///
/// The crashes become known after the engine has received the request.
#[tokio::test]
async fn stream_under_way_clears_content() {
    let shared = Arc::new(OnceLock::<Arc<Shared>>::new());
    let known = Arc::clone(&shared);
    let script = [TargetAction::Stream(&["id: 1\n\n"])];
    let engine = Target::start_crashing(script, move |_| {
        let shared = known.get().expect("set before the request is sent");
        let findings: Vec<_> = [1, 2].map(|id| crash_of(0xaa, 0, id, false)).into();
        assert!(shared.content.apply(shared.now(), &findings));
        false
    });
    let engines = [engine.await, Target::start([]).await];
    let placed = [("z", 0, 2), ("z", 2, 4)];
    let engines: Vec<_> = engines.iter().collect();
    let platform = with_engines_on(&model_document(), &engines, &placed).await;
    assert!(shared.set(Arc::clone(platform.ingress.shared())).is_ok());
    assert_eq!(call_with_parts(&platform, 1, "aa:40").await, 200);
    let despite = vec![CrashId(1), CrashId(2)];
    let served = finding(0xaa, 0, Outcome::Served { despite });
    assert!(
        platform
            .ingress
            .shared()
            .content
            .findings()
            .contains(&served)
    );
}

/// Returns the outcomes that `platform`'s ingress has found for the part 0xaa.
fn outcomes(platform: &Platform) -> Vec<Outcome> {
    let findings = platform.ingress.shared().content.findings();
    let about_part = |finding: &Finding| finding.content == Content::Part(PromptPart(0xaa));
    let findings = findings.into_iter().filter(about_part);
    findings.map(|finding| finding.outcome).collect()
}

/// Checks that no answer has cleared the part 0xaa of a crash.
fn assert_not_cleared(platform: &Platform) {
    let outcomes = outcomes(platform);
    let served = |outcome: &Outcome| matches!(outcome, Outcome::Served { .. });
    assert!(!outcomes.iter().any(served), "{outcomes:?}");
}

/// Lets the ingress know two crashes in which the part 0xaa was, and sends it a request with that part.
async fn call_suspect(platform: &Platform) -> u16 {
    let shared = platform.ingress.shared();
    let findings = [1, 2].map(|id| crash_of(0xaa, 0, id, false));
    assert!(shared.content.apply(shared.now(), &findings));
    call_with_parts(platform, 1, "aa:40").await
}

/// Guards against clearing a deadly part because an engine rejects a request with it.
#[tokio::test]
async fn error_response_clears_nothing() {
    let engine = Target::start([TargetAction::Answer(500, "")]).await;
    let later = Target::start([]).await;
    let placed = [("z", 0, 2), ("z", 2, 4)];
    let platform = with_engines_on(&model_document(), &[&engine, &later], &placed).await;
    assert_eq!(call_suspect(&platform).await, 500);
    assert_not_cleared(&platform);
}

/// Guards against clearing a deadly part because a crash looks like the end of an unframed answer.
#[tokio::test]
async fn unframed_stream_clears_nothing() {
    let engine = RawTarget::start(RawAnswer::Unframed("id: 1\n\n")).await;
    let later = Target::start([]).await;
    let addresses = [engine.address, later.address];
    let placed = [("z", 0, 2), ("z", 2, 4)];
    let platform = with_engines_at(&model_document(), &addresses, &placed).await;
    assert_eq!(call_suspect(&platform).await, 200);
    assert_not_cleared(&platform);
}

/// Guards against a crash that is no finding because another request learns first that the engine ended.
#[tokio::test]
async fn crash_learned_from_other_request() {
    let first = RawTarget::start(RawAnswer::LastEvents("id: 1\n\n")).await;
    let second = Target::start(vec![TargetAction::Stream(&["id: 2\n\n"]); 2]).await;
    let later = Target::start([]).await;
    let addresses = [first.address, second.address, later.address];
    let placed = [("z", 0, 2), ("y", 0, 2), ("z", 2, 4)];
    let platform = with_engines_at(&model_document(), &addresses, &placed).await;
    let (stream, ()) = tokio::join!(call_with_parts(&platform, 1, "aa:40"), async {
        while first.requests() == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        // Its connection to the first engine is refused.
        assert_eq!(call_with_parts(&platform, 2, "bb:40").await, 200);
    });
    assert_eq!(stream, 200);
    let outcomes = outcomes(&platform);
    let crashed = |outcome: &Outcome| matches!(outcome, Outcome::Crashed { .. });
    assert!(outcomes.iter().any(crashed), "{outcomes:?}");
}

/// Guards against refusing sound requests of the caller whose other requests crash engines.
///
/// They share its key and the first part. A few of them may wait while the deadly part is tried.
#[tokio::test]
async fn sound_requests_of_same_caller() {
    let document = model_document().organisation("acme", &["key-1"]);
    let (platform, engines) = with_crashing_engines_on(&document, 14).await;
    let call = async |n: usize, prefix: &str| {
        let id = format!("r{n}");
        let headers = [
            ("api-key", "key-1"),
            ("x-toucanshelf-request-id", &*id),
            ("x-toucanshelf-prompt-prefix", prefix),
        ];
        platform.call("POST", "/draft/", &headers).await.status
    };
    let mut served = 0;
    for n in 0..40 {
        let deadly = format!("aa:40,{DEADLY}:7,d{n:x}:3");
        assert_ne!(call(n, &deadly).await, 200);
        let sound = format!("aa:40,f{n:x}:9");
        served += usize::from(call(100 + n, &sound).await == 200);
    }
    assert!(served >= 20, "{served} of 40 sound requests were served");
    assert!(deadly_requests(&engines) <= 5 + MAX_LATE_REQUESTS);
}

/// Guards against an ingress that lets through what crashed engines at other ingresses.
///
/// The second ingress starts after the crashes, as it does after a restart.
#[tokio::test]
async fn part_learned_by_new_ingress() {
    let (platform, engines) = with_crashing_engines(10).await;
    let deadly = format!("aa:40,{DEADLY}:7");
    for n in 0..6 {
        call_with_parts(&platform, n, &deadly).await;
    }
    let before = deadly_requests(&engines);
    let other = start_ingress("i2", &platform.control).await;
    let served = async {
        while call_at(&other, 50, "aa:40").await.status != 200 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(Duration::from_mins(1), served)
        .await
        .unwrap();
    let learned = async {
        while other.shared().content.findings().is_empty() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(Duration::from_mins(1), learned)
        .await
        .unwrap();
    let response = call_at(&other, 60, &deadly).await;
    assert_eq!(response.status, 503, "the request has not run");
    let retry_after = response.headers["retry-after"].to_str().unwrap();
    assert!(retry_after.parse::<f64>().unwrap() > 30.0, "{retry_after}");
    assert_eq!(deadly_requests(&engines), before);
}

/// Guards against one request that crashes target after target whenever it is repeated.
///
/// The targets belong to a plain service, and the request has no prompt parts.
#[tokio::test]
async fn repeated_request_that_crashes_targets() {
    let mut targets = Vec::new();
    for _ in 0..12 {
        targets.push(Target::start_crashing([], |req| req.path == "/read/bad").await);
    }
    let document = DeploymentBuilder::new(1).route("read", "a.example", "/read/", "plain");
    let services: Vec<_> = targets.iter().map(|target| ("plain", target)).collect();
    let platform = Platform::start(&document.build(), &services).await;
    for _ in 0..12 {
        let bad = platform.call("GET", "/read/bad", &[]).await;
        assert_ne!(bad.status, 200);
        assert_eq!(platform.call("GET", "/read/good", &[]).await.status, 200);
    }
    let received = targets.iter().flat_map(Target::received_requests);
    let runs = received.filter(|req| req.path == "/read/bad").count();
    assert!(runs <= 3 + MAX_LATE_REQUESTS, "{runs} targets crashed");
}

/// Guards against a request that crashes its engine although its content is refused by then.
///
/// The first engine holds the request back until after the crashes of others.
#[tokio::test]
async fn waiting_request_is_cancelled() {
    let held_back = |req: &ReceivedRequest| req.header("x-held-back") == "1";
    let mut engines = Vec::new();
    for _ in 0..8 {
        let crashes = move |req: &ReceivedRequest| !held_back(req);
        engines.push(Target::start_crashing([TargetAction::Hang(&[])], crashes).await);
    }
    engines.push(Target::start([]).await);
    let mut placed = vec![("z", 0, 2); 8];
    placed.push(("z", 2, 4));
    let document = DeploymentBuilder::new(1).model_service("model");
    let document = document.timed_route("draft", "/draft/", "model", "streaming", 600_000);
    let platform = with_engines_on(&document, &engines.iter().collect::<Vec<_>>(), &placed).await;
    let prefix = ("x-toucanshelf-prompt-prefix", "aa:40,deadbeef:7,f0:9");
    let headers = [
        ("x-toucanshelf-request-id", "held"),
        ("x-held-back", "1"),
        prefix,
    ];
    let held = platform.call("POST", "/draft/", &headers);
    let crashes = async {
        while engines.iter().all(|e| e.received_requests().is_empty()) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        for n in 0..6 {
            call_with_parts(&platform, n, "aa:40,deadbeef:7").await;
        }
    };
    let both = async { tokio::join!(held, crashes) };
    let (response, ()) = tokio::time::timeout(Duration::from_mins(1), both)
        .await
        .expect("the request ends long before its deadline, 10 minutes");
    assert_eq!(response.status, 502, "the request may have run");
}

/// Guards against a refused request that ends the trial of another one with common content.
#[tokio::test]
async fn refusal_keeps_trial_of_others() {
    let (platform, engines) = with_crashing_engines(2).await;
    let mut findings: Vec<_> = (1..=4).map(|id| crash_of(0xaa, 0, id, id == 4)).collect();
    findings.extend([11, 12].map(|id| crash_of(0xbb, 1, id, false)));
    findings.push(finding(0xbb, 1, Outcome::TrialStarted));
    let shared = platform.ingress.shared();
    assert!(shared.content.apply(shared.now(), &findings));
    assert_eq!(call_with_parts(&platform, 1, "aa:40,bb:7").await, 503);
    assert_eq!(
        call_with_parts(&platform, 2, "cc:40,bb:7").await,
        503,
        "the trial of the second part goes on, so the request waits in vain"
    );
    let received: usize = engines.iter().map(|e| e.received_requests().len()).sum();
    assert_eq!(received, 0);
}
