//! Request to an API, whose body is unread.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, Request, Uri};
use hyper::body::Incoming;
use serde::de::DeserializeOwned;
use toucanshelf_core::outcome::{Code, Refusal};

use crate::body::{BodyError, BodyLimits, BodyMemory, discard};
use crate::connections::Caller;

/// Time after which a caller may come back whose request found no memory or connection, in seconds.
const RETRY_AFTER_S: u32 = 1;

/// Request to an API.
///
/// A body that the handler doesn't read is dropped without using memory.
#[derive(Debug)]
pub struct ApiRequest<C> {
    context: C,
    variables: BTreeMap<Box<str>, Box<str>>,
    parts: Parts,
    body: Option<Incoming>,
}

impl<C> ApiRequest<C> {
    pub(super) fn new(
        context: C,
        variables: BTreeMap<Box<str>, Box<str>>,
        req: Request<Incoming>,
    ) -> Self {
        let (parts, body) = req.into_parts();
        Self {
            context,
            variables,
            parts,
            body: Some(body),
        }
    }

    /// Returns what the handlers of the API share.
    pub fn context(&self) -> &C {
        &self.context
    }

    /// Returns the headers of the request.
    pub fn headers(&self) -> &HeaderMap {
        &self.parts.headers
    }

    /// Returns the path and query of the request.
    pub fn uri(&self) -> &Uri {
        &self.parts.uri
    }

    /// Returns the variable `name` of the path.
    ///
    /// # Panics
    ///
    /// Panics if the path of the endpoint has no such variable.
    pub fn variable(&self, name: &str) -> &str {
        &self.variables[name]
    }

    /// Parses the query.
    ///
    /// # Errors
    ///
    /// Fails if a parameter is missing or malformed.
    pub fn query<T: DeserializeOwned>(&self) -> Result<T, Refusal> {
        let query = self.parts.uri.query().unwrap_or_default();
        serde_urlencoded::from_str(query)
            .map_err(|e| Refusal::not_run(Code::BadRequest, format!("reading the query: {e}")))
    }

    /// Reads the body, and begins to run the request as one of this class.
    ///
    /// The memory of the body is given back with the last clone of the returned bytes.
    ///
    /// # Errors
    ///
    /// Fails if the body is too long, stops before its end or finds no memory, or if requests of this
    /// class use too many connections.
    pub async fn read_body(
        &mut self,
        memory: &Arc<BodyMemory>,
        limits: BodyLimits,
        class: &str,
    ) -> Result<Bytes, Refusal> {
        let caller = self.parts.extensions.get::<Caller>().cloned();
        let bytes = match self.body.take() {
            Some(body) => {
                let owner = caller.as_ref().map(|caller| caller.address);
                let read = memory.read(body, limits, owner).await;
                read.map_err(|e| body_refusal(e, limits.max_bytes))?
            }
            None => Bytes::new(),
        };
        if caller.is_none_or(|caller| caller.run_request(class)) {
            return Ok(bytes);
        }
        let message = format!("requests of {class} use too many connections");
        Err(Refusal::not_run(Code::Overloaded, message).with_retry_after(RETRY_AFTER_S))
    }
}

impl<C> Drop for ApiRequest<C> {
    fn drop(&mut self) {
        if let Some(body) = self.body.take() {
            discard(body);
        }
    }
}

/// Returns the refusal of a request whose body was not read.
fn body_refusal(error: BodyError, max_bytes: usize) -> Refusal {
    match error {
        BodyError::TooLarge => {
            let message = format!("the body exceeds {max_bytes} bytes");
            Refusal::not_run(Code::TooLarge, message)
        }
        BodyError::Broken => Refusal::not_run(Code::BadRequest, error.to_string()),
        BodyError::Stopped => Refusal::not_run(Code::BodyStopped, error.to_string()),
        BodyError::NoMemory => {
            Refusal::not_run(Code::NoMemory, error.to_string()).with_retry_after(RETRY_AFTER_S)
        }
    }
}
