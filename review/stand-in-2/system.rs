//! Starts the project's programs as the machines of a small deployment on loopback addresses.

use std::fs::{self, File};
use std::io::{self, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::http::{call, ms_since, Response};

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

const PR_SET_PDEATHSIG: i32 = 1;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, a: u64, b: u64, c: u64, d: u64) -> i32;
}

/// File with what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    pub start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Self {
            file,
            start: Instant::now(),
        })
    }

    /// Adds a line with the time since the start.
    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().unwrap();
        let time = ms_since(self.start);
        let _ = writeln!(file, "{time:>7} ms  {}", text.as_ref());
    }
}

/// Ports that all machines of a run use.
#[derive(Clone, Copy)]
pub struct Ports {
    pub front: u16,
    pub ready: u16,
    pub control: u16,
    pub internal: u16,
    pub metrics: u16,
}

/// A machine with one process.
pub struct Machine {
    pub name: String,
    pub ip: IpAddr,
    program: &'static str,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// All machines of a run; dropping it ends their processes.
pub struct System {
    pub record: Record,
    pub ports: Ports,
    folder: PathBuf,
    programs: PathBuf,
    net: [u8; 2],
    pub machines: Vec<Machine>,
}

/// Returns a free port on all addresses of the run.
fn free_port(ip: IpAddr) -> io::Result<u16> {
    Ok(TcpListener::bind((ip, 0))?.local_addr()?.port())
}

impl System {
    /// Prepares a run whose programs are in the folder `programs`.
    pub fn new(record: Record, programs: &Path, folder: &Path) -> io::Result<Self> {
        let pid = std::process::id();
        let net = [60 + (pid % 150) as u8, (pid / 150 % 250) as u8];
        let ip = IpAddr::V4(Ipv4Addr::new(127, net[0], net[1], 1));
        let ports = Ports {
            front: free_port(ip)?,
            ready: free_port(ip)?,
            control: free_port(ip)?,
            internal: free_port(ip)?,
            metrics: free_port(ip)?,
        };
        Ok(Self {
            record,
            ports,
            folder: folder.to_owned(),
            programs: programs.to_owned(),
            net,
            machines: Vec::new(),
        })
    }

