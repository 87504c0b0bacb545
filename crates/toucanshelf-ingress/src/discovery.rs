//! Finds the control instances again when none is linked.
//!
//! A link to an instance that hears no leader counts as none: it brings no new deployment.
//!
//! Links are kept to the instances in the settings and to those that linked ones announce. While this
//! ingress is out of reach, all of them may be replaced. It then serves with the deployment that it has
//! until it learns which instances run: a control instance calls it, another ingress that it asks
//! answers, or the settings file names new seeds.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::join_all;
use http::{Request, StatusCode};
use hyper::body::Incoming;
use rand::seq::IteratorRandom as _;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::{Instant, MissedTickBehavior, timeout};
use toucanshelf_link::frame::Frame;
use toucanshelf_link::handshake::{Hello, PeerRole, SharedKey};
use toucanshelf_link::link::{self, Link};
use toucanshelf_link::pending::PendingHandshakes;
use toucanshelf_runtime::connections::share_of_descriptors;
use toucanshelf_runtime::settings::SettingsReader;
use toucanshelf_runtime::shutdown;

use crate::control::connect_new;
use crate::response::{ProxyResponse, full_body};
use crate::settings::IngressSettings;
use crate::shared::Shared;

/// Interval at which the links are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time without a link until it is logged.
///
/// The next line follows when that time has doubled.
const FIRST_REPORT_AFTER: Duration = Duration::from_secs(2);
/// Time limit for the message on a link that another process has opened.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time limit for asking another ingress.
// A packet that a cut has swallowed is sent again only after a second, so that a new try is faster.
const ASK_TIMEOUT: Duration = Duration::from_millis(700);
/// Number of other ingresses that are asked at a time.
const ASKED_INGRESSES: usize = 3;
/// Number of accepted links that wait to be served.
const MAX_WAITING_LINKS: usize = 16;
/// Maximum number of accepted connections whose link handshake isn't complete.
const MAX_PENDING_HANDSHAKES: usize = 128;
/// Descriptors of the process for each such connection.
const HANDSHAKES_DIVISOR: usize = 32;

/// Time for which no control instance has been linked, and what was logged of it.
#[derive(Debug)]
struct Unlinked {
    since: Instant,
    next_report: Duration,
}

/// Watches the links to the control instances until the process ends.
///
/// While there is none, new seeds are read, and other ingresses are asked for control instances.
pub(crate) async fn run(shared: Arc<Shared>, key: SharedKey) {
    let mut reader = SettingsReader::new(shared.settings.file.clone());
    let mut reloads = shutdown::reload_signals();
    let mut checks = tokio::time::interval(CHECK_INTERVAL);
    checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut unlinked: Option<Unlinked> = None;
    loop {
        tokio::select! {
            _ = checks.tick() => {}
            Some(()) = reloads.recv() => read_seeds(&shared, &key, &mut reader).await,
        }
        if shared.control.is_current() {
            if let Some(ended) = unlinked.take() {
                record_linked(&shared, &ended);
            }
            continue;
        }
        let unlinked = unlinked.get_or_insert_with(|| Unlinked {
            since: Instant::now(),
            next_report: FIRST_REPORT_AFTER,
        });
        record_unlinked(&shared, unlinked);
        read_seeds(&shared, &key, &mut reader).await;
        ask_other_ingresses(&shared, &key).await;
    }
}

fn record_unlinked(shared: &Shared, unlinked: &mut Unlinked) {
    let elapsed = unlinked.since.elapsed();
    shared
        .metrics
        .unlinked_seconds
        .set(elapsed.as_secs() as i64);
    if elapsed < unlinked.next_report {
        return;
    }
    unlinked.next_report = elapsed * 2;
    tracing::warn!(
        event = "TS4108",
        ms = elapsed.as_millis() as u64,
        version = shared.version(),
        tried = ?shared.control.known(),
        "no control instance is linked"
    );
}

fn record_linked(shared: &Shared, unlinked: &Unlinked) {
    shared.metrics.unlinked_seconds.set(0);
    if unlinked.next_report > FIRST_REPORT_AFTER {
        tracing::info!(
            event = "TS4109",
            ms = unlinked.since.elapsed().as_millis() as u64,
            version = shared.version(),
            "linked to control again"
        );
    }
}

/// Opens links to seeds that the settings file names now.
async fn read_seeds(
    shared: &Arc<Shared>,
    key: &SharedKey,
    reader: &mut SettingsReader<IngressSettings>,
) {
    let Some(settings) = reader.read().await else {
        return;
    };
    let (links, known) = (settings.seed_links(), shared.control.known());
    if links.iter().any(|address| !known.contains(address)) {
        tracing::info!(event = "TS4112", ?links, "new seeds in the settings file");
        connect_new(shared, key, links);
    }
}

