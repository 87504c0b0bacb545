//! Selects a route for a stream and opens the stream on it.
//!
//! A route is a sequence of engines that together run all layers of a model. An attempt is one send
//! of the request to the first engine of a route. It counts as a run from its start, unless the request
//! certainly has not run there or that engine has ended; the number of runs is limited.

use tokio::time::Instant;
use toucanshelf_routing::runs::{AttemptKey, AttemptState};

use crate::attempt::{AttemptError, Destination, OpenResponse, send};
use crate::content_guard::{ContentAttempt, begin_attempt, begin_resumed_attempt};
use crate::events::EventSplitter;
use crate::live_route::{LiveRoute, StreamFailure, mark_down_and_report};
use crate::permits;
use crate::response::{Refusal, full_body};
use crate::rooms;
use crate::targets::{DownCause, RouteHop};

use super::{AvoidedEngines, Opened, RETRY_AFTER, StreamSession, Upstream};

/// Maximum number of attempts for one request, whether or not the request ran.
const MAX_TOTAL_ATTEMPTS: u32 = 6;

/// Route of the next attempt, or why there is none.
enum NextRoute {
    /// Engines of the route.
    Found(Vec<RouteHop>),
    /// All routes lack room for a request of this rank.
    NoRoom,
    /// No route exists, or the limit of attempts or the service's budget of repeated sends is
    /// exhausted.
    NoEngine,
}

impl StreamSession {
    /// Sends the request to one route after another until one opens the stream.
    ///
    /// Returns the reason for the caller if no route does.
    pub(super) async fn open(&mut self, avoided: AvoidedEngines) -> Result<Opened, Refusal> {
        loop {
            if self.req.response_due() <= Instant::now() {
                return Err(self.deadline_refusal());
            }
            if self.may_relay() {
                return Err(self.unavailable_refusal());
            }
            if !self.has_run_left() {
                return Err(self.unavailable_refusal());
            }
            let content = self.begin_attempt().await?;
            let route = match self.next_route(avoided).await {
                NextRoute::Found(route) => route,
                NextRoute::NoRoom => {
                    let retry_after = rooms::record_refused(&self.shared, &self.req);
                    self.retry_after = retry_after.unwrap_or(RETRY_AFTER);
                    return Err(Refusal::NoRoom);
                }
                NextRoute::NoEngine => {
                    self.shared.isolation.record_no_target();
                    let retry_after = permits::retry_after(&self.shared, &self.req.service);
                    self.retry_after = retry_after.unwrap_or(RETRY_AFTER);
                    return Err(self.unavailable_refusal());
                }
            };
            let attempt = self.ledger.begin(route[0].key);
            match self.attempt(route, attempt, content).await {
                Ok(opened) => return Ok(opened),
                Err(e) if e.has_not_run() => {}
                Err(_) if self.may_retry() => {}
                Err(AttemptError::TimedOut) => return Err(self.deadline_refusal()),
                Err(_) => return Err(self.unavailable_refusal()),
            }
        }
    }

    /// Waits until the request may be sent.
    async fn begin_attempt(&mut self) -> Result<ContentAttempt, Refusal> {
        let begun = if self.events > 0 {
            begin_resumed_attempt(&self.shared, &self.req)
        } else {
            begin_attempt(&self.shared, &self.req).await
        };
        match begun {
            Ok(attempt) => Ok(attempt),
            Err(retry_after) => {
                self.retry_after = retry_after;
                Err(if self.ledger.may_have_run() {
                    Refusal::Lost
                } else {
                    Refusal::Quarantined
                })
            }
        }
    }

