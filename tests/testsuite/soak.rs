//! Soak runs on fixed seeds: a short run and each seed that ever failed.
//!
//! Further tests cover the drawn plans and the proxy.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use toucanshelf_soak::plan::{Fault, Plan};
use toucanshelf_soak::proxy::{self, Proxy};
use toucanshelf_soak::run::run;

/// Number of faults of the short run.
const FAULTS: usize = 8;
/// Time within which bytes that the proxy doesn't block certainly arrive.
const BLOCKED_TIMEOUT: Duration = Duration::from_millis(200);

fn assert_no_violations(seed: u64) {
    let programs = Path::new(env!("CARGO_BIN_EXE_toucanshelf-gate"))
        .parent()
        .unwrap();
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let report = runtime
        .block_on(run(&Plan::draw(seed, FAULTS), programs))
        .unwrap();
    assert!(report.violations.is_empty(), "seed {seed}: {report:?}");
    assert!(report.streams > 0 && report.bookings > 0, "{report:?}");
}

#[test]
fn short_run() {
    assert_no_violations(3);
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
        Fault::Path(_, proxy::ForwardMode::Silent)
    )));
    assert!(has(|fault| matches!(
        fault,
        Fault::Path(_, proxy::ForwardMode::OneWay)
    )));
    assert!(has(|fault| matches!(
        fault,
        Fault::Path(_, proxy::ForwardMode::Delayed(_))
    )));
}

/// Starts a server that echoes every byte; returns its address.
async fn start_echo_server() -> SocketAddr {
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
    let proxy = Proxy::start(start_echo_server().await).await.unwrap();
    let mut stream = TcpStream::connect(proxy.address()).await.unwrap();
    let mut buf = [0; 3];
    stream.write_all(b"one").await.unwrap();
    stream.read_exact(&mut buf).await.unwrap();
    for mode in [proxy::ForwardMode::Silent, proxy::ForwardMode::OneWay] {
        proxy.set_mode(mode);
        stream.write_all(b"two").await.unwrap();
        let read = tokio::time::timeout(BLOCKED_TIMEOUT, stream.read_exact(&mut buf));
        assert!(read.await.is_err(), "{mode:?} does not block bytes");
        proxy.set_mode(proxy::ForwardMode::Open);
        stream.read_exact(&mut buf).await.unwrap();
        assert_eq!(&buf, b"two");
    }
}

#[tokio::test]
async fn proxy_resets_open_connections_only() {
    let proxy = Proxy::start(start_echo_server().await).await.unwrap();
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
