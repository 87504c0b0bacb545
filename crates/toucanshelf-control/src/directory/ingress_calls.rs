//! Calls to ingresses that have lost their links.
//!
//! An ingress that was out of reach may know only control instances that have been replaced
//! meanwhile. This instance opens a link to it and names the instances that run now; the ingress then
//! opens its links as usual.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use rand::seq::IteratorRandom as _;
use tokio::time::{sleep, timeout};
use toucanshelf_link::frame::Frame;
use toucanshelf_link::link;

use crate::Shared;

/// Delay between two rounds of calls.
const CALL_INTERVAL: Duration = Duration::from_millis(300);
/// Time limit for one call.
// A packet that a cut has swallowed is sent again only after a second, so that a new call is faster.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// Maximum number of calls in one round; the ingresses are then drawn at random.
const MAX_CALLS: usize = 256;

/// Calls all ingresses that are not linked, until the process ends.
pub(crate) async fn run(shared: Arc<Shared>) {
    let Some(directory) = &shared.directory else {
        return;
    };
    let mut told = BTreeSet::new();
    loop {
        sleep(CALL_INTERVAL).await;
        let linked = directory.ingresses.link_addresses();
        let lost = {
            let mut addresses = directory.ingress_addresses();
            addresses.lost(&linked, directory.now())
        };
        told.retain(|address| lost.contains(address));
        let called = lost.into_iter().sample(&mut rand::rng(), MAX_CALLS);
        let calls = called.into_iter().map(|address| call(&shared, address));
        for address in join_all(calls).await.into_iter().flatten() {
            // An ingress that was told and still isn't linked is called again, without a line.
            if told.insert(address) {
                tracing::info!(event = "TS2518", %address, "ingress without a link called");
            }
        }
    }
}

/// Names the running control instances to the ingress that accepts links at `address`.
///
/// Returns the address if the ingress was reached.
async fn call(shared: &Shared, address: SocketAddr) -> Option<SocketAddr> {
    let peers = &shared.peers;
    let attempt = async {
        let mut link = link::connect(address, peers.hello(), peers.key()).await?;
        let links = peers.linked();
        // A link that has closed already takes no frame, and the next round calls again.
        let _ = link.tx.try_send(Frame::ControlInstances { links });
        // The ingress closes the link once it has read the frame.
        while link.rx.recv().await.is_some() {}
        Ok::<(), link::LinkError>(())
    };
    let cause = match timeout(CALL_TIMEOUT, attempt).await {
        Ok(Ok(())) => return Some(address),
        Ok(Err(e)) => e.to_string(),
        Err(_) => "timeout".to_owned(),
    };
    tracing::debug!(event = "TS2519", %address, cause, "ingress not reached");
    None
}
