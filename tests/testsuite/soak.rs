//! The soak on seeds: a short run, and each seed that ever failed.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use toucanshelf_soak::plan::{Fault, Plan};
use toucanshelf_soak::proxy::{self, Proxy};
use toucanshelf_soak::run::run;

/// Faults of a short run.
const FAULTS: usize = 8;
/// Time in which bytes that are not held up have long arrived.
const NOTHING_COMES: Duration = Duration::from_millis(200);

fn assert_kept(seed: u64) {
    let programs = Path::new(env!("CARGO_BIN_EXE_toucanshelf-gate"))
        .parent()
        .unwrap();
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let findings = runtime
        .block_on(run(&Plan::draw(seed, FAULTS), programs))
        .unwrap();
    assert!(findings.broken.is_empty(), "seed {seed}: {findings:?}");
    assert!(
        findings.streams > 0 && findings.bookings > 0,
        "{findings:?}"
    );
}

#[test]
fn short_run() {
    assert_kept(3);
}

#[test]
fn plans_hold_every_kind_of_fault() {
    let steps: Vec<_> = (0..20)
        .flat_map(|seed| Plan::draw(seed, 20).steps)
        .collect();
    let has = |kind: fn(&Fault) -> bool| steps.iter().any(|step| kind(&step.fault));
    assert!(has(|fault| matches!(fault, Fault::KillControl(_))));
    assert!(has(|fault| matches!(fault, Fault::PauseControl(_))));
    assert!(has(|fault| matches!(fault, Fault::EmptyControl(_))));
    assert!(has(|fault| matches!(fault, Fault::KillGate(_))));
    assert!(has(|fault| matches!(fault, Fault::StopGate(_))));
    assert!(has(|fault| matches!(fault, Fault::ReloadGate(_))));
    assert!(has(|fault| matches!(fault, Fault::Reset(_))));
    assert!(has(|fault| matches!(
        fault,
        Fault::Path(_, proxy::Path::Silent)
    )));
    assert!(has(|fault| matches!(
        fault,
        Fault::Path(_, proxy::Path::OneWay)
    )));
    assert!(has(|fault| matches!(
        fault,
        Fault::Path(_, proxy::Path::Delayed(_))
    )));
}

/// A target that sends back what it gets.
async fn echo() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut rx, mut tx) = stream.split();
                tokio::io::copy(&mut rx, &mut tx).await
            });
        }
    });
    address
}

#[tokio::test]
async fn proxy_holds_up_and_lets_pass() {
    let proxy = Proxy::start(echo().await).await.unwrap();
    let mut stream = TcpStream::connect(proxy.address()).await.unwrap();
    let mut buf = [0; 3];
    stream.write_all(b"one").await.unwrap();
    stream.read_exact(&mut buf).await.unwrap();
    for path in [proxy::Path::Silent, proxy::Path::OneWay] {
        proxy.set_path(path);
        stream.write_all(b"two").await.unwrap();
        let read = tokio::time::timeout(NOTHING_COMES, stream.read_exact(&mut buf));
        assert!(read.await.is_err(), "{path:?} lets bytes pass");
        proxy.set_path(proxy::Path::Open);
        stream.read_exact(&mut buf).await.unwrap();
        assert_eq!(&buf, b"two");
    }
}

#[tokio::test]
async fn proxy_resets_open_connections_only() {
    let proxy = Proxy::start(echo().await).await.unwrap();
    let mut old = TcpStream::connect(proxy.address()).await.unwrap();
    let mut buf = [0; 3];
    old.write_all(b"one").await.unwrap();
    old.read_exact(&mut buf).await.unwrap();
    proxy.reset();
    assert!(matches!(old.read(&mut buf).await, Ok(0) | Err(_)));
    let mut new = TcpStream::connect(proxy.address()).await.unwrap();
    new.write_all(b"two").await.unwrap();
    new.read_exact(&mut buf).await.unwrap();
    assert_eq!(&buf, b"two");
}
