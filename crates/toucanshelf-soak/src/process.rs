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
    /// The program shows this by logging a line that contains ` listens ` and its addresses.
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
        // Reads the rest of the output, because the program would block once the pipe is full.
        std::thread::spawn(move || lines.for_each(drop));
        Ok(Self {
            child,
            addresses: parse_addresses(&line),
        })
    }

    /// Address that the program logged as `key=address` when it began to listen.
    ///
    /// # Panics
    ///
    /// Panics when the program logged no address under `key`.
    pub fn address(&self, key: &str) -> SocketAddr {
        self.addresses[key]
    }

    /// Returns the identifier of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns whether the process has not exited yet.
    ///
    /// # Errors
    ///
    /// Fails when the operating system can't report its state.
    pub fn is_running(&mut self) -> io::Result<bool> {
        Ok(self.child.try_wait()?.is_none())
    }

    /// Sends a signal to the process, such as `-TERM`.
    ///
    /// # Errors
    ///
    /// Fails when the command `kill` can't be run or reports a failure.
    pub fn signal(&self, signal: &str) -> io::Result<()> {
        let id = self.id().to_string();
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
        // An error of `kill` is ignored, because it means that the process has already exited.
        drop(self.kill());
    }
}

/// Parses the words of a log line that have the form `name=address`.
///
/// Other words are ignored.
fn parse_addresses(line: &str) -> BTreeMap<Box<str>, SocketAddr> {
    let words = line.split_whitespace();
    let pairs = words.filter_map(|word| word.split_once('='));
    let parsed = pairs.filter_map(|(name, address)| Some((name.into(), address.parse().ok()?)));
    parsed.collect()
}
