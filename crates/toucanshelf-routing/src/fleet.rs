//! A gate's view of the engines of one model.
//!
//! A slot is an engine's capacity for one request at a time. Boundaries are the layers at which a
//! range that some engine may run starts or ends. A segment is the range of layers between two
//! adjacent boundaries, so an engine may run either all of a segment or none of it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use toucanshelf_core::arena::Arena;
use toucanshelf_core::ids::Incarnation;
use toucanshelf_core::layers::LayerRange;

use crate::route::EngineKey;

/// Properties of an engine, as announced, and the layers it may run.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineInfo {
    /// Name of the engine.
    pub name: Box<str>,
    /// Number that identifies this start of the engine.
    pub incarnation: Incarnation,
    /// Availability zone of the engine.
    pub zone: Box<str>,
    /// Address at which the engine accepts calls.
    pub address: SocketAddr,
    /// Layers that the engine holds in its memory.
    pub layers: LayerRange,
    /// Ranges of the held layers that the engine may run.
    ///
    /// Stage permissions, part of the configuration, can exclude some of the layers.
    pub usable: Vec<LayerRange>,
    /// Throughput of the engine over all its requests, in tokens per second.
    pub tokens_per_s: f64,
    /// Number of requests that the engine can run at once.
    pub slots: u32,
    /// Whether the engine accepts new requests.
    pub ready: bool,
}

impl EngineInfo {
    /// Creates a ready engine that may run all layers it holds.
    pub fn new(
        name: impl Into<Box<str>>,
        zone: impl Into<Box<str>>,
        layers: LayerRange,
        tokens_per_s: f64,
    ) -> Self {
        Self {
            name: name.into(),
            incarnation: Incarnation(1),
            zone: zone.into(),
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            layers,
            usable: vec![layers],
            tokens_per_s,
            slots: 64,
            ready: true,
        }
    }
}

/// An engine with the state that this gate keeps for it.
#[derive(Clone, Debug)]
pub struct EngineState {
    /// Announced properties and usable layers of the engine.
    pub info: EngineInfo,
    /// Number of this gate's requests that run on the engine.
    pub in_flight: u32,
    /// Time in milliseconds until which this gate avoids the engine after a failure.
    pub avoid_until: u64,
}

/// Properties of the link between two zones.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkInfo {
    /// One-way delay in milliseconds.
    pub delay_ms: f64,
    /// Number of tokens per second whose activations the link can carry.
    pub tokens_per_s: f64,
}

/// Engines of one model and the links between their zones.
#[derive(Clone, Debug)]
pub struct Fleet {
    layers: u32,
    engines: Arena<EngineState>,
    by_name: BTreeMap<Box<str>, EngineKey>,
    links: BTreeMap<(Box<str>, Box<str>), LinkInfo>,
    generation: u64,
}

impl Fleet {
    /// Creates the empty fleet of a model with `layers` layers.
    pub fn new(layers: u32) -> Self {
        let engines = Arena::new();
        Self {
            layers,
            engines,
            by_name: BTreeMap::new(),
            links: BTreeMap::new(),
            generation: 1,
        }
    }

    /// Sets the properties of the link between two zones, in both directions.
    #[must_use]
    pub fn with_link(mut self, a: &str, b: &str, link: LinkInfo) -> Self {
        self.links.insert((a.into(), b.into()), link);
        self.links.insert((b.into(), a.into()), link);
        self
    }

    /// Number of layers of the model.
    pub fn layers(&self) -> u32 {
        self.layers
    }

    /// Counter that grows with each change that can affect the choice of routes.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Adds an engine or updates its properties.
    ///
    /// An engine that has restarted has another incarnation. It gets a new key, so that routes over
    /// the old one become invalid.
    pub fn upsert(&mut self, info: EngineInfo) -> EngineKey {
        if let Some(key) = self.by_name.get(&info.name).copied()
            && let Some(state) = self.engines.get_mut(key)
            && state.info.incarnation == info.incarnation
        {
            if state.info != info {
                state.info = info;
                self.generation += 1;
            }
            return key;
        }
        self.remove(&info.name.clone());
        let name = info.name.clone();
        let key = self.engines.insert(EngineState {
            info,
            in_flight: 0,
            avoid_until: 0,
        });
        self.by_name.insert(name, key);
        self.generation += 1;
        key
    }

