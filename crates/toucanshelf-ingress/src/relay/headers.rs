//! Headers by which ingresses tell each other about a relayed request.

use http::{HeaderMap, HeaderName, HeaderValue};

use crate::response::ProxyResponse;

/// Header with the version of the deployment that the relay must at least have.
///
/// Without it, a caller could see an older deployment at the same ingress.
const MIN_DEPLOYMENT: HeaderName = HeaderName::from_static("toucanshelf-min-deployment");
/// Header that tells the relay that another ingress has counted the request for its budget.
const COUNTED: HeaderName = HeaderName::from_static("toucanshelf-counted");
/// Header with the number of runs that count towards the limit of the request's route.
///
/// It is present if a target may have run the request, also if no run counts.
const EARLIER_RUNS: HeaderName = HeaderName::from_static("toucanshelf-earlier-runs");
/// Response header of a relay that has not offered the request to any target.
///
/// Without it, the refusal of a relay is final: another relay would offer the request anew, beyond
/// the budget of repeated sends.
const UNABLE: HeaderName = HeaderName::from_static("toucanshelf-relay-unable");

/// Response header of a relay with the number of counted runs, its own included.
const RUNS: HeaderName = HeaderName::from_static("toucanshelf-relay-runs");

/// What another ingress says about a request that it relays.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RelayMetadata {
    /// Minimum version of the deployment, if it is named.
    pub min_deployment: Option<u64>,
    /// Whether an ingress has counted the request for its budget of repeated sends.
    pub counted: bool,
    /// Number of counted runs before; `None` if no target can have run the request.
    pub earlier_runs: Option<u32>,
}

impl RelayMetadata {
    /// Takes the metadata out of the headers of a relayed request.
    pub fn take(headers: &mut HeaderMap) -> Self {
        let min_deployment = headers.remove(MIN_DEPLOYMENT);
        let min_deployment = min_deployment.and_then(|value| value.to_str().ok()?.parse().ok());
        let counted = headers.remove(COUNTED).is_some();
        let earlier_runs = headers.remove(EARLIER_RUNS);
        let earlier_runs = earlier_runs.and_then(|value| value.to_str().ok()?.parse().ok());
        Self {
            min_deployment,
            counted,
            earlier_runs,
        }
    }

    /// Replaces the metadata in the headers of a request to a relay.
    pub(super) fn set(self, headers: &mut HeaderMap) {
        headers.remove(MIN_DEPLOYMENT);
        headers.remove(COUNTED);
        headers.remove(EARLIER_RUNS);
        if let Some(version) = self.min_deployment {
            headers.insert(MIN_DEPLOYMENT, HeaderValue::from(version));
        }
        if self.counted {
            headers.insert(COUNTED, HeaderValue::from_static("1"));
        }
        if let Some(runs) = self.earlier_runs {
            headers.insert(EARLIER_RUNS, HeaderValue::from(runs));
        }
    }
}

/// Marks the response to a relayed request that was not offered to any target.
pub(crate) fn mark_unable(response: &mut ProxyResponse) {
    let headers = response.headers_mut();
    headers.insert(UNABLE, HeaderValue::from_static("1"));
}

/// Returns whether a relay has marked its response with [`mark_unable`].
pub(super) fn is_marked_unable(headers: &HeaderMap) -> bool {
    headers.contains_key(UNABLE)
}

/// Names the counted runs in the response to a relayed request.
pub(crate) fn set_runs(headers: &mut HeaderMap, runs: u32) {
    headers.insert(RUNS, HeaderValue::from(runs));
}

/// Takes the runs that a relay has named with [`set_runs`] out of its response.
pub(super) fn take_runs(headers: &mut HeaderMap) -> Option<u32> {
    let runs = headers.remove(RUNS)?;
    runs.to_str().ok()?.parse().ok()
}
