//! Tests of the choice of the connection that gives way to a new one, and of the requests that begin.

use std::net::IpAddr;

use proptest::prelude::*;
use toucanshelf_runtime::connection_table::{Admission, ConnectionKey, ConnectionTable};

/// Time from which on a connection whose request hasn't been read goes first, in milliseconds.
const LATE_MS: u64 = 1_000;

fn peer(n: u8) -> IpAddr {
    IpAddr::from([10, 0, 0, n])
}

/// Adds connections of these peers, for which there is room.
fn admit_all<const N: usize>(table: &mut ConnectionTable, peers: [u8; N]) -> [ConnectionKey; N] {
    peers.map(|n| {
        let Admission { admitted, closed } = table.admit(peer(n), 0);
        assert_eq!(closed, None);
        admitted.unwrap()
    })
}

/// Adds a connection with a request that has no body.
fn admit_busy(table: &mut ConnectionTable) -> ConnectionKey {
    let [key] = admit_all(table, [1]);
    assert!(table.begin_request(key, false, 0));
    key
}

#[test]
fn connection_without_request_goes_before_an_idle_one() {
    let mut table = ConnectionTable::new(3);
    let [idle, first, _second] = admit_all(&mut table, [1, 1, 1]);
    assert!(table.begin_request(idle, false, 0));
    table.end_request(idle, 0);
    let Admission { admitted, closed } = table.admit(peer(1), LATE_MS);
    assert!(admitted.is_some());
    assert_eq!(closed, Some(first));
    assert_eq!(table.len(), 3);
}

/// Guards against callers in a crowd that close each other's connections before their requests arrive.
#[test]
fn idle_connection_goes_before_a_fresh_one() {
    let mut table = ConnectionTable::new(3);
    let [_fresh, idle, reading] = admit_all(&mut table, [1, 1, 1]);
    assert!(table.begin_request(reading, true, 0));
    assert!(table.begin_request(idle, false, 0));
    table.end_request(idle, 0);
    assert_eq!(table.admit(peer(1), LATE_MS - 1).closed, Some(idle));
}

#[test]
fn late_body_goes_before_an_idle_connection() {
    let mut table = ConnectionTable::new(2);
    let [idle, reading] = admit_all(&mut table, [1, 1]);
    assert!(table.begin_request(reading, true, 0));
    assert!(table.begin_request(idle, false, 0));
    table.end_request(idle, 0);
    assert_eq!(table.admit(peer(1), LATE_MS).closed, Some(reading));
    assert!(!table.run_request(reading, "a", LATE_MS));
}

#[test]
fn oldest_fresh_connection_goes_if_all_are_fresh() {
    let mut table = ConnectionTable::new(2);
    let [first, _second] = admit_all(&mut table, [1, 1]);
    assert_eq!(table.admit(peer(1), 1).closed, Some(first));
}

#[test]
fn longest_idle_connection_goes_first() {
    let mut table = ConnectionTable::new(2);
    let [first, second] = admit_all(&mut table, [1, 1]);
    for key in [second, first] {
        assert!(table.begin_request(key, false, 0));
    }
    for key in [second, first] {
        table.end_request(key, 0);
    }
    assert_eq!(table.admit(peer(1), 0).closed, Some(second));
}

#[test]
fn peer_with_most_connections_gives_way() {
    let mut table = ConnectionTable::new(3);
    let [_other, first, _second] = admit_all(&mut table, [1, 2, 2]);
    assert_eq!(table.admit(peer(3), 0).closed, Some(first));
}

#[test]
fn connections_with_requests_stay() {
    let mut table = ConnectionTable::new(1);
    let busy = admit_busy(&mut table);
    let refused = Admission {
        admitted: None,
        closed: None,
    };
    assert_eq!(table.admit(peer(2), LATE_MS), refused);
    table.end_request(busy, LATE_MS);
    assert_eq!(table.admit(peer(2), LATE_MS).closed, Some(busy));
}

#[test]
fn excess_is_bounded() {
    let mut table = ConnectionTable::new(32).with_excess();
    for _ in 0..34 {
        admit_busy(&mut table);
    }
    assert_eq!(table.admit(peer(1), 0).admitted, None);
    assert_eq!(table.len(), 34);
}

/// Guards against a request that is passed on from a connection that is being closed.
#[test]
fn closed_connection_begins_no_request() {
    let mut table = ConnectionTable::new(1);
    let [first] = admit_all(&mut table, [1]);
    assert_eq!(table.admit(peer(1), 0).closed, Some(first));
    assert!(!table.begin_request(first, false, 0));
}

/// Adds connections and begins requests of a class until it may begin no more.
fn crowd_class(table: &mut ConnectionTable, class: &str) -> usize {
    let mut count = 0;
    while let Some(key) = table.admit(peer(1), 0).admitted {
        assert!(table.begin_request(key, true, 0));
        if !table.run_request(key, class, 0) {
            table.remove(key);
            break;
        }
        count += 1;
    }
    count
}

/// A service that doesn't answer must not take the connections of the others.
#[test]
fn class_leaves_connections_to_others() {
    let mut table = ConnectionTable::new(64);
    assert_eq!(crowd_class(&mut table, "a"), 56);
    assert_eq!(crowd_class(&mut table, "b"), 7);
    assert_eq!(table.len(), 63);
    let [key] = admit_all(&mut table, [2]);
    assert!(table.run_request(key, "c", 0));
}

#[test]
fn ended_requests_free_their_class() {
    let mut table = ConnectionTable::new(8);
    let count = crowd_class(&mut table, "a");
    let [key] = admit_all(&mut table, [2]);
    assert!(!table.run_request(key, "a", 0));
    assert!(table.run_request(key, "b", 0));
    table.remove(key);
    assert_eq!(crowd_class(&mut table, "a"), 0);
    let [key] = admit_all(&mut table, [2]);
    table.end_request(key, 0);
    assert_eq!(count, 7);
    assert_eq!(table.len(), 8);
}

proptest! {
    /// Checks that no order of events loses count of the connections, or exceeds their number.
    #[test]
    fn any_order_stays_under_the_limit(
        steps in prop::collection::vec((0_u8..5, 0_usize..12, 0_u8..3, 0_u64..900), 1..300)
    ) {
        const MAX: usize = 16;
        let mut table = ConnectionTable::new(MAX);
        let mut open: Vec<ConnectionKey> = Vec::new();
        let mut now = 0;
        for (action, index, n, ms) in steps {
            now += ms;
            let key = open.get(index).copied();
            match (action, key) {
                (0, _) => {
                    let Admission { admitted, closed } = table.admit(peer(n), now);
                    open.retain(|key| Some(*key) != closed);
                    open.extend(admitted);
                }
                (1, Some(key)) => prop_assert!(table.begin_request(key, n > 0, now)),
                (2, Some(key)) => drop(table.run_request(key, &n.to_string(), now)),
                (3, Some(key)) => table.end_request(key, now),
                (4, Some(key)) => {
                    table.remove(key);
                    open.swap_remove(index);
                }
                _ => {}
            }
            prop_assert!(table.len() <= MAX);
            prop_assert_eq!(table.len(), open.len());
        }
        // Whatever has happened, all connections are free again once the requests have ended.
        for key in open {
            table.remove(key);
        }
        prop_assert!(table.is_empty());
        prop_assert_eq!(crowd_class(&mut table, "a"), 14);
    }
}
