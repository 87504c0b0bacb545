//! Responses and errors of the HTTP APIs.
//!
//! A refusal is an error response with a code and the outcome of the request, which tells whether
//! the request has run.

use std::fmt;

use dropshot::{Body, ErrorStatusCode, HttpError, HttpResponseError};
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use schemars::JsonSchema;
use serde::Serialize;
use toucanshelf_core::outcome::{Code, Refusal};

/// Response header that states whether a refused request has run.
pub const OUTCOME_HEADER: &str = "x-toucanshelf-outcome";
/// HTTP header that carries the identifier of a request.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// JSON body of every error response.
#[derive(Debug, JsonSchema, Serialize)]
pub struct ErrorBody {
    /// Code, outcome and message of the error.
    pub error: ErrorDetail,
}

/// Code, outcome and message of an error response.
#[derive(Debug, JsonSchema, Serialize)]
pub struct ErrorDetail {
    /// Error code, which stays the same between versions.
    pub code: Box<str>,
    /// What is known of the request's execution: `not_run`, `failed` or `unknown`.
    pub outcome: Box<str>,
    /// Description of the operation that failed and of the cause.
    pub message: Box<str>,
    /// Existing names that the caller may have meant.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub candidates: Vec<Box<str>>,
}

impl ErrorBody {
    /// Creates the body of the error response for a refusal.
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
            // Dropshot reports a request body over the size limit as status 400 instead of 413.
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

/// Creates the HTTP response for a refusal, with its outcome and retry headers.
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
