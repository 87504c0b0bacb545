//! An engine sends an extra response late, where the response to the next request is expected.

use std::collections::HashMap;
use std::fmt::Write as _;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::engine::Engine;
use crate::http::{Conn, Message};
use crate::platform::Platform;

/// Number of the model's layers.
const LAYERS: u64 = 8;
/// Number of clients, each with one kept connection.
const CLIENTS: usize = 4;
/// Number of requests of each client.
const REQUESTS: usize = 100;
/// One answer in so many of the faulty engine is followed by an extra one.
const EXTRA_INTERVAL: usize = 20;
/// Number of requests whose lines the record shows.
const SHOWN: usize = 5;

/// Document of the configuration: one streaming route that may not be resumed.
fn document() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"draft\",\"host\":\"ficu95.example\",\
         \"path_prefix\":\"/draft/\",\"kind\":\"streaming\",\"timeout_ms\":20000,\"slo_ms\":500,\
         \"priority\":1,\"service\":\"llm\",\"max_attempts\":2,\"public\":false,\"sticky\":true,\
         \"resumable\":false,\"gap_slo_ms\":250}}],\"services\":[{}],\"limits\":{{\
         \"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}}}}",
        crate::model_service("llm", LAYERS)
    )
}

/// What was sent, run and answered.
#[derive(Default)]
struct Log {
    lines: Vec<(String, String)>,
    runs: HashMap<String, Vec<String>>,
    answers: HashMap<String, u16>,
    extra: usize,
}

type SharedLog = Arc<Mutex<Log>>;

fn note(log: &SharedLog, started: Instant, id: &str, text: &str) {
    let line = format!("{:8.3} s  {id}  {text}", started.elapsed().as_secs_f64());
    log.lock().unwrap().lines.push((id.to_owned(), line));
}

