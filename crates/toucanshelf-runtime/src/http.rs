//! Answers and errors of the HTTP interfaces.

use std::fmt;

use dropshot::{Body, ErrorStatusCode, HttpError, HttpResponseError};
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use schemars::JsonSchema;
use serde::Serialize;
use toucanshelf_core::outcome::{Code, Refusal};

/// Header with the outcome of a request.
pub const OUTCOME_HEADER: &str = "x-toucanshelf-outcome";
/// Header with the identifier of a request.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Error body: one shape for every refusal and failure.
#[derive(Debug, JsonSchema, Serialize)]
pub struct ErrorBody {
    /// The error.
    pub error: ErrorDetail,
}

/// Content of an error.
#[derive(Debug, JsonSchema, Serialize)]
pub struct ErrorDetail {
    /// Stable code.
    pub code: Box<str>,
    /// `not_run`, `failed` or `unknown`.
    pub outcome: Box<str>,
    /// What was being done, then the cause.
    pub message: Box<str>,
    /// Names the caller could have meant.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub candidates: Vec<Box<str>>,
}

impl ErrorBody {
    /// Body for a refusal.
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

/// Error that a handler returns before it has an answer of its own.
#[derive(Debug, JsonSchema, Serialize)]
#[serde(transparent)]
pub struct ApiError {
    body: ErrorBody,
    #[serde(skip)]
    #[schemars(skip)]
    status: u16,
}

impl ApiError {
    /// Error for a refusal.
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
            // dropshot answers 400 to a body over the limit.
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

/// Answer with a JSON body.
pub fn json_response(status: u16, value: &impl Serialize) -> Response<Body> {
    let body = serde_json::to_vec(value).expect("answers are always serialisable");
    bytes_response(status, "application/json", body)
}

/// Answer with any body.
pub fn bytes_response(status: u16, content_type: &str, body: Vec<u8>) -> Response<Body> {
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let value = HeaderValue::from_str(content_type)
        .unwrap_or(HeaderValue::from_static("application/octet-stream"));
    response.headers_mut().insert(CONTENT_TYPE, value);
    response
}

/// Answer of a handler; refusals have headers of their own.
///
/// # Errors
///
/// Never fails; the type is what handlers return.
pub fn answer(result: Result<Response<Body>, Refusal>) -> Result<Response<Body>, ApiError> {
    Ok(result.unwrap_or_else(|refusal| refusal_response(&refusal)))
}

/// Answer for a refusal, with its headers.
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
