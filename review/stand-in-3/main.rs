//! Plays the cases of the third review: starts the project's programs, engines and clients.

mod departed;
mod engine;
mod http;
mod idle;
mod platform;
mod sized;
mod writer;

use std::time::{SystemTime, UNIX_EPOCH};

/// Milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |now| now.as_millis() as u64)
}

/// Entry of a configuration for a service whose engines run a model of `layers` layers.
pub fn model_service(name: &str, layers: u64) -> String {
    format!(
        "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_conns\":908,\
         \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":192,\"kv_capacity\":100000,\
         \"kv_token_bytes\":590000,\"step_ms\":1.02,\"per_seq_ms\":0.00459,\
         \"read_per_s\":164000.0,\"models\":[{{\"name\":\"m0\",\"pace\":1.0,\"load_s\":0.2,\
         \"warm_s\":0.1}}],\"usual\":{{\"prompt\":775,\"answer\":220}},\"layers\":{layers},\
         \"layer_mb\":1750.0,\"kinds\":[{{\"name\":\"a100\",\"size_mb\":72000.0,\"pace\":2.4,\
         \"read_factor\":3.2}}]}}}}"
    )
}

fn main() {
    let args: Vec<_> = std::env::args().collect();
    let engine = match args.get(1).map(String::as_str) {
        Some("engine") => Some(sized::run_engine(&args[2..])),
        Some("hop-engine") => Some(writer::run_engine(&args[2..])),
        _ => None,
    };
    if let Some(result) = engine {
        if let Err(e) = result {
            eprintln!("engine: {e}");
        }
        std::process::exit(2);
    }
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let (Some(case), Some(record)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: stand-in CASE RECORD");
        std::process::exit(2);
    };
    let result = match case.as_str() {
        "departed" => departed::play(trouble),
        "idle" => idle::play(trouble),
        "sized" => sized::play(trouble),
        "writer" => writer::play(trouble),
        _ => Err(format!("there is no case `{case}`")),
    };
    let (code, text) = match result {
        Ok((false, text)) => (0, text),
        Ok((true, text)) => (1, text),
        Err(e) => (2, format!("the case couldn't run: {e}\n")),
    };
    print!("{text}");
    if let Err(e) = std::fs::write(record, text) {
        eprintln!("writing the record: {e}");
        std::process::exit(2);
    }
    std::process::exit(code);
}
