//! Starts the project's programs, and the record of a run.

use std::fs::{self, File};
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::net::{call, free_port, socket};

pub const ZONES: [&str; 3] = ["merida-a", "merida-b", "merida-c"];
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Record of what was sent, answered and run, with times since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn new(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self {
            file: Arc::new(Mutex::new(file)),
            started: Instant::now(),
        }
    }

    pub fn ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let line = format!("{:>8} ms  {}\n", self.ms(), text.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |t| t.as_millis() as u64)
}

/// The control instances and ingresses of a small deployment on loopback.
pub struct System {
    pub record: Record,
    folder: PathBuf,
    control_ips: Vec<Ipv4Addr>,
    ingress_ips: Vec<Ipv4Addr>,
    link_port: u16,
    control_port: u16,
    front_port: u16,
    ready_port: u16,
    metrics_port: u16,
}

/// Processes that were started, with their names. They are ended by [`end_all`].
static CHILDREN: Mutex<Vec<(String, Child)>> = Mutex::new(Vec::new());

fn temporary_folder() -> PathBuf {
    std::env::temp_dir().join(format!("toucanshelf-review-{}", std::process::id()))
}

/// Ends all processes that were started; keeps their logs if `KEEP_LOGS` is set.
pub fn end_all() {
    let mut children = CHILDREN
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    for (_, child) in children.iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
    if std::env::var_os("KEEP_LOGS").is_some() {
        eprintln!("logs: {}", temporary_folder().display());
    } else {
        let _ = fs::remove_dir_all(temporary_folder());
    }
}

impl System {
    /// Starts `controls` control instances and `ingresses` ingresses, spread over the zones.
    pub fn start(record: &Record, controls: u8, ingresses: u8) -> Self {
        let folder = temporary_folder();
        fs::create_dir_all(&folder).expect("a temporary folder");
        let control_ips: Vec<_> = (1..=controls)
            .map(|i| Ipv4Addr::new(127, 0, 31, i))
            .collect();
        let ingress_ips: Vec<_> = (1..=ingresses)
            .map(|i| Ipv4Addr::new(127, 0, 32, i))
            .collect();
        let all: Vec<_> = control_ips.iter().chain(&ingress_ips).copied().collect();
        let out = Self {
            record: record.clone(),
            folder,
            link_port: free_port(&all),
            control_port: free_port(&control_ips),
            front_port: free_port(&ingress_ips),
            ready_port: free_port(&ingress_ips),
            metrics_port: free_port(&all),
            control_ips,
            ingress_ips,
        };
        for i in 0..out.control_ips.len() {
            out.start_control(i, true);
        }
        for i in 0..out.ingress_ips.len() {
            out.start_ingress(i);
        }
        out
    }

    fn seeds(&self) -> String {
        let seeds = self.control_ips.iter().take(3);
        let seeds: Vec<_> = seeds
            .map(|ip| format!("\"{ip}:{}\"", self.control_port))
            .collect();
        seeds.join(", ")
    }

    /// Starts a control instance with the settings that its template gives.
    pub fn start_control(&self, i: usize, bootstrap: bool) {
        let (ip, zone) = (self.control_ips[i], ZONES[i % 3]);
        let data = self.folder.join(format!("control-{i}"));
        let template = fs::read_to_string("platform/settings/control.toml").expect("the template");
        let text = template
            .replace("{{ip|json}}", &format!("\"{ip}\""))
            .replace("{{zone|json}}", &format!("\"{zone}\""))
            .replace("{{ip}}:9464", &format!("{ip}:{}", self.metrics_port))
            .replace("{{ip}}:{{internal_ports.0}}", &format!("{ip}:{}", self.link_port))
            .replace("{{data_dir|json}}", &format!("\"{}\"", data.display()))
            .replace("{{listen.control|json}}", &format!("\"{}\"", self.control(i)))
            .replace("{{seeds|json}}", &format!("[{}]", self.seeds()))
            .replace("{{bootstrap|json}}", &bootstrap.to_string())
            .replace("{{#tolerate.machines}}tolerated-losses = {{tolerate.machines}}{{/tolerate.machines}}", "tolerated-losses = 1")
            .replace("{{#heartbeat_ms}}heartbeat-ms = {{heartbeat_ms}}{{/heartbeat_ms}}", "heartbeat-ms = 1200");
        self.spawn(&format!("control-{i}"), "toucanshelf-control", &text);
    }

    /// Starts an ingress with the settings that its template gives.
    pub fn start_ingress(&self, i: usize) {
        let (ip, zone) = (self.ingress_ips[i], ZONES[i % 3]);
        let template = fs::read_to_string("platform/settings/ingress.toml").expect("the template");
        let text = template
            .replace("{{node|json}}", &format!("\"edge-{zone}-{i}\""))
            .replace("{{zone|json}}", &format!("\"{zone}\""))
            .replace("{{listen.front|json}}", &format!("\"{}\"", self.front(i)))
            .replace("{{listen.ready|json}}", &format!("\"{ip}:{}\"", self.ready_port))
            .replace("{{ip}}:9464", &format!("{ip}:{}", self.metrics_port))
            .replace("{{ip}}:{{internal_ports.0}}", &format!("{ip}:{}", self.link_port))
            .replace("{{seeds|json}}", &format!("[{}]", self.seeds()))
            .replace("{{internal_ports.0}}", &self.link_port.to_string())
            .replace("{{#bounds.retry_ratio}}repeat-ratio = {{bounds.retry_ratio}}{{/bounds.retry_ratio}}", "repeat-ratio = 0.2")
            .replace("{{#bounds.retry_slack}}repeat-slack = {{bounds.retry_slack}}{{/bounds.retry_slack}}", "repeat-slack = 202")
            .replace("{{#bounds.retry_window_s}}repeat-slack-after-ms = {{bounds.retry_window_s}}e3{{/bounds.retry_window_s}}", "repeat-slack-after-ms = 10e3")
            .replace("{{#bounds.retry_window_s}}repeat-window-ms = {{bounds.retry_window_s}}e3{{/bounds.retry_window_s}}", "repeat-window-ms = 10e3");
        self.spawn(&format!("ingress-{i}"), "toucanshelf-ingress", &text);
    }

