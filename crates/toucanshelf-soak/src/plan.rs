//! Draws a series of faults from a seed.
//!
//! A step of the series is one fault with its start and its duration.

use std::time::Duration;

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::proxy::ForwardMode;

/// Number of control instances of the deployment.
pub const CONTROL_COUNT: usize = 3;
/// Number of gates of the deployment.
pub const GATE_COUNT: usize = 2;
/// Longest time between the starts of two faults, in milliseconds.
// It is shorter than the longest duration of a fault, so that faults overlap.
const MAX_STEP_DELAY_MS: u64 = 900;
/// Longest duration of a fault, in milliseconds.
// It is longer than the lease of the leader among the control instances, and longer than a gate
// waits before it gives up a silent connection to control.
const MAX_FAULT_DURATION_MS: u64 = 4_000;
/// Longest delay with which a proxy forwards a chunk of bytes, in milliseconds.
const MAX_FORWARD_DELAY_MS: u64 = 250;

/// A fault to inject into the deployment.
///
/// The number in each variant is that of the affected control instance or gate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// A control instance is killed and restarted.
    KillControl(usize),
    /// A control instance is suspended with `SIGSTOP` and resumed with `SIGCONT`.
    PauseControl(usize),
    /// A control instance is killed and restarted without its data folder.
    EmptyControl(usize),
    /// A gate is killed and restarted.
    KillGate(usize),
    /// A gate is stopped with `SIGTERM` and restarted once it has exited.
    StopGate(usize),
    /// A gate reloads its settings after a `SIGHUP`.
    ReloadGate(usize),
    /// The proxy before a control instance delays or blocks the bytes of all connections.
    Path(usize, ForwardMode),
    /// The proxy before a control instance closes all connections.
    Reset(usize),
}

/// A fault with its start and its duration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Step {
    /// Time from the start of the previous step to the start of this one.
    ///
    /// For the first step, it runs from the start of the series.
    pub delay: Duration,
    /// Time from the start of the fault to its end.
    ///
    /// [`Fault::StopGate`], [`Fault::ReloadGate`] and [`Fault::Reset`] ignore it.
    pub duration: Duration,
    /// Kind of the fault and the instance or gate that it affects.
    pub fault: Fault,
}

/// A series of faults to inject during one run of the soak test.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed of the random numbers from which the steps were drawn.
    pub seed: u64,
    /// Steps in the order of their starts.
    pub steps: Vec<Step>,
}

impl Plan {
    /// Draws `count` faults, at most one of which deletes a data folder.
    // The control instances replicate their data and decide by majority, so three of them tolerate
    // the loss of only one data folder.
    pub fn draw(seed: u64, count: usize) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut may_empty = true;
        let steps = (0..count).map(|_| {
            let fault = draw_fault(&mut rng, may_empty);
            may_empty &= !matches!(fault, Fault::EmptyControl(_));
            Step {
                delay: Duration::from_millis(rng.random_range(0..=MAX_STEP_DELAY_MS)),
                duration: Duration::from_millis(rng.random_range(1..=MAX_FAULT_DURATION_MS)),
                fault,
            }
        });
        Self {
            seed,
            steps: steps.collect(),
        }
    }

    /// Whether a step kills a gate, which may cut off the responses in progress.
    pub fn kills_gates(&self) -> bool {
        let mut steps = self.steps.iter();
        steps.any(|step| matches!(step.fault, Fault::KillGate(_)))
    }
}

fn draw_fault(rng: &mut ChaCha8Rng, may_empty: bool) -> Fault {
    let control = rng.random_range(0..CONTROL_COUNT);
    let gate = rng.random_range(0..GATE_COUNT);
    match rng.random_range(0..10) {
        0 | 1 => Fault::KillControl(control),
        2 => Fault::PauseControl(control),
        3 if may_empty => Fault::EmptyControl(control),
        3 | 4 => Fault::KillGate(gate),
        5 => Fault::StopGate(gate),
        6 => Fault::ReloadGate(gate),
        7 => Fault::Reset(control),
        _ => Fault::Path(control, draw_forward_mode(rng)),
    }
}

fn draw_forward_mode(rng: &mut ChaCha8Rng) -> ForwardMode {
    match rng.random_range(0..3) {
        0 => ForwardMode::Delayed(Duration::from_millis(
            rng.random_range(1..=MAX_FORWARD_DELAY_MS),
        )),
        1 => ForwardMode::OneWay,
        _ => ForwardMode::Silent,
    }
}
