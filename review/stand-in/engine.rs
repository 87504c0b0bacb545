//! Engines of the platform: they register, send heartbeats, answer requests and take orders.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::net::{Message, Server, call, read_message, respond};
use crate::system::{HEARTBEAT, Record, unix_ms};

/// Memory of each kind of accelerator and of a layer, in megabytes, as on the users' sheets.
pub const LAYER_MB: f64 = 1750.0;

pub fn size_mb(kind: &str) -> f64 {
    match kind {
        "a100" => 72_000.0,
        "v100" => 14_400.0,
        _ => 21_600.0,
    }
}

/// A request as an engine received it.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub engine: String,
    pub request: String,
    pub at: Instant,
}

/// What an engine does with a request or an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reaction {
    /// Does the work and answers.
    Work,
    /// Does the work, then crashes without an answer.
    Crash,
    /// Does the work, writes the first event of the answer and crashes.
    CrashWriting,
}

/// Number of events of each stream, and the pause between two.
pub const EVENTS: u32 = 5;
const EVENT_GAP: Duration = Duration::from_millis(20);

type React = Box<dyn Fn(&Message) -> Reaction + Send + Sync>;

pub struct EngineConfig {
    pub id: String,
    pub service: String,
    pub zone: String,
    /// Kind of accelerator; `None` for a plain service.
    pub kind: Option<&'static str>,
    pub address: SocketAddr,
    pub work: Duration,
}

/// One incarnation of an engine.
pub struct Engine {
    pub config: EngineConfig,
    pub born: u64,
    pub record: Record,
    controls: Vec<SocketAddr>,
    server: Mutex<Option<Server>>,
    seq: AtomicU64,
    orders: AtomicU64,
    layers: Mutex<Option<(u32, u32)>>,
    state: Mutex<State>,
    react: React,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
    /// Times at which a request has crashed the engine.
    crashed: Mutex<Vec<Instant>>,
    /// Orders beyond the engine's memory.
    pub excess_orders: Mutex<Vec<String>>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Ready,
    Draining,
    /// Has sent its DELETE and goes on serving.
    Left,
    Dead,
}

impl Engine {
    /// Starts an engine that listens at once and sends heartbeats after `first_beat`.
    pub fn start(
        config: EngineConfig,
        controls: Vec<SocketAddr>,
        record: &Record,
        arrivals: &Arc<Mutex<Vec<Arrival>>>,
        first_beat: Duration,
        react: impl Fn(&Message) -> Reaction + Send + Sync + 'static,
    ) -> std::io::Result<Arc<Self>> {
        let address = config.address;
        let engine = Arc::new(Self {
            config,
            born: unix_ms(),
            record: record.clone(),
            controls,
            server: Mutex::default(),
            seq: AtomicU64::new(0),
            orders: AtomicU64::new(0),
            layers: Mutex::default(),
            state: Mutex::new(State::Ready),
            react: Box::new(react),
            arrivals: Arc::clone(arrivals),
            crashed: Mutex::default(),
            excess_orders: Mutex::default(),
        });
        let own = Arc::clone(&engine);
        let server = Server::start(address, move |stream| own.serve(stream))?;
        record.note(format!(
            "engine {} ({}, {}) starts at {}",
            engine.config.id,
            engine.config.service,
            engine.config.kind.unwrap_or("plain"),
            server.address
        ));
        *engine.server.lock().unwrap() = Some(server);
        let own = Arc::clone(&engine);
        std::thread::spawn(move || {
            std::thread::sleep(first_beat);
            while own.is_beating() {
                own.beat();
                std::thread::sleep(HEARTBEAT);
            }
        });
        Ok(engine)
    }

    pub fn address(&self) -> SocketAddr {
        self.server
            .lock()
            .unwrap()
            .as_ref()
            .map_or(self.config.address, |server| server.address)
    }

    fn state(&self) -> State {
        *self.state.lock().unwrap()
    }

    fn is_beating(&self) -> bool {
        matches!(self.state(), State::Ready | State::Draining)
    }

    /// Returns when requests have crashed this incarnation; at most once.
    pub fn crashes(&self) -> Vec<Instant> {
        self.crashed.lock().unwrap().clone()
    }

    pub fn is_dead(&self) -> bool {
        self.state() == State::Dead
    }