    /// Returns the loopback address of machine `n`.
    pub fn ip(&self, n: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.net[0], self.net[1], n))
    }

    pub fn at(&self, n: u8, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip(n), port)
    }

    /// Returns the address of the control API of machine `n`.
    pub fn control(&self, n: u8) -> SocketAddr {
        self.at(n, self.ports.control)
    }

    /// Returns the address for clients of machine `n`.
    pub fn front(&self, n: u8) -> SocketAddr {
        self.at(n, self.ports.front)
    }

    fn seeds(&self, seeds: &[u8]) -> String {
        let seeds = seeds.iter().map(|n| format!("\"{}\"", self.control(*n)));
        format!("[{}]", seeds.collect::<Vec<_>>().join(", "))
    }

    /// Writes the settings of a core machine as the template does.
    pub fn write_control(&self, n: u8, zone: &str, seeds: &[u8], bootstrap: bool) -> PathBuf {
        let (ip, ports) = (self.ip(n), self.ports);
        let data = self.data(n);
        fs::create_dir_all(&data).unwrap();
        let text = format!(
            "name = \"{ip}\"\nzone = \"{zone}\"\nlisten = \"{ip}:{}\"\nlink-listen = \"{ip}:{}\"\n\
             link-key = \"links between the processes of one deployment\"\n\
             data-folder = \"{}\"\n\
             operator-token-digests = [\"5d1f0b7e7c9fbbe4f2a91d36e6f7a6f0b8d1c2a3948576e0f1d2c3b4a5968778\"]\n\
             [deployment]\nlisten = \"{}\"\nseeds = {}\nbootstrap = {bootstrap}\n\
             tolerated-losses = 1\nheartbeat-ms = 1200\nentry-weight = 2\nmax-open-files = 4096\n\
             [log]\nformat = \"json\"\n",
            ports.metrics,
            ports.internal,
            data.display(),
            self.control(n),
            self.seeds(seeds),
        );
        self.write(&format!("control-{n}.toml"), &text)
    }

    /// Writes the settings of an entry machine as the template does.
    pub fn write_ingress(&self, n: u8, zone: &str, seeds: &[u8]) -> PathBuf {
        let (ip, ports) = (self.ip(n), self.ports);
        let text = format!(
            "name = \"edge-{n}\"\nzone = \"{zone}\"\nlisten = \"{}\"\nready-listen = \"{ip}:{}\"\n\
             metrics-listen = \"{ip}:{}\"\nrelay-listen = \"{ip}:{}\"\n\
             link-key = \"links between the processes of one deployment\"\nseeds = {}\n\
             link-port = {}\nrepeat-ratio = 0.2\nrepeat-slack = 196\n\
             repeat-slack-after-ms = 10e3\nrepeat-window-ms = 10e3\n[log]\nformat = \"json\"\n",
            self.front(n),
            ports.ready,
            ports.metrics,
            ports.internal,
            self.seeds(seeds),
            ports.internal,
        );
        self.write(&format!("ingress-{n}.toml"), &text)
    }

    fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.folder.join(name);
        fs::write(&path, text).unwrap();
        path
    }

    /// Returns the data folder of core machine `n`.
    pub fn data(&self, n: u8) -> PathBuf {
        self.folder.join(format!("data-{n}"))
    }

    /// Starts a control instance on core machine `n`.
    pub fn start_control(&mut self, n: u8, zone: &str, seeds: &[u8], bootstrap: bool) {
        let settings = self.write_control(n, zone, seeds, bootstrap);
        self.start(format!("core-{n}"), n, "toucanshelf-control", settings);
    }

    /// Starts an ingress on entry machine `n`.
    pub fn start_ingress(&mut self, n: u8, zone: &str, seeds: &[u8]) {
        let settings = self.write_ingress(n, zone, seeds);
        self.start(format!("edge-{n}"), n, "toucanshelf-ingress", settings);
    }

    fn start(&mut self, name: String, n: u8, program: &'static str, settings: PathBuf) {
        let log = self.folder.join(format!("{name}.log"));
        let ip = self.ip(n);
        self.machines.retain(|machine| machine.name != name);
        let mut machine = Machine {
            name,
            ip,
            program,
            settings,
            log,
            child: None,
        };
        self.launch(&mut machine);
        self.machines.push(machine);
    }

    fn launch(&self, machine: &mut Machine) {
        let log = File::options().create(true).append(true).open(&machine.log);
        let log = log.unwrap();
        let mut command = Command::new(self.programs.join(machine.program));
        command.arg("--settings").arg(&machine.settings);
        command.stdin(Stdio::null());
        command.stdout(log.try_clone().unwrap()).stderr(log);
        // SAFETY: `prctl` only sets the signal that the child gets if this process ends.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64, 0, 0, 0);
                Ok(())
            });
        }
        let child = command.spawn().expect("the program can be started");
        let (name, ip) = (&machine.name, machine.ip);
        let line = format!("{name} at {ip} starts {}, process {}", machine.program, child.id());
        self.record.line(line);
        machine.child = Some(child);
    }

    pub fn machine(&mut self, name: &str) -> &mut Machine {
        let mut machines = self.machines.iter_mut();
        machines.find(|machine| machine.name == name).expect("the machine is known")
    }

    /// Sends a signal to the process of a machine.
    pub fn signal(&mut self, name: &str, signal: i32) {
        let id = self.machine(name).child.as_ref().expect("it runs").id();
        // SAFETY: the process was started by this one and has not been waited for.
        unsafe { kill(id as i32, signal) };
        self.record.line(format!("{name} gets signal {signal}"));
    }

    /// Waits until the process of a machine has ended, at most for `patience`.
    pub fn wait_end(&mut self, name: &str, patience: Duration) -> bool {
        let due = Instant::now() + patience;
        let child = self.machine(name).child.as_mut().expect("it runs");
        while child.try_wait().unwrap().is_none() {
            if Instant::now() >= due {
                return false;
            }
            sleep(Duration::from_millis(10));
        }
        self.machine(name).child = None;
        self.record.line(format!("{name} has ended"));
        true
    }

    /// Returns whether the process of a machine runs.
    pub fn runs(&mut self, name: &str) -> bool {
        let child = self.machine(name).child.as_mut();
        child.is_some_and(|child| child.try_wait().unwrap().is_none())
    }

    /// Calls the control API of machine `n`, and records call and answer.
    pub fn api(&self, n: u8, method: &str, target: &str, body: &str) -> io::Result<Response> {
        let address = self.control(n);
        let host = address.to_string();
        let headers = [("Host", &*host), ("Content-Type", "application/json")];
        let patience = Duration::from_secs(4);
        let result = call(address, method, target, &headers, body.as_bytes(), patience);
        let outcome = match &result {
            Ok(response) => response.status.to_string(),
            Err(e) => e.to_string(),
        };
        let line = format!("{method} {target} at core-{n}: {outcome}");
        self.record.line(line);
        result
    }

    /// Puts a configuration at the machines in turn until one acknowledges it.
    pub fn put_config(&self, machines: &[u8], document: &str, patience: Duration) -> bool {
        let due = Instant::now() + patience;
        while Instant::now() < due {
            for n in machines {
                let result = self.api(*n, "PUT", "/api/config", document);
                if result.is_ok_and(|response| response.status == 200) {
                    return true;
                }
                sleep(Duration::from_millis(200));
            }
        }
        false
    }

    /// Waits until machine `n` says that it is ready.
    pub fn wait_ready(&self, n: u8, patience: Duration) -> bool {
        let due = Instant::now() + patience;
        let address = self.at(n, self.ports.ready);
        while Instant::now() < due {
            let host = [("Host", "ready")];
            let result = call(address, "GET", "/api/ready", &host, b"", Duration::from_secs(1));
            if result.is_ok_and(|response| response.status == 200) {
                self.record.line(format!("edge-{n} is ready"));
                return true;
            }
            sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for System {
    fn drop(&mut self) {
        for machine in &mut self.machines {
            if let Some(mut child) = machine.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}
