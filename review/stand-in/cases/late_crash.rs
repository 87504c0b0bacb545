//! BUDGET: requests with a part that crashes engines are never refused if an event came before the crash.
//!
//! A part of the prompt crashes each engine that begins to write an answer on it: the engine sends the
//! first event and crashes. One such request comes each second, no two alike.

use std::time::Duration;

use super::{Fleet, small_model_route, small_model_service, stream_request};
use crate::engine::Reaction;
use crate::net::Message;
use crate::system::{Record, System, config};

const INGRESSES: usize = 3;
const ENGINES: u8 = 16;
const CONTACT: Duration = Duration::from_millis(3_000);
const WORK: Duration = Duration::from_millis(80);
/// Time after which a crashed engine is back.
const BACK: Duration = Duration::from_millis(2_500);
const BAD_PART: &str = "bad0";
const COPIES: usize = 20;

pub fn run(record: &Record, trouble: bool) -> bool {
    let system = System::start(record, 3, INGRESSES as u8);
    system.put_config(&config(1, &[small_model_route()], &[small_model_service()]));
    system.wait_ready();
    let react = move |message: &Message| {
        let is_bad = message
            .header("x-toucanshelf-prompt-prefix")
            .contains(BAD_PART);
        if trouble && is_bad {
            Reaction::CrashWriting
        } else {
            Reaction::Work
        }
    };
    let kind = ("telar-llm", Some("l4"));
    let fleet = Fleet::start_of(record, system.controls(), kind, ENGINES, WORK, BACK, react);
    // The engines load their layers.
    std::thread::sleep(Duration::from_secs(7));
    for number in 0..COPIES {
        let prefix = format!("5c1e07a2:800,{BAD_PART}:410,f1{number:06x}:250");
        let front = system.front(number % INGRESSES);
        stream_request(
            record,
            front,
            &format!("bad-{number}"),
            "/lohu930/note",
            &prefix,
        );
        std::thread::sleep(Duration::from_secs(1));
    }
    let crashes = fleet.crashes();
    let arrivals = fleet.arrivals.lock().unwrap();
    let sends = arrivals.iter().filter(|a| a.request.starts_with("bad-"));
    record.note(format!(
        "{} sends with the part have crashed {} engines",
        sends.count(),
        crashes.len()
    ));
    // The rule counts from the fifth crash; without five crashes it says nothing.
    let Some(fifth) = crashes.get(4) else {
        return false;
    };
    let late = arrivals
        .iter()
        .filter(|a| a.request.starts_with("bad-") && a.at > *fifth + CONTACT);
    let mut late: Vec<_> = late.map(|a| a.request.clone()).collect();
    let sends = late.len();
    late.sort();
    late.dedup();
    record.note(format!(
        "later than contact_ms after the fifth crash, {} requests with the part reached engines, in {sends} sends",
        late.len()
    ));
    late.len() > 3
}
