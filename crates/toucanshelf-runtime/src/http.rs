//! Responses and errors of the HTTP APIs.

use std::fmt;

use dropshot::{Body, ErrorStatusCode, HttpError, HttpResponseError};
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use schemars::JsonSchema;
use serde::Serialize;
use toucanshelf_core::outcome::{Code, Refusal};

/// Response header that carries the outcome of a request.
pub const OUTCOME_HEADER: &str = "x-toucanshelf-outcome";
/// Header that carries the identifier of a request.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Body of every error response, for refusals as well as failures.
#[derive(Debug, JsonSchema, Serialize)]
pub struct ErrorBody {
    /// Details of the error.
    pub error: ErrorDetail,
}

/// Details of an error.
#[derive(Debug, JsonSchema, Serialize)]
pub struct ErrorDetail {
    /// Stable error code.
    pub code: Box<str>,
    /// Outcome of the request: `not_run`, `failed` or `unknown`.
    pub outcome: Box<str>,
    /// Operation that failed, followed by the cause.
    pub message: Box<str>,
    /// Existing names that the caller may have meant.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub candidates: Vec<Box<str>>,
}

impl ErrorBody {
    /// Creates the error body for a refusal.
    pub fn new(refusal: &Refusal) -> Self {
        let error = ErrorDetail {
            code: refusal.code.as_str().into(),
            outcome: refusal.outcome.to_string().into(),
            message: refusal.message.clone(),
            candidates: refusal.candidates.clone(),
        };
        Self { error }
    }
}

/// Error that an API handler returns if it cannot produce its own response.
#[derive(Debug, JsonSchema, Serialize)]
#[serde(transparent)]
pub struct ApiError {
    body: ErrorBody,
    #[serde(skip)]
    #[schemars(skip)]
    status: u16,
}

impl ApiError {
    /// Creates the API error for a refusal.
    pub fn new(refusal: &Refusal) -> Self {
        Self {
            body: ErrorBody::new(refusal),
            status: refusal.code.http_status(),
        }
    }
}

impl fmt::Display for ApiError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.body.error.code, self.body.error.message)
    }
}

impl From<Refusal> for ApiError {
    fn from(refusal: Refusal) -> Self {
        Self::new(&refusal)
    }
}

impl From<HttpError> for ApiError {
    fn from(error: HttpError) -> Self {
        let code = match error.status_code.as_u16() {
            413 => Code::TooLarge,
            // Dropshot responds with status 400 if the body exceeds the size limit.
            400 if error.external_message.contains("exceeded maximum size") => Code::TooLarge,
            404 => Code::UnknownName,
            _ => Code::BadRequest,
        };
        Self::new(&Refusal::not_run(code, error.external_message))
    }
}

impl HttpResponseError for ApiError {
    fn status_code(&self) -> ErrorStatusCode {
        ErrorStatusCode::from_u16(self.status).unwrap_or(ErrorStatusCode::INTERNAL_SERVER_ERROR)
    }
}

/// Creates a response with a JSON body.
pub fn json_response(status: u16, value: &impl Serialize) -> Response<Body> {
    let body = serde_json::to_vec(value).expect("responses are always serialisable");
    bytes_response(status, "application/json", body)
}

/// Creates a response with the given body and media type.
pub fn bytes_response(status: u16, content_type: &str, body: Vec<u8>) -> Response<Body> {
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let value = HeaderValue::from_str(content_type)
        .unwrap_or(HeaderValue::from_static("application/octet-stream"));
    response.headers_mut().insert(CONTENT_TYPE, value);
    response
}

/// Converts the result of a handler into its response.
///
/// A refusal becomes a response instead of an [`ApiError`], because it needs additional headers.
///
/// # Errors
///
/// Never fails; the return type is the one that API handlers require.
pub fn handler_response(
    result: Result<Response<Body>, Refusal>,
) -> Result<Response<Body>, ApiError> {
    Ok(result.unwrap_or_else(|refusal| refusal_response(&refusal)))
}

/// Creates the response for a refusal, including its headers.
pub fn refusal_response(refusal: &Refusal) -> Response<Body> {
    let mut response = json_response(refusal.code.http_status(), &ErrorBody::new(refusal));
    let outcome = HeaderValue::from_str(&refusal.outcome.to_string());
    response
        .headers_mut()
        .insert(OUTCOME_HEADER, outcome.expect("outcomes are ASCII"));
    if let Some(seconds) = refusal.retry_after_s {
        response.headers_mut().insert(RETRY_AFTER, seconds.into());
    }
    response
}