/// Accepts links of control instances and other ingresses.
#[derive(Clone, Debug)]
pub(crate) struct LinkAcceptor {
    hello: Hello,
    key: SharedKey,
    links: mpsc::Sender<Link>,
    pending: Arc<PendingHandshakes>,
}

impl LinkAcceptor {
    /// Creates an acceptor, whose links are served until it and its clones are dropped.
    pub(crate) fn new(shared: &Arc<Shared>, key: &SharedKey) -> Self {
        let hello = Hello::for_ingress(shared.settings.name.clone(), shared.settings.zone.clone());
        let (links, mut rx) = mpsc::channel(MAX_WAITING_LINKS);
        let max_pending = share_of_descriptors(HANDSHAKES_DIVISOR, MAX_PENDING_HANDSHAKES);
        let (shared, own_key) = (Arc::clone(shared), key.clone());
        tokio::spawn(async move {
            while let Some(link) = rx.recv().await {
                tokio::spawn(serve(Arc::clone(&shared), own_key.clone(), link));
            }
        });
        Self {
            hello,
            key: key.clone(),
            links,
            pending: PendingHandshakes::new(max_pending),
        }
    }

    /// Accepts links on `listener` until the process ends.
    pub(crate) fn listen(&self, listener: TcpListener) {
        let Self {
            hello,
            key,
            links,
            pending,
        } = self.clone();
        tokio::spawn(link::serve(listener, hello, key, pending, links));
    }

    /// Accepts the link that an HTTP request opens, and returns the response.
    pub(crate) fn accept(&self, req: Request<Incoming>) -> ProxyResponse {
        let Self {
            hello,
            key,
            links,
            pending,
        } = self.clone();
        match link::accept_upgrade(req, hello, key, &pending, links) {
            Ok(response) => response.map(|()| full_body(Bytes::new())),
            Err(e) => {
                tracing::warn!(event = "TS1101", cause = %e, "link rejected");
                let mut response = ProxyResponse::new(full_body(Bytes::new()));
                *response.status_mut() = StatusCode::BAD_REQUEST;
                response
            }
        }
    }
}

/// Reads from a control instance which ones run, or tells it to another ingress.
async fn serve(shared: Arc<Shared>, key: SharedKey, mut link: Link) {
    match link.peer.role {
        PeerRole::Control => {
            let read = timeout(MESSAGE_TIMEOUT, read_control_instances(&mut link));
            if let Ok(Some(links)) = read.await {
                record_control_instances(&shared, &key, &link, links);
            }
        }
        PeerRole::Ingress => {
            let links = shared.control.current();
            // A link that has closed already takes no frame, and the other ingress asks again.
            let _ = link.tx.try_send(Frame::ControlInstances { links });
            // The other ingress closes the link once it has read the frame.
            let closed = async { while link.rx.recv().await.is_some() {} };
            let _ = timeout(MESSAGE_TIMEOUT, closed).await;
        }
        PeerRole::Gate => {}
    }
}

/// Asks some of the other ingresses for control instances that run.
async fn ask_other_ingresses(shared: &Arc<Shared>, key: &SharedKey) {
    let others = shared.control.other_ingresses().into_iter();
    let asked = others.sample(&mut rand::rng(), ASKED_INGRESSES);
    let hello = Hello::for_ingress(shared.settings.name.clone(), shared.settings.zone.clone());
    let ask = async |address| {
        let mut link = link::connect(address, &hello, key).await?;
        if let Some(links) = read_control_instances(&mut link).await {
            record_control_instances(shared, key, &link, links);
        }
        Ok::<(), link::LinkError>(())
    };
    let asks = asked.into_iter().map(async |address| {
        let cause = match timeout(ASK_TIMEOUT, ask(address)).await {
            Ok(Ok(())) => return,
            Ok(Err(e)) => e.to_string(),
            Err(_) => "timeout".to_owned(),
        };
        tracing::debug!(event = "TS4111", %address, cause, "ingress not reached");
    });
    join_all(asks).await;
}

/// Returns the control instances that the other end of a link names, unless it closes the link.
async fn read_control_instances(link: &mut Link) -> Option<Vec<SocketAddr>> {
    loop {
        if let Frame::ControlInstances { links } = link.rx.recv().await? {
            return Some(links);
        }
    }
}

/// Opens links to control instances that another process has named.
fn record_control_instances(
    shared: &Arc<Shared>,
    key: &SharedKey,
    link: &Link,
    links: Vec<SocketAddr>,
) {
    let known = shared.control.known();
    if links.iter().all(|address| known.contains(address)) {
        return;
    }
    tracing::info!(
        event = "TS4110",
        peer = %link.peer.name,
        ?links,
        unlinked = !shared.control.is_current(),
        "control instances learned"
    );
    connect_new(shared, key, links);
}
