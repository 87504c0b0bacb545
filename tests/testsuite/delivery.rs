//! Tests of the delivery of token frames.

use proptest::prelude::*;
use toucanshelf_core::engine::TokenFrame;
use toucanshelf_core::ids::Attempt;
use toucanshelf_core::layers::LayerRange;
use toucanshelf_routing::delivery::{Delivery, FrameError};

/// Returns the layer ranges between consecutive bounds.
fn layers(bounds: &[u32]) -> Vec<LayerRange> {
    bounds
        .windows(2)
        .map(|pair| LayerRange::new(pair[0], pair[1]).unwrap())
        .collect()
}

/// Returns a token frame; that of position 9 is the last of its request.
fn frame(request: &str, attempt: u64, position: u32, bounds: &[u32]) -> TokenFrame {
    TokenFrame {
        request: request.into(),
        attempt: Attempt(attempt),
        position,
        layers: layers(bounds),
        token: format!("t{position}").into(),
        last: position == 9,
    }
}

#[test]
fn accept_wrong_frames() {
    let mut delivery = Delivery::new("r");
    delivery.start_attempt(layers(&[0, 4, 8]));
    delivery.start_attempt(layers(&[0, 6, 8]));
    let good = [0, 6, 8];
    let accept = |delivery: &mut Delivery, frame| delivery.accept(&frame).unwrap_err();
    let other = accept(&mut delivery, frame("x", 2, 0, &good));
    assert!(matches!(other, FrameError::OtherRequest(_)));
    let old = accept(&mut delivery, frame("r", 1, 0, &[0, 4, 8]));
    assert!(matches!(old, FrameError::OtherAttempt { .. }));
    let skipped = accept(&mut delivery, frame("r", 2, 1, &good));
    assert!(matches!(skipped, FrameError::WrongPosition { .. }));
    for wrong in [&[0, 4, 8][..], &[0, 8], &[0, 6], &[6, 8]] {
        let error = accept(&mut delivery, frame("r", 2, 0, wrong));
        assert_eq!(error, FrameError::WrongLayers, "{wrong:?}");
    }
    delivery.accept(&frame("r", 2, 0, &good)).unwrap();
    let repeated = accept(&mut delivery, frame("r", 2, 0, &good));
    assert!(matches!(repeated, FrameError::WrongPosition { .. }));
    delivery.end_attempt("break");
    let late = accept(&mut delivery, frame("r", 2, 1, &good));
    assert_eq!(late, FrameError::NotExpected);
}

proptest! {
    /// Only frames of the request are delivered, once each and in order, whatever frames arrive.
    #[test]
    fn deliver_in_order(
        arrivals in prop::collection::vec((0usize..2, 0u64..4, 0u32..12, any::<bool>(), prop::bool::weighted(0.1)), 0..200)
    ) {
        let mut delivery = Delivery::new("r0");
        delivery.start_attempt(layers(&[0, 4, 8]));
        let mut positions = Vec::new();
        for (request, attempt, position, right_layers, new_attempt) in arrivals {
            if new_attempt && !delivery.is_finished() {
                delivery.end_attempt("break");
                delivery.start_attempt(layers(&[0, 4, 8]));
            }
            let bounds: &[u32] = if right_layers { &[0, 4, 8] } else { &[0, 8] };
            let frame = frame(&format!("r{request}"), attempt, position, bounds);
            if delivery.accept(&frame).is_ok() {
                prop_assert_eq!(request, 0);
                prop_assert_eq!(frame.attempt, delivery.attempt());
                prop_assert!(right_layers);
                positions.push(position);
            }
        }
        let expected: Vec<_> = (0..positions.len() as u32).collect();
        prop_assert_eq!(positions, expected);
        prop_assert!(delivery.delivered().len() <= 10, "a token was delivered after the last one");
    }
}
