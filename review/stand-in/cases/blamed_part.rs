//! LOST: sound requests are refused for a part of their prompt that crashed nothing.
//!
//! The first part of a prompt crashes each engine that begins to write an answer on it. The second
//! part is shared by sound requests, as are the caller and the route. Sound requests come all the
//! time. Three requests with the bad part come at once at one ingress, and then one each second at
//! any ingress.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::{Fleet, small_model_route, small_model_service, stream_request};
use crate::engine::Reaction;
use crate::net::Message;
use crate::system::{Record, System, config};

const INGRESSES: usize = 3;
const ENGINES: u8 = 16;
const CONTACT: Duration = Duration::from_millis(3_000);
/// Pause between two sound requests.
const SOUND_GAP: Duration = Duration::from_millis(400);
const WORK: Duration = Duration::from_millis(80);
/// Time after which a crashed engine is back.
const BACK: Duration = Duration::from_millis(2_500);
/// Time over which sound requests are counted, before and after.
const COUNTED: Duration = Duration::from_secs(14);
/// Number of bad requests that come at once, at one ingress.
const AT_ONCE: usize = 3;
const BAD_PART: &str = "bad0";
const SHARED_PART: &str = "91bd3f06";
const PATH: &str = "/lohu930/note";

pub fn run(record: &Record, trouble: bool) -> bool {
    let system = Arc::new(System::start(record, 3, INGRESSES as u8));
    system.put_config(&config(1, &[small_model_route()], &[small_model_service()]));
    system.wait_ready();
    let react = move |message: &Message| {
        let is_bad = message
            .header("x-toucanshelf-prompt-prefix")
            .starts_with(BAD_PART);
        if trouble && is_bad {
            Reaction::Crash
        } else {
            Reaction::Work
        }
    };
    let kind = ("telar-llm", Some("l4"));
    let fleet = Fleet::start_of(record, system.controls(), kind, ENGINES, WORK, BACK, react);
    // The engines load their layers.
    std::thread::sleep(Duration::from_secs(7));

    // Sound requests, one after the other at all ingresses.
    let sent: Arc<Mutex<Vec<(String, Instant)>>> = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    let sound = {
        let (record, system, sent, stop) = (
            record.clone(),
            Arc::clone(&system),
            Arc::clone(&sent),
            Arc::clone(&stop),
        );
        std::thread::spawn(move || {
            let mut number = 0;
            while !stop.load(Ordering::SeqCst) {
                let id = format!("sound-{number}");
                let front = system.front(number % INGRESSES);
                sent.lock().unwrap().push((id.clone(), Instant::now()));
                let record = record.clone();
                std::thread::spawn(move || {
                    let prefix = format!("5c1e07a2:800,{SHARED_PART}:410,e4{number:06x}:250");
                    stream_request(&record, front, &id, PATH, &prefix);
                });
                number += 1;
                std::thread::sleep(SOUND_GAP);
            }
        })
    };
    std::thread::sleep(COUNTED);
    let before_end = Instant::now();
    // The bad requests start between two sound ones.
    let last = sent
        .lock()
        .unwrap()
        .last()
        .map(|(_, at)| *at)
        .expect("sound requests were sent");
    std::thread::sleep(
        (last + Duration::from_millis(630)).saturating_duration_since(Instant::now()),
    );
    let bad = |number: usize| {
        let (record, front) = (record.clone(), system.front(number % INGRESSES));
        std::thread::spawn(move || {
            let prefix = format!("{BAD_PART}:800,{SHARED_PART}:410,f1{number:06x}:250");
            stream_request(&record, front, &format!("bad-{number}"), PATH, &prefix);
        })
    };
    for number in 0..AT_ONCE {
        bad(number * INGRESSES);
    }
    std::thread::sleep(Duration::from_secs(1));
    let mut number = AT_ONCE * INGRESSES;
    // All crashes happen before this time, unless a later bad request still reaches an engine.
    let mut counted_from = Instant::now() + 2 * CONTACT;
    while Instant::now() < counted_from + COUNTED {
        bad(number);
        number += 1;
        std::thread::sleep(Duration::from_secs(1));
    }
    let counted_until = Instant::now();
    stop.store(true, Ordering::SeqCst);
    let _ = sound.join();
    std::thread::sleep(Duration::from_secs(1));

    let crashes = fleet.crashes();
    let arrivals = fleet.arrivals.lock().unwrap();
    // The rule counts from the fifth crash, or from the last if there are fewer.
    if let Some(at) = crashes.get(4).or(crashes.last()) {
        counted_from = counted_from.max(*at + 2 * CONTACT);
    }
    let begun_ids: BTreeSet<_> = arrivals.iter().map(|a| a.request.clone()).collect();
    let share = |from: Option<Instant>, to: Instant| {
        let sent = sent.lock().unwrap();
        let ids: Vec<_> = sent
            .iter()
            .filter(|(_, at)| from.is_none_or(|from| *at >= from) && *at < to)
            .collect();
        let begun = ids.iter().filter(|(id, _)| begun_ids.contains(id)).count();
        (begun, ids.len())
    };
    let before = share(None, before_end);
    let after = share(Some(counted_from), counted_until);
    record.note(format!(
        "engines crashed by bad requests: {}; sound requests that began at the first attempt: {} of {} before, {} of {} later than twice contact_ms after the fifth crash",
        crashes.len(), before.0, before.1, after.0, after.1
    ));
    if before.1 < 20 || after.1 < 20 || (trouble && crashes.is_empty()) {
        crate::system::cannot_run("too few requests");
    }
    2 * after.0 * before.1 < before.0 * after.1
}
