//! Interpreter for state charts written in TOML.
//!
//! A chart defines states, the events that each state accepts and the next state for each event. A
//! transition is the change from a state to the next one. A terminal state accepts no events.
//! Programs load the charts in `charts/` and change their state through [`Machine::fire`], so the
//! documented charts are the ones that run.
//!
//! ```
//! let text = r#"
//! name = "door"
//! initial = "closed"
//! [states.closed.on]
//! open = "opened"
//! [states.opened]
//! terminal = true
//! "#;
//! let chart = toucanshelf_chart::Chart::parse(text).unwrap();
//! let mut door = toucanshelf_chart::Machine::new(&chart);
//! door.fire("open").unwrap();
//! assert_eq!(door.state(), "opened");
//! ```

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;

use serde::Deserialize;

/// Error from parsing a chart or from firing an event.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ChartError {
    /// The text is not valid TOML or does not match the chart format.
    #[error("cannot parse the chart: {0}")]
    Syntax(Box<str>),
    /// The chart does not define its initial state or a transition's next state.
    #[error("chart `{chart}`: state `{state}` refers to the undefined state `{target}`")]
    UnknownState {
        /// Name of the chart.
        chart: Box<str>,
        /// State with a transition to the undefined state.
        ///
        /// If the initial state is undefined, it is the initial state.
        state: Box<str>,
        /// Name of the state that is not defined.
        target: Box<str>,
    },
    /// No series of events leads from the initial state to a state.
    #[error("chart `{chart}`: state `{state}` is unreachable")]
    Unreachable {
        /// Name of the chart.
        chart: Box<str>,
        /// Name of the state that cannot be reached.
        state: Box<str>,
    },
    /// A non-terminal state has no transitions, or a terminal state has some.
    #[error("chart `{chart}`: state `{state}` must either be terminal or have transitions")]
    DeadEnd {
        /// Name of the chart.
        chart: Box<str>,
        /// Name of the state with missing or unexpected transitions.
        state: Box<str>,
    },
    /// The current state does not accept the event.
    #[error("chart `{chart}`: state `{state}` does not accept event `{event}`")]
    UnexpectedEvent {
        /// Name of the chart.
        chart: Box<str>,
        /// State of the machine when the event was fired.
        state: Box<str>,
        /// Event that was fired and not accepted.
        event: Box<str>,
    },
}

