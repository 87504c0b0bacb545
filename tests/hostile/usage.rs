//! Memory and descriptors that a process uses, read from `/proc`.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Weak};
use std::time::Duration;

/// Time between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);

/// Highest use of memory and descriptors by a process, sampled until dropped.
pub struct Usage {
    peaks: Arc<Peaks>,
    process: u32,
}

#[derive(Default)]
struct Peaks {
    bytes: AtomicU64,
    descriptors: AtomicUsize,
    sampled: AtomicBool,
}

impl Usage {
    /// Samples a process that accepts connections at `listeners`.
    pub fn watch(process: u32, listeners: &[SocketAddr]) -> Self {
        let peaks = Arc::default();
        let weak = Arc::downgrade(&peaks);
        let listeners = listeners.to_vec();
        std::thread::spawn(move || sample_until_dropped(&weak, process, &listeners));
        Self { peaks, process }
    }

    /// Returns the highest sum of resident bytes and of bytes that callers have sent and that are unread.
    pub fn peak_bytes(&self) -> u64 {
        assert!(self.peaks.sampled.load(Ordering::Relaxed));
        let resident = status_bytes(self.process, "VmHWM:").unwrap_or(0);
        self.peaks.bytes.load(Ordering::Relaxed).max(resident)
    }

    /// Returns the highest number of open descriptors.
    pub fn peak_descriptors(&self) -> usize {
        self.peaks.descriptors.load(Ordering::Relaxed)
    }
}

fn sample_until_dropped(peaks: &Weak<Peaks>, process: u32, listeners: &[SocketAddr]) {
    while let Some(peaks) = peaks.upgrade() {
        let resident = status_bytes(process, "VmRSS:");
        let descriptors = std::fs::read_dir(format!("/proc/{process}/fd"));
        if let (Some(resident), Ok(descriptors)) = (resident, descriptors) {
            let bytes = resident + queued_bytes(listeners).unread;
            peaks.bytes.fetch_max(bytes, Ordering::Relaxed);
            let descriptors = descriptors.count();
            peaks.descriptors.fetch_max(descriptors, Ordering::Relaxed);
            peaks.sampled.store(true, Ordering::Relaxed);
        }
        drop(peaks);
        std::thread::sleep(SAMPLE_INTERVAL);
    }
}

/// Returns a value of the status of a process in bytes, if the process runs.
fn status_bytes(process: u32, key: &str) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix(key))?;
    let kilobytes: u64 = line.trim().strip_suffix(" kB")?.parse().ok()?;
    Some(kilobytes * 1024)
}

/// Bytes that wait in the sockets of the connections to an address.
pub struct QueuedBytes {
    /// Bytes that have arrived and are unread.
    pub unread: u64,
    /// Bytes that have not arrived, or whose arrival is not confirmed.
    pub unsent: u64,
}

/// Returns the bytes in the sockets of the connections to local IPv4 addresses.
pub fn queued_bytes(listeners: &[SocketAddr]) -> QueuedBytes {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let ports = listeners
        .iter()
        .map(|address| format!(":{:04X}", address.port()));
    let ports: Vec<_> = ports.collect();
    let is_listener = |address: &str| ports.iter().any(|port| address.ends_with(port));
    let mut queued = QueuedBytes {
        unread: 0,
        unsent: 0,
    };
    for line in table.lines().skip(1) {
        let fields: Vec<_> = line.split_whitespace().collect();
        let &[_, local, remote, state, sizes, ..] = fields.as_slice() else {
            continue;
        };
        // A listening socket shows its queue of new connections instead.
        if state == "0A" {
            continue;
        }
        let (unsent, unread) = sizes.split_once(':').unwrap();
        if is_listener(local) {
            queued.unread += u64::from_str_radix(unread, 16).unwrap();
        } else if is_listener(remote) {
            queued.unsent += u64::from_str_radix(unsent, 16).unwrap();
        }
    }
    queued
}
