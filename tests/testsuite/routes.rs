//! Tests of routes and planners.

use proptest::prelude::*;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use toucanshelf_core::layers::LayerRange;
use toucanshelf_routing::fleet::{EngineInfo, Fleet, LinkInfo};
use toucanshelf_routing::planner::{
    FlowPlanner, LeastLoadedPlanner, Planner, RandomPlanner, RouteRequest,
};
use toucanshelf_routing::route::{Route, Stage};

/// Describes an engine with layers `from` to `to` that runs `rate` tokens per second.
fn info(name: &str, zone: &str, from: u32, to: u32, rate: f64) -> EngineInfo {
    EngineInfo::new(name, zone, LayerRange::new(from, to).unwrap(), rate)
}

fn planners() -> Vec<Box<dyn Planner>> {
    vec![
        Box::new(FlowPlanner::new()),
        Box::new(LeastLoadedPlanner::new()),
        Box::new(RandomPlanner::new()),
    ]
}

#[test]
fn tile_gap_and_overlap() {
    let mut fleet = Fleet::new(20);
    let engine = fleet.upsert(info("a", "z", 0, 20, 1.0));
    let stage = |from, to| Stage {
        engine,
        layers: LayerRange::new(from, to).unwrap(),
    };
    assert!(Route::from_stages(20, vec![stage(0, 10), stage(10, 20)]).is_ok());
    assert!(Route::from_stages(20, vec![stage(0, 10), stage(11, 20)]).is_err());
    assert!(Route::from_stages(20, vec![stage(0, 10), stage(9, 20)]).is_err());
    assert!(Route::from_stages(20, vec![stage(0, 10)]).is_err());
    assert!(Route::from_stages(20, Vec::new()).is_err());
}

#[test]
fn bound_bottleneck() {
    let mut fleet = Fleet::new(30);
    for (name, from, to, rate) in [
        ("a", 0, 10, 100.0),
        ("b", 0, 10, 50.0),
        ("c", 10, 20, 120.0),
        ("d", 20, 30, 400.0),
    ] {
        fleet.upsert(info(name, "z", from, to, rate));
    }
    assert!((FlowPlanner::new().throughput_bound(&fleet, 0) - 120.0).abs() < 0.01);
}

#[test]
fn bound_partial_stage() {
    // The ranges of `head` and `tail` overlap, so `tail` runs only a part of its range.
    let mut fleet = Fleet::new(20);
    fleet.upsert(info("whole", "z", 0, 20, 10.0));
    fleet.upsert(info("head", "z", 0, 12, 30.0));
    fleet.upsert(info("tail", "z", 10, 20, 30.0));
    assert!((FlowPlanner::new().throughput_bound(&fleet, 0) - 40.0).abs() < 0.01);
}

#[test]
fn bound_slow_link() {
    let mut fleet = Fleet::new(20).with_link(
        "a",
        "b",
        LinkInfo {
            delay_ms: 50.0,
            tokens_per_s: 5.0,
        },
    );
    fleet.upsert(info("head", "a", 0, 10, 100.0));
    fleet.upsert(info("tail", "b", 10, 20, 100.0));
    assert!(
        (FlowPlanner::new().throughput_bound(&fleet, 0) - 5.0).abs() < 0.01,
        "the link between the zones limits the throughput"
    );
}

#[test]
fn choose_own_zone_first() {
    let mut fleet = Fleet::new(20);
    for zone in ["a", "b"] {
        fleet.upsert(info(&format!("head-{zone}"), zone, 0, 10, 100.0));
        fleet.upsert(info(&format!("tail-{zone}"), zone, 10, 20, 100.0));
    }
    let mut fleet = fleet.with_link(
        "a",
        "b",
        LinkInfo {
            delay_ms: 30.0,
            tokens_per_s: 1e9,
        },
    );
    let mut planner = FlowPlanner::new();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for _ in 0..4 {
        let route = planner
            .choose(&fleet, &RouteRequest::new("b"), &mut rng)
            .unwrap();
        for stage in route.stages() {
            assert_eq!(&*fleet.get(stage.engine).unwrap().info.zone, "b");
            fleet.start(stage.engine);
        }
    }
}

#[test]
fn choose_missing_layers() {
    let mut fleet = Fleet::new(30);
    fleet.upsert(info("a", "z", 0, 10, 1.0));
    fleet.upsert(info("c", "z", 20, 30, 1.0));
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for mut planner in planners() {
        let error = planner
            .choose(&fleet, &RouteRequest::new("z"), &mut rng)
            .unwrap_err();
        assert_eq!(
            error.missing,
            [LayerRange::new(10, 20).unwrap()],
            "{}",
            planner.name()
        );
    }
}

/// The flow planner divides requests in flight by the engines' shares of the throughput.
#[test]
fn choose_by_shares() {
    let mut fleet = Fleet::new(20);
    for (name, from, to, rate) in [
        ("fast", 0, 10, 300.0),
        ("slow", 0, 10, 100.0),
        ("tail", 10, 20, 400.0),
    ] {
        fleet.upsert(info(name, "z", from, to, rate));
    }
    let mut planner = FlowPlanner::new();
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    for _ in 0..400 {
        let route = planner
            .choose(&fleet, &RouteRequest::new("z"), &mut rng)
            .unwrap();
        route
            .stages()
            .iter()
            .for_each(|stage| fleet.start(stage.engine));
    }
    let load = |name| fleet.get(fleet.key(name).unwrap()).unwrap().in_flight;
    assert!(
        (290..=310).contains(&load("fast")),
        "{} of 400",
        load("fast")
    );
}

/// Generates the first layer, layer count, rate, zone and readiness of each engine.
fn engines() -> impl Strategy<Value = Vec<(u32, u32, u32, u8, bool)>> {
    prop::collection::vec(
        (
            0u32..24,
            1u32..16,
            1u32..500,
            0u8..3,
            prop::bool::weighted(0.9),
        ),
        1..14,
    )
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1_024, ..ProptestConfig::default() })]

    /// Every planner's route runs each layer once and in order, on ready engines that are not
    /// excluded, and all planners agree whether there is a route.
    #[test]
    fn routes_tile(specs in engines(), excluded_index in 0usize..14, seed in any::<u64>()) {
        let mut fleet = Fleet::new(24);
        let mut keys = Vec::new();
        for (i, (from, len, rate, zone, ready)) in specs.iter().enumerate() {
            let to = (from + len).min(24);
            let mut info = info(&format!("e{i}"), &format!("z{zone}"), *from, to, f64::from(*rate));
            info.ready = *ready;
            keys.push(fleet.upsert(info));
        }
        let excluded: Vec<_> = keys.get(excluded_index).copied().into_iter().collect();
        let request = RouteRequest::new("z0").with_excluded(excluded.clone()).with_prefix(seed);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut found = Vec::new();
        for mut planner in planners() {
            let Ok(route) = planner.choose(&fleet, &request, &mut rng) else {
                found.push(false);
                continue;
            };
            found.push(true);
            let mut next_layer = 0;
            for stage in route.stages() {
                let engine = fleet.get(stage.engine).unwrap();
                prop_assert!(engine.info.ready && !excluded.contains(&stage.engine));
                prop_assert!(engine.info.layers.covers(stage.layers));
                prop_assert_eq!(stage.layers.from(), next_layer);
                next_layer = stage.layers.to();
            }
            prop_assert_eq!(next_layer, 24);
        }
        prop_assert!(found.iter().all(|x| *x == found[0]), "planners disagree whether there is a route: {:?}", found);
    }
}
