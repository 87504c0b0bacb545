//! Tests of the ranks of requests and of their way to the targets.

use std::collections::BTreeSet;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::json;
use toucanshelf_core::rank::Rank;
use toucanshelf_routing::matcher::RouteTable;

use crate::ingress::with_engines_on;
use crate::platform_support::{DeploymentBuilder, Platform, Target, TargetAction, deployment};

const ID: (&str, &str) = ("x-toucanshelf-request-id", "r1");
const PRIORITY: &str = "x-toucanshelf-request-priority";

/// Returns a deployment with a route `/{priority}/` of each priority to the service `plain`.
fn routes_of(priorities: &[u8]) -> DeploymentBuilder {
    let document = DeploymentBuilder::new(1);
    priorities.iter().fold(document, |document, priority| {
        let route = json!({ "service": "plain", "priority": priority });
        document.custom_route("r", &format!("/{priority}/"), &route)
    })
}

fn table(document: &DeploymentBuilder) -> RouteTable {
    RouteTable::new(deployment(&document.build()))
}

/// Returns the rank of a request for the service `plain`.
fn rank(table: &RouteTable, path: &str, key: Option<&str>) -> Option<u8> {
    let found = table.find("a.example", path, key).unwrap();
    found.rank("plain").map(|Rank(rank)| rank)
}

#[test]
fn organisation_before_route() {
    let document = routes_of(&[7, 0, 2])
        .ranked_organisation("guests", &["g"], Some(9))
        .ranked_organisation("crew", &["c"], Some(4))
        .ranked_organisation("staff", &["s"], Some(4));
    let table = table(&document);
    assert_eq!(table.ranks("plain"), 6);
    for key in ["c", "s"] {
        let ranks = ["/0/", "/2/", "/7/"].map(|path| rank(&table, path, Some(key)));
        assert_eq!(ranks, [Some(0), Some(1), Some(2)], "{key}");
    }
    let ranks = ["/0/", "/2/", "/7/"].map(|path| rank(&table, path, Some("g")));
    assert_eq!(ranks, [Some(3), Some(4), Some(5)]);
}

#[test]
fn unranked_with_equal_routes() {
    let rare = json!({ "priority": 0, "split": [
        { "service": "plain", "weight": 0 }, { "service": "other", "weight": 1 }
    ] });
    let document = routes_of(&[3])
        .service("other")
        .custom_route("rare", "/rare/", &rare)
        .ranked_organisation("crew", &["c"], Some(0))
        .ranked_organisation("guests", &["g"], Some(1));
    let table = table(&document);
    for service in ["plain", "other", "unknown"] {
        assert_eq!(table.ranks(service), 0, "{service}");
        for (path, key) in [("/3/", "c"), ("/3/", "g"), ("/rare/", "c")] {
            let found = table.find("a.example", path, Some(key)).unwrap();
            assert_eq!(found.rank(service), None, "{service} {path} {key}");
        }
    }
}

/// Guards against callers without a priority of their own that go before those with one.
#[test]
fn absent_priority_is_least_urgent() {
    let public = json!({ "service": "plain", "priority": 0, "public": true });
    let document = routes_of(&[0, 1])
        .custom_route("public", "/public/", &public)
        .ranked_organisation("crew", &["c"], Some(2))
        .ranked_organisation("guests", &["g"], Some(5))
        .ranked_organisation("others", &["o"], None);
    let table = table(&document);
    assert_eq!(table.ranks("plain"), 4);
    assert_eq!(rank(&table, "/0/", Some("c")), Some(0));
    assert_eq!(rank(&table, "/0/", Some("g")), Some(2));
    assert_eq!(rank(&table, "/0/", Some("o")), Some(2));
    assert_eq!(rank(&table, "/1/", Some("o")), Some(3));
    assert_eq!(rank(&table, "/public/", None), Some(2));
    assert_eq!(rank(&table, "/public/", Some("c")), Some(2));
}

#[test]
fn routes_alone_without_organisation_priorities() {
    let without_organisations = table(&routes_of(&[8, 3]));
    assert_eq!(without_organisations.ranks("plain"), 2);
    assert_eq!(rank(&without_organisations, "/3/", None), Some(0));
    assert_eq!(rank(&without_organisations, "/8/", None), Some(1));
    let document = routes_of(&[8, 3]).organisation("crew", &["c"]);
    let without_priorities = table(&document);
    assert_eq!(without_priorities.ranks("plain"), 2);
    assert_eq!(rank(&without_priorities, "/8/", Some("c")), Some(1));
}

