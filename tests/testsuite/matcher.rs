//! Tests of matching by host, path prefix and key.

use toucanshelf_routing::matcher::{MatchError, RouteTable};

use crate::platform_support::{DeploymentBuilder, deployment};

/// Returns a table of two routes with nested prefixes and two API keys.
fn table() -> RouteTable {
    let document = DeploymentBuilder::new(1)
        .route("short", "a.example", "/x/", "plain")
        .route("long", "a.example", "/x/y/", "plain")
        .organisation("crew", &["k1", "k2"])
        .build();
    RouteTable::new(deployment(&document))
}

#[test]
fn longest_prefix_wins() {
    let table = table();
    let found = |path| {
        table
            .find("A.example:80", path, Some("k1"))
            .map(|m| &*m.route.name)
    };
    assert_eq!(found("/x/y/z"), Ok("long"));
    assert_eq!(found("/x/yz"), Ok("short"));
    assert_eq!(found("/x"), Err(MatchError::NoRoute));
    assert_eq!(found("/other/"), Err(MatchError::NoRoute));
}

#[test]
fn key_decides_organisation() {
    let table = table();
    let organisation = |key| table.find("a.example", "/x/", key).map(|m| m.organisation);
    assert_eq!(organisation(Some("k2")), Ok(Some("crew")));
    assert_eq!(organisation(Some("k3")), Err(MatchError::UnknownKey));
    assert_eq!(organisation(None), Err(MatchError::UnknownKey));
}

#[test]
fn shares_by_weight() {
    let document = DeploymentBuilder::new(1)
        .split_route(
            "split",
            "a.example",
            "/x/",
            &[("plain", 90), ("other", 0), ("third", 10)],
        )
        .service("other")
        .service("third")
        .build();
    let table = RouteTable::new(deployment(&document));
    let found = table.find("a.example", "/x/", None).unwrap();
    assert_eq!(found.service(0.0), "plain");
    assert_eq!(found.service(0.899), "plain");
    assert_eq!(found.service(0.901), "third");
    assert_eq!(
        found.service(1.0),
        "third",
        "a service of weight 0 is never chosen"
    );
}
