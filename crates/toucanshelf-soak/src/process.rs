//! Starts programs as child processes and signals them by process id.

use std::collections::BTreeMap;
use std::io::{self, BufRead as _, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};

/// A running program; dropping it kills the process.
#[derive(Debug)]
pub struct Process {
    child: Child,
    addresses: BTreeMap<Box<str>, SocketAddr>,
}

impl Process {
    /// Starts a program with a settings file and waits until it listens.
    ///
    /// The program logs a line with ` listens ` and its addresses at that time.
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
        let stdout = child.stdout.take().expect("the standard output is piped");
        let mut lines = BufReader::new(stdout).lines();
        let listen_line = lines
            .by_ref()
            .map_while(Result::ok)
            .find(|line| line.contains(" listens "));
        let Some(line) = listen_line else {
            // The program has closed its output, which means that it is exiting.
            let status = child.wait()?;
            let program = program.display();
            return Err(io::Error::other(format!(
                "{program} exited before it listened: {status}"
            )));
        };
        // Drains the pipe, so that the program never blocks on a full one.
        std::thread::spawn(move || lines.for_each(drop));
        Ok(Self {
            child,
            addresses: parse_addresses(&line),
        })
    }

    /// Address that the program logged under `key` when it began to listen.
    ///
    /// # Panics
    ///
    /// Panics when the program logged no address under `key`.
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

    /// Waits until the process has exited and returns its status.
    ///
    /// # Errors
    ///
    /// Fails when the operating system can't report the exit status.
    pub fn wait(&mut self) -> io::Result<ExitStatus> {
        self.child.wait()
    }

    /// Kills the process and waits until it has exited.
    ///
    /// # Errors
    ///
    /// Fails when the operating system can't kill the process.
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait().map(drop)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The error is ignored: it means that the process has already exited.
        drop(self.kill());
    }
}

/// Parses the `name=address` fields of a log line; other words are ignored.
fn parse_addresses(line: &str) -> BTreeMap<Box<str>, SocketAddr> {
    let words = line.split_whitespace();
    let pairs = words.filter_map(|word| word.split_once('='));
    let parsed = pairs.filter_map(|(name, address)| Some((name.into(), address.parse().ok()?)));
    parsed.collect()
}
