//! HTTP client of the command line.

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

/// Time within which an instance must answer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Variable with the operator's token.
const TOKEN_VARIABLE: &str = "TOUCANSHELF_TOKEN";

/// Answer of an instance.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
}

impl Answer {
    /// Reads the body, or makes an error of the refusal in it.
    pub(crate) fn parse<T: DeserializeOwned>(&self) -> Result<T, CommandError> {
        if self.status >= 400 {
            return Err(CommandError::Refused(refusal_text(&self.body).into()));
        }
        serde_json::from_slice(&self.body)
            .map_err(|e| CommandError::Refused(format!("reading the answer: {e}").into()))
    }
}

fn refusal_text(body: &[u8]) -> String {
    let value: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
    let error = &value["error"];
    match (error["code"].as_str(), error["message"].as_str()) {
        (Some(code), Some(message)) => format!("{code}: {message}"),
        _ => String::from_utf8_lossy(body).into_owned(),
    }
}

/// Client for gates and control instances.
#[derive(Debug)]
pub(crate) struct Client {
    runtime: tokio::runtime::Runtime,
    http: HttpClient<HttpConnector, Full<Bytes>>,
    token: Box<str>,
    control: Vec<SocketAddr>,
    gates: Vec<SocketAddr>,
}

impl Client {
    pub(crate) fn new(matches: &Matches) -> Result<Self, CommandError> {
        let token = match matches.opt_str("token-file") {
            Some(file) => std::fs::read_to_string(&file)
                .map_err(|e| CommandError::Usage(format!("reading `{file}`: {e}").into()))?,
            None => std::env::var(TOKEN_VARIABLE).unwrap_or_default(),
        };
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        let runtime = runtime.expect("the system can start a runtime");
        let http = HttpClient::builder(TokioExecutor::new()).build_http();
        let token = token.trim().into();
        let control = addresses(matches, "control")?;
        let gates = addresses(matches, "gate")?;
        Ok(Self {
            runtime,
            http,
            token,
            control,
            gates,
        })
    }

    pub(crate) fn control(&self) -> Result<&[SocketAddr], CommandError> {
        if self.control.is_empty() {
            return Err(CommandError::Usage("--control IP:PORT is missing".into()));
        }
        Ok(&self.control)
    }

    pub(crate) fn gates(&self) -> Result<&[SocketAddr], CommandError> {
        if self.gates.is_empty() {
            return Err(CommandError::Usage("--gate IP:PORT is missing".into()));
        }
        Ok(&self.gates)
    }

    /// Asks the instances in turn until one answers other than that it has no quorum.
    pub(crate) fn any(
        &self,
        instances: &[SocketAddr],
        method: &Method,
        path: &str,
        body: &[u8],
    ) -> Result<Answer, CommandError> {
        let mut last = CommandError::Unreachable("no instance was named".into());
        for address in instances {
            match self.one(*address, method, path, body) {
                Ok(answer) if answer.status == 503 => {
                    last = CommandError::Unreachable(refusal_text(&answer.body).into());
                }
                Ok(answer) => return Ok(answer),
                Err(e) => last = e,
            }
        }
        Err(last)
    }

    /// Asks one instance.
    pub(crate) fn one(
        &self,
        address: SocketAddr,
        method: &Method,
        path: &str,
        body: &[u8],
    ) -> Result<Answer, CommandError> {
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
            Ok::<_, String>(Answer {
                status,
                body: body.to_bytes().to_vec(),
            })
        };
        let result = self
            .runtime
            .block_on(async { tokio::time::timeout(REQUEST_TIMEOUT, exchange).await });
        let unreachable =
            |cause: String| CommandError::Unreachable(format!("asking {address}: {cause}").into());
        match result {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(cause)) => Err(unreachable(cause)),
            Err(_) => Err(unreachable("timeout".into())),
        }
    }
}

fn addresses(matches: &Matches, option: &str) -> Result<Vec<SocketAddr>, CommandError> {
    let given = matches.opt_strs(option).into_iter();
    given
        .map(|text| {
            let parsed = text.parse();
            parsed.map_err(|_| {
                CommandError::Usage(format!("--{option}: `{text}` is not IP:PORT").into())
            })
        })
        .collect()
}
