//! Headers by which ingresses tell each other about a relayed request.

use http::header::CONNECTION;
use http::{HeaderMap, HeaderName, HeaderValue};
use toucanshelf_core::ids::Incarnation;

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

/// Response header of a relay with the version of the deployment by which it handled the request.
const DEPLOYMENT: HeaderName = HeaderName::from_static("toucanshelf-relay-deployment");
/// Response header of a relay with the targets of the request's service that take no new requests.
///
/// Each has the form `incarnation:id`, and commas separate them.
const LEAVING: HeaderName = HeaderName::from_static("toucanshelf-relay-leaving");
/// Maximum number of targets in the header [`LEAVING`].
const MAX_LEAVING: usize = 64;

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

/// What a relay says in its response about its deployment and the targets.
#[derive(Debug, Default)]
pub(crate) struct RelayNotices {
    /// Version of the deployment by which the relay handled the request.
    pub deployment: Option<u64>,
    /// Targets of the request's service that take no new requests.
    pub leaving: Vec<(Incarnation, Box<str>)>,
}

impl RelayNotices {
    /// Sets the headers of a response to a relayed request.
    ///
    /// They are listed in `Connection`, so that an ingress of an earlier build, which doesn't know
    /// them, doesn't pass them on to the caller.
    pub(super) fn set(&self, headers: &mut HeaderMap) {
        if let Some(version) = self.deployment {
            headers.insert(DEPLOYMENT, HeaderValue::from(version));
            headers.append(CONNECTION, HeaderValue::from_name(DEPLOYMENT));
        }
        let named = self.leaving.iter().filter(|(_, id)| !id.contains(','));
        let leaving: Vec<_> = named
            .take(MAX_LEAVING)
            .map(|(incarnation, id)| format!("{}:{id}", incarnation.0))
            .collect();
        // An identifier that isn't valid in a header is the target's own choice.
        let value = HeaderValue::from_str(&leaving.join(","));
        if let Some(value) = value.ok().filter(|value| !value.is_empty()) {
            headers.insert(LEAVING, value);
            headers.append(CONNECTION, HeaderValue::from_name(LEAVING));
        }
    }

    /// Takes the notices out of the headers of a relay's response.
    pub(super) fn take(headers: &mut HeaderMap) -> Self {
        let deployment = headers.remove(DEPLOYMENT);
        let leaving = headers.remove(LEAVING);
        let leaving = leaving.as_ref().and_then(|value| value.to_str().ok());
        let leaving = leaving.into_iter().flat_map(|value| value.split(','));
        let leaving = leaving.filter_map(|target| {
            let (incarnation, id) = target.split_once(':')?;
            Some((Incarnation(incarnation.parse().ok()?), id.into()))
        });
        Self {
            deployment: deployment.and_then(|value| value.to_str().ok()?.parse().ok()),
            leaving: leaving.collect(),
        }
    }
}