    fn beat_body(&self) -> String {
        let seq = self.seq.fetch_add(1, Ordering::SeqCst) + 1;
        let state = if self.state() == State::Ready {
            "ready"
        } else {
            "draining"
        };
        let config = &self.config;
        let mut extra = String::new();
        if let Some(kind) = config.kind {
            extra += &format!(r#","kind":"{kind}""#);
            if let Some((from, to)) = *self.layers.lock().unwrap() {
                extra += &format!(r#","layers":{{"from":{from},"target":{to},"version":1}}"#);
            }
        }
        format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":6,"state":"{state}","cold_left_ms":0,"seq":{seq},"born":{}{extra}}}"#,
            config.service,
            self.address(),
            config.zone,
            self.born
        )
    }

    /// Sends a heartbeat to one control instance after the other until one acknowledges it.
    pub fn beat(&self) -> bool {
        let body = self.beat_body();
        let path = format!("/api/instances/{}", self.config.id);
        let first = self.born as usize % self.controls.len();
        for i in 0..self.controls.len() {
            let control = self.controls[(first + i) % self.controls.len()];
            let answer = call(control, "PUT", &path, &[], &body, Duration::from_secs(1));
            if answer.is_ok_and(|response| response.status() == 200) {
                return true;
            }
        }
        false
    }

    /// Reports that the engine drains; returns the time of the acknowledgement.
    pub fn drain(&self) -> Option<Instant> {
        *self.state.lock().unwrap() = State::Draining;
        let acknowledged = self.beat();
        self.record.note(format!(
            "engine {}: `draining` acknowledged: {acknowledged}",
            self.config.id
        ));
        acknowledged.then(Instant::now)
    }

    /// Sends the DELETE of an engine that leaves without reporting `draining` before.
    pub fn leave(&self, control: SocketAddr) -> Option<Instant> {
        *self.state.lock().unwrap() = State::Left;
        let path = format!("/api/instances/{}", self.config.id);
        let body = format!(r#"{{"born":{}}}"#, self.born);
        let answer = call(control, "DELETE", &path, &[], &body, Duration::from_secs(1));
        let acknowledged = answer.is_ok_and(|response| response.status() == 200);
        self.record.note(format!(
            "engine {}: DELETE acknowledged by {control}: {acknowledged}",
            self.config.id
        ));
        acknowledged.then(Instant::now)
    }

    /// Stops heartbeats only, as if the engine were cut off from control.
    pub fn die(&self, why: &str) {
        let mut state = self.state.lock().unwrap();
        if *state == State::Dead {
            return;
        }
        *state = State::Dead;
        drop(state);
        self.record
            .note(format!("engine {} ends: {why}", self.config.id));
        if let Some(server) = &*self.server.lock().unwrap() {
            server.kill();
        }
    }

    fn serve(self: &Arc<Self>, stream: TcpStream) {
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = BufReader::new(copy);
        let mut stream = stream;
        while let Ok(Some(message)) = read_message(&mut reader) {
            if self.is_dead() || self.answer(&mut stream, &message).is_err() {
                return;
            }
        }
    }

    fn answer(self: &Arc<Self>, stream: &mut TcpStream, message: &Message) -> std::io::Result<()> {
        match (message.method(), message.path()) {
            ("GET", "/api/report") => {
                let layers = self
                    .layers
                    .lock()
                    .unwrap()
                    .map_or(String::from("null"), |(from, to)| {
                        format!(r#"{{"from":{from},"target":{to},"version":1}}"#)
                    });
                let seq = self.orders.load(Ordering::SeqCst);
                let body = format!(
                    r#"{{"stage":"hybrid","models":[],"busy":false,"seq":{seq},"queued":0,"running":0,"kv_used":0,"kv_total":90000,"handles":0,"layers":{layers},"stalled":[]}}"#
                );
                respond(
                    stream,
                    "200 OK",
                    &[("Content-Type", "application/json")],
                    &body,
                )
            }
            ("POST", "/api/order") => self.take_order(stream, message),
            _ => self.run(stream, message),
        }
    }

    fn take_order(
        self: &Arc<Self>,
        stream: &mut TcpStream,
        message: &Message,
    ) -> std::io::Result<()> {
        let text = message.text();
        let id = &self.config.id;
        let expected = message.header("x-toucanshelf-expect-instance");
        self.record.note(format!(
            "engine {id} receives the order {text}, expect-instance `{expected}`"
        ));
        if !expected.is_empty() && expected != id {
            self.record
                .note(format!("engine {id} refuses the order with 421"));
            return respond(stream, "421 Misdirected Request", &[], "");
        }
        if (self.react)(message) == Reaction::Crash {
            self.die("it crashes as it receives the order");
            return Ok(());
        }
        let number = |name: &str| -> Option<u64> {
            let rest = text.split_once(&format!("\"{name}\":"))?.1;
            let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
            digits.parse().ok()
        };
        let begun = self.orders.load(Ordering::SeqCst);
        if number("expect").is_some_and(|expect| expect != begun) {
            return respond(stream, "409 Conflict", &[], "");
        }
        let (Some(from), Some(to)) = (number("from"), number("target")) else {
            return respond(stream, "400 Bad Request", &[], "");
        };
        let (from, to) = (from as u32, to as u32);
        let needed = f64::from(to.saturating_sub(from)) * LAYER_MB;
        let size = self.config.kind.map_or(0.0, size_mb);
        if needed > size {
            let text = format!(
                "engine {id} with {size} MB is ordered to hold {needed} MB: layers {from} to {to}"
            );
            self.record.note(&text);
            self.excess_orders.lock().unwrap().push(text);
            self.die("it was ordered to hold more than its memory");
            return Ok(());
        }
        self.orders.fetch_add(1, Ordering::SeqCst);
        let own = Arc::clone(self);
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(300));
            *own.layers.lock().unwrap() = Some((from, to));
        });
        respond(stream, "202 Accepted", &[], "")
    }

