//! A prompt part crashes the last engine of a route, which writes the answer, and not the first one.

use std::collections::HashMap;
use std::fmt::Write as _;
use std::fs::{self, OpenOptions};
use std::io::Write as _;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::engine::{Engine, Stalls};
use crate::http::{Conn, Message, call};
use crate::platform::{Platform, ends_with_parent};
use crate::unix_ms;

/// Number of the model's layers; an engine has memory for one.
const LAYERS: u64 = 2;
/// Number of engines.
const ENGINES: u8 = 8;
/// Time for which a crashed engine is down.
const DOWN_MS: u64 = 3_000;
/// Time for which work stalls that depends on a dead engine (`stall_ms`).
const STALL: Duration = Duration::from_millis(2_500);
/// Bound of the site.
const CONTACT_MS: u64 = 3_000;
/// Requests that may reach engines after the fifth crash and `contact_ms`.
const ALLOWED: usize = 3;
/// Number of the crash from which on requests count.
const FIFTH: usize = 5;
/// Time for which clients send requests.
const CLIENT_TIME: Duration = Duration::from_secs(65);
/// Prompt part that crashes engines.
const DEADLY: &str = "dead0001:200";
/// Number of lines that the record shows.
const SHOWN: usize = 40;

fn document() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"draft\",\"host\":\"ficu95.example\",\
         \"path_prefix\":\"/draft/\",\"kind\":\"streaming\",\"timeout_ms\":20000,\"slo_ms\":500,\
         \"priority\":1,\"service\":\"llm\",\"max_attempts\":2,\"public\":false,\"sticky\":true,\
         \"resumable\":true,\"gap_slo_ms\":250}}],\"services\":[{{\"name\":\"llm\",\
         \"health_path\":\"/health\",\"max_conns\":908,\"protocol\":\"h1\",\"tls\":false,\
         \"engine\":{{\"slots\":192,\"kv_capacity\":100000,\"kv_token_bytes\":20000,\
         \"step_ms\":1.02,\"per_seq_ms\":0.00459,\"read_per_s\":164000.0,\
         \"models\":[{{\"name\":\"m0\",\"pace\":1.0,\"load_s\":0.2,\"warm_s\":0.1}}],\
         \"usual\":{{\"prompt\":775,\"answer\":220}},\"layers\":{LAYERS},\"layer_mb\":1750.0,\
         \"kinds\":[{{\"name\":\"a100\",\"size_mb\":3000.0,\"pace\":2.4,\"read_factor\":3.2}}]}}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}

/// Returns the address of the last engine of a route.
fn last_hop(hops: &str) -> Option<SocketAddr> {
    let last = hops.rsplit(',').next()?.trim();
    last.split('=').next()?.parse().ok()
}

/// Asks the last engine to write the answer; returns whether it does.
fn pass_on(id: &str, prefix: &str, to: SocketAddr) -> bool {
    let response = call(to, "POST", &format!("/pass/{id}"), prefix, Duration::from_secs(1));
    response.is_ok_and(|response| response.status() == 200)
}

