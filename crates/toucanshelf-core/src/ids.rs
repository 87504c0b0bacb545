//! Small typed numbers.

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
    /// Number that an operator gives a ticket.
    TicketNumber
);
number!(
    /// Count of configuration changes accepted so far.
    Revision
);
number!(
    /// Number that grows each time a target starts anew under the same name.
    Incarnation
);
number!(
    /// Number of an attempt within one request, counted from 1.
    Attempt
);
number!(
    /// Time in milliseconds since the Unix epoch, as stamped by the log's leader.
    LogTimeMs
);