/// A validated state chart, as a [`Machine`] runs it.
#[derive(Clone, Debug)]
pub struct Chart {
    name: Box<str>,
    initial: Box<str>,
    states: BTreeMap<Box<str>, State>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ChartFile {
    name: Box<str>,
    initial: Box<str>,
    states: BTreeMap<Box<str>, State>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct State {
    #[serde(default)]
    terminal: bool,
    #[serde(default)]
    on: BTreeMap<Box<str>, Box<str>>,
}

impl Chart {
    /// Parses and validates a chart.
    ///
    /// # Errors
    ///
    /// Fails if the text is not a chart, or if a state is undefined or unreachable. Also fails if a
    /// terminal state has transitions or another state has none.
    pub fn parse(text: &str) -> Result<Self, ChartError> {
        let file: ChartFile =
            toml::from_str(text).map_err(|e| ChartError::Syntax(e.to_string().into()))?;
        let chart = Self {
            name: file.name,
            initial: file.initial,
            states: file.states,
        };
        chart.check_transition_targets()?;
        chart.check_terminal_states()?;
        chart.check_reachable()?;
        Ok(chart)
    }

    /// Returns the name of the chart.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the names of all states in alphabetical order.
    pub fn states(&self) -> impl Iterator<Item = &str> {
        self.states.keys().map(AsRef::as_ref)
    }

    /// Returns the names of all events that any state accepts.
    pub fn events(&self) -> BTreeSet<&str> {
        self.states
            .values()
            .flat_map(|s| s.on.keys())
            .map(AsRef::as_ref)
            .collect()
    }

    /// Renders the chart as a directed graph in Graphviz DOT.
    pub fn to_dot(&self) -> String {
        let mut out = format!("digraph {} {{\n  rankdir=LR;\n", self.name);
        for (name, state) in &self.states {
            let shape = if state.terminal {
                "doublecircle"
            } else {
                "ellipse"
            };
            let _ = writeln!(out, "  {name} [shape={shape}];");
            for (event, target) in &state.on {
                let _ = writeln!(out, "  {name} -> {target} [label=\"{event}\"];");
            }
        }
        out.push_str("}\n");
        out
    }

    /// Renders the chart as a Mermaid state diagram.
    pub fn to_mermaid(&self) -> String {
        let mut out = format!("stateDiagram-v2\n  [*] --> {}\n", self.initial);
        for (name, state) in &self.states {
            for (event, target) in &state.on {
                let _ = writeln!(out, "  {name} --> {target}: {event}");
            }
            if state.terminal {
                let _ = writeln!(out, "  {name} --> [*]");
            }
        }
        out
    }

    fn check_transition_targets(&self) -> Result<(), ChartError> {
        let initial = std::iter::once((&self.initial, &self.initial));
        let transitions = self
            .states
            .iter()
            .flat_map(|(name, state)| state.on.values().map(move |target| (name, target)));
        for (state, target) in initial.chain(transitions) {
            if !self.states.contains_key(target) {
                return Err(ChartError::UnknownState {
                    chart: self.name.clone(),
                    state: state.clone(),
                    target: target.clone(),
                });
            }
        }
        Ok(())
    }

    fn check_terminal_states(&self) -> Result<(), ChartError> {
        for (name, state) in &self.states {
            if state.terminal != state.on.is_empty() {
                return Err(ChartError::DeadEnd {
                    chart: self.name.clone(),
                    state: name.clone(),
                });
            }
        }
        Ok(())
    }

    fn check_reachable(&self) -> Result<(), ChartError> {
        let mut reached = BTreeSet::from([&self.initial]);
        let mut pending = vec![&self.initial];
        while let Some(name) = pending.pop() {
            for target in self.states[name].on.values() {
                if reached.insert(target) {
                    pending.push(target);
                }
            }
        }
        match self.states.keys().find(|name| !reached.contains(name)) {
            Some(state) => Err(ChartError::Unreachable {
                chart: self.name.clone(),
                state: state.clone(),
            }),
            None => Ok(()),
        }
    }
}

/// A running state machine: a chart and its current state.
#[derive(Clone, Debug)]
pub struct Machine<'a> {
    chart: &'a Chart,
    state: &'a str,
}

impl<'a> Machine<'a> {
    /// Creates a machine in the initial state of the chart.
    pub fn new(chart: &'a Chart) -> Self {
        Self {
            chart,
            state: &chart.initial,
        }
    }

    /// Creates a machine in `state`, or returns `None` if the chart lacks it.
    pub fn with_state(chart: &'a Chart, state: &str) -> Option<Self> {
        let (state, _) = chart.states.get_key_value(state)?;
        Some(Self { chart, state })
    }

    /// Returns the current state.
    pub fn state(&self) -> &'a str {
        self.state
    }

    /// Returns whether the current state is terminal.
    pub fn is_terminal(&self) -> bool {
        self.chart.states[self.state].terminal
    }

    /// Returns whether the current state accepts `event`.
    pub fn accepts(&self, event: &str) -> bool {
        self.chart.states[self.state].on.contains_key(event)
    }

    /// Performs the transition for `event` and returns the new state.
    ///
    /// # Errors
    ///
    /// Fails without a change if the current state does not accept the event.
    pub fn fire(&mut self, event: &str) -> Result<&'a str, ChartError> {
        match self.chart.states[self.state].on.get(event) {
            Some(next) => {
                self.state = next;
                Ok(next)
            }
            None => Err(ChartError::UnexpectedEvent {
                chart: self.chart.name.clone(),
                state: self.state.into(),
                event: event.into(),
            }),
        }
    }
}
