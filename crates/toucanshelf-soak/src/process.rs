//! Programs that run as processes and are ended by their ids.

use std::collections::BTreeMap;
use std::io::{self, BufRead as _, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};

/// A running program that is killed, by its id, when it is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    addresses: BTreeMap<Box<str>, SocketAddr>,
}

impl Process {
    /// Starts a program with a settings file and waits until it listens.
    ///
    /// # Errors
    ///
    /// Fails when the program can't be started or ends before it listens.
    pub fn start(program: &Path, settings: &Path) -> io::Result<Self> {
        let mut child = Command::new(program)
            .arg("--settings")
            .arg(settings)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()?;
        let stdout = child.stdout.take().expect("the output is piped");
        let mut lines = BufReader::new(stdout).lines();
        let listens = lines
            .by_ref()
            .map_while(Result::ok)
            .find(|line| line.contains(" listens "));
        let Some(line) = listens else {
            // It has closed its output, so that it ends by itself.
            let status = child.wait()?;
            let program = program.display();
            return Err(io::Error::other(format!("{program} ended: {status}")));
        };
        // Keeps the pipe empty.
        std::thread::spawn(move || lines.for_each(drop));
        Ok(Self {
            child,
            addresses: addresses(&line),
        })
    }

    /// Address that the program has named `key` when it began to listen.
    ///
    /// # Panics
    ///
    /// Panics when the program has named no such address.
    pub fn address(&self, key: &str) -> SocketAddr {
        self.addresses[key]
    }

    /// Sends a signal, such as `-TERM`.
    ///
    /// # Errors
    ///
    /// Fails when the signal can't be sent.
    pub fn signal(&self, signal: &str) -> io::Result<()> {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args([signal, &id]).status()?;
        if status.success() {
            return Ok(());
        }
        Err(io::Error::other(format!("kill {signal} {id}: {status}")))
    }

    /// Waits until the process has ended.
    ///
    /// # Errors
    ///
    /// Fails when the system can't tell how it ended.
    pub fn wait(&mut self) -> io::Result<ExitStatus> {
        self.child.wait()
    }

    /// Kills the process and waits for its end.
    ///
    /// # Errors
    ///
    /// Fails when the system can't end it.
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait().map(drop)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // One that has ended already can't be killed, and needs not be.
        drop(self.kill());
    }
}

/// The `name=address` words of a line.
fn addresses(line: &str) -> BTreeMap<Box<str>, SocketAddr> {
    let words = line.split_whitespace();
    let pairs = words.filter_map(|word| word.split_once('='));
    let parsed = pairs.filter_map(|(name, address)| Some((name.into(), address.parse().ok()?)));
    parsed.collect()
}
