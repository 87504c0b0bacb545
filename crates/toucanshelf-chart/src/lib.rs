//! Interpreter of state charts written in TOML.
//!
//! A chart names its states, the events each state accepts and the state that follows. Programs
//! load the charts under `charts/` and drive their state through [`Machine::fire`], so the file
//! that people read is the file that runs.
//!
//! ```
//! let text = r#"
//! name = "door"
//! initial = "shut"
//! [states.shut.on]
//! open = "ajar"
//! [states.ajar]
//! terminal = true
//! "#;
//! let chart = toucanshelf_chart::Chart::parse(text).unwrap();
//! let mut door = toucanshelf_chart::Machine::new(&chart);
//! door.fire("open").unwrap();
//! assert_eq!(door.state(), "ajar");
//! ```

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;

use serde::Deserialize;

/// Why a chart was refused or an event could not be taken.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ChartError {
    /// The text is not a chart.
    #[error("reading the chart: {0}")]
    Syntax(Box<str>),
    /// A transition leads to a state that the chart does not have.
    #[error("chart `{chart}`: state `{state}` leads to `{target}`, which does not exist")]
    UnknownState {
        /// Name of the chart.
        chart: Box<str>,
        /// State that holds the transition.
        state: Box<str>,
        /// Missing state.
        target: Box<str>,
    },
    /// A state can't be reached from the initial state.
    #[error("chart `{chart}`: state `{state}` can't be reached")]
    Unreachable {
        /// Name of the chart.
        chart: Box<str>,
        /// State that no path leads to.
        state: Box<str>,
    },
    /// A state is neither terminal nor has a way out, or is terminal and has one.
    #[error("chart `{chart}`: state `{state}` must either be terminal or have a transition")]
    DeadEnd {
        /// Name of the chart.
        chart: Box<str>,
        /// State in question.
        state: Box<str>,
    },
    /// The current state does not accept the event.
    #[error("chart `{chart}`: state `{state}` does not accept event `{event}`")]
    Unexpected {
        /// Name of the chart.
        chart: Box<str>,
        /// Current state.
        state: Box<str>,
        /// Refused event.
        event: Box<str>,
    },
}

/// A checked state chart.
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
    /// Reads and checks a chart.
    ///
    /// # Errors
    ///
    /// Fails when the text is not a chart, a transition leads nowhere, a state can't be reached
    /// or a state that is not terminal has no way out.
    pub fn parse(text: &str) -> Result<Self, ChartError> {
        let file: ChartFile =
            toml::from_str(text).map_err(|e| ChartError::Syntax(e.to_string().into()))?;
        let chart = Self {
            name: file.name,
            initial: file.initial,
            states: file.states,
        };
        chart.check_targets()?;
        chart.check_ends()?;
        chart.check_reachable()?;
        Ok(chart)
    }

    /// Name of the chart.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Names of all states, in alphabetical order.
    pub fn states(&self) -> impl Iterator<Item = &str> {
        self.states.keys().map(AsRef::as_ref)
    }

    /// Names of all events that some state accepts.
    pub fn events(&self) -> BTreeSet<&str> {
        self.states
            .values()
            .flat_map(|s| s.on.keys())
            .map(AsRef::as_ref)
            .collect()
    }

    /// Renders the chart as a Graphviz graph.
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

    fn check_targets(&self) -> Result<(), ChartError> {
        let initial = std::iter::once((&self.initial, &self.initial));
        let steps = self
            .states
            .iter()
            .flat_map(|(n, s)| s.on.values().map(move |t| (n, t)));
        for (state, target) in initial.chain(steps) {
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

    fn check_ends(&self) -> Result<(), ChartError> {
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
        let mut seen = BTreeSet::from([&self.initial]);
        let mut open = vec![&self.initial];
        while let Some(name) = open.pop() {
            for target in self.states[name].on.values() {
                if seen.insert(target) {
                    open.push(target);
                }
            }
        }
        match self.states.keys().find(|name| !seen.contains(name)) {
            Some(state) => Err(ChartError::Unreachable {
                chart: self.name.clone(),
                state: state.clone(),
            }),
            None => Ok(()),
        }
    }
}

/// One instance of a chart with its current state.
#[derive(Clone, Debug)]
pub struct Machine<'a> {
    chart: &'a Chart,
    state: &'a str,
}

impl<'a> Machine<'a> {
    /// Starts in the chart's initial state.
    pub fn new(chart: &'a Chart) -> Self {
        Self {
            chart,
            state: &chart.initial,
        }
    }

    /// Continues in a state that was stored before; none where the chart has no such state.
    pub fn with_state(chart: &'a Chart, state: &str) -> Option<Self> {
        let (state, _) = chart.states.get_key_value(state)?;
        Some(Self { chart, state })
    }

    /// Current state.
    pub fn state(&self) -> &'a str {
        self.state
    }

    /// Whether the current state is terminal.
    pub fn is_finished(&self) -> bool {
        self.chart.states[self.state].terminal
    }

    /// Whether the current state accepts `event`.
    pub fn accepts(&self, event: &str) -> bool {
        self.chart.states[self.state].on.contains_key(event)
    }

    /// Takes the transition for `event`.
    ///
    /// # Errors
    ///
    /// Fails, leaving the state as it is, when the current state does not accept the event.
    pub fn fire(&mut self, event: &str) -> Result<&'a str, ChartError> {
        match self.chart.states[self.state].on.get(event) {
            Some(next) => {
                self.state = next;
                Ok(next)
            }
            None => Err(ChartError::Unexpected {
                chart: self.chart.name.clone(),
                state: self.state.into(),
                event: event.into(),
            }),
        }
    }
}
