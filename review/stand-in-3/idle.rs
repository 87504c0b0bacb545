//! A new server of a service states in `Keep-Alive` that it never closes idle connections.

use std::collections::HashMap;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::engine::Engine;
use crate::http::{Conn, Message};
use crate::platform::Platform;

/// Number of clients, each with one kept connection.
const CLIENTS: usize = 6;
/// Time for which the clients send requests.
const CLIENT_TIME: Duration = Duration::from_secs(10);
/// Time from the clients' start to that of the second server.
const SECOND_SERVER_AFTER: Duration = Duration::from_secs(3);
/// Idle timeout that servers usually state, in seconds.
const USUAL_TIMEOUT_S: u64 = 60;
/// Number of lost answers that the rule allows.
const ALLOWED: usize = 3;
/// Number of requests whose lines the record shows.
const SHOWN: usize = 4;

fn document() -> String {
    let route = |name: &str, kind: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"ficu95.example\",\"path_prefix\":\"/{name}/\",\
             \"kind\":\"{kind}\",\"timeout_ms\":1500,\"slo_ms\":100,\"priority\":1,\
             \"service\":\"orders\",\"max_attempts\":2,\"public\":false}}"
        )
    };
    format!(
        "{{\"version\":1,\"routes\":[{},{}],\"services\":[{{\"name\":\"orders\",\
         \"health_path\":\"/health\",\"max_conns\":52,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        route("pay", "non_idempotent"),
        route("status", "idempotent")
    )
}

/// Servers that have run each request and sent the whole answer.
type Runs = Arc<Mutex<HashMap<String, Vec<String>>>>;

fn start_server(
    platform: &Platform,
    runs: &Runs,
    host: u8,
    timeout_s: u64,
) -> Result<Arc<Engine>, String> {
    let runs = Arc::clone(runs);
    let answer = move |server: &Engine, conn: &mut Conn, request: &Message| {
        let id = request.header("x-toucanshelf-request-id").unwrap_or("").to_owned();
        sleep(Duration::from_millis(15));
        let body = format!("{} has run {id}", server.id);
        let text = format!(
            "HTTP/1.1 200 OK\r\nX-Toucanshelf-Request-Id: {id}\r\n\
             X-Toucanshelf-Response-Seal: {}.{id}\r\nKeep-Alive: timeout={timeout_s}\r\n\
             Content-Length: {}\r\n\r\n{body}",
            server.id,
            body.len()
        );
        let sent = conn.write(text.as_bytes()).is_ok();
        if sent {
            runs.lock().unwrap().entry(id).or_default().push(server.id.clone());
        }
        sent
    };
    let (id, address) = (format!("i-{host}"), platform.address(host, 8080));
    Engine::start(&id, address, "orders", "a", None, &platform.control, Box::new(answer))
}

/// A request that a client sent on a connection on which it had been answered before, or not.
struct Sent {
    id: String,
    route: &'static str,
    at: Duration,
    is_kept: bool,
    /// Status, or 0 if the connection ended without an answer.
    status: u16,
}

fn run_client(client: usize, ingress: SocketAddr, started: Instant) -> Vec<Sent> {
    let mut all = Vec::new();
    let mut conn: Option<Conn> = None;
    let mut is_kept = false;
    let until = Instant::now() + CLIENT_TIME;
    let mut n = 0;
    while Instant::now() < until {
        n += 1;
        let id = format!("{client:08x}{n:08x}");
        let (method, route) = if n % 2 == 0 { ("POST", "pay") } else { ("GET", "status") };
        let text = format!(
            "{method} /{route}/2f HTTP/1.1\r\nHost: ficu95.example\r\n\
             X-Toucanshelf-Request-Id: {id}\r\nX-Toucanshelf-Deadline-Ms: 1500\r\n\
             Content-Length: 0\r\n\r\n"
        );
        if conn.is_none() {
            conn = Conn::connect(ingress, Duration::from_secs(5)).ok();
            is_kept = false;
        }
        let Some(open) = conn.as_mut() else { continue };
        let at = started.elapsed();
        let head = open.write(text.as_bytes()).ok().and_then(|()| open.head().ok().flatten());
        let mut response = head.unwrap_or_default();
        let _ = open.body(&mut response, false);
        let status = response.status();
        all.push(Sent { id, route, at, is_kept, status });
        is_kept = true;
        if status == 0 || response.header("connection") == Some("close") {
            conn = None;
        }
        sleep(Duration::from_millis(30));
    }
    all
}

/// Plays the case; returns whether the rule was broken, and the record.
pub fn play(trouble: bool) -> Result<(bool, String), String> {
    let started = Instant::now();
    let platform = Platform::start(3, 1)?;
    platform.configure(&document())?;
    platform.wait_ready()?;
    let runs = Runs::default();
    let _first = start_server(&platform, &runs, 101, USUAL_TIMEOUT_S)?;
    sleep(Duration::from_millis(1_500));
    let ingress = platform.ingress[0];
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| thread::spawn(move || run_client(client, ingress, started)))
        .collect();
    sleep(SECOND_SERVER_AFTER);
    let timeout_s = if trouble { u64::MAX } else { USUAL_TIMEOUT_S };
    let added = started.elapsed();
    let _second = start_server(&platform, &runs, 102, timeout_s)?;
    let sent = clients.into_iter().flat_map(|client| client.join().unwrap_or_default());
    let sent: Vec<_> = sent.collect();
    let mut text = format!(
        "server i-102 added at {:.3} s, states Keep-Alive: timeout={timeout_s}\n",
        added.as_secs_f64()
    );
    let broken = judge(&sent, &runs.lock().unwrap(), &mut text);
    Ok((broken, text))
}

/// Counts the answers that were lost, and writes the record.
fn judge(sent: &[Sent], runs: &HashMap<String, Vec<String>>, text: &mut String) -> bool {
    let served = sent.iter().filter(|request| request.status == 200).count();
    let is_lost =
        |request: &&Sent| request.is_kept && request.status == 0 && runs.contains_key(&request.id);
    let lost: Vec<_> = sent.iter().filter(is_lost).collect();
    let payments = lost.iter().filter(|request| request.route == "pay").count();
    let _ = writeln!(text, "requests sent {}, answered 200 {served}", sent.len());
    let _ = writeln!(
        text,
        "LOST: requests on kept connections that a server ran and answered, and whose connection \
         ended without an answer {} (allowed {ALLOWED}), of them payments {payments}",
        lost.len()
    );
    for request in lost.iter().take(SHOWN) {
        let _ = writeln!(
            text,
            "{:8.3} s  client sends {} ({}); answered by {}; the connection ends without an answer",
            request.at.as_secs_f64(),
            request.id,
            request.route,
            runs[&request.id].join(", ")
        );
    }
    lost.len() > ALLOWED
}
