//! Newtypes for numbers and timestamps.

use std::fmt;

use serde::{Deserialize, Serialize};

macro_rules! number {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

number!(
    /// Number that an operator assigns to a ticket.
    ///
    /// Of two tickets, the one with the larger number counts as newer, whichever arrives first.
    TicketNumber
);
number!(
    /// Number of configuration changes applied so far.
    Revision
);
number!(
    /// Number that increases with every start of a target under the same name.
    Incarnation
);
number!(
    /// Number of an attempt within a request, counted from 1.
    Attempt
);
number!(
    /// Timestamp set by the leader of the log, in milliseconds since the Unix epoch.
    LogTimeMs
);
