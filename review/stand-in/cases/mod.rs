//! The cases, one in each file. Each returns whether its rule was broken.

pub mod blamed_part;
pub mod other_writer;
pub mod reused_address;
pub mod rolled;
pub mod trials;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::engine::{Arrival, Engine, EngineConfig, Reaction};
use crate::net::{Message, call, free_port, socket};
use crate::system::{Record, ZONES};

pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// Returns a free address on the loopback network of the engines.
pub fn engine_address(number: u8) -> SocketAddr {
    let ip = Ipv4Addr::new(127, 0, 33, number);
    socket(ip, free_port(&[ip]))
}

/// Sends one client attempt and records the answer.
pub fn request(record: &Record, front: SocketAddr, id: &str, method: &str, path: &str) -> Option<Message> {
    send(record, front, id, method, path, &[("X-Toucanshelf-Deadline-Ms", "1500")], "")
}

/// Sends one client attempt of a stream whose prompt has the parts `prefix`.
pub fn stream_request(record: &Record, front: SocketAddr, id: &str, path: &str, prefix: &str) -> Option<Message> {
    let headers = [
        ("X-Toucanshelf-Deadline-Ms", "20000"),
        ("X-Toucanshelf-Model", "m0"),
        ("X-Toucanshelf-Token-Counts", "1460,80"),
        ("X-Toucanshelf-Prompt-Prefix", prefix),
    ];
    // No two prompts are alike.
    send(record, front, id, "POST", path, &headers, &format!("prompt of {id}"))
}

fn send(
    record: &Record,
    front: SocketAddr,
    id: &str,
    method: &str,
    path: &str,
    own: &[(&str, &str)],
    body: &str,
) -> Option<Message> {
    record.note(format!("client sends {id} {method} {path} to {front} {own:?}"));
    let mut headers = vec![("Host", HOST), ("X-Toucanshelf-Request-Id", id), ("Api-Key", KEY)];
    headers.extend_from_slice(own);
    let answer = call(front, method, path, &headers, body, Duration::from_millis(3_000));
    match &answer {
        Ok(response) => record.note(format!(
            "client gets {} for {id}, {} bytes, seal `{}`, server-leaving `{}`",
            response.status(),
            response.body.len(),
            response.header("x-toucanshelf-response-seal"),
            response.header("server-leaving"),
        )),
        Err(e) => record.note(format!("client gets no answer for {id}: {e}")),
    }
    answer.ok()
}

/// Engines of a plain service that come back some time after a crash.
pub struct Fleet {
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
}

impl Fleet {
    /// Starts `count` engines of the service `pedidos`, which crash on requests for `bad_path`, if any.
    pub fn start(
        record: &Record,
        controls: Vec<SocketAddr>,
        count: u8,
        work: Duration,
        back: Duration,
        bad_path: Option<&'static str>,
    ) -> Self {
        let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
        let addresses: Vec<_> = (1..=count).map(engine_address).collect();
        let start = {
            let (arrivals, record) = (Arc::clone(&arrivals), record.clone());
            move |number: usize, run: usize| {
                let config = EngineConfig {
                    id: format!("i-{number}-{run}"),
                    service: "pedidos".into(),
                    zone: ZONES[number % 3].into(),
                    kind: None,
                    address: addresses[number],
                    work,
                };
                let react = move |message: &Message| {
                    if bad_path == Some(message.path()) { Reaction::Crash } else { Reaction::Work }
                };
                Engine::start(config, controls.clone(), &record, &arrivals, Duration::ZERO, react)
            }
        };
        let mut engines: Vec<_> = (0..usize::from(count))
            .map(|number| (start(number, 0).expect("the address is free"), 0, None::<Instant>))
            .collect();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(50));
                for (number, (engine, run, dead_since)) in engines.iter_mut().enumerate() {
                    if !engine.is_dead() {
                        continue;
                    }
                    let since = *dead_since.get_or_insert_with(Instant::now);
                    if since.elapsed() >= back
                        && let Ok(next) = start(number, *run + 1)
                    {
                        (*engine, *run, *dead_since) = (next, *run + 1, None);
                    }
                }
            }
        });
        Self { arrivals }
    }

    /// Returns how many requests whose identifier begins so have reached engines since `from`.
    pub fn count(&self, prefix: &str, from: Option<Instant>) -> usize {
        let arrivals = self.arrivals.lock().unwrap();
        let counted = arrivals.iter().filter(|a| a.request.starts_with(prefix));
        counted.filter(|a| from.is_none_or(|from| a.at > from)).count()
    }
}
