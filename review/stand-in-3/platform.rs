//! Starts the project's control instances and ingresses on loopback addresses.

use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt as _;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::call;

const CONTROL_PORT: u16 = 8229;
const LINK_PORT: u16 = 7340;

/// Signals of Linux that the cases send.
#[derive(Clone, Copy)]
pub enum Signal {
    Stop = 19,
    Continue = 18,
}

/// The processes of a small deployment, which end when this value is dropped.
pub struct Platform {
    net: [u8; 2],
    folder: PathBuf,
    pub control: Vec<SocketAddr>,
    pub ingress: Vec<SocketAddr>,
    children: Vec<(String, Child)>,
}

impl Platform {
    /// Starts `controls` control instances and `ingresses` ingresses.
    pub fn start(controls: u8, ingresses: u8) -> Result<Self, String> {
        let net = free_net()?;
        let folder = std::env::var_os("CASE_FOLDER").ok_or("CASE_FOLDER is not set")?;
        let folder = PathBuf::from(folder);
        fs::create_dir_all(&folder).map_err(|e| format!("creating a folder: {e}"))?;
        let mut platform = Self {
            net,
            folder,
            control: Vec::new(),
            ingress: Vec::new(),
            children: Vec::new(),
        };
        platform.control = (0..controls).map(|n| platform.address(11 + n, CONTROL_PORT)).collect();
        platform.ingress = (0..ingresses).map(|n| platform.address(41 + n, 8227)).collect();
        for n in 0..controls {
            platform.write_control(n, true)?;
            platform.spawn(&format!("control-{n}"))?;
        }
        for n in 0..ingresses {
            platform.write_ingress(n)?;
            platform.spawn(&format!("ingress-{n}"))?;
        }
        Ok(platform)
    }

    /// Address of a machine of this deployment.
    pub fn address(&self, host: u8, port: u16) -> SocketAddr {
        let ip = Ipv4Addr::new(127, self.net[0], self.net[1], host);
        SocketAddr::new(IpAddr::V4(ip), port)
    }

    fn seeds(&self) -> String {
        let seeds: Vec<_> = self.control.iter().take(3).map(|seed| format!("\"{seed}\"")).collect();
        seeds.join(", ")
    }

    fn write_control(&self, n: u8, bootstrap: bool) -> Result<(), String> {
        let ip = self.address(11 + n, 0).ip();
        let data = self.folder.join(format!("data-{n}"));
        fs::create_dir_all(&data).map_err(|e| e.to_string())?;
        let text = format!(
            "name = \"{ip}\"\nzone = \"a\"\nlisten = \"{ip}:9464\"\n\
             link-listen = \"{ip}:{LINK_PORT}\"\n\
             link-key = \"links between the processes of one deployment\"\n\
             data-folder = \"{}\"\noperator-token-digests = \
             [\"5d1f0b7e7c9fbbe4f2a91d36e6f7a6f0b8d1c2a3948576e0f1d2c3b4a5968778\"]\n\
             [deployment]\nlisten = \"{ip}:{CONTROL_PORT}\"\nseeds = [{}]\n\
             bootstrap = {bootstrap}\ntolerated-losses = 1\ncatch-up-ms = 4e3\n\
             heartbeat-ms = 1200\nentry-weight = 2\nmax-open-files = 4096\n[log]\nformat = \"json\"\n",
            data.display(),
            self.seeds(),
        );
        let path = self.folder.join(format!("control-{n}.toml"));
        fs::write(path, text).map_err(|e| e.to_string())
    }

    fn write_ingress(&self, n: u8) -> Result<(), String> {
        let ip = self.address(41 + n, 0).ip();
        let text = format!(
            "name = \"edge-{n}\"\nzone = \"a\"\nlisten = \"{ip}:8227\"\n\
             ready-listen = \"{ip}:8220\"\nmetrics-listen = \"{ip}:9464\"\n\
             relay-listen = \"{ip}:{LINK_PORT}\"\n\
             link-key = \"links between the processes of one deployment\"\n\
             seeds = [{}]\nlink-port = {LINK_PORT}\nrepeat-ratio = 0.2\nrepeat-slack = 196\n\
             repeat-slack-after-ms = 10e3\nrepeat-window-ms = 10e3\n[log]\nformat = \"json\"\n",
            self.seeds(),
        );
        let path = self.folder.join(format!("ingress-{n}.toml"));
        fs::write(path, text).map_err(|e| e.to_string())
    }

