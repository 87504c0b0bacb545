//! An engine that states the length of its stream crashes, and the stream goes on elsewhere.

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

use crate::engine::Engine;
use crate::http::{Conn, Message, call};
use crate::platform::{Platform, ends_with_parent};
use crate::unix_ms;

/// Number of the model's layers.
const LAYERS: u64 = 8;
/// Number of clients, each with one kept connection.
const CLIENTS: usize = 8;
/// Time for which the clients send requests.
const CLIENT_TIME: Duration = Duration::from_secs(12);
/// Time from the clients' start to the crash of an engine.
const CRASH_AFTER: Duration = Duration::from_secs(4);
/// Time for which the crashed engine is down.
const DOWN_TIME: Duration = Duration::from_secs(4);
/// Number of events of each stream.
const EVENTS: u64 = 20;
/// Time between two events.
const EVENT_GAP: Duration = Duration::from_millis(30);
/// Number of requests whose lines the record shows.
const SHOWN: usize = 4;

fn document() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"draft\",\"host\":\"ficu95.example\",\
         \"path_prefix\":\"/draft/\",\"kind\":\"streaming\",\"timeout_ms\":20000,\"slo_ms\":500,\
         \"priority\":1,\"service\":\"llm\",\"max_attempts\":2,\"public\":false,\"sticky\":true,\
         \"resumable\":true,\"gap_slo_ms\":250}}],\"services\":[{}],\"limits\":{{\
         \"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}}}}",
        crate::model_service("llm", LAYERS)
    )
}

/// Event `n` of a run; its words and their length differ between engines.
fn event(engine: &str, request: &str, n: u64) -> String {
    let seed = format!("{engine} {request} {n}");
    let hash = seed.bytes().fold(7_u64, |hash, byte| hash.wrapping_mul(31) + u64::from(byte));
    let words = "word ".repeat(2 + (hash >> 5) as usize % 6);
    let last = if n == EVENTS { "end of the text" } else { "" };
    format!("id: {n}\ndata: {words}{last}\n\n")
}

/// Runs an engine until it is killed: `ID ADDRESS ZONE RUNS CONTROL...`.
pub fn run_engine(args: &[String]) -> Result<(), String> {
    let [id, address, zone, runs, control @ ..] = args else {
        return Err("arguments of the engine are missing".to_owned());
    };
    let zone = if zone == "a" { "a" } else { "b" };
    let address: SocketAddr = address.parse().map_err(|_| "no address".to_owned())?;
    let control: Vec<SocketAddr> = control.iter().filter_map(|text| text.parse().ok()).collect();
    let runs = OpenOptions::new().append(true).create(true).open(runs);
    let runs = Mutex::new(runs.map_err(|e| e.to_string())?);
    let answer = move |engine: &Engine, conn: &mut Conn, request: &Message| {
        let id = request.header("x-toucanshelf-request-id").unwrap_or("").to_owned();
        let after = request.header("last-event-id").and_then(|text| text.parse().ok());
        let after: u64 = after.unwrap_or(0);
        let line = format!("{} {id} {} runs it, after event {after}\n", unix_ms(), engine.id);
        let _ = runs.lock().unwrap().write_all(line.as_bytes());
        let events: Vec<_> = (after + 1..=EVENTS).map(|n| event(&engine.id, &id, n)).collect();
        let len: usize = events.iter().map(String::len).sum();
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
             X-Toucanshelf-Request-Id: {id}\r\nX-Toucanshelf-Response-Seal: {}.{id}\r\n\
             Content-Length: {len}\r\n\r\n",
            engine.id
        );
        let mut sent = conn.write(head.as_bytes()).is_ok();
        for event in events {
            sleep(EVENT_GAP);
            sent = sent && conn.write(event.as_bytes()).is_ok();
        }
        sent
    };
    let engine =
        Engine::start(id, address, "llm", zone, Some("a100"), &control, Box::new(answer))?;
    loop {
        sleep(Duration::from_secs(60));
        drop(Arc::clone(&engine));
    }
}

/// Processes of the engines, which end when this value is dropped.
struct Engines {
    runs: PathBuf,
    control: Vec<SocketAddr>,
    children: HashMap<SocketAddr, Child>,
}

impl Engines {
    fn start(&mut self, id: &str, address: SocketAddr, zone: &str) -> Result<(), String> {
        let program = std::env::current_exe().map_err(|e| e.to_string())?;
        let mut command = Command::new(program);
        command.args(["engine", id, &address.to_string(), zone]).arg(&self.runs);
        command.args(self.control.iter().map(SocketAddr::to_string));
        let child = ends_with_parent(&mut command).spawn().map_err(|e| format!("starting an engine: {e}"))?;
        self.children.insert(address, child);
        Ok(())
    }

