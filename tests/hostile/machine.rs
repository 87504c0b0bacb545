//! A process on a small machine.

use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt as _;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tempfile::TempDir;
use tokio::time::timeout;
use toucanshelf_soak::process::Process;

use crate::usage::{Usage, queued_bytes};

/// Time for the process to read the bytes that a crowd has sent.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Period in which a process that shares its processor runs once.
const SHARE_PERIOD: Duration = Duration::from_millis(100);
/// Part of that period in which it runs.
const SHARE: f64 = 0.12;

/// What a process may use.
#[derive(Clone, Copy, Debug)]
pub struct Machine {
    /// Memory, in bytes; those that have arrived for the process and are unread count towards it.
    pub bytes: u64,
    /// Descriptors that the process may open.
    pub descriptors: usize,
    /// Descriptors that callers leave to other uses.
    pub reserved_descriptors: usize,
}

/// A running process, whose use of its machine is watched.
pub struct Watched {
    process: Process,
    usage: Usage,
    machine: Machine,
    listeners: Vec<SocketAddr>,
    _folder: TempDir,
}

impl Watched {
    /// Starts a program on a machine, with the text of its settings file.
    ///
    /// Connections to `listeners`, or to the addresses that the program logs under `keys`, count.
    pub fn start(
        program: &str,
        settings: &str,
        machine: Machine,
        keys: &[&str],
        listeners: &[SocketAddr],
    ) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("settings.toml");
        std::fs::write(&path, settings).unwrap();
        let script = limited_program(folder.path(), program, machine.descriptors);
        let process = Process::start(&script, &path).unwrap();
        let logged = keys.iter().map(|key| process.address(key));
        let listeners: Vec<_> = logged.chain(listeners.iter().copied()).collect();
        Self {
            usage: Usage::watch(process.id(), &listeners),
            process,
            machine,
            listeners,
            _folder: folder,
        }
    }

    /// Returns the address that the program has logged under `key`.
    pub fn address(&self, key: &str) -> SocketAddr {
        self.process.address(key)
    }

    /// Stops the process where it is, as if its processor were taken away.
    pub fn pause(&self) {
        self.process.signal("-STOP").unwrap();
    }

    /// Lets the process go on.
    pub fn resume(&self) {
        self.process.signal("-CONT").unwrap();
    }

    /// Gives the process a small share of the processor until the returned guard is dropped.
    pub fn share_processor(&self) -> SharedProcessor {
        let stopped = Arc::new(AtomicBool::new(false));
        let id = self.process.id().to_string();
        let is_stopped = Arc::clone(&stopped);
        let thread = std::thread::spawn(move || {
            while !is_stopped.load(Ordering::Relaxed) {
                signal(&id, "-STOP");
                std::thread::sleep(SHARE_PERIOD.mul_f64(1.0 - SHARE));
                signal(&id, "-CONT");
                std::thread::sleep(SHARE_PERIOD.mul_f64(SHARE));
            }
        });
        SharedProcessor {
            stopped,
            thread: Some(thread),
        }
    }

    /// Waits until the process has read what a crowd has sent, or has had the time to.
    pub async fn settle(&self) {
        let read = async {
            loop {
                let queued = queued_bytes(&self.listeners);
                if queued.unread + queued.unsent == 0 {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        };
        // Bytes that are still unread afterwards count as memory.
        let _ = timeout(SETTLE_TIMEOUT, read).await;
    }

    /// Checks that the process lives and has stayed within its machine.
    pub fn check(&mut self) {
        assert!(self.process.is_running().unwrap(), "the process has ended");
        let (bytes, descriptors) = (self.usage.peak_bytes(), self.usage.peak_descriptors());
        let text = format!("peak of {bytes} bytes and {descriptors} descriptors");
        eprintln!("{text}");
        assert!(bytes <= self.machine.bytes, "{text}");
        let max = self.machine.descriptors - self.machine.reserved_descriptors;
        assert!(descriptors <= max, "{text}");
    }
}

/// Guard of a process that has a small share of the processor.
pub struct SharedProcessor {
    stopped: Arc<AtomicBool>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Drop for SharedProcessor {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        let thread = self.thread.take().unwrap();
        thread.join().unwrap();
    }
}

/// Signals a process that may have ended.
fn signal(id: &str, signal: &str) {
    let kill = std::process::Command::new("kill")
        .args([signal, id])
        .status();
    assert!(kill.is_ok(), "the command `kill` runs");
}

/// Writes a script that runs a program with few descriptors, and returns its path.
fn limited_program(folder: &Path, program: &str, descriptors: usize) -> PathBuf {
    let path = folder.join("program.sh");
    let text = format!("#!/bin/sh\nulimit -n {descriptors}\nexec '{program}' \"$@\"\n");
    std::fs::write(&path, text).unwrap();
    std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o700)).unwrap();
    path
}