    /// Starts the program of `name`, such as `ingress-0`.
    fn spawn(&mut self, name: &str) -> Result<(), String> {
        let program = name.split('-').next().unwrap_or("");
        let log = self.folder.join(format!("{name}.log"));
        let log = fs::OpenOptions::new().create(true).append(true).open(log);
        let log = log.map_err(|e| e.to_string())?;
        let mut command = Command::new(format!("target/release/toucanshelf-{program}"));
        command.arg("--settings").arg(self.folder.join(format!("{name}.toml")));
        command.stdin(Stdio::null()).stdout(log.try_clone().map_err(|e| e.to_string())?);
        let child = ends_with_parent(&mut command).stderr(log).spawn();
        let child = child.map_err(|e| format!("starting toucanshelf-{program}: {e}"))?;
        self.children.push((name.to_owned(), child));
        Ok(())
    }

    /// Sends a signal to the running process of `name`.
    pub fn signal(&self, name: &str, signal: Signal) {
        unsafe extern "C" {
            fn kill(pid: i32, signal: i32) -> i32;
        }
        let mut children = self.children.iter().filter(|(known, _)| known == name);
        if let Some((_, child)) = children.next_back() {
            // SAFETY: the call takes no pointers, and the child was not waited for.
            unsafe { kill(child.id() as i32, signal as i32) };
        }
    }

    /// Kills all control instances at the same moment and starts them again after `down_time`.
    pub fn kill_control(&mut self, down_time: Duration) -> Result<(), String> {
        for (_, child) in self.children.iter_mut().filter(|(name, _)| name.starts_with("control")) {
            let _ = child.kill();
        }
        for (_, child) in self.children.iter_mut().filter(|(name, _)| name.starts_with("control")) {
            let _ = child.wait();
        }
        self.children.retain(|(name, _)| !name.starts_with("control"));
        std::thread::sleep(down_time);
        for n in 0..self.control.len() {
            self.spawn(&format!("control-{n}"))?;
        }
        Ok(())
    }

    /// Path of a file in the folder of this deployment.
    pub fn path(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }

    /// Sends a configuration until it is acknowledged.
    pub fn configure(&self, document: &str) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(20);
        loop {
            for control in &self.control {
                let timeout = Duration::from_secs(1);
                if let Ok(response) = call(*control, "PUT", "/api/config", document, timeout) {
                    match response.status() {
                        200 => {
                            // The settings of a later start don't found a new system.
                            for n in 0..self.control.len() {
                                self.write_control(n as u8, false)?;
                            }
                            return Ok(());
                        }
                        400..=499 => {
                            let body = String::from_utf8_lossy(&response.body).into_owned();
                            return Err(format!("configuration refused: {body}"));
                        }
                        _ => {}
                    }
                }
            }
            if Instant::now() > until {
                return Err("no configuration was acknowledged within 20 s".to_owned());
            }
            std::thread::sleep(Duration::from_millis(200));
        }
    }

    /// Waits until all ingresses say that they are ready.
    pub fn wait_ready(&self) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(20);
        for ingress in &self.ingress {
            let ready = SocketAddr::new(ingress.ip(), 8220);
            loop {
                let timeout = Duration::from_secs(1);
                let response = call(ready, "GET", "/api/ready", "", timeout);
                if response.is_ok_and(|response| response.status() == 200) {
                    break;
                }
                if Instant::now() > until {
                    return Err("an ingress is not ready within 20 s".to_owned());
                }
                std::thread::sleep(Duration::from_millis(100));
            }
        }
        Ok(())
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        for (_, child) in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Makes a process end with the thread that starts it, also if that is killed.
pub fn ends_with_parent(command: &mut Command) -> &mut Command {
    const PR_SET_PDEATHSIG: i32 = 1;
    const SIGKILL: u64 = 9;
    unsafe extern "C" {
        fn prctl(option: i32, value: u64) -> i32;
    }
    // SAFETY: the call is safe between fork and exec; it takes no pointers.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            Ok(())
        })
    }
}

/// Finds a loopback network whose ports no other process uses.
fn free_net() -> Result<[u8; 2], String> {
    let mut seed = u64::from(std::process::id()) * 2_654_435_761 + crate::unix_ms();
    for _ in 0..50 {
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        let net = [(seed >> 33) as u8 | 1, (seed >> 45) as u8];
        let is_free = |host: u8, port: u16| {
            TcpListener::bind((Ipv4Addr::new(127, net[0], net[1], host), port)).is_ok()
        };
        let hosts = [11, 12, 13, 41, 42, 43];
        let ports = [LINK_PORT, CONTROL_PORT, 8227, 8220, 9464];
        if hosts.iter().all(|host| ports.iter().all(|port| is_free(*host, *port))) {
            return Ok(net);
        }
    }
    Err("no loopback network is free".to_owned())
}
