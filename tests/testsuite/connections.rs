//! Tests of the choice of the connection that gives way to a new one.

use std::net::IpAddr;

use toucanshelf_runtime::connections::{ConnectionKey, ConnectionTable};

fn peer(n: u8) -> IpAddr {
    IpAddr::from([10, 0, 0, n])
}

/// Adds connections of these peers, for which there is room.
fn admit_all<const N: usize>(table: &mut ConnectionTable, peers: [u8; N]) -> [ConnectionKey; N] {
    peers.map(|n| {
        let (key, closed) = table.admit(peer(n));
        assert_eq!(closed, None);
        key.unwrap()
    })
}

#[test]
fn connection_without_request_goes_before_an_idle_one() {
    let mut table = ConnectionTable::new(3);
    let [idle, first, _second] = admit_all(&mut table, [1, 1, 1]);
    assert!(table.begin_request(idle));
    table.end_request(idle);
    let (key, closed) = table.admit(peer(1));
    assert!(key.is_some());
    assert_eq!(closed, Some(first));
    assert_eq!(table.len(), 3);
}

#[test]
fn longest_idle_connection_goes_first() {
    let mut table = ConnectionTable::new(2);
    let [first, second] = admit_all(&mut table, [1, 1]);
    for key in [second, first] {
        assert!(table.begin_request(key));
    }
    for key in [second, first] {
        table.end_request(key);
    }
    assert_eq!(table.admit(peer(1)).1, Some(second));
}

#[test]
fn peer_with_most_connections_gives_way() {
    let mut table = ConnectionTable::new(3);
    let [_other, first, _second] = admit_all(&mut table, [1, 2, 2]);
    assert_eq!(table.admit(peer(3)).1, Some(first));
}

#[test]
fn connections_with_requests_stay() {
    let mut table = ConnectionTable::new(1);
    let [busy] = admit_all(&mut table, [1]);
    assert!(table.begin_request(busy));
    assert_eq!(table.admit(peer(2)), (None, None));
    table.end_request(busy);
    assert_eq!(table.admit(peer(2)).1, Some(busy));
}

/// Guards against a request that is passed on from a connection that is being closed.
#[test]
fn closed_connection_begins_no_request() {
    let mut table = ConnectionTable::new(1);
    let [first] = admit_all(&mut table, [1]);
    assert_eq!(table.admit(peer(1)).1, Some(first));
    assert!(!table.begin_request(first));
}
