//! Propagation of the W3C trace context between processes in HTTP headers.

use http::{HeaderMap, HeaderValue};
use opentelemetry::propagation::{Extractor, TextMapPropagator as _};
use opentelemetry::trace::TraceContextExt as _;
use opentelemetry_sdk::propagation::TraceContextPropagator;
use tracing::Span;
use tracing_opentelemetry::OpenTelemetrySpanExt as _;

/// Name of the HTTP header that carries the W3C trace context.
pub const TRACEPARENT: &str = "traceparent";

struct HeaderExtractor<'a>(&'a HeaderMap);

impl Extractor for HeaderExtractor<'_> {
    fn get(&self, key: &str) -> Option<&str> {
        self.0.get(key)?.to_str().ok()
    }

    fn keys(&self) -> Vec<&str> {
        self.0.keys().map(http::HeaderName::as_str).collect()
    }
}

/// Makes `span` a child of the caller's span, if the request's headers name one.
pub fn continue_trace(span: &Span, headers: &HeaderMap) {
    let parent = TraceContextPropagator::new().extract(&HeaderExtractor(headers));
    // Setting the parent fails only if no tracer is installed, as in tests.
    let _ = span.set_parent(parent);
}

/// Returns the value of the `traceparent` header for requests sent within `span`.
///
/// Returns `None` if no tracer is installed.
pub fn traceparent(span: &Span) -> Option<HeaderValue> {
    let cx = span.context();
    let current = cx.span();
    let context = current.span_context();
    if !context.is_valid() {
        return None;
    }
    let flags = context.trace_flags().to_u8();
    let text = format!(
        "00-{}-{}-{flags:02x}",
        context.trace_id(),
        context.span_id()
    );
    HeaderValue::from_str(&text).ok()
}

/// Returns the trace ID of `span`; empty if no tracer is installed.
pub fn trace_id(span: &Span) -> Box<str> {
    let cx = span.context();
    let current = cx.span();
    let context = current.span_context();
    if context.is_valid() {
        context.trace_id().to_string().into()
    } else {
        "".into()
    }
}
