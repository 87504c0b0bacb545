//! Tests of limits that targets name in their answers, which all ingresses keep together.

use std::time::{Duration, Instant};

use toucanshelf_ingress::Ingress;
use toucanshelf_ingress::targets::LimitChange;

use crate::platform_support::{
    DeploymentBuilder, Platform, Target, call_ingress, start_control, start_ingress,
};

/// Requests beyond the limit that are allowed at any time.
const ALLOWED_EXTRA: f64 = 5.0;
/// Factor by which the limit may be exceeded.
const ALLOWED_FACTOR: f64 = 1.5;
/// Period over which requests are counted.
const PERIOD: Duration = Duration::from_secs(4);
/// Time after its first answer with a limit from which an ingress must keep to it.
const NOTICE: Duration = Duration::from_millis(500);

/// Returns the number of requests to a target with a limit of `rate` that `elapsed` allows.
fn allowed(rate: f64, elapsed: Duration) -> usize {
    let seconds = elapsed.max(PERIOD).as_secs_f64();
    (ALLOWED_FACTOR * rate * seconds + ALLOWED_EXTRA) as usize
}

fn document() -> DeploymentBuilder {
    DeploymentBuilder::new(1).route("read", "a.example", "/read/", "plain")
}

async fn read(ingress: &Ingress) -> u16 {
    let response = call_ingress(ingress, "GET", "/read/", &[]).await;
    response.status
}

/// Starts `count` further ingresses and waits until each has sent a request to every target.
async fn more_ingresses(platform: &Platform, count: usize, targets: &[&Target]) -> Vec<Ingress> {
    let mut ingresses = Vec::new();
    for n in 0..count {
        let ingress = start_ingress(&format!("i{}", n + 2), &platform.control).await;
        let ready = async {
            while targets.iter().any(|target| {
                let targets = ingress.shared().targets();
                targets.at_address(target.address).is_none()
            }) || read(&ingress).await != 200
            {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(Duration::from_mins(1), ready)
            .await
            .unwrap();
        ingresses.push(ingress);
    }
    ingresses
}

/// Guards against ingresses that ignore the limit of a target, or keep to it each by itself.
#[tokio::test]
async fn kept_by_all_ingresses() {
    let targets = [Target::start([]).await, Target::start([]).await];
    targets[0].name_limit(Some("1.0"));
    let services = [("plain", &targets[0]), ("plain", &targets[1])];
    let platform = Platform::start(&document().build(), &services).await;
    let others = more_ingresses(&platform, 3, &[&targets[0], &targets[1]]).await;
    // The limited target is in the table first, so that each ingress prefers it and learns its limit.
    assert_eq!(read(&platform.ingress).await, 200);
    tokio::time::sleep(NOTICE).await;
    let before = targets[0].received_requests().len();
    let started = Instant::now();
    for _ in 0..20 {
        for ingress in others.iter().chain([&platform.ingress]) {
            assert_eq!(read(ingress).await, 200, "the other target serves it");
        }
    }
    let elapsed = started.elapsed();
    let sent = targets[0].received_requests().len() - before;
    assert!(sent <= allowed(1.0, elapsed), "{sent} in {elapsed:?}");
}

#[tokio::test]
async fn ends_with_answer_that_names_none() {
    let target = Target::start([]).await;
    target.name_limit(Some("5.0"));
    let platform = Platform::start(&document().build(), &[("plain", &target)]).await;
    assert_eq!(read(&platform.ingress).await, 200);
    target.name_limit(None);
    let lifted = async {
        while read(&platform.ingress).await != 200 {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    tokio::time::timeout(Duration::from_mins(1), lifted)
        .await
        .unwrap();
    for _ in 0..20 {
        assert_eq!(read(&platform.ingress).await, 200);
    }
}

/// Guards against a limit that stays because its end comes within a millisecond.
#[tokio::test]
async fn ends_soon_after_it_was_named() {
    let target = Target::start([]).await;
    let platform = Platform::start(&document().build(), &[("plain", &target)]).await;
    let mut targets = platform.ingress.shared().targets();
    let [sent, named, sent_later, answered] = [1, 2, 3, 4].map(Duration::from_micros);
    let change = |before, after| Some(LimitChange { before, after });
    let start = targets.record_limit("t0", Some(5.0), sent, named);
    assert_eq!(start, change(None, Some(5.0)));
    let overtaken = targets.record_limit("t0", None, sent, answered);
    assert_eq!(overtaken, None, "the request was sent before the limit");
    let end = targets.record_limit("t0", None, sent_later, answered);
    assert_eq!(end, change(Some(5.0), None));
}

/// Guards against requests that wait for their deadline although no target accepts them.
#[tokio::test]
async fn refused_when_all_targets_are_limited() {
    let target = Target::start([]).await;
    target.name_limit(Some("0"));
    let platform = Platform::start(&document().build(), &[("plain", &target)]).await;
    let mut refused = None;
    for _ in 0..10 {
        let response = platform.call("GET", "/read/", &[]).await;
        if response.status != 200 {
            refused = Some(response);
        }
    }
    let refused = refused.expect("ten seconds pass between two permits");
    assert_eq!(refused.status, 503, "the request has not run");
    let retry_after = refused.headers["retry-after"].to_str().unwrap();
    let retry_after: f64 = retry_after.parse().unwrap();
    assert!((0.0..=2.0).contains(&retry_after), "{retry_after}");
}

/// Guards against ingresses that each use the whole limit while control can't be reached.
#[tokio::test]
async fn own_share_without_control() {
    let targets = [Target::start([]).await, Target::start([]).await];
    let services = [("plain", &targets[0]), ("plain", &targets[1])];
    // Control runs in a runtime of its own, so that it can be killed.
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let (control, folder) = runtime.spawn(start_control()).await.unwrap();
    let document = document().build();
    let platform = Platform::with_control(control, folder, &document, &services).await;
    let ingresses = more_ingresses(&platform, 3, &[&targets[0], &targets[1]]).await;
    let ingresses: Vec<_> = ingresses.iter().chain([&platform.ingress]).collect();
    let counted = async {
        while ingresses
            .iter()
            .any(|ingress| ingress.shared().known_ingresses() < 4)
        {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(Duration::from_mins(1), counted)
        .await
        .unwrap();
    runtime.shutdown_background();
    let unlinked = async {
        while ingresses
            .iter()
            .any(|ingress| ingress.shared().control.open() > 0)
        {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(Duration::from_mins(1), unlinked)
        .await
        .unwrap();
    targets[0].name_limit(Some("1.0"));
    for ingress in &ingresses {
        assert_eq!(read(ingress).await, 200);
    }
    let before = targets[0].received_requests().len();
    let started = Instant::now();
    for _ in 0..20 {
        for ingress in &ingresses {
            assert_eq!(read(ingress).await, 200, "the other target serves it");
        }
    }
    let elapsed = started.elapsed();
    let sent = targets[0].received_requests().len() - before;
    assert!(sent <= allowed(1.0, elapsed), "{sent} in {elapsed:?}");
}
