//! The cases, one in each file. Each returns whether its rule was broken.

pub mod blamed_part;
pub mod late_crash;
pub mod other_writer;
pub mod reused_address;
pub mod rolled;

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
pub fn request(
    record: &Record,
    front: SocketAddr,
    id: &str,
    method: &str,
    path: &str,
) -> Option<Message> {
    send(
        record,
        front,
        id,
        method,
        path,
        &[("X-Toucanshelf-Deadline-Ms", "1500")],
        "",
    )
}

/// Sends one client attempt of a stream whose prompt has the parts `prefix`.
pub fn stream_request(
    record: &Record,
    front: SocketAddr,
    id: &str,
    path: &str,
    prefix: &str,
) -> Option<Message> {
    let headers = [
        ("X-Toucanshelf-Deadline-Ms", "20000"),
        ("X-Toucanshelf-Model", "m0"),
        ("X-Toucanshelf-Token-Counts", "1460,80"),
        ("X-Toucanshelf-Prompt-Prefix", prefix),
    ];
    // No two prompts are alike.
    send(
        record,
        front,
        id,
        "POST",
        path,
        &headers,
        &format!("prompt of {id}"),
    )
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
    record.note(format!(
        "client sends {id} {method} {path} to {front} {own:?}"
    ));
    let mut headers = vec![
        ("Host", HOST),
        ("X-Toucanshelf-Request-Id", id),
        ("Api-Key", KEY),
    ];
    headers.extend_from_slice(own);
    let answer = call(
        front,
        method,
        path,
        &headers,
        body,
        Duration::from_millis(3_000),
    );
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
    /// Times at which requests have crashed engines, in order.
    crashes: Arc<Mutex<Vec<Instant>>>,
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
        let react = move |message: &Message| {
            if bad_path == Some(message.path()) {
                Reaction::Crash
            } else {
                Reaction::Work
            }
        };
        Self::start_of(
            record,
            controls,
            ("pedidos", None),
            count,
            work,
            back,
            react,
        )
    }

    /// Starts `count` engines of a service, with the kind of their accelerators if it runs a model.
    pub fn start_of(
        record: &Record,
        controls: Vec<SocketAddr>,
        (service, kind): (&'static str, Option<&'static str>),
        count: u8,
        work: Duration,
        back: Duration,
        react: impl Copy + Fn(&Message) -> Reaction + Send + Sync + 'static,
    ) -> Self {
        let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
        let addresses: Vec<_> = (1..=count).map(engine_address).collect();
        let start = {
            let (arrivals, record) = (Arc::clone(&arrivals), record.clone());
            move |number: usize, run: usize| {
                let config = EngineConfig {
                    id: format!("i-{number}-{run}"),
                    service: service.into(),
                    zone: ZONES[number % 3].into(),
                    kind,
                    address: addresses[number],
                    work,
                };
                Engine::start(
                    config,
                    controls.clone(),
                    &record,
                    &arrivals,
                    Duration::ZERO,
                    react,
                )
            }
        };
        let mut engines: Vec<_> = (0..usize::from(count))
            .map(|number| {
                (
                    start(number, 0).expect("the address is free"),
                    0,
                    None::<Instant>,
                )
            })
            .collect();
        let crashes: Arc<Mutex<Vec<Instant>>> = Arc::default();
        let seen = Arc::clone(&crashes);
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(50));
                for (number, (engine, run, dead_since)) in engines.iter_mut().enumerate() {
                    if !engine.is_dead() {
                        continue;
                    }
                    if dead_since.is_none() {
                        seen.lock().unwrap().extend(engine.crashes());
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
        Self { arrivals, crashes }
    }

    /// Returns when requests have crashed engines, in order.
    pub fn crashes(&self) -> Vec<Instant> {
        let mut crashes = self.crashes.lock().unwrap().clone();
        crashes.sort();
        crashes
    }

    /// Returns how many requests whose identifier begins so have reached engines since `from`.
    pub fn count(&self, prefix: &str, from: Option<Instant>) -> usize {
        let arrivals = self.arrivals.lock().unwrap();
        let counted = arrivals.iter().filter(|a| a.request.starts_with(prefix));
        counted
            .filter(|a| from.is_none_or(|from| a.at > from))
            .count()
    }
}

/// Service `telar-llm` with a model of one layer, which each of its engines holds.
pub fn small_model_service() -> String {
    String::from(
        r#"{"name":"telar-llm","health_path":"/health","max_conns":908,"protocol":"h1","tls":false,"engine":{"slots":192,"kv_capacity":100000,"kv_token_bytes":590000,"link_mbps":400000.0,"stride":4,"models":[{"name":"m0","pace":1.0,"load_s":2.0,"warm_s":1.0}],"step_ms":1.02,"per_seq_ms":0.00459,"context_per_k":0.00615,"read_per_s":164000.0,"pairs_per_m":0.199,"chunk":512,"report_lag_ms":200.0,"loads_per_s":0.0,"loads_at_once":6,"delays":[],"usual":{"prompt":775,"answer":220},"layers":1,"layer_mb":1750.0,"act_bytes":29500,"pipe_mbps":16000.0,"kinds":[{"name":"l4","size_mb":21600.0,"pace":16.0,"read_factor":8.2}]}}"#,
    )
}

/// Resumable streaming route to [`small_model_service`].
pub fn small_model_route() -> String {
    String::from(
        r#"{"name":"r-1","host":"ficu95.example","path_prefix":"/lohu930/","kind":"streaming","timeout_ms":20000,"slo_ms":500,"priority":1,"service":"telar-llm","max_attempts":2,"public":false,"sticky":true,"resumable":true,"gap_slo_ms":250}"#,
    )
}