/// Answers a stream of five events; a faulty engine adds an extra response to some answers.
fn answer(
    engine: &Engine,
    conn: &mut Conn,
    request: &Message,
    log: &SharedLog,
    started: Instant,
    extra_for: &mut Option<String>,
    adds_extra: bool,
) -> bool {
    let id = request.header("x-toucanshelf-request-id").unwrap_or("").to_owned();
    log.lock().unwrap().runs.entry(id.clone()).or_default().push(engine.id.clone());
    note(log, started, &id, &format!("{} begins to run it", engine.id));
    if let Some(before) = extra_for.take() {
        log.lock().unwrap().extra += 1;
        let text = format!("{} first sends an extra response to {before}", engine.id);
        note(log, started, &id, &text);
        let extra = format!(
            "HTTP/1.1 503 Service Unavailable\r\nX-Toucanshelf-Request-Id: {before}\r\n\
             X-Toucanshelf-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        );
        if conn.write(extra.as_bytes()).is_err() {
            return false;
        }
    }
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Toucanshelf-Request-Id: {id}\r\n\
         X-Toucanshelf-Response-Seal: {}.{id}\r\nTransfer-Encoding: chunked\r\n\r\n",
        engine.id
    );
    let mut sent = conn.write(head.as_bytes()).is_ok();
    for n in 1..=5 {
        sleep(Duration::from_millis(20));
        let event = format!("id: {n}\ndata: {id} {n}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        sent = sent && conn.write(chunk.as_bytes()).is_ok();
    }
    sent = sent && conn.write(b"0\r\n\r\n").is_ok();
    if sent && adds_extra {
        *extra_for = Some(id);
    }
    sent
}

/// Sends the requests of one client, one after the other.
fn run_client(client: usize, platform: &Platform, log: &SharedLog, started: Instant) {
    let mut conn: Option<Conn> = None;
    for n in 0..REQUESTS {
        let id = format!("{client:08x}{n:08x}");
        let text = format!(
            "POST /draft/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Toucanshelf-Request-Id: {id}\r\n\
             X-Toucanshelf-Model: m0\r\nX-Toucanshelf-Token-Counts: 800,20\r\n\
             X-Toucanshelf-Prompt-Prefix: 5c1e07a2:40,{id}:760\r\n\
             X-Toucanshelf-Deadline-Ms: 20000\r\nContent-Length: 4\r\n\r\ntext"
        );
        if conn.is_none() {
            conn = Conn::connect(platform.ingress[0], Duration::from_secs(10)).ok();
        }
        let Some(open) = conn.as_mut() else { continue };
        note(log, started, &id, "client sends it");
        let mut response = open.write(text.as_bytes()).ok().and_then(|()| open.head().ok().flatten());
        if let Some(response) = &mut response {
            let _ = open.body(response, true);
        }
        let status = response.as_ref().map_or(0, Message::status);
        let complete = response.as_ref().is_some_and(|response| response.complete);
        note(log, started, &id, &format!("client gets status {status}, whole: {complete}"));
        log.lock().unwrap().answers.insert(id, status);
        if !complete || response.is_some_and(|r| r.header("connection") == Some("close")) {
            conn = None;
        }
        sleep(Duration::from_millis(50));
    }
}

/// Plays the case; returns whether the rule was broken, and the record.
pub fn play(trouble: bool) -> Result<(bool, String), String> {
    let started = Instant::now();
    let platform = Platform::start(3, 1)?;
    platform.configure(&document())?;
    let log = SharedLog::default();
    let mut engines = Vec::new();
    for (n, zone) in ["a", "b"].into_iter().enumerate() {
        let log = Arc::clone(&log);
        // Request of each connection to which an extra response is still to be sent.
        let extra_for: Mutex<HashMap<String, Option<String>>> = Mutex::default();
        let answers = AtomicUsize::new(0);
        let is_faulty = trouble && n == 0;
        let answer = move |engine: &Engine, conn: &mut Conn, request: &Message| {
            let peer = conn.stream.peer_addr().map(|peer| peer.to_string()).unwrap_or_default();
            let mut extra = extra_for.lock().unwrap().remove(&peer).flatten();
            let count = answers.fetch_add(1, Ordering::SeqCst);
            let adds_extra = is_faulty && count % EXTRA_INTERVAL == EXTRA_INTERVAL - 1;
            let open = answer(engine, conn, request, &log, started, &mut extra, adds_extra);
            extra_for.lock().unwrap().insert(peer, extra);
            open
        };
        let address = platform.address(101 + n as u8, 8080);
        let id = format!("i-{n}");
        let engine = Engine::start(
            &id,
            address,
            "llm",
            zone,
            Some("a100"),
            &platform.control,
            Box::new(answer),
        );
        engines.push(engine?);
    }
    platform.wait_ready()?;
    crate::engine::wait_for_layers(&engines, LAYERS)?;
    thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (platform, log) = (&platform, &log);
            scope.spawn(move || run_client(client, platform, log, started));
        }
    });
    sleep(Duration::from_millis(500));
    drop(platform);
    Ok(judge(&log.lock().unwrap()))
}

/// Counts what breaks the rules, and writes the record.
fn judge(log: &Log) -> (bool, String) {
    let twice: Vec<_> = log.runs.iter().filter(|(_, runs)| runs.len() > 1).map(|(id, _)| id).collect();
    let refusals = log.answers.iter().filter(|(_, status)| [408, 421, 429, 503].contains(*status));
    let refused: Vec<_> =
        refusals.map(|(id, _)| id).filter(|id| log.runs.contains_key(*id)).collect();
    let served = log.answers.values().filter(|status| **status == 200).count();
    let mut text = String::new();
    let _ = writeln!(text, "requests sent {}, answered 200 {served}", log.answers.len());
    let _ = writeln!(text, "extra responses sent by engines {}", log.extra);
    let _ = writeln!(text, "TWICE: requests run more than once {}", twice.len());
    let _ = writeln!(text, "REFUSED: requests answered 408, 421, 429 or 503 and run {}", refused.len());
    for id in twice.iter().take(SHOWN).chain(refused.iter().take(SHOWN)) {
        text.push('\n');
        for (_, line) in log.lines.iter().filter(|(of, _)| of == *id) {
            let _ = writeln!(text, "{line}");
        }
    }
    (!twice.is_empty() || !refused.is_empty(), text)
}
