//! Logging with `tracing`, span export to an OTLP collector, and a bridge from `slog`.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt as _, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use opentelemetry::trace::TracerProvider as _;
use opentelemetry_http::{HttpClient, HttpError};
use opentelemetry_otlp::{WithExportConfig as _, WithHttpConfig as _};
use opentelemetry_sdk::trace::SdkTracerProvider;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::layer::SubscriberExt as _;
use tracing_subscriber::util::SubscriberInitExt as _;
use tracing_subscriber::{EnvFilter, Layer as _};

use crate::settings::{LogFormat, LogSettings};

/// Filter for events and spans that applies if [`LogSettings::filter`] is not set.
const DEFAULT_FILTER: &str = "info";

/// Maximum number of log lines that wait to be written to standard output.
///
/// If standard output is read too slowly, further lines are dropped and counted.
const MAX_QUEUED_LINES: usize = 16_384;
/// Interval between checks whether log lines were dropped.
const DROP_REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// Guard that keeps the log writer and the span exporter running.
#[derive(Debug)]
pub struct TelemetryGuard {
    provider: Option<SdkTracerProvider>,
    /// Guard of the log writer, which writes the queued lines when it is dropped.
    _writer: WorkerGuard,
}

impl TelemetryGuard {
    /// Exports the queued spans, writes the queued log lines and stops both.
    pub fn flush(self) {
        // A failed export is ignored: during shutdown there is no way to retry it.
        if let Some(provider) = self.provider {
            let _ = provider.shutdown();
        }
    }
}

/// Initialises logging and the export of spans for the whole process.
///
/// # Errors
///
/// Fails when the filter or the collector URL is invalid, or logging is already initialised.
pub fn start(program: &'static str, settings: &LogSettings) -> Result<TelemetryGuard, String> {
    let filter = settings.filter.as_deref().unwrap_or(DEFAULT_FILTER);
    let filter = EnvFilter::try_new(filter).map_err(|e| format!("log.filter: {e}"))?;
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_QUEUED_LINES)
        .lossy(true)
        .finish(std::io::stdout());
    report_dropped_lines(writer.error_counter());
    let line_layer = tracing_subscriber::fmt::layer().with_writer(writer);
    let line_layer = match settings.format {
        LogFormat::Text => line_layer.with_ansi(false).boxed(),
        LogFormat::Json => line_layer
            .json()
            .flatten_event(true)
            .with_current_span(false)
            .boxed(),
    };
    let provider = match settings.collector.as_deref() {
        Some(collector) => Some(tracer_provider(program, collector)?),
        None => None,
    };
    let span_layer = provider
        .as_ref()
        .map(|provider| tracing_opentelemetry::layer().with_tracer(provider.tracer(program)));
    let registry = tracing_subscriber::registry()
        .with(filter)
        .with(line_layer)
        .with(span_layer);
    registry
        .try_init()
        .map_err(|e| format!("cannot initialise logging: {e}"))?;
    Ok(TelemetryGuard {
        provider,
        _writer: guard,
    })
}

/// Starts a task that logs how many log lines were dropped.
///
/// It checks every 5 seconds and logs only new drops.
fn report_dropped_lines(dropped: ErrorCounter) {
    tokio::spawn(async move {
        let mut reported = 0;
        loop {
            tokio::time::sleep(DROP_REPORT_INTERVAL).await;
            let total = dropped.dropped_lines();
            if total > reported {
                tracing::warn!(
                    event = "TS1301",
                    lines = total - reported,
                    "log lines were dropped"
                );
                reported = total;
            }
        }
    });
}

fn tracer_provider(program: &'static str, collector: &str) -> Result<SdkTracerProvider, String> {
    let resource = opentelemetry_sdk::Resource::builder()
        .with_service_name(program)
        .build();
    let builder = SdkTracerProvider::builder().with_resource(resource);
    let exporter = opentelemetry_otlp::SpanExporter::builder()
        .with_http()
        .with_http_client(CollectorClient::new())
        .with_endpoint(collector)
        .build()
        .map_err(|e| format!("log.collector: {e}"))?;
    Ok(builder.with_batch_exporter(exporter).build())
}

/// HTTP client with which the span exporter sends spans to the collector.
///
/// The exporter's thread runs outside of the Tokio runtime, so the client spawns each request on
/// the runtime's handle.
#[derive(Debug)]
struct CollectorClient {
    client: Client<HttpConnector, Full<Bytes>>,
    runtime: tokio::runtime::Handle,
}

impl CollectorClient {
    fn new() -> Self {
        let client = Client::builder(TokioExecutor::new()).build_http();
        Self {
            client,
            runtime: tokio::runtime::Handle::current(),
        }
    }
}

#[async_trait::async_trait]
impl HttpClient for CollectorClient {
    async fn send_bytes(&self, request: Request<Bytes>) -> Result<Response<Bytes>, HttpError> {
        let client = self.client.clone();
        let request_task = self.runtime.spawn(async move {
            let response = client.request(request.map(Full::new)).await?;
            let (parts, body) = response.into_parts();
            let body = body.collect().await?.to_bytes();
            Ok(Response::from_parts(parts, body))
        });
        request_task.await?
    }
}

/// Returns a `slog` logger that forwards the records of Dropshot to `tracing`.
pub fn slog_bridge() -> slog::Logger {
    slog::Logger::root(Arc::new(TracingDrain), slog::o!())
}

#[derive(Debug)]
struct TracingDrain;

impl slog::Drain for TracingDrain {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &slog::Record<'_>, _: &slog::OwnedKVList) -> Result<(), slog::Never> {
        // Records below warning level are logged at trace level, because the API handlers already
        // log a line for each request.
        match record.level() {
            slog::Level::Critical | slog::Level::Error => {
                tracing::error!(target: "dropshot", "{}", record.msg());
            }
            slog::Level::Warning => tracing::warn!(target: "dropshot", "{}", record.msg()),
            _ => tracing::trace!(target: "dropshot", "{}", record.msg()),
        }
        Ok(())
    }
}
