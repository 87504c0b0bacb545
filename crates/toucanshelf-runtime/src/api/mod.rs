//! HTTP APIs whose endpoints dropshot describes, served on bounded connections.
//!
//! dropshot's own server accepts any number of connections with receive buffers of any size, and reads
//! a body before the handler sees the request. So dropshot describes the endpoints only, and
//! [`ApiServer`] serves them: a handler gets a request whose body is unread, and reads it into the
//! [`BodyMemory`](crate::body::BodyMemory) of the program once it knows the caller.

mod path;
mod request;

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use dropshot::{ApiDescription, ApiEndpoint, Body, StubContext};
use http::{HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::timeout;
use toucanshelf_core::outcome::{Code, Refusal};

use crate::connections::Connections;
use crate::http::{REQUEST_ID_HEADER, refusal_response};
use crate::serve::{ConnectionLimits, serve_bounded};
use path::PathTemplate;

pub use request::ApiRequest;

/// Time for which a server that closes waits for its connections.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(3);

/// Response of a handler, or its refusal of the request.
pub type HandlerResult = Result<Response<Body>, Refusal>;

type ResponseFuture = Pin<Box<dyn Future<Output = HandlerResult> + Send>>;
type Handler<C> = Arc<dyn Fn(ApiRequest<C>) -> ResponseFuture + Send + Sync>;

/// Describes an endpoint by its method, path, id and the types of its parameters.
#[macro_export]
macro_rules! endpoint {
    ($method:ident $path:literal, $id:literal, $params:ty) => {
        ::dropshot::ApiEndpoint::new_for_types::<
            $params,
            Result<::http::Response<::dropshot::Body>, $crate::http::ApiError>,
        >(
            $id.into(),
            ::http::Method::$method,
            "application/json",
            $path,
            ::dropshot::ApiEndpointVersions::All,
        )
    };
}

/// Endpoints of an API, with the context `C` that their handlers share.
pub struct Api<C> {
    description: ApiDescription<StubContext>,
    endpoints: Vec<Endpoint<C>>,
}

struct Endpoint<C> {
    method: Method,
    path: PathTemplate,
    handler: Handler<C>,
}

impl<C> fmt::Debug for Api<C> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Api")
            .field("endpoints", &self.endpoints.len())
            .finish_non_exhaustive()
    }
}

impl<C> Default for Api<C> {
    fn default() -> Self {
        Self::new()
    }
}

impl<C> Api<C> {
    /// Creates an API without endpoints.
    pub fn new() -> Self {
        Self {
            description: ApiDescription::new(),
            endpoints: Vec::new(),
        }
    }

    /// Adds an endpoint with its handler.
    ///
    /// # Panics
    ///
    /// Panics if the endpoint is malformed or registered already.
    pub fn register<F>(
        &mut self,
        endpoint: ApiEndpoint<StubContext>,
        handler: impl Fn(ApiRequest<C>) -> F + Send + Sync + 'static,
    ) where
        F: Future<Output = HandlerResult> + Send + 'static,
    {
        self.endpoints.push(Endpoint {
            method: endpoint.method.clone(),
            path: PathTemplate::new(&endpoint.path),
            handler: Arc::new(move |req| Box::pin(handler(req))),
        });
        self.description
            .register(endpoint)
            .expect("the endpoint is well-formed");
    }

    /// Returns the description, from which an `OpenAPI` document can be generated.
    pub fn into_description(self) -> ApiDescription<StubContext> {
        self.description
    }

    /// Finds the endpoint for a request, with the variables of its path.
    fn find(&self, method: &Method, path: &str) -> Result<Found<'_, C>, StatusCode> {
        let segments = path::decode(path).ok_or(StatusCode::BAD_REQUEST)?;
        let mut status = StatusCode::NOT_FOUND;
        for endpoint in &self.endpoints {
            let Some(variables) = endpoint.path.matches(&segments) else {
                continue;
            };
            if endpoint.method == *method {
                let handler = &endpoint.handler;
                return Ok(Found { handler, variables });
            }
            status = StatusCode::METHOD_NOT_ALLOWED;
        }
        Err(status)
    }
}

struct Found<'a, C> {
    handler: &'a Handler<C>,
    variables: BTreeMap<Box<str>, Box<str>>,
}

/// A running server of an API, which stops when dropped.
#[derive(Debug)]
pub struct ApiServer {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl ApiServer {
    /// Serves an API on `listener`.
    ///
    /// # Errors
    ///
    /// Fails if the listener has no address.
    pub fn start<C>(
        api: Api<C>,
        context: C,
        listener: TcpListener,
        connections: Arc<Connections>,
    ) -> Result<Self, Box<str>>
    where
        C: Clone + Send + Sync + 'static,
    {
        let address = listener.local_addr().map_err(|e| e.to_string())?;
        let api = Arc::new(api);
        let handler = move |req| handle(Arc::clone(&api), context.clone(), req);
        let (stop, stop_rx) = watch::channel(false);
        let task = tokio::spawn(async move {
            let (_limits, limits) = watch::channel(ConnectionLimits::default());
            serve_bounded(listener, limits, connections, stop_rx, handler).await;
        });
        Ok(Self {
            address,
            stop,
            task,
        })
    }

    /// Returns the address on which the API is served.
    pub fn local_addr(&self) -> SocketAddr {
        self.address
    }

    /// Accepts no more connections, and waits for a short time until the open ones have completed
    /// their requests.
    ///
    /// Connections that have sent no request, or whose request is unfinished, must not hold up a stop.
    pub async fn close(mut self) {
        self.stop.send_replace(true);
        if timeout(CLOSE_TIMEOUT, &mut self.task).await.is_err() {
            self.task.abort();
        }
    }
}

/// Answers one request.
async fn handle<C>(api: Arc<Api<C>>, context: C, req: Request<Incoming>) -> Response<Body>
where
    C: Send + 'static,
{
    let found = api.find(req.method(), req.uri().path());
    let mut response = match found {
        Ok(Found { handler, variables }) => {
            let answer = handler(ApiRequest::new(context, variables, req));
            // The handler runs to its end even if the caller leaves.
            match tokio::spawn(answer).await {
                Ok(result) => result.unwrap_or_else(|refusal| refusal_response(&refusal)),
                Err(e) => std::panic::resume_unwind(e.into_panic()),
            }
        }
        Err(status) => {
            crate::body::discard(req.into_body());
            unknown_call(status)
        }
    };
    if !response.headers().contains_key(REQUEST_ID_HEADER) {
        let id = uuid::Uuid::new_v4().to_string();
        let id = HeaderValue::from_str(&id).expect("a UUID is a header value");
        response.headers_mut().insert(REQUEST_ID_HEADER, id);
    }
    response
}

/// Returns the response to a request for which there is no endpoint.
fn unknown_call(status: StatusCode) -> Response<Body> {
    let (code, message) = match status {
        StatusCode::BAD_REQUEST => (Code::BadRequest, "the path is not valid"),
        StatusCode::METHOD_NOT_ALLOWED => (Code::MethodNotAllowed, "the method is not allowed"),
        _ => (Code::UnknownName, "there is no such call"),
    };
    refusal_response(&Refusal::not_run(code, message))
}
