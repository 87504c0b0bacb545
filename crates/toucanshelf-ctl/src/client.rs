//! HTTP client that the subcommands use.
//!
//! In this module, an instance is a gate or a control instance.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use getopts::Matches;
use http::{Method, Request};
use http_body_util::{BodyExt as _, Full};
use hyper_util::client::legacy::Client as HttpClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;

use crate::CommandError;

/// Maximum time for a request to an instance, including the response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Environment variable with the operator's token.
const TOKEN_ENV_VAR: &str = "TOUCANSHELF_TOKEN";

/// HTTP response of a gate or control instance.
#[derive(Clone, Debug)]
pub(crate) struct ApiResponse {
    pub status: u16,
    pub body: Vec<u8>,
}

impl ApiResponse {
    /// Decodes the response body, or returns the error that the response contains.
    pub(crate) fn parse<T: DeserializeOwned>(&self) -> Result<T, CommandError> {
        if self.status >= 400 {
            return Err(CommandError::Refused(error_message(&self.body).into()));
        }
        serde_json::from_slice(&self.body)
            .map_err(|e| CommandError::Refused(format!("cannot decode the response: {e}").into()))
    }
}

/// Returns the code and message of an error response.
///
/// A body in another format is returned as it is.
fn error_message(body: &[u8]) -> String {
    let value: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
    let error = &value["error"];
    match (error["code"].as_str(), error["message"].as_str()) {
        (Some(code), Some(message)) => format!("{code}: {message}"),
        _ => String::from_utf8_lossy(body).into_owned(),
    }
}

/// HTTP client for calls to gates and control instances.
#[derive(Debug)]
pub(crate) struct Client {
    runtime: tokio::runtime::Runtime,
    http: HttpClient<HttpConnector, Full<Bytes>>,
    token: Box<str>,
    control: Vec<SocketAddr>,
    gates: Vec<SocketAddr>,
}

impl Client {
    /// Creates a client from the options that all subcommands have.
    ///
    /// The operator's token comes from the file that `--token-file` names, or else from the
    /// environment variable `TOUCANSHELF_TOKEN`.
    pub(crate) fn new(matches: &Matches) -> Result<Self, CommandError> {
        let token = match matches.opt_str("token-file") {
            Some(file) => std::fs::read_to_string(&file)
                .map_err(|e| CommandError::Usage(format!("cannot read `{file}`: {e}").into()))?,
            None => std::env::var(TOKEN_ENV_VAR).unwrap_or_default(),
        };
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        let runtime = runtime.expect("the system can start a runtime");
        let http = HttpClient::builder(TokioExecutor::new()).build_http();
        let token = token.trim().into();
        let control = parse_addresses(matches, "control")?;
        let gates = parse_addresses(matches, "gate")?;
        Ok(Self {
            runtime,
            http,
            token,
            control,
            gates,
        })
    }

    /// Returns the addresses of control instances; an empty list is a usage error.
    pub(crate) fn control(&self) -> Result<&[SocketAddr], CommandError> {
        if self.control.is_empty() {
            return Err(CommandError::Usage(
                "missing option --control IP:PORT".into(),
            ));
        }
        Ok(&self.control)
    }

    /// Returns the addresses of gates; an empty list is a usage error.
    pub(crate) fn gates(&self) -> Result<&[SocketAddr], CommandError> {
        if self.gates.is_empty() {
            return Err(CommandError::Usage("missing option --gate IP:PORT".into()));
        }
        Ok(&self.gates)
    }

    /// Sends the request to the instances in turn until one can process it.
    ///
    /// An instance is skipped if it is unreachable or responds with status 503, as a control
    /// instance does without a quorum.
    pub(crate) fn call_any(
        &self,
        instances: &[SocketAddr],
        method: &Method,
        path: &str,
        body: &[u8],
    ) -> Result<ApiResponse, CommandError> {
        let mut last_error = CommandError::Unreachable("no instance address was given".into());
        for address in instances {
            match self.call(*address, method, path, body) {
                Ok(response) if response.status == 503 => {
                    last_error = CommandError::Unreachable(error_message(&response.body).into());
                }
                Ok(response) => return Ok(response),
                Err(e) => last_error = e,
            }
        }
        Err(last_error)
    }

    /// Sends a request to one instance.
    pub(crate) fn call(
        &self,
        address: SocketAddr,
        method: &Method,
        path: &str,
        body: &[u8],
    ) -> Result<ApiResponse, CommandError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header("authorization", format!("Bearer {}", self.token))
            .body(Full::new(Bytes::copy_from_slice(body)))
            .map_err(|e| CommandError::Usage(e.to_string().into()))?;
        let exchange = async {
            let response = self
                .http
                .request(request)
                .await
                .map_err(|e| e.to_string())?;
            let status = response.status().as_u16();
            let body = response
                .into_body()
                .collect()
                .await
                .map_err(|e| e.to_string())?;
            Ok::<_, String>(ApiResponse {
                status,
                body: body.to_bytes().to_vec(),
            })
        };
        let result = self
            .runtime
            .block_on(async { tokio::time::timeout(REQUEST_TIMEOUT, exchange).await });
        let unreachable_error = |cause: String| {
            CommandError::Unreachable(format!("request to {address} failed: {cause}").into())
        };
        match result {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(cause)) => Err(unreachable_error(cause)),
            Err(_) => Err(unreachable_error("timeout".into())),
        }
    }
}

/// Parses all values of an option as socket addresses.
fn parse_addresses(matches: &Matches, option: &str) -> Result<Vec<SocketAddr>, CommandError> {
    let values = matches.opt_strs(option).into_iter();
    values
        .map(|text| {
            let parsed = text.parse();
            parsed.map_err(|_| {
                CommandError::Usage(format!("--{option}: `{text}` is not IP:PORT").into())
            })
        })
        .collect()
}
