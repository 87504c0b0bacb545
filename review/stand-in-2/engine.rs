//! Stand-in for a model engine: registers, takes orders to load layers, and streams answers.

use std::collections::BTreeMap;
use std::io::{self, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{call, header, read_request, Request};
use crate::system::Record;

/// Interval of the heartbeats, `heartbeat_ms` of the deployment.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Body of a request that crashes each engine that begins to run it.
pub const CRASHING_BODY: &[u8] = b"crash";
/// Time for which an engine that has crashed is gone.
const DOWN_TIME: Duration = Duration::from_millis(2_500);
/// Interval at which an engine looks for new connections.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(2);

/// What distinguishes the engines of a case.
#[derive(Clone, Default)]
pub struct Manner {
    /// Whether an extra response is still due, late, where the next one is expected; the engines of
    /// a case share it, so that one of them sends one.
    pub extra_response: Arc<AtomicBool>,
    /// Number of events of a stream.
    pub events: usize,
    /// Time from one event to the next.
    pub pause: Duration,
}

/// A running engine.
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    state: Arc<State>,
}

struct State {
    id: String,
    /// Start of the engine in Unix milliseconds, 0 while it is gone.
    born: Mutex<u128>,
    connections: Mutex<Vec<TcpStream>>,
    record: Record,
    manner: Manner,
    controls: Vec<SocketAddr>,
    service: String,
    zone: String,
    /// Layers that the engine holds.
    layers: Mutex<Option<(u64, u64)>>,
    orders: AtomicU64,
    beats: AtomicU64,
    acknowledged: AtomicU64,
    /// Identifiers of requests that the engine has run, with their number.
    runs: Mutex<BTreeMap<String, usize>>,
    /// Identifiers of requests that have crashed the engine.
    crashes: Mutex<Vec<String>>,
}

impl Engine {
    /// Starts an engine of `service` that sends its heartbeats to `controls`.
    pub fn start(
        id: &str,
        address: SocketAddr,
        zone: &str,
        service: &str,
        controls: Vec<SocketAddr>,
        record: Record,
        manner: Manner,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let state = Arc::new(State {
            id: id.to_owned(),
            born: Mutex::new(unix_ms()),
            connections: Mutex::default(),
            record,
            manner,
            controls,
            service: service.to_owned(),
            zone: zone.to_owned(),
            layers: Mutex::default(),
            orders: AtomicU64::new(0),
            beats: AtomicU64::new(0),
            acknowledged: AtomicU64::new(0),
            runs: Mutex::default(),
            crashes: Mutex::default(),
        });
        let own = Arc::clone(&state);
        spawn(move || own.listen(listener, address));
        let own = Arc::clone(&state);
        spawn(move || loop {
            own.beat(address);
            sleep(HEARTBEAT);
        });
        Ok(Self {
            id: id.to_owned(),
            address,
            state,
        })
    }

    /// Returns how often the engine has run each request.
    pub fn runs(&self) -> BTreeMap<String, usize> {
        self.state.runs.lock().unwrap().clone()
    }

    /// Returns the requests that have crashed the engine.
    pub fn crashes(&self) -> Vec<String> {
        self.state.crashes.lock().unwrap().clone()
    }

    /// Returns how many heartbeats were acknowledged.
    pub fn beats(&self) -> u64 {
        self.state.acknowledged.load(Ordering::Relaxed)
    }

    /// Returns whether the engine holds layers.
    pub fn holds_layers(&self) -> bool {
        self.state.layers.lock().unwrap().is_some()
    }
}

impl State {
    /// Accepts connections, and starts again some time after each crash.
    fn listen(self: Arc<Self>, first: TcpListener, address: SocketAddr) {
        let mut listener = first;
        loop {
            listener.set_nonblocking(true).expect("a listener can be polled");
            while *self.born.lock().unwrap() > 0 {
                let Ok((stream, _)) = listener.accept() else {
                    sleep(ACCEPT_INTERVAL);
                    continue;
                };
                stream.set_nonblocking(false).expect("a connection can block");
                let kept = stream.try_clone().expect("a connection can be cloned");
                self.connections.lock().unwrap().push(kept);
                let state = Arc::clone(&self);
                spawn(move || drop(state.serve(stream)));
            }
            drop(listener);
            for stream in self.connections.lock().unwrap().drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
            sleep(DOWN_TIME);
            listener = loop {
                match TcpListener::bind(address) {
                    Ok(listener) => break listener,
                    Err(_) => sleep(Duration::from_millis(50)),
                }
            };
            *self.layers.lock().unwrap() = None;
            self.orders.store(0, Ordering::Relaxed);
            *self.born.lock().unwrap() = unix_ms();
            self.record.line(format!("{} is back", self.id));
        }
    }