    fn kill(&mut self, address: SocketAddr) {
        if let Some(mut child) = self.children.remove(&address) {
            let _ = child.kill();
            let _ = child.wait();
        }
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

/// What a client got for one request.
struct Answer {
    id: String,
    sent_ms: u64,
    ended_ms: u64,
    status: u16,
    stated_len: String,
    complete: bool,
    body: String,
}

impl Answer {
    /// Whether the answer looks complete, and lacks its last event or a part of it.
    fn is_truncated(&self) -> bool {
        self.status == 200 && self.complete && !self.body.ends_with("end of the text\n\n")
    }
}

/// Sends requests of one client, one after the other.
fn run_client(client: usize, ingress: SocketAddr) -> Vec<Answer> {
    let mut answers = Vec::new();
    let mut conn: Option<Conn> = None;
    let until = Instant::now() + CLIENT_TIME;
    let mut n = 0;
    while Instant::now() < until {
        n += 1;
        let id = format!("{client:08x}{n:08x}");
        let text = format!(
            "POST /draft/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Toucanshelf-Request-Id: {id}\r\n\
             X-Toucanshelf-Model: m0\r\nX-Toucanshelf-Token-Counts: 800,80\r\n\
             X-Toucanshelf-Prompt-Prefix: 5c1e07a2:40,{id}:760\r\n\
             X-Toucanshelf-Deadline-Ms: 20000\r\nContent-Length: 4\r\n\r\ntext"
        );
        if conn.is_none() {
            conn = Conn::connect(ingress, Duration::from_secs(10)).ok();
        }
        let Some(open) = conn.as_mut() else { continue };
        let sent_ms = unix_ms();
        let head = open.write(text.as_bytes()).ok().and_then(|()| open.head().ok().flatten());
        let mut response = head.unwrap_or_default();
        let _ = open.body(&mut response, true);
        let answer = Answer {
            id,
            sent_ms,
            ended_ms: unix_ms(),
            status: response.status(),
            stated_len: response.header("content-length").unwrap_or("none").to_owned(),
            complete: response.complete,
            body: String::from_utf8_lossy(&response.body).into_owned(),
        };
        if !answer.complete {
            conn = None;
        }
        answers.push(answer);
        sleep(Duration::from_millis(20));
    }
    answers
}

/// Waits until both engines report all layers.
fn wait_for_layers(addresses: &[SocketAddr]) -> Result<(), String> {
    let until = Instant::now() + Duration::from_secs(30);
    let wanted = format!("\"layers\":{{\"from\":0,\"target\":{LAYERS},");
    while Instant::now() < until {
        let holds = |address: &SocketAddr| {
            let report = call(*address, "GET", "/api/report", "", Duration::from_secs(1));
            report.is_ok_and(|report| String::from_utf8_lossy(&report.body).contains(&wanted))
        };
        if addresses.iter().all(holds) {
            // The next heartbeats tell it to control.
            sleep(Duration::from_millis(2_500));
            return Ok(());
        }
        sleep(Duration::from_millis(100));
    }
    Err("the engines did not get their layers within 30 s".to_owned())
}

/// Plays the case; returns whether the rule was broken, and the record.
pub fn play(trouble: bool) -> Result<(bool, String), String> {
    let platform = Platform::start(3, 1)?;
    platform.configure(&document())?;
    platform.wait_ready()?;
    let addresses = [platform.address(101, 8080), platform.address(102, 8080)];
    let mut engines = Engines {
        runs: platform.path("runs"),
        control: platform.control.clone(),
        children: HashMap::new(),
    };
    engines.start("i-a1", addresses[0], "a")?;
    engines.start("i-b1", addresses[1], "b")?;
    wait_for_layers(&addresses)?;
    let ingress = platform.ingress[0];
    let clients: Vec<_> =
        (0..CLIENTS).map(|client| thread::spawn(move || run_client(client, ingress))).collect();
    sleep(CRASH_AFTER);
    let mut crash_ms = None;
    if trouble {
        engines.kill(addresses[0]);
        crash_ms = Some(unix_ms());
        sleep(DOWN_TIME);
        engines.start("i-a2", addresses[0], "a")?;
    }
    let answers = clients.into_iter().flat_map(|client| client.join().unwrap_or_default());
    let answers: Vec<_> = answers.collect();
    let runs = fs::read_to_string(&engines.runs).unwrap_or_default();
    Ok(judge(&answers, &runs, crash_ms))
}

/// Counts the answers that break the rule, and writes the record.
fn judge(answers: &[Answer], runs: &str, crash_ms: Option<u64>) -> (bool, String) {
    let truncated: Vec<_> = answers.iter().filter(|answer| answer.is_truncated()).collect();
    let whole = answers.iter().filter(|answer| answer.complete && !answer.is_truncated()).count();
    let cut = answers.iter().filter(|answer| !answer.complete).count();
    let start = answers.iter().map(|answer| answer.sent_ms).min().unwrap_or(0);
    let seconds = |ms: u64| ms.saturating_sub(start) as f64 / 1e3;
    let mut text = String::new();
    let _ = writeln!(text, "requests sent {}, answered whole {whole}, cut off {cut}", answers.len());
    if let Some(crash_ms) = crash_ms {
        let _ = writeln!(text, "engine i-a1 killed at {:.3} s", seconds(crash_ms));
    }
    let _ = writeln!(
        text,
        "ORDER: streams that look complete and lack the last event or a part of it {}",
        truncated.len()
    );
    for answer in truncated.iter().take(SHOWN) {
        let _ = writeln!(text, "\n{:8.3} s  client sends {}", seconds(answer.sent_ms), answer.id);
        for line in runs.lines() {
            let mut words = line.splitn(3, ' ');
            let ms = words.next().and_then(|ms| ms.parse().ok()).unwrap_or(0);
            if words.next() == Some(&answer.id) {
                let _ = writeln!(text, "{:8.3} s  {}", seconds(ms), words.next().unwrap_or(""));
            }
        }
        let tail: String = answer.body.chars().rev().take(60).collect();
        let tail: String = tail.chars().rev().collect();
        let _ = writeln!(
            text,
            "{:8.3} s  client gets status {}, Content-Length {}, {} bytes, whole; the body ends with {:?}",
            seconds(answer.ended_ms),
            answer.status,
            answer.stated_len,
            answer.body.len(),
            tail
        );
    }
    (!truncated.is_empty(), text)
}