/// Guards against ranks that start again from 0 where a rank can't hold their number.
#[test]
fn pairs_after_last_rank() {
    let priorities: Vec<u8> = (0..16).collect();
    let keys: Vec<String> = (0..17).map(|i| format!("k{i}")).collect();
    let document = (0u8..).zip(&keys);
    let document = document.fold(routes_of(&priorities), |document, (priority, key)| {
        document.ranked_organisation(key, &[key], Some(priority))
    });
    let table = table(&document);
    assert_eq!(table.ranks("plain"), 256);
    assert_eq!(rank(&table, "/15/", Some("k15")), Some(255));
    assert_eq!(rank(&table, "/0/", Some("k16")), Some(255));
    assert_eq!(rank(&table, "/15/", Some("k16")), Some(255));
}

/// A route to the services `plain` and `other`, with its weights.
#[derive(Clone, Debug)]
struct RandomRoute {
    priority: u8,
    weights: (u32, u32),
    public: bool,
}

fn random_route() -> impl Strategy<Value = RandomRoute> {
    let weights = prop_oneof![Just((1, 0)), Just((0, 1)), Just((1, 1))];
    (0u8..4, weights, any::<bool>()).prop_map(|(priority, weights, public)| RandomRoute {
        priority,
        weights,
        public,
    })
}

/// Returns a table of the routes `/{i}/` and the organisations, which have the keys `k{i}`.
fn random_table(routes: &[RandomRoute], organisations: &[Option<u8>]) -> RouteTable {
    let mut document = DeploymentBuilder::new(1).service("other");
    for (i, route) in routes.iter().enumerate() {
        let (plain, other) = route.weights;
        let route = json!({ "priority": route.priority, "public": route.public, "split": [
            { "service": "plain", "weight": plain }, { "service": "other", "weight": other }
        ] });
        document = document.custom_route("r", &format!("/{i}/"), &route);
    }
    for (i, priority) in organisations.iter().enumerate() {
        document = document.ranked_organisation(&format!("o{i}"), &[&format!("k{i}")], *priority);
    }
    table(&document)
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// Guards against a less urgent request with a smaller rank, and against unused ranks.
    #[test]
    fn ranks_follow_pairs(
        routes in prop::collection::vec(random_route(), 1..8),
        organisations in prop::collection::vec(prop::option::of(0u8..4), 0..6),
    ) {
        let table = random_table(&routes, &organisations);
        let least_urgent = organisations.iter().flatten().max().copied().unwrap_or(0);
        for service in ["plain", "other"] {
            let mut ranked = Vec::new();
            let mut priorities = BTreeSet::new();
            for (i, route) in routes.iter().enumerate() {
                let (plain, other) = route.weights;
                if (if service == "plain" { plain } else { other }) == 0 {
                    continue;
                }
                priorities.insert(route.priority);
                for (j, organisation) in organisations.iter().chain([&None]).enumerate() {
                    let key = format!("k{j}");
                    let Ok(found) = table.find("a.example", &format!("/{i}/"), Some(&key)) else {
                        continue;
                    };
                    let organisation = organisation.filter(|_| found.organisation.is_some());
                    let pair = (organisation.unwrap_or(least_urgent), route.priority);
                    ranked.push((pair, found.rank(service)));
                }
            }
            let is_ranked = priorities.len() > 1;
            prop_assert_eq!(table.ranks(service) > 0, is_ranked);
            for (pair, rank) in &ranked {
                prop_assert_eq!(rank.is_some(), is_ranked);
                for (other_pair, other_rank) in ranked.iter().filter(|_| is_ranked) {
                    prop_assert_eq!(pair.cmp(other_pair), rank.cmp(other_rank));
                }
            }
            let used: BTreeSet<_> = ranked.iter().filter_map(|(_, rank)| *rank).collect();
            let is_in_range = |rank: &Rank| usize::from(rank.0) < table.ranks(service);
            prop_assert!(used.iter().all(is_in_range));
            if routes.iter().all(|route| !route.public) {
                prop_assert_eq!(used.len(), table.ranks(service));
            }
        }
    }
}

/// Returns the values of the priority header in the requests that the targets received.
fn received_priorities(targets: &[&Target]) -> Vec<Vec<String>> {
    let received = targets.iter().flat_map(|target| target.received_requests());
    let priorities = received.map(|req| {
        let values = req.headers.get_all(PRIORITY).iter();
        values.map(|v| v.to_str().unwrap().to_owned()).collect()
    });
    priorities.collect()
}