    /// Removes the engine called `name` if it is known.
    pub fn remove(&mut self, name: &str) {
        if let Some(key) = self.by_name.remove(name) {
            self.engines.remove(key);
            self.generation += 1;
        }
    }

    /// State of the engine with `key`, unless it has been removed.
    pub fn get(&self, key: EngineKey) -> Option<&EngineState> {
        self.engines.get(key)
    }

    /// Key of the engine called `name`.
    pub fn key(&self, name: &str) -> Option<EngineKey> {
        self.by_name.get(name).copied()
    }

    /// Keys and states of all engines.
    pub fn engines(&self) -> impl Iterator<Item = (EngineKey, &EngineState)> {
        self.engines.iter()
    }

    /// Counts a request of this gate that starts on an engine.
    pub fn start(&mut self, key: EngineKey) {
        if let Some(engine) = self.engines.get_mut(key) {
            engine.in_flight += 1;
        }
    }

    /// Stops counting a request of this gate that has ended on an engine.
    pub fn finish(&mut self, key: EngineKey) {
        if let Some(engine) = self.engines.get_mut(key) {
            engine.in_flight = engine.in_flight.saturating_sub(1);
        }
    }

    /// Avoids an engine for new routes until the time `until`, in milliseconds.
    ///
    /// A later time set before stays in effect.
    pub fn avoid(&mut self, key: EngineKey, until: u64) {
        if let Some(engine) = self.engines.get_mut(key) {
            engine.avoid_until = engine.avoid_until.max(until);
            self.generation += 1;
        }
    }

    /// Delay and throughput of the link between two zones.
    ///
    /// A link whose properties were not set has a delay of 0.5 ms and unlimited throughput. Within
    /// a zone the delay is 0.
    pub fn link(&self, a: &str, b: &str) -> LinkInfo {
        let same_zone = LinkInfo {
            delay_ms: 0.0,
            tokens_per_s: f64::INFINITY,
        };
        if a == b {
            return same_zone;
        }
        let default_link = LinkInfo {
            delay_ms: 0.5,
            tokens_per_s: f64::INFINITY,
        };
        self.links
            .get(&(a.into(), b.into()))
            .copied()
            .unwrap_or(default_link)
    }

    /// Layers at which a usable range of a ready engine starts or ends.
    ///
    /// The list is in ascending order and includes 0 and the number of layers.
    pub fn boundaries(&self) -> Vec<u32> {
        let ready = self.engines.iter().filter(|(_, engine)| engine.info.ready);
        let ranges = ready.flat_map(|(_, engine)| &engine.info.usable);
        let ends = ranges.flat_map(|range| [range.from(), range.to()]);
        let boundaries: BTreeSet<_> = ends
            .chain([0, self.layers])
            .filter(|layer| *layer <= self.layers)
            .collect();
        boundaries.into_iter().collect()
    }

    /// Ranges of layers that no ready engine may run, in ascending order.
    pub fn missing_layers(&self) -> Vec<LayerRange> {
        let mut out: Vec<LayerRange> = Vec::new();
        for pair in self.boundaries().windows(2) {
            let segment =
                LayerRange::new(pair[0], pair[1]).expect("boundaries are in ascending order");
            let covered = self.engines.iter().any(|(_, engine)| {
                engine.info.ready && engine.info.usable.iter().any(|range| range.covers(segment))
            });
            if covered {
                continue;
            }
            match out.last_mut() {
                Some(last) if last.to() == segment.from() => {
                    *last = LayerRange::new(last.from(), segment.to())
                        .expect("segments are in ascending order");
                }
                _ => out.push(segment),
            }
        }
        out
    }

    /// Number of request slots in the layer whose engines have the fewest.
    pub fn slots(&self) -> u32 {
        let boundaries = self.boundaries();
        let slots = boundaries.windows(2).map(|pair| {
            let segment =
                LayerRange::new(pair[0], pair[1]).expect("boundaries are in ascending order");
            let covering = self.engines.iter().filter(|(_, engine)| {
                engine.info.ready && engine.info.usable.iter().any(|range| range.covers(segment))
            });
            covering.map(|(_, engine)| engine.info.slots).sum()
        });
        slots.min().unwrap_or(0)
    }
}
