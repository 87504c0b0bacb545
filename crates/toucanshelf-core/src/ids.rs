//! Integer types for ticket numbers, revisions, incarnations, attempts, crashes, prompt parts and log times.

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
    /// Number that an operator assigns to a ticket, a change of the configuration.
    ///
    /// Of two tickets, the one with the larger number counts as newer, whichever arrives first.
    TicketNumber
);
number!(
    /// Version of the configuration: the number of tickets applied to it so far.
    Revision
);
number!(
    /// Number that identifies one run of a target.
    ///
    /// Each later run under the same name has a larger number.
    Incarnation
);
number!(
    /// Number of an attempt to run a request, counted from 1.
    Attempt
);
number!(
    /// Identifier of a target's crash, which stands for the incarnation that crashed.
    CrashId
);
number!(
    /// Identifier of a part that the prompts of several requests share.
    PromptPart
);
number!(
    /// Time that the replicated log's leader gave a command, in milliseconds.
    ///
    /// It counts from the Unix epoch.
    LogTimeMs
);
