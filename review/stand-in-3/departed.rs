//! A server leaves while an entry machine is frozen, and then all core processes are killed.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::engine::Engine;
use crate::http::{Conn, Message};
use crate::platform::{Platform, Signal};

/// Bounds of the site.
const DRAIN: Duration = Duration::from_millis(2_000);
const CONTACT: Duration = Duration::from_millis(3_000);
/// Time for which the entry machine is frozen.
const FREEZE: Duration = Duration::from_millis(5_000);
/// Time from the start of the freeze to the server's departure.
const LEAVE_AFTER: Duration = Duration::from_millis(3_600);
/// Time from the start of the freeze to the kill of the core.
const KILL_AFTER: Duration = Duration::from_millis(4_300);
/// Time for which the core processes are down.
const DOWN_TIME: Duration = Duration::from_millis(500);
/// Time after which the entry machine is in touch for sure.
const SLACK: Duration = Duration::from_millis(500);
/// Number of clients that send a request at the same time.
const CLIENTS: usize = 6;

fn document() -> String {
    "{\"version\":1,\"routes\":[{\"name\":\"status\",\"host\":\"ficu95.example\",\
     \"path_prefix\":\"/status/\",\"kind\":\"idempotent\",\"timeout_ms\":1500,\"slo_ms\":100,\
     \"priority\":1,\"service\":\"orders\",\"max_attempts\":2,\"public\":false}],\
     \"services\":[{\"name\":\"orders\",\"health_path\":\"/health\",\"max_conns\":52,\
     \"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,\
     \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}"
        .to_owned()
}

/// Requests that reached a server, with the time since the start.
type Arrivals = Arc<Mutex<Vec<(Duration, String, String)>>>;

fn start_server(
    platform: &Platform,
    arrivals: &Arrivals,
    started: Instant,
    host: u8,
) -> Result<Arc<Engine>, String> {
    let arrivals = Arc::clone(arrivals);
    let answer = move |server: &Engine, conn: &mut Conn, request: &Message| {
        let id = request.header("x-toucanshelf-request-id").unwrap_or("").to_owned();
        arrivals.lock().unwrap().push((started.elapsed(), server.id.clone(), id.clone()));
        sleep(Duration::from_millis(15));
        let leaving = *server.state.lock().unwrap() != "ready";
        let leaving = if leaving { "Server-Leaving: 1\r\n" } else { "" };
        let text = format!(
            "HTTP/1.1 200 OK\r\nX-Toucanshelf-Request-Id: {id}\r\n\
             X-Toucanshelf-Response-Seal: {}.{id}\r\n{leaving}Content-Length: 4\r\n\r\ndone",
            server.id
        );
        conn.write(text.as_bytes()).is_ok()
    };
    let (id, address) = (format!("i-{host}"), platform.address(host, 8080));
    Engine::start(&id, address, "orders", "a", None, &platform.control, Box::new(answer))
}

/// Sends one request each of all clients; returns the identifiers and statuses.
fn send_round(ingress: SocketAddr, round: &str) -> Vec<(String, u16)> {
    let send = |client: usize| {
        let id = format!("{round}-{client}");
        let text = format!(
            "GET /status/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Toucanshelf-Request-Id: {id}\r\n\
             X-Toucanshelf-Deadline-Ms: 1500\r\nConnection: close\r\n\r\n"
        );
        let mut conn = Conn::connect(ingress, Duration::from_secs(2)).ok()?;
        conn.write(text.as_bytes()).ok()?;
        let response = conn.head().ok()??;
        Some((id, response.status()))
    };
    thread::scope(|scope| {
        let clients: Vec<_> =
            (0..CLIENTS).map(|client| scope.spawn(move || send(client))).collect();
        clients.into_iter().filter_map(|client| client.join().ok().flatten()).collect()
    })
}

/// Plays the case; returns whether the rule was broken, and the record.
pub fn play(trouble: bool) -> Result<(bool, String), String> {
    let started = Instant::now();
    let mut platform = Platform::start(3, 10)?;
    platform.configure(&document())?;
    platform.wait_ready()?;
    let arrivals = Arrivals::default();
    let leaver = start_server(&platform, &arrivals, started, 102)?;
    let _other = start_server(&platform, &arrivals, started, 101)?;
    sleep(Duration::from_millis(1_500) + CONTACT);
    let mut text = String::new();
    for (n, ingress) in platform.ingress.clone().into_iter().enumerate() {
        let answers = send_round(ingress, &format!("before-{n}"));
        let served = answers.iter().filter(|(_, status)| *status == 200).count();
        let _ = writeln!(text, "before: ingress-{n} serves {served} of {CLIENTS} requests");
    }
    let frozen = Instant::now();
    if trouble {
        platform.signal("ingress-1", Signal::Stop);
    }
    let note = |text: &mut String, what: &str| {
        let _ = writeln!(text, "{:8.3} s  {what}", started.elapsed().as_secs_f64());
    };
    note(&mut text, if trouble { "ingress-1 is frozen" } else { "nothing is frozen" });
    sleep(LEAVE_AFTER.saturating_sub(frozen.elapsed()));
    if !leaver.leave() {
        return Err("no control instance acknowledged the departure".to_owned());
    }
    let acknowledged = started.elapsed();
    note(&mut text, "the departure of i-102 is acknowledged; it serves on for some seconds");
    sleep(KILL_AFTER.saturating_sub(frozen.elapsed()));
    if trouble {
        platform.kill_control(DOWN_TIME)?;
        note(&mut text, "all control instances were killed and start again");
    }
    sleep(FREEZE.saturating_sub(frozen.elapsed()));
    if trouble {
        platform.signal("ingress-1", Signal::Continue);
        note(&mut text, "ingress-1 goes on");
    }
    sleep(CONTACT + SLACK);
    let sent = started.elapsed();
    note(&mut text, "all machines are in touch; clients send requests to ingress-1");
    let answers = send_round(platform.ingress[1], "after");
    sleep(Duration::from_millis(200));
    let served = answers.iter().filter(|(_, status)| *status == 200).count();
    let late: Vec<_> = arrivals
        .lock()
        .unwrap()
        .iter()
        .filter(|(at, server, _)| *server == leaver.id && *at >= sent)
        .map(|(at, server, id)| format!("{:8.3} s  {id} reaches {server}", at.as_secs_f64()))
        .collect();
    let _ = writeln!(text, "after: ingress-1 serves {served} of {CLIENTS} requests");
    let _ = writeln!(
        text,
        "DRAIN: requests that reach i-102, sent {:.1} s after its departure was acknowledged (drain_ms {}) {}",
        (sent - acknowledged).as_secs_f64(),
        DRAIN.as_millis(),
        late.len()
    );
    text += &late.join("\n");
    text.push('\n');
    if sent < acknowledged + DRAIN || served == 0 {
        return Err(format!("the requests were not sent as planned\n{text}"));
    }
    Ok((!late.is_empty(), text))
}