/// Runs an engine until it crashes: `ID ADDRESS RUNS TROUBLE CONTROL...`.
pub fn run_engine(args: &[String]) -> Result<(), String> {
    let [id, address, runs, trouble, control @ ..] = args else {
        return Err("arguments of the engine are missing".to_owned());
    };
    let trouble = trouble == "1";
    let address: SocketAddr = address.parse().map_err(|_| "no address".to_owned())?;
    let control: Vec<SocketAddr> = control.iter().filter_map(|text| text.parse().ok()).collect();
    let runs = OpenOptions::new().append(true).create(true).open(runs);
    let runs = Mutex::new(runs.map_err(|e| e.to_string())?);
    let note = move |what: &str, request: &str, engine: &str| {
        let line = format!("{} {what} {request} {engine}\n", unix_ms());
        let _ = runs.lock().unwrap().write_all(line.as_bytes());
    };
    let stalls = Stalls::default();
    let known = Arc::clone(&stalls);
    let answer = move |engine: &Engine, conn: &mut Conn, request: &Message| {
        let prefix = request.header("x-toucanshelf-prompt-prefix").unwrap_or("").to_owned();
        if let Some(id) = request.target().strip_prefix("/pass/") {
            if trouble && String::from_utf8_lossy(&request.body).contains(DEADLY) {
                note("crash", id, &engine.id);
                std::process::exit(1);
            }
            return conn.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").is_ok();
        }
        let id = request.header("x-toucanshelf-request-id").unwrap_or("").to_owned();
        let what = if prefix.contains(DEADLY) { "arrive-deadly" } else { "arrive" };
        note(what, &id, &engine.id);
        let Some(mut to) = request.header("x-toucanshelf-hops").and_then(last_hop) else {
            let text = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n";
            return conn.write(text.as_bytes()).is_ok();
        };
        let started = Instant::now();
        while !pass_on(&id, &prefix, to) {
            // The request waits for its last engine, until a call names another one.
            known.lock().unwrap().insert(id.clone(), (to, None));
            loop {
                sleep(Duration::from_millis(20));
                let next = known.lock().unwrap().get(&id).and_then(|(_, next)| *next);
                if let Some(next) = next {
                    to = next;
                    break;
                }
                if started.elapsed() >= STALL {
                    known.lock().unwrap().remove(&id);
                    let text = format!(
                        "HTTP/1.1 503 Service Unavailable\r\nX-Toucanshelf-Request-Id: {id}\r\n\
                         X-Toucanshelf-Not-Executed: 1\r\nAt-Server: {to}\r\n\
                         Content-Length: 0\r\n\r\n"
                    );
                    return conn.write(text.as_bytes()).is_ok();
                }
            }
        }
        known.lock().unwrap().remove(&id);
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
             X-Toucanshelf-Request-Id: {id}\r\nX-Toucanshelf-Response-Seal: {}.{id}\r\n\
             Transfer-Encoding: chunked\r\n\r\n",
            engine.id
        );
        let mut sent = conn.write(head.as_bytes()).is_ok();
        for n in 1..=3 {
            sleep(Duration::from_millis(20));
            let event = format!("id: {n}\ndata: {id} {n}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            sent = sent && conn.write(chunk.as_bytes()).is_ok();
        }
        sent && conn.write(b"0\r\n\r\n").is_ok()
    };
    let answer = Box::new(answer);
    let _engine = Engine::start_with_stalls(
        id,
        address,
        "llm",
        "a",
        Some("a100"),
        &control,
        answer,
        stalls,
    )?;
    loop {
        sleep(Duration::from_secs(60));
    }
}

/// Processes of the engines, which end when this value is dropped.
struct Engines {
    runs: PathBuf,
    trouble: bool,
    control: Vec<SocketAddr>,
    addresses: Vec<SocketAddr>,
    children: HashMap<SocketAddr, Child>,
    /// Time at which each crashed engine is back, in milliseconds.
    back_ms: HashMap<SocketAddr, u64>,
    starts: usize,
}

impl Engines {
    fn start(&mut self, address: SocketAddr) -> Result<(), String> {
        self.starts += 1;
        let program = std::env::current_exe().map_err(|e| e.to_string())?;
        let mut command = Command::new(program);
        let trouble = if self.trouble { "1" } else { "0" };
        let id = format!("i-{}", self.starts);
        command.args(["hop-engine", &id, &address.to_string()]).arg(&self.runs).arg(trouble);
        command.args(self.control.iter().map(SocketAddr::to_string));
        let child = ends_with_parent(&mut command).spawn();
        self.children.insert(address, child.map_err(|e| format!("starting an engine: {e}"))?);
        Ok(())
    }

    /// Starts crashed engines again, as new incarnations, once their time is over.
    fn restart_crashed(&mut self) -> Result<(), String> {
        for address in self.addresses.clone() {
            let child = self.children.get_mut(&address);
            if child.is_some_and(|child| child.try_wait().is_ok_and(|status| status.is_some())) {
                self.children.remove(&address);
                self.back_ms.insert(address, unix_ms() + DOWN_MS);
            }
            if self.back_ms.get(&address).is_some_and(|back| *back <= unix_ms()) {
                self.back_ms.remove(&address);
                self.start(address)?;
            }
        }
        Ok(())
    }
}

