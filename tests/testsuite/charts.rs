//! Tests of the state chart interpreter and of the committed charts.

use toucanshelf_chart::{Chart, ChartError, Machine};

const CHARTS: [&str; 4] = [
    include_str!("../../charts/attempt.toml"),
    include_str!("../../charts/claim.toml"),
    include_str!("../../charts/request.toml"),
    include_str!("../../charts/target.toml"),
];

#[test]
fn parse_committed_charts() {
    for text in CHARTS {
        Chart::parse(text).unwrap();
    }
}

#[test]
fn parse_unreachable_state() {
    let text =
        "name = 'x'\ninitial = 'a'\n[states.a]\nterminal = true\n[states.b]\nterminal = true";
    assert!(matches!(
        Chart::parse(text),
        Err(ChartError::Unreachable { .. })
    ));
}

#[test]
fn parse_missing_target() {
    let text = "name = 'x'\ninitial = 'a'\n[states.a.on]\ngo = 'b'";
    assert!(matches!(
        Chart::parse(text),
        Err(ChartError::UnknownState { .. })
    ));
}

#[test]
fn parse_dead_end() {
    let text = "name = 'x'\ninitial = 'a'\n[states.a]";
    assert!(matches!(
        Chart::parse(text),
        Err(ChartError::DeadEnd { .. })
    ));
}

#[test]
fn fire_refused_event() {
    let chart = Chart::parse(CHARTS[1]).unwrap();
    let mut claim = Machine::new(&chart);
    claim.fire("record").unwrap();
    assert!(claim.fire("release").is_err());
    assert_eq!(claim.state(), "recorded");
}