    fn spawn(&self, name: &str, program: &str, settings: &str) {
        let path = self.folder.join(format!("{name}.toml"));
        fs::write(&path, settings).expect("the settings can be written");
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")));
        let child = Command::new(format!("target/release/{program}"))
            .arg("--settings")
            .arg(&path)
            .stdin(Stdio::null())
            .stderr(Stdio::null())
            .stdout(log.expect("the log can be written"))
            .spawn();
        let child = child.unwrap_or_else(|e| cannot_run(&format!("starting {program}: {e}")));
        self.record
            .note(format!("{name} started, process {}", child.id()));
        CHILDREN.lock().unwrap().push((name.to_string(), child));
    }

    /// Kills a process with SIGKILL.
    pub fn kill(&self, name: &str) {
        let mut children = CHILDREN.lock().unwrap();
        if let Some(i) = children.iter().position(|(n, _)| n == name) {
            let (_, mut child) = children.remove(i);
            let _ = child.kill();
            let _ = child.wait();
            self.record.note(format!("{name} killed"));
        }
    }

    /// Starts a process again that has ended.
    pub fn restart(&self, name: &str) {
        match name.split_once('-') {
            Some(("control", i)) => self.start_control(i.parse().expect("a number"), false),
            Some((_, i)) => self.start_ingress(i.parse().expect("a number")),
            None => cannot_run("there is no such process"),
        }
    }

    /// Stops a process with SIGTERM, and with SIGKILL after `grace_s`, 8 s.
    pub fn terminate(&self, name: &str) {
        let mut children = CHILDREN.lock().unwrap();
        let Some(i) = children.iter().position(|(n, _)| n == name) else {
            return;
        };
        let (_, mut child) = children.remove(i);
        drop(children);
        self.record.note(format!("{name} gets SIGTERM"));
        let _ = Command::new("kill")
            .args(["-TERM", &child.id().to_string()])
            .status();
        let until = Instant::now() + Duration::from_secs(8);
        while Instant::now() < until {
            if matches!(child.try_wait(), Ok(Some(_))) {
                self.record.note(format!("{name} has ended"));
                return;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        let _ = child.kill();
        let _ = child.wait();
        self.record
            .note(format!("{name} has been killed after grace_s"));
    }

    /// Address of the platform's API at control instance `i`.
    pub fn control(&self, i: usize) -> SocketAddr {
        socket(self.control_ips[i], self.control_port)
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        (0..self.control_ips.len())
            .map(|i| self.control(i))
            .collect()
    }

    /// Address for clients at ingress `i`.
    pub fn front(&self, i: usize) -> SocketAddr {
        socket(self.ingress_ips[i], self.front_port)
    }

    /// Puts a configuration, at one control instance after the other, until it is acknowledged.
    pub fn put_config(&self, config: &str) {
        let until = Instant::now() + Duration::from_secs(20);
        for i in (0..self.control_ips.len()).cycle() {
            let sent = call(
                self.control(i),
                "PUT",
                "/api/config",
                &[],
                config,
                Duration::from_secs(1),
            );
            let status = sent.map_or(0, |response| response.status());
            if status == 200 {
                self.record
                    .note(format!("configuration acknowledged by control-{i}"));
                return;
            }
            if Instant::now() > until {
                cannot_run("no control instance acknowledges the configuration");
            }
            std::thread::sleep(Duration::from_millis(200));
        }
    }

    /// Waits until all ingresses are ready.
    pub fn wait_ready(&self) {
        let until = Instant::now() + Duration::from_secs(20);
        for ip in &self.ingress_ips {
            let ready = socket(*ip, self.ready_port);
            loop {
                let answer = call(ready, "GET", "/api/ready", &[], "", Duration::from_secs(1));
                if answer.is_ok_and(|response| response.status() == 200) {
                    break;
                }
                if Instant::now() > until {
                    cannot_run("an ingress does not become ready");
                }
                std::thread::sleep(Duration::from_millis(100));
            }
        }
        self.record.note("all ingresses are ready");
    }
}

/// Ends with the exit code for a case that could not run.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    // Unwinds, so that the processes are ended.
    std::panic::panic_any(CannotRun);
}

pub struct CannotRun;

/// Configuration with the given routes and services, as in the platform's example.
pub fn config(version: u64, routes: &[String], services: &[String]) -> String {
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"hule930","api_keys":["n2ctnfzs989anu6wsjnb"],"priority":1}}]}}"#,
        routes.join(","),
        services.join(",")
    )
}

pub fn plain_route(
    name: &str,
    prefix: &str,
    service: &str,
    kind: &str,
    max_attempts: u32,
) -> String {
    format!(
        r#"{{"name":"{name}","host":"ficu95.example","path_prefix":"{prefix}","kind":"{kind}","timeout_ms":1500,"slo_ms":100,"priority":2,"service":"{service}","max_attempts":{max_attempts},"public":false}}"#
    )
}

pub fn plain_service(name: &str) -> String {
    format!(
        r#"{{"name":"{name}","health_path":"/health","max_conns":52,"protocol":"h1","tls":false}}"#
    )
}
