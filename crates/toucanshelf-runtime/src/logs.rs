//! Logs by `tracing`, spans to an OTLP collector, and the bridge from `slog`.

use std::sync::Arc;

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
use tracing_subscriber::layer::SubscriberExt as _;
use tracing_subscriber::util::SubscriberInitExt as _;
use tracing_subscriber::{EnvFilter, Layer as _};

use crate::settings::{LogFormat, LogSettings};

/// Filter used when the settings name none.
const DEFAULT_FILTER: &str = "info";

/// Keeps the export of spans running.
#[derive(Debug)]
pub struct TelemetryGuard {
    provider: SdkTracerProvider,
}

impl TelemetryGuard {
    /// Sends the spans that are still waiting.
    pub fn flush(self) {
        // Nothing can be done about spans that the collector does not take at the end.
        let _ = self.provider.shutdown();
    }
}

/// Starts logs and traces for the whole process.
///
/// # Errors
///
/// Fails when the filter or the collector's URL is wrong, or logs are already started.
pub fn start(program: &'static str, settings: &LogSettings) -> Result<TelemetryGuard, String> {
    let filter = settings.filter.as_deref().unwrap_or(DEFAULT_FILTER);
    let filter = EnvFilter::try_new(filter).map_err(|e| format!("log.filter: {e}"))?;
    let provider = tracer_provider(program, settings.collector.as_deref())?;
    let spans = tracing_opentelemetry::layer().with_tracer(provider.tracer(program));
    let lines = match settings.format {
        LogFormat::Text => tracing_subscriber::fmt::layer().with_ansi(false).boxed(),
        LogFormat::Json => tracing_subscriber::fmt::layer().json().boxed(),
    };
    let registry = tracing_subscriber::registry()
        .with(filter)
        .with(lines)
        .with(spans);
    registry
        .try_init()
        .map_err(|e| format!("starting logs: {e}"))?;
    Ok(TelemetryGuard { provider })
}

fn tracer_provider(
    program: &'static str,
    collector: Option<&str>,
) -> Result<SdkTracerProvider, String> {
    let resource = opentelemetry_sdk::Resource::builder()
        .with_service_name(program)
        .build();
    let builder = SdkTracerProvider::builder().with_resource(resource);
    let Some(url) = collector else {
        return Ok(builder.build());
    };
    let exporter = opentelemetry_otlp::SpanExporter::builder()
        .with_http()
        .with_http_client(CollectorClient::new())
        .with_endpoint(url)
        .build()
        .map_err(|e| format!("log.collector: {e}"))?;
    Ok(builder.with_batch_exporter(exporter).build())
}

/// HTTP client of the exporter's thread, which runs outside of the runtime.
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
        let exchange = self.runtime.spawn(async move {
            let response = client.request(request.map(Full::new)).await?;
            let (parts, body) = response.into_parts();
            let body = body.collect().await?.to_bytes();
            Ok(Response::from_parts(parts, body))
        });
        exchange.await?
    }
}

/// Logger for libraries that log by `slog`; its lines go to `tracing`.
pub fn slog_bridge() -> slog::Logger {
    slog::Logger::root(Arc::new(TracingDrain), slog::o!())
}

#[derive(Debug)]
struct TracingDrain;

impl slog::Drain for TracingDrain {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &slog::Record<'_>, _: &slog::OwnedKVList) -> Result<(), slog::Never> {
        // A line for each request is already logged by the handlers.
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