/// Guards against callers that promote their own requests.
#[tokio::test]
async fn caller_cannot_promote() {
    let target = Target::start([]).await;
    let priorities: Vec<u8> = (0..12).collect();
    let document = routes_of(&priorities)
        .ranked_organisation("crew", &["c"], Some(0))
        .ranked_organisation("guests", &["g"], Some(1));
    let platform = Platform::start(&document.build(), &[("plain", &target)]).await;
    for (path, key) in [("/0/", "c"), ("/8/", "c"), ("/11/", "c"), ("/0/", "g")] {
        let headers = [ID, ("api-key", key), (PRIORITY, "0"), (PRIORITY, "1")];
        assert_eq!(platform.call("GET", path, &headers).await.status, 200);
    }
    let expected = [["0"], ["8"], ["9"], ["9"]];
    assert_eq!(received_priorities(&[&target]), expected);
}

/// Guards against changed requests of services whose routes don't differ in priority.
#[tokio::test]
async fn unranked_requests_unchanged() {
    let target = Target::start([]).await;
    let document = routes_of(&[3])
        .ranked_organisation("crew", &["c"], Some(0))
        .ranked_organisation("guests", &["g"], Some(1));
    let platform = Platform::start(&document.build(), &[("plain", &target)]).await;
    let sent: [&[&str]; 4] = [&[], &["0"], &["7"], &["urgent", "2"]];
    for key in ["c", "g"] {
        for values in sent {
            let mut headers = vec![ID, ("api-key", key)];
            headers.extend(values.iter().map(|value| (PRIORITY, *value)));
            assert_eq!(platform.call("GET", "/3/", &headers).await.status, 200);
        }
    }
    assert_eq!(received_priorities(&[&target]), [sent, sent].concat());
}

#[tokio::test]
async fn retry_keeps_rank() {
    let broken = || Target::start([TargetAction::Answer(500, "broken")]);
    let targets = [broken().await, broken().await];
    let registered = [("plain", &targets[0]), ("plain", &targets[1])];
    let platform = Platform::start(&routes_of(&[5, 6]).build(), &registered).await;
    let response = platform.call("GET", "/6/", &[ID, (PRIORITY, "0")]).await;
    assert_eq!(response.status, 500);
    let received = received_priorities(&[&targets[0], &targets[1]]);
    assert_eq!(received, [["1"], ["1"]]);
}

#[tokio::test]
async fn refused_request_keeps_rank() {
    let refusing = || Target::start([TargetAction::NotRun(None)]);
    let targets = [refusing().await, refusing().await];
    let registered = [("plain", &targets[0]), ("plain", &targets[1])];
    let platform = Platform::start(&routes_of(&[5, 6]).build(), &registered).await;
    let response = platform.call("GET", "/6/", &[ID, (PRIORITY, "0")]).await;
    assert_eq!(response.status, 503);
    let received = received_priorities(&[&targets[0], &targets[1]]);
    assert_eq!(received, [["1"], ["1"]]);
}

#[tokio::test]
async fn resumption_keeps_rank() {
    let first = Target::start([TargetAction::Break(&["id: 1\n\n"])]).await;
    let second = Target::start([TargetAction::Stream(&["id: 2\n\n"])]).await;
    let later = Target::start([]).await;
    let route = |priority: u8| {
        json!({
            "service": "model", "kind": "streaming", "resumable": true, "timeout_ms": 6_000,
            "priority": priority
        })
    };
    let document = DeploymentBuilder::new(1)
        .model_service("model")
        .custom_route("talk", "/talk/", &route(0))
        .custom_route("draft", "/draft/", &route(4));
    // The second engine is in another zone, so that it is chosen only after the first.
    let placed = [("z", 0, 2), ("y", 0, 2), ("z", 2, 4)];
    let platform = with_engines_on(&document, &[&first, &second, &later], &placed).await;
    let response = platform
        .call("POST", "/draft/", &[ID, (PRIORITY, "0")])
        .await;
    assert_eq!(response.body, "id: 1\n\nid: 2\n\n");
    assert_eq!(second.received_requests()[0].header("last-event-id"), "1");
    assert_eq!(received_priorities(&[&first, &second]), [["1"], ["1"]]);
}