    fn beat(&self, address: SocketAddr) {
        let born = *self.born.lock().unwrap();
        if born == 0 {
            return;
        }
        let layers = self.layers.lock().unwrap().map_or(String::new(), |(from, to)| {
            format!(",\"layers\":{{\"from\":{from},\"target\":{to},\"version\":1}}")
        });
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{address}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":192,\"state\":\"ready\",\"cold_left_ms\":0,\"stage\":\"hybrid\",\
             \"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"kind\":\"a100\",\
             \"seq\":{},\"born\":{born}{layers}}}",
            self.service,
            self.zone,
            self.beats.fetch_add(1, Ordering::Relaxed) + 1,
        );
        let target = format!("/api/instances/{}", self.id);
        for control in &self.controls {
            let host = control.to_string();
            let headers = [("Host", &*host), ("Content-Type", "application/json")];
            let patience = Duration::from_secs(1);
            let result = call(*control, "PUT", &target, &headers, body.as_bytes(), patience);
            if result.is_ok_and(|response| (200..300).contains(&response.status)) {
                self.acknowledged.fetch_add(1, Ordering::Relaxed);
                return;
            }
        }
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut previous: Option<String> = None;
        while let Some(request) = read_request(&mut reader)? {
            if request.target.starts_with("/api/") {
                self.answer_call(&stream, &request)?;
                continue;
            }
            let id = header(&request.headers, "x-toucanshelf-request-id").unwrap_or("");
            if let Some(previous) = &previous {
                if self.manner.extra_response.swap(false, Ordering::Relaxed) {
                    self.send_extra(&stream, previous)?;
                }
            }
            if request.body == CRASHING_BODY {
                self.crashes.lock().unwrap().push(id.to_owned());
                self.record.line(format!("{} begins to run request {id} and crashes", self.id));
                *self.born.lock().unwrap() = 0;
                return Ok(());
            }
            self.run(&stream, id)?;
            previous = Some(id.to_owned());
        }
        Ok(())
    }

    /// Answers a call of the engine's own interface.
    fn answer_call(&self, mut stream: &TcpStream, request: &Request) -> io::Result<()> {
        let orders = &self.orders;
        let (status, body) = if request.target == "/api/order" {
            let text = String::from_utf8_lossy(&request.body).into_owned();
            let range = (number(&text, "from"), number(&text, "target"));
            if let (Some(from), Some(to)) = range {
                *self.layers.lock().unwrap() = Some((from, to));
            }
            orders.fetch_add(1, Ordering::Relaxed);
            self.record.line(format!("{} begins the order {text}", self.id));
            ("202 Accepted", String::new())
        } else {
            let seq = orders.load(Ordering::Relaxed);
            let born = *self.born.lock().unwrap();
            ("200 OK", format!("{{\"seq\":{seq},\"busy\":false,\"born\":{born}}}"))
        };
        let head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n", body.len());
        stream.write_all((head + &body).as_bytes())
    }

    /// Sends a second response to an earlier request.
    fn send_extra(&self, mut stream: &TcpStream, id: &str) -> io::Result<()> {
        let line = format!("{} sends an extra response, 503 not executed, of request {id}", self.id);
        self.record.line(line);
        let head = format!(
            "HTTP/1.1 503 Service Unavailable\r\nX-Toucanshelf-Request-Id: {id}\r\n\
             X-Toucanshelf-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        );
        stream.write_all(head.as_bytes())
    }

    /// Runs a request and streams its answer.
    fn run(&self, mut stream: &TcpStream, id: &str) -> io::Result<()> {
        *self.runs.lock().unwrap().entry(id.to_owned()).or_default() += 1;
        self.record.line(format!("{} runs request {id}", self.id));
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Toucanshelf-Request-Id: {id}\r\n\
             X-Toucanshelf-Response-Seal: seal.{}.{id}\r\nX-Toucanshelf-Weight-Versions: 1\r\n\
             Content-Type: text/event-stream\r\nKeep-Alive: timeout=15\r\n\
             Transfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        stream.write_all(head.as_bytes())?;
        for i in 1..=self.manner.events {
            sleep(self.manner.pause);
            let event = format!("id: {i}\ndata: token {i}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            stream.write_all(chunk.as_bytes())?;
        }
        stream.write_all(b"0\r\n\r\n")?;
        self.record.line(format!("{} ends request {id}", self.id));
        Ok(())
    }
}

fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis()
}

/// Returns the number in a field of a JSON object.
fn number(text: &str, field: &str) -> Option<u64> {
    let start = text.find(&format!("\"{field}\":"))? + field.len() + 3;
    let digits: String = text[start..].chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}