    /// Chooses the route of the next attempt.
    async fn next_route(&self, avoided: AvoidedEngines) -> NextRoute {
        if self.ledger.attempts() >= MAX_TOTAL_ATTEMPTS {
            return NextRoute::NoEngine;
        }
        let limit = self.room_limit();
        let is_within_limit = limit.is_some_and(|limit| self.has_room(avoided, limit));
        if limit.is_some() && !is_within_limit && !rooms::takes_floor(&self.shared, &self.req) {
            return NextRoute::NoRoom;
        }
        let choose = || {
            let route = self.find_route(avoided)?;
            Some((route[0].key, route))
        };
        let is_repeat = self.ledger.attempts() > 0;
        let chosen = permits::choose_permitted(&self.shared, &self.req, is_repeat, choose).await;
        let Some(route) = chosen else {
            return NextRoute::NoEngine;
        };
        if is_within_limit && !is_repeat {
            rooms::record_begun(&self.shared, &self.req);
        }
        NextRoute::Found(route)
    }

    /// Returns whether less than the share `limit` of the room on each engine of the best route is in use.
    ///
    /// A request that has no route lacks an engine, not room.
    fn has_room(&self, avoided: AvoidedEngines, limit: f64) -> bool {
        let Some(route) = self.find_route(avoided) else {
            return true;
        };
        let now = self.shared.now();
        let targets = self.shared.targets();
        targets.room_in_use(&self.req.service, &route, now) < limit
    }

    /// Returns the share of the engines' room that the next attempt may fill, if it is limited.
    ///
    /// A request that may have run is not limited: what it has used would be lost.
    fn room_limit(&self) -> Option<f64> {
        let is_new = self.events == 0 && !self.ledger.may_have_run();
        is_new.then(|| rooms::limit(&self.shared, &self.req))?
    }

    /// Sends the request to the first engine of a route and opens its response.
    async fn attempt(
        &mut self,
        route: Vec<RouteHop>,
        attempt: AttemptKey,
        mut content: ContentAttempt,
    ) -> Result<Opened, AttemptError> {
        let first = route[0];
        let (engine, crash) = {
            let targets = self.shared.targets();
            (targets.instance(first.key), targets.crash_id(first.key))
        };
        let (Some(engine), Some(crash)) = (engine, crash) else {
            self.ledger.settle(attempt, AttemptState::NotSent);
            return Err(AttemptError::NotSent("the engine has deregistered".into()));
        };
        let hops: Vec<_> = route.iter().map(|hop| (hop.address, hop.layers)).collect();
        let destination = Destination {
            id: &engine.id,
            address: first.address,
            hops: &hops,
            last_event: self.delivered.last_event.filter(|_| self.events > 0),
            continued: self.delivered.status,
        };
        self.first_engine = Some(first.address);
        self.zone_crossings = self.shared.targets().zone_crossings(&route);
        let mut live_route = LiveRoute::new(&self.shared, &self.req, engine.clone(), route);
        let sending = self.send_watched(&destination, &mut live_route);
        let result = tokio::select! {
            result = sending => result,
            () = content.refused() => Err(AttemptError::Cancelled),
        };
        let open = match result {
            Ok(open) => open,
            Err(e) => {
                let has_ended = self.shared.targets().has_ended(first.key);
                if e.shows_crash(has_ended) {
                    content.record_crash(&self.req, crash);
                }
                self.record_attempt_error(&live_route, attempt, &e);
                return Err(e);
            }
        };
        if !open.response.status().is_success() {
            let read_result = open
                .read_to_end(&self.shared, self.req.response_due())
                .await;
            self.ledger.settle(attempt, AttemptState::MayHaveRun);
            let response = read_result?;
            let status = response.status().as_u16();
            self.finish("target-failure", status);
            return Ok(Opened::ErrorResponse(response.map(full_body)));
        }
        let ends_with_connection = open.ends_with_connection();
        let (head, body, connection) = open.into_stream();
        let upstream = Upstream {
            body,
            connection,
            splitter: EventSplitter::new().with_buffers(self.shared.response_buffers.clone()),
            route: live_route,
            attempt,
            ends_with_connection,
            has_event: false,
            crash,
            content,
        };
        Ok(Opened::Stream(head, Box::new(upstream)))
    }

