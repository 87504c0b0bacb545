//! Encoding of metrics for the `/metrics` endpoints.

use prometheus::{Encoder as _, Registry, TextEncoder};

/// Encodes all metrics of `registry` in the Prometheus text format.
pub fn render(registry: &Registry) -> Vec<u8> {
    let mut buf = Vec::new();
    let encoded = TextEncoder::new().encode(&registry.gather(), &mut buf);
    encoded.expect("metrics are always encodable");
    buf
}
