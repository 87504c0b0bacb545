//! Tests of a control instance whose disk fills up and has space again.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use futures_util::FutureExt as _;
use toucanshelf_coordination::replica::{Ready, ReplicaId};
use toucanshelf_coordination::store::{DataFolder, LogStore, OpenStore, OpenedStore, StoreError};

use crate::platform_support::{
    DeploymentBuilder, Platform, Target, WAIT_TIMEOUT, start_control_on,
};

/// Data folder on a disk that refuses writes while it is full.
struct SmallDisk {
    folder: DataFolder,
    full: Arc<AtomicBool>,
}

impl OpenStore for SmallDisk {
    fn open(&self, new_id: ReplicaId) -> Result<OpenedStore, StoreError> {
        check_space(&self.full)?;
        let (store, id, persisted) = self.folder.open(new_id)?;
        let full = Arc::clone(&self.full);
        Ok((Box::new(SmallDiskStore { store, full }), id, persisted))
    }
}

impl SmallDisk {
    /// Creates a disk with the folder `folder`, and returns it with the switch that fills it up.
    fn new(folder: &tempfile::TempDir, full: bool) -> (Self, Arc<AtomicBool>) {
        let full = Arc::new(AtomicBool::new(full));
        let disk = Self {
            folder: DataFolder::new(folder.path()),
            full: Arc::clone(&full),
        };
        (disk, full)
    }
}

struct SmallDiskStore {
    store: Box<dyn LogStore>,
    full: Arc<AtomicBool>,
}

impl LogStore for SmallDiskStore {
    fn store(&mut self, ready: &Ready) -> Result<(), StoreError> {
        check_space(&self.full)?;
        self.store.store(ready)
    }
}

fn check_space(full: &AtomicBool) -> Result<(), StoreError> {
    if full.load(Ordering::SeqCst) {
        return Err(StoreError::Unavailable {
            action: "writing",
            file: "log.redb".into(),
            cause: "no space".into(),
        });
    }
    Ok(())
}

fn deployment(version: u64) -> String {
    DeploymentBuilder::new(version)
        .route("route", "a.example", "/route/", "plain")
        .build()
}

async fn wait_until(description: &str, condition: impl Fn() -> bool) {
    let polled = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let polled = tokio::time::timeout(WAIT_TIMEOUT, polled).await;
    assert!(polled.is_ok(), "timed out: {description}");
}

/// Guards against an instance that ends when its disk is full, and is started again and again.
#[tokio::test(flavor = "multi_thread")]
async fn full_disk_keeps_instance_running() {
    let folder = tempfile::tempdir().unwrap();
    let (disk, full) = SmallDisk::new(&folder, false);
    let control = start_control_on(Arc::new(disk)).await;
    let target = Target::start([]).await;
    let targets = [("plain", &target)];
    let platform = Platform::with_control(control, folder, &deployment(1), &targets).await;
    full.store(true, Ordering::SeqCst);
    assert_eq!(platform.put_deployment(&deployment(2)).await, 503);
    let driver = &platform.control.shared().driver;
    assert!(driver.status().suspended);
    assert_eq!(
        driver.status().leader,
        None,
        "what isn't stored mustn't be acknowledged"
    );
    assert_eq!(driver.failed().now_or_never(), None, "the instance goes on");
    let response = platform.call("GET", "/route/", &[]).await;
    assert_eq!(
        response.status, 200,
        "callers are served while the disk is full"
    );
    full.store(false, Ordering::SeqCst);
    wait_until("the replica resumes", || !driver.status().suspended).await;
    wait_until("a leader is elected", || driver.status().leader.is_some()).await;
    assert_eq!(platform.put_deployment(&deployment(2)).await, 200);
    assert_eq!(driver.state().deployment_version(), Some(2));
}

#[tokio::test(flavor = "multi_thread")]
async fn start_on_full_disk_waits() {
    let folder = tempfile::tempdir().unwrap();
    let (disk, full) = SmallDisk::new(&folder, true);
    let mut starting = Box::pin(start_control_on(Arc::new(disk)));
    assert!(
        (&mut starting).now_or_never().is_none(),
        "an instance can't start before its disk accepts writes"
    );
    full.store(false, Ordering::SeqCst);
    let control = tokio::time::timeout(WAIT_TIMEOUT, starting).await;
    assert!(
        !control
            .expect("the instance starts")
            .shared()
            .driver
            .status()
            .suspended
    );
}