    /// Sends the request and waits for the response head.
    ///
    /// Meanwhile failed engines of the route are replaced. If that is impossible and the request
    /// may move to another route, the attempt fails.
    async fn send_watched(
        &self,
        destination: &Destination<'_>,
        route: &mut LiveRoute,
    ) -> Result<OpenResponse, AttemptError> {
        let due = self.req.response_due();
        let sending = send(&self.shared, &self.req, destination, due);
        let mut sending = std::pin::pin!(sending);
        loop {
            tokio::select! {
                result = &mut sending => return result,
                failure = route.watch() => {
                    if !self.keeps_route(&failure, route) {
                        return Err(AttemptError::Lost(failure.to_string().into()));
                    }
                }
            }
        }
    }

    /// Returns whether a failing stream stays on `route`, for lack of an alternative.
    ///
    /// A stream stays only if it may still recover there. This method then makes
    /// [`LiveRoute::watch`] pause its checks and repairs of the route for 150 ms
    /// (`RECHECK_INTERVAL`).
    pub(super) fn keeps_route(&self, failure: &StreamFailure, route: &mut LiveRoute) -> bool {
        let keeps_route = failure.may_recover() && !self.can_fail_over(route);
        if keeps_route {
            route.extend_wait();
        }
        keeps_route
    }

    /// Returns whether the stream on `route` may move to another route now.
    pub(super) fn can_fail_over(&self, route: &LiveRoute) -> bool {
        if self.relay_is_due(route) {
            return true;
        }
        self.may_retry()
            && self.ledger.attempts() < MAX_TOTAL_ATTEMPTS
            && self.find_route(AvoidedEngines::Excluded).is_some()
            && self.shared.has_repeat(&self.req.service)
    }

    /// Finds the cheapest route without the engines in [`StreamSession::excluded`].
    ///
    /// `avoided` tells whether first engines on which the stream failed before, listed in
    /// [`StreamSession::avoided`], may be chosen again.
    fn find_route(&self, avoided: AvoidedEngines) -> Option<Vec<RouteHop>> {
        let (targets, now) = (self.shared.targets(), self.shared.now());
        let excluded_or_avoided: Vec<_> =
            self.excluded.iter().chain(&self.avoided).copied().collect();
        let service = &self.req.service;
        let route = targets.choose_route(service, &excluded_or_avoided, now);
        let route = match (route, avoided) {
            (None, AvoidedEngines::LastResort) => {
                targets.choose_route(service, &self.excluded, now)
            }
            (route, _) => route,
        };
        route.filter(|route| !route.is_empty())
    }

    /// Updates the engines' health and the ledger of runs after a failed attempt.
    fn record_attempt_error(
        &mut self,
        route: &LiveRoute,
        attempt: AttemptKey,
        error: &AttemptError,
    ) {
        let first = route.hops()[0];
        let now = self.shared.now();
        match error {
            AttemptError::NotSent(_) => {
                self.ledger.settle(attempt, AttemptState::NotSent);
                mark_down_and_report(
                    &self.shared,
                    self.req.id(),
                    first,
                    DownCause::ConnectionFailed,
                );
            }
            AttemptError::NotRun { status, at_fault } => {
                self.ledger.settle(attempt, AttemptState::NotRun);
                let address = at_fault.unwrap_or(first.address);
                let mut targets = self.shared.targets();
                let hop = route.hops().iter().find(|hop| hop.address == address);
                let key = hop.map_or(first.key, |hop| hop.key);
                if *status == http::StatusCode::MISDIRECTED_REQUEST {
                    targets.record_missing_layers(key, now);
                } else if targets.has_unrecovered_failure(key) {
                    targets.mark_down(key, now, DownCause::Refused);
                } else {
                    targets.record_refusal(key, now);
                }
                self.excluded.push(key);
            }
            AttemptError::Disconnected(_)
            | AttemptError::Lost(_)
            | AttemptError::TimedOut
            | AttemptError::Cancelled => {
                self.settle_run(attempt, first.key);
            }
        }
    }
}
