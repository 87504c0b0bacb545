//! Requests that arrive before an instance has its configuration.
//!
//! After a loss of power, all instances start at once and get their configuration when the control
//! instances have elected a leader. A caller that is refused meanwhile comes back once, and is then lost
//! if it meets another instance without a configuration.

use std::time::Duration;

/// Longest time for which a request waits for the configuration.
// Somewhat longer than a restart of all instances takes.
const MAX_WAIT: Duration = Duration::from_secs(3);
/// Part of the time that the caller waits, as a divisor, for which its request waits at most.
const DEADLINE_DIVISOR: u32 = 4;

/// Returns for how long a request waits for the configuration before it is refused.
///
/// `deadline` is the time that the caller waits; without one, the longest time applies.
///
/// ```
/// use std::time::Duration;
/// use toucanshelf_routing::startup::configuration_wait;
///
/// assert_eq!(configuration_wait(Some(Duration::from_millis(600))), Duration::from_millis(150));
/// ```
pub fn configuration_wait(deadline: Option<Duration>) -> Duration {
    deadline.map_or(MAX_WAIT, |deadline| {
        MAX_WAIT.min(deadline / DEADLINE_DIVISOR)
    })
}