    fn run(&self, stream: &mut TcpStream, message: &Message) -> std::io::Result<()> {
        let id = &self.config.id;
        let request = message.header("x-toucanshelf-request-id").to_string();
        let expected = message.header("x-toucanshelf-expect-instance");
        let echo = [("X-Toucanshelf-Request-Id", &*request)];
        if !expected.is_empty() && expected != id {
            return respond(stream, "421 Misdirected Request", &echo, "");
        }
        self.record.note(format!(
            "engine {id} runs request {request} {}",
            message.path()
        ));
        let arrival = Arrival {
            engine: id.clone(),
            request: request.clone(),
            at: Instant::now(),
        };
        self.arrivals.lock().unwrap().push(arrival);
        std::thread::sleep(self.config.work);
        let reaction = (self.react)(message);
        if reaction == Reaction::Crash {
            self.crashed.lock().unwrap().push(Instant::now());
            self.die(&format!("request {request} crashes it"));
            return Ok(());
        }
        let seal = format!("seal.{id}.{request}");
        let mut headers = vec![echo[0], ("X-Toucanshelf-Response-Seal", &*seal)];
        if self.state() != State::Ready {
            headers.push(("Server-Leaving", "1"));
        }
        if self.config.kind.is_none() {
            return respond(stream, "200 OK", &headers, "done");
        }
        let after = message.header("last-event-id").parse().unwrap_or(0);
        if reaction == Reaction::CrashWriting {
            self.write_head(stream, &headers)?;
            self.write_event(stream, after + 1)?;
            self.crashed.lock().unwrap().push(Instant::now());
            self.die(&format!(
                "request {request} crashes it after event {}",
                after + 1
            ));
            return Ok(());
        }
        self.write_head(stream, &headers)?;
        for number in after + 1..=EVENTS {
            self.write_event(stream, number)?;
        }
        stream.write_all(b"0\r\n\r\n")
    }

    fn write_head(&self, stream: &mut TcpStream, headers: &[(&str, &str)]) -> std::io::Result<()> {
        let mut head = String::from("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n");
        for (name, value) in headers {
            head += &format!("{name}: {value}\r\n");
        }
        stream.write_all(format!("{head}Transfer-Encoding: chunked\r\n\r\n").as_bytes())
    }

    /// Writes an event in a chunk, and pauses.
    fn write_event(&self, stream: &mut TcpStream, number: u32) -> std::io::Result<()> {
        let event = format!("id: {number}\ndata: piece {number}\n\n");
        stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        std::thread::sleep(EVENT_GAP);
        Ok(())
    }
}
