//! Series of faults, drawn from a seed.

use std::time::Duration;

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::proxy::Path;

/// Control instances of a deployment.
pub const CONTROLS: usize = 3;
/// Gates of a deployment.
pub const GATES: usize = 2;
/// Longest pause between the starts of two faults, in milliseconds.
// Shorter than the longest fault, so that faults overlap.
const MAX_PAUSE_MS: u64 = 900;
/// Longest time that a fault lasts, in milliseconds.
// Longer than a leader's lease and a gate's patience with a silent link.
const MAX_LENGTH_MS: u64 = 4_000;
/// Longest delay of bytes on a slow path, in milliseconds.
const MAX_DELAY_MS: u64 = 250;

/// Something that goes wrong.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// A control instance is killed and started again.
    KillControl(usize),
    /// A control instance stands still.
    PauseControl(usize),
    /// A control instance loses its data folder.
    EmptyControl(usize),
    /// A gate is killed and started again.
    KillGate(usize),
    /// A gate is asked to stop and started again when it has.
    StopGate(usize),
    /// A gate is told that its settings have changed.
    ReloadGate(usize),
    /// The paths from the gates to a control instance fail.
    Path(usize, Path),
    /// The connections from the gates to a control instance break.
    Reset(usize),
}

/// A fault with its time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Step {
    /// Time since the step before.
    pub pause: Duration,
    /// Time that it lasts.
    pub length: Duration,
    /// What goes wrong.
    pub fault: Fault,
}

/// A series of faults.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed that it was drawn from.
    pub seed: u64,
    /// Faults in order.
    pub steps: Vec<Step>,
}

impl Plan {
    /// Draws `count` faults; at most one of them empties a data folder.
    // More lost disks than one at a time are beyond what three voters promise to bear.
    pub fn draw(seed: u64, count: usize) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut may_empty = true;
        let steps = (0..count).map(|_| {
            let fault = draw_fault(&mut rng, may_empty);
            may_empty &= !matches!(fault, Fault::EmptyControl(_));
            Step {
                pause: Duration::from_millis(rng.random_range(0..=MAX_PAUSE_MS)),
                length: Duration::from_millis(rng.random_range(1..=MAX_LENGTH_MS)),
                fault,
            }
        });
        Self {
            seed,
            steps: steps.collect(),
        }
    }

    /// Whether a gate is killed, which may cut answers off.
    pub fn kills_gates(&self) -> bool {
        let mut steps = self.steps.iter();
        steps.any(|step| matches!(step.fault, Fault::KillGate(_)))
    }
}

fn draw_fault(rng: &mut ChaCha8Rng, may_empty: bool) -> Fault {
    let control = rng.random_range(0..CONTROLS);
    let gate = rng.random_range(0..GATES);
    match rng.random_range(0..10) {
        0 | 1 => Fault::KillControl(control),
        2 => Fault::PauseControl(control),
        3 if may_empty => Fault::EmptyControl(control),
        3 | 4 => Fault::KillGate(gate),
        5 => Fault::StopGate(gate),
        6 => Fault::ReloadGate(gate),
        7 => Fault::Reset(control),
        _ => Fault::Path(control, draw_path(rng)),
    }
}

fn draw_path(rng: &mut ChaCha8Rng) -> Path {
    match rng.random_range(0..3) {
        0 => Path::Delayed(Duration::from_millis(rng.random_range(1..=MAX_DELAY_MS))),
        1 => Path::OneWay,
        _ => Path::Silent,
    }
}
