//! Tests of findings about content that crashes targets, while all processes restart in turn.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::{Duration, Instant};

use tempfile::TempDir;
use tokio::runtime::{Builder, Runtime};
use toucanshelf_control::Control;
use toucanshelf_coordination::store::DataFolder;
use toucanshelf_core::crash::{Content, Finding, Outcome};
use toucanshelf_core::ids::{CrashId, PromptPart};
use toucanshelf_ingress::Ingress;

use crate::platform_support::{
    WAIT_TIMEOUT, link_key, start_control_with_key, start_ingress_with_key,
};
use crate::support::all_orders;

/// Number of ingresses in each system.
const INGRESSES: usize = 2;
/// Interval at which a test looks whether a state is reached.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time within which all tasks of a process must end, once it is stopped.
pub const END_TIMEOUT: Duration = WAIT_TIMEOUT;

/// An instance with a runtime of its own, so that all its tasks end with it.
pub struct Process<T> {
    pub instance: T,
    pub runtime: Runtime,
}

impl<T> Process<T> {
    pub fn start(start: impl Future<Output = T>) -> Self {
        let runtime = Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .unwrap();
        let instance = runtime.block_on(start);
        Self { instance, runtime }
    }
}

/// A process of a system that can be restarted.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Member {
    Control(usize),
    Ingress(usize),
}

/// Control instances and ingresses on loopback, of which each can be restarted.
struct System {
    controls: Vec<Option<Process<(Control, TempDir)>>>,
    ingresses: Vec<Option<Process<Ingress>>>,
    /// IP addresses of the control instances.
    ips: Vec<String>,
    link_port: u16,
    /// Key of the links.
    ///
    /// Each system has another one: a restarted ingress leaves its port, which an ingress of another
    /// system may take, and control calls ingresses at the ports that they had.
    key: Box<str>,
    /// Findings that have been made so far.
    findings: Vec<Finding>,
}

impl System {
    /// Starts all processes; systems with different numbers `n` share no address.
    fn start(n: usize, control_count: usize) -> Self {
        let ips: Vec<_> = (1..=control_count)
            .map(|control| format!("127.9.{n}.{control}"))
            .collect();
        let link_port = {
            let listener = TcpListener::bind(format!("{}:0", ips[0])).unwrap();
            listener.local_addr().unwrap().port()
        };
        let mut system = Self {
            controls: (0..control_count).map(|_| None).collect(),
            ingresses: (0..INGRESSES).map(|_| None).collect(),
            ips,
            link_port,
            key: format!("{} of system {n}", link_key()).into(),
            findings: Vec::new(),
        };
        for member in system.members() {
            system.start_member(member);
        }
        system
    }

    fn members(&self) -> Vec<Member> {
        let controls = (0..self.controls.len()).map(Member::Control);
        let ingresses = (0..INGRESSES).map(Member::Ingress);
        controls.chain(ingresses).collect()
    }

    fn start_member(&mut self, member: Member) {
        let seeds: Vec<_> = self.ips.iter().map(|ip| &**ip).collect();
        match member {
            Member::Control(n) => {
                let listen = SocketAddr::new(self.ips[n].parse().unwrap(), self.link_port);
                let folder = tempfile::tempdir().unwrap();
                let opener = Arc::new(DataFolder::new(folder.path()));
                let control = async {
                    let control = start_control_with_key(&self.key, listen, &seeds, opener).await;
                    (control, folder)
                };
                self.controls[n] = Some(Process::start(control));
            }
            Member::Ingress(n) => {
                let name = format!("i{n}");
                let ingress = start_ingress_with_key(&self.key, &name, &seeds, self.link_port);
                self.ingresses[n] = Some(Process::start(ingress));
            }
        }
    }

    /// Stops a process and starts it again without anything that it kept in memory.
    fn restart(&mut self, member: Member) {
        match member {
            Member::Control(n) => {
                let process = self.controls[n].take().unwrap();
                let (control, _folder) = process.instance;
                process.runtime.block_on(control.stop());
                process.runtime.shutdown_timeout(END_TIMEOUT);
            }
            Member::Ingress(n) => {
                let process = self.ingresses[n].take().unwrap();
                drop(process.instance);
                process.runtime.shutdown_timeout(END_TIMEOUT);
            }
        }
        self.start_member(member);
    }

    /// Makes a finding at the first ingress, as after a crash.
    fn make_finding(&mut self) {
        let n = self.findings.len() as u64;
        let finding = Finding {
            service: "model".into(),
            content: Content::Part(PromptPart(n)),
            position: 0,
            outcome: Outcome::Crashed {
                crash: CrashId(n),
                in_trial: true,
            },
        };
        let shared = self.ingress(0).shared();
        assert!(
            shared
                .content
                .apply(shared.now(), std::slice::from_ref(&finding))
        );
        shared.control.share_finding(&finding);
        self.findings.push(finding);
    }

    fn ingress(&self, n: usize) -> &Ingress {
        &self.ingresses[n].as_ref().unwrap().instance
    }

    /// Returns the findings that a process knows.
    fn known(&self, member: Member) -> Vec<Finding> {
        match member {
            Member::Control(n) => {
                let (control, _) = &self.controls[n].as_ref().unwrap().instance;
                let directory = control.shared().directory.as_ref();
                directory.unwrap().crash_findings()
            }
            Member::Ingress(n) => self.ingress(n).shared().content.findings(),
        }
    }

    fn is_linked(&self) -> bool {
        let controls = self.controls.len();
        (0..INGRESSES).all(|n| self.ingress(n).shared().control.open() == controls)
    }

    /// Waits until all links to control instances are open and all processes know all findings.
    fn wait_until_complete(&self, done: &[Member]) {
        let due = Instant::now() + WAIT_TIMEOUT;
        let lacking = || {
            let mut members = self.members().into_iter();
            members.find(|member| self.known(*member).len() < self.findings.len())
        };
        while !self.is_linked() || lacking().is_some() {
            let lacking = lacking();
            assert!(
                Instant::now() < due,
                "{lacking:?} lacks findings after {done:?}"
            );
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Makes a finding and restarts all processes, in each order that begins with `first`.
    fn restart_in_all_orders(&mut self, first: Member) {
        self.wait_until_complete(&[]);
        let orders = all_orders(&self.members());
        for order in orders.iter().filter(|order| order[0] == first) {
            self.make_finding();
            self.wait_until_complete(&[]);
            for done in 1..=order.len() {
                self.restart(order[done - 1]);
                self.wait_until_complete(&order[..done]);
            }
        }
    }
}

/// Guards against findings that are lost once the ingress that made them and others have restarted.
#[test]
fn all_orders_of_restarts() {
    let firsts = [
        Member::Control(0),
        Member::Control(1),
        Member::Ingress(0),
        Member::Ingress(1),
    ];
    std::thread::scope(|scope| {
        for (n, first) in firsts.into_iter().enumerate() {
            scope.spawn(move || System::start(n, 2).restart_in_all_orders(first));
        }
    });
}

/// Guards against findings that are lost with the only control instance.
#[test]
fn only_control_instance_restarts() {
    let mut system = System::start(9, 1);
    for first in system.members() {
        system.restart_in_all_orders(first);
    }
}
