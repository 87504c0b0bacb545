//! Engine of a platform: registers, takes orders and answers requests as a script tells.

use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{Conn, Message, call};
use crate::unix_ms;

/// What an engine does with a caller's request whose head and body it has read.
///
/// Returns whether the connection stays open.
pub type Answer = dyn Fn(&Engine, &mut Conn, &Message) -> bool + Send + Sync;

/// Requests that wait for the last engine of their route, with its address and the next one's.
pub type Stalls = Arc<Mutex<HashMap<String, (SocketAddr, Option<SocketAddr>)>>>;

/// A running engine.
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    service: String,
    zone: &'static str,
    /// Kind of accelerator; `None` for the servers of a service without a model.
    kind: Option<&'static str>,
    born: u64,
    seq: AtomicU64,
    orders: AtomicU64,
    layers: Mutex<(u64, u64)>,
    pub state: Mutex<&'static str>,
    control: Vec<SocketAddr>,
    answer: Box<Answer>,
    stalls: Stalls,
}

impl Engine {
    /// Listens at `address` and registers with the control instances.
    pub fn start(
        id: &str,
        address: SocketAddr,
        service: &str,
        zone: &'static str,
        kind: Option<&'static str>,
        control: &[SocketAddr],
        answer: Box<Answer>,
    ) -> Result<Arc<Self>, String> {
        let stalls = Stalls::default();
        Self::start_with_stalls(id, address, service, zone, kind, control, answer, stalls)
    }

    /// Does the same with a list of stalled requests, which its reports name.
    #[expect(clippy::too_many_arguments, reason = "each is a property of the engine")]
    pub fn start_with_stalls(
        id: &str,
        address: SocketAddr,
        service: &str,
        zone: &'static str,
        kind: Option<&'static str>,
        control: &[SocketAddr],
        answer: Box<Answer>,
        stalls: Stalls,
    ) -> Result<Arc<Self>, String> {
        let listener = TcpListener::bind(address).map_err(|e| format!("listening: {e}"))?;
        let engine = Arc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr().map_err(|e| e.to_string())?,
            service: service.to_owned(),
            zone,
            kind,
            born: unix_ms(),
            seq: AtomicU64::new(0),
            orders: AtomicU64::new(0),
            layers: Mutex::new((0, 0)),
            state: Mutex::new("ready"),
            control: control.to_vec(),
            answer,
            stalls,
        });
        let server = Arc::clone(&engine);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = Arc::clone(&server);
                thread::spawn(move || server.serve(Conn::new(stream)));
            }
        });
        let beating = Arc::clone(&engine);
        thread::spawn(move || {
            loop {
                if *beating.state.lock().unwrap() == "gone" {
                    return;
                }
                beating.beat();
                thread::sleep(Duration::from_millis(1_200));
            }
        });
        Ok(engine)
    }

    /// Sends one heartbeat, to the next control instance if one fails.
    pub fn beat(&self) -> bool {
        let seq = self.seq.fetch_add(1, Ordering::SeqCst) + 1;
        let state = *self.state.lock().unwrap();
        let mut model = String::new();
        if let Some(kind) = self.kind {
            let (from, target) = *self.layers.lock().unwrap();
            model = format!(
                ",\"stage\":\"hybrid\",\"models\":[{{\"name\":\"m0\",\"version\":1,\"adapters\":[]}}],\
                 \"kind\":\"{kind}\",\"layers\":{{\"from\":{from},\"target\":{target},\"version\":1}}"
            );
        }
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":64,\
             \"state\":\"{state}\",\"cold_left_ms\":0,\"seq\":{seq},\"born\":{}{model}}}",
            self.service, self.address, self.zone, self.born
        );
        let path = format!("/api/instances/{}", self.id);
        self.control.iter().any(|control| {
            let response = call(*control, "PUT", &path, &body, Duration::from_secs(1));
            response.is_ok_and(|response| response.status() == 200)
        })
    }

    /// Leaves without having drained; returns whether a control instance has acknowledged it.
    pub fn leave(&self) -> bool {
        *self.state.lock().unwrap() = "gone";
        let path = format!("/api/instances/{}", self.id);
        let body = format!("{{\"born\":{}}}", self.born);
        self.control.iter().any(|control| {
            let response = call(*control, "DELETE", &path, &body, Duration::from_secs(1));
            response.is_ok_and(|response| response.status() == 200)
        })
    }

    fn serve(&self, mut conn: Conn) {
        while let Ok(Some(mut request)) = conn.head() {
            if conn.body(&mut request, false).is_err() || !request.complete {
                return;
            }
            let is_meant = request.header("x-toucanshelf-expect-instance").is_none_or(|id| id == self.id);
            let keep = if !is_meant {
                conn.write(b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n").is_ok()
            } else if request.target().starts_with("/api/") {
                self.control_call(&mut conn, &request)
            } else {
                (self.answer)(self, &mut conn, &request)
            };
            if !keep {
                return;
            }
        }
    }

    /// Sends a stalled request to the last engine of another path; returns whether it is known.
    fn repath(&self, text: &str) -> bool {
        let field = |name: &str| {
            let rest = text.split(&format!("\"{name}\":\"")).nth(1)?;
            rest.split('"').next()
        };
        let (Some(id), Some(path)) = (field("id"), field("path")) else { return false };
        let last = path.rsplit(',').next().and_then(|hop| hop.split('=').next());
        let Some(last) = last.and_then(|address| address.parse().ok()) else { return false };
        let mut stalls = self.stalls.lock().unwrap();
        stalls.get_mut(id).map(|stall| stall.1 = Some(last)).is_some()
    }

    /// Answers a report or an order.
    fn control_call(&self, conn: &mut Conn, request: &Message) -> bool {
        let mut status = "200 OK";
        if request.target() == "/api/order" {
            let text = String::from_utf8_lossy(&request.body).into_owned();
            let number = |name: &str| -> Option<u64> {
                let rest = text.split(&format!("\"{name}\":")).nth(1)?;
                let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
                digits.parse().ok()
            };
            if let (true, Some(from), Some(target)) =
                (text.contains("\"place\""), number("from"), number("target"))
            {
                *self.layers.lock().unwrap() = (from, target);
                self.orders.fetch_add(1, Ordering::SeqCst);
                status = "202 Accepted";
            } else if text.contains("\"repath\"") {
                status = if self.repath(&text) { "200 OK" } else { "404 Not Found" };
            } else {
                status = "400 Bad Request";
            }
        }
        let (from, target) = *self.layers.lock().unwrap();
        let stalls = self.stalls.lock().unwrap();
        let stalled: Vec<_> = stalls
            .iter()
            .map(|(id, (at, _))| format!("{{\"id\":\"{id}\",\"address\":\"{at}\"}}"))
            .collect();
        drop(stalls);
        let body = format!(
            "{{\"stage\":\"hybrid\",\"models\":[{{\"name\":\"m0\",\"version\":1,\"adapters\":[]}}],\
             \"busy\":false,\"seq\":{},\"queued\":0,\"running\":0,\"kv_used\":0,\"kv_total\":100000,\
             \"handles\":0,\"pace\":1.0,\"born\":{},\
             \"layers\":{{\"from\":{from},\"target\":{target},\"version\":1}},\"stalled\":[{}]}}",
            self.orders.load(Ordering::SeqCst),
            self.born,
            stalled.join(",")
        );
        let head = format!(
            "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        conn.write(head.as_bytes()).is_ok() && conn.write(body.as_bytes()).is_ok()
    }
}