impl Drop for Engines {
    fn drop(&mut self) {
        for child in self.children.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Sends requests of one client, one after the other; returns how often it got each status.
fn run_client(client: usize, ingress: SocketAddr, deadly: bool) -> HashMap<u16, usize> {
    let mut statuses = HashMap::new();
    let until = Instant::now() + CLIENT_TIME;
    let mut n = 0;
    while Instant::now() < until {
        n += 1;
        let next = Instant::now() + Duration::from_millis(if deadly { 1_500 } else { 250 });
        let id = format!("{client:08x}{n:08x}");
        let part = if deadly { DEADLY } else { "91bd3f06:200" };
        let text = format!(
            "POST /draft/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Toucanshelf-Request-Id: {id}\r\n\
             X-Toucanshelf-Model: m0\r\nX-Toucanshelf-Token-Counts: 800,20\r\n\
             X-Toucanshelf-Prompt-Prefix: 5c1e07a2:40,{part},{id}:560\r\n\
             X-Toucanshelf-Deadline-Ms: 20000\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{id}",
            id.len()
        );
        let response = Conn::connect(ingress, Duration::from_secs(21)).ok().and_then(|mut conn| {
            conn.write(text.as_bytes()).ok()?;
            let mut response = conn.head().ok()??;
            let _ = conn.body(&mut response, true);
            Some(response)
        });
        let status = response.map_or(0, |response| response.status());
        *statuses.entry(status).or_default() += 1;
        sleep(next.saturating_duration_since(Instant::now()));
    }
    statuses
}

/// Plays the case; returns whether the rule was broken, and the record.
pub fn play(trouble: bool) -> Result<(bool, String), String> {
    let platform = Platform::start(3, 2)?;
    platform.configure(&document())?;
    platform.wait_ready()?;
    let mut engines = Engines {
        runs: platform.path("runs"),
        trouble,
        control: platform.control.clone(),
        addresses: (0..ENGINES).map(|n| platform.address(101 + n, 8080)).collect(),
        children: HashMap::new(),
        back_ms: HashMap::new(),
        starts: 0,
    };
    for address in engines.addresses.clone() {
        engines.start(address)?;
    }
    // The engines get their layers and report them.
    sleep(Duration::from_secs(7));
    let mut clients = Vec::new();
    for (n, deadly) in [(0, false), (1, false), (2, true)] {
        let ingress = platform.ingress[n % 2];
        clients.push((deadly, thread::spawn(move || run_client(n, ingress, deadly))));
    }
    let until = Instant::now() + CLIENT_TIME;
    while Instant::now() < until {
        engines.restart_crashed()?;
        sleep(Duration::from_millis(50));
    }
    let mut text = String::new();
    for (deadly, client) in clients {
        let kind = if deadly { "with the part that crashes engines" } else { "sound" };
        let statuses = client.join().unwrap_or_default();
        let _ = writeln!(text, "client of requests {kind}: status and number {statuses:?}");
    }
    let runs = fs::read_to_string(&engines.runs).unwrap_or_default();
    let broken = judge(&runs, &mut text)?;
    Ok((broken, text))
}

/// Counts the requests that reach engines too late, and writes the record.
fn judge(runs: &str, text: &mut String) -> Result<bool, String> {
    let lines: Vec<(u64, Vec<&str>)> = runs
        .lines()
        .filter_map(|line| {
            let (ms, rest) = line.split_once(' ')?;
            Some((ms.parse().ok()?, rest.split(' ').collect()))
        })
        .collect();
    let start = lines.first().map_or(0, |(ms, _)| *ms);
    let sound = lines.iter().filter(|(_, words)| words[0] == "arrive").count();
    let crashes: Vec<_> = lines.iter().filter(|(_, words)| words[0] == "crash").collect();
    let _ = writeln!(text, "sound requests that reach engines {sound}, crashes {}", crashes.len());
    if sound < 20 {
        return Err(format!("sound requests were not served\n{text}"));
    }
    let from = crashes.get(FIFTH - 1).map(|(ms, _)| ms + CONTACT_MS);
    let mut late: Vec<&str> = lines
        .iter()
        .filter(|(ms, words)| words[0] == "arrive-deadly" && from.is_some_and(|from| *ms > from))
        .map(|(_, words)| words[1])
        .collect();
    late.sort_unstable();
    late.dedup();
    let _ = writeln!(
        text,
        "BUDGET: requests with that part that reach engines later than {CONTACT_MS} ms after the \
         fifth crash {} (allowed {ALLOWED})\n",
        late.len()
    );
    let shown = lines.iter().filter(|(_, words)| words[0] != "arrive");
    for (ms, words) in shown.take(SHOWN) {
        let seconds = ms.saturating_sub(start) as f64 / 1e3;
        let what = if words[0] == "crash" { "crashes" } else { "reaches" };
        let _ = writeln!(text, "{seconds:8.3} s  {} {what} {}", words[1], words[2]);
    }
    Ok(late.len() > ALLOWED)
}
