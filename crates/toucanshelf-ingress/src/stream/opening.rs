//! Finds a route for a stream and opens it there.

use tokio::time::Instant;

use crate::answer::{Refusal, full};
use crate::attempt::{AttemptError, Destination, OpenAnswer, send};
use crate::events::EventSplitter;
use crate::live_route::{Failure, LiveRoute, take_down};
use crate::targets::RouteHop;

use super::{Avoided, Opened, Source, StreamRun};

/// Routes that are offered a request before it is refused.
const MAX_OFFERS: u32 = 6;

impl StreamRun {
    /// Opens the stream at the first route that takes it.
    pub(super) async fn open(&mut self, avoided: Avoided) -> Result<Opened, Refusal> {
        loop {
            if self.req.answer_due() <= Instant::now() {
                return Err(self.expired());
            }
            let Some(route) = self.next_route(avoided) else {
                return Err(self.refusal());
            };
            self.offers += 1;
            match self.attempt(route).await {
                Ok(opened) => return Ok(opened),
                Err(e) if e.has_not_run() => {}
                Err(_) if self.may_go_on() => {}
                Err(AttemptError::TimedOut) => return Err(self.expired()),
                Err(_) => return Err(self.refusal()),
            }
        }
    }

    fn next_route(&mut self, avoided: Avoided) -> Option<Vec<RouteHop>> {
        let (shared, service) = (&self.shared, &self.req.service);
        if self.offers >= MAX_OFFERS {
            return None;
        }
        let route = self.find_route(avoided)?;
        (self.offers == 0 || shared.take_repeat(service)).then_some(route)
    }

    async fn attempt(&mut self, route: Vec<RouteHop>) -> Result<Opened, AttemptError> {
        let first = route[0];
        let Some(id) = self.shared.targets().id(first.key) else {
            return Err(AttemptError::NotSent("the engine has left".into()));
        };
        let hops: Vec<_> = route.iter().map(|hop| (hop.address, hop.layers)).collect();
        let destination = Destination {
            id: &id,
            address: first.address,
            hops: &hops,
            last_event: self.last_event.filter(|_| self.events > 0),
        };
        self.first = Some(first.address);
        self.crossings = self.shared.targets().crossings(&route);
        let mut live = LiveRoute::new(&self.shared, &self.req, route);
        let result = self.send_watched(&destination, &mut live).await;
        let open = match result {
            Ok(open) => open,
            Err(e) => {
                self.note_refused(&live, &e);
                return Err(e);
            }
        };
        if !open.response.status().is_success() {
            let whole = open.whole(&self.shared, self.req.answer_due()).await;
            self.runs += 1;
            self.may_have_run = true;
            let answer = whole?;
            let status = answer.status().as_u16();
            self.finish("target-failure", status);
            return Ok(Opened::Failure(answer.map(full)));
        }
        let (head, body, kept) = open.into_stream();
        let source = Source {
            body,
            kept,
            splitter: EventSplitter::new(),
            route: live,
        };
        Ok(Opened::Stream(head, Box::new(source)))
    }

    /// Sends the request and waits for the head of the answer, as long as the route holds.
    async fn send_watched(
        &self,
        destination: &Destination<'_>,
        route: &mut LiveRoute,
    ) -> Result<OpenAnswer, AttemptError> {
        let due = self.req.answer_due();
        let sending = send(&self.shared, &self.req, destination, due);
        let mut sending = std::pin::pin!(sending);
        loop {
            tokio::select! {
                result = &mut sending => return result,
                failure = route.watch() => {
                    if !self.stays(&failure, route) {
                        return Err(AttemptError::Lost(failure.to_string().into()));
                    }
                }
            }
        }
    }

    /// Whether a stream that is held up has nowhere else to go.
    pub(super) fn stays(&self, failure: &Failure, route: &mut LiveRoute) -> bool {
        let stays = failure.may_pass() && !self.can_go_elsewhere(route);
        if stays {
            route.wait_on();
        }
        stays
    }

    /// Whether another run is allowed beside the one on `route`, and there is a route for it.
    pub(super) fn can_go_elsewhere(&self, route: &LiveRoute) -> bool {
        self.may_go_on()
            && self.runs + self.runs_on(route) < self.req.max_attempts
            && self.offers < MAX_OFFERS
            && self.find_route(Avoided::Never).is_some()
            && self.shared.has_repeat(&self.req.service)
    }

    /// Cheapest route without engines that have refused or, if possible, lost the request.
    fn find_route(&self, avoided: Avoided) -> Option<Vec<RouteHop>> {
        let (targets, now) = (self.shared.targets(), self.shared.now());
        let both: Vec<_> = self.excluded.iter().chain(&self.avoided).copied().collect();
        let service = &self.req.service;
        let route = targets.choose_route(service, &both, now);
        let route = match (route, avoided) {
            (None, Avoided::IfNeeded) => targets.choose_route(service, &self.excluded, now),
            (route, _) => route,
        };
        route.filter(|route| !route.is_empty())
    }

    /// Draws conclusions from an attempt that was not taken.
    fn note_refused(&mut self, route: &LiveRoute, error: &AttemptError) {
        let first = route.hops()[0];
        let now = self.shared.now();
        match error {
            AttemptError::NotSent(_) => {
                take_down(&self.shared, self.req.id(), first, "it can't be reached");
            }
            AttemptError::NotRun { status, at_fault } => {
                let address = at_fault.unwrap_or(first.address);
                let mut targets = self.shared.targets();
                let hop = route.hops().iter().find(|hop| hop.address == address);
                let key = hop.map_or(first.key, |hop| hop.key);
                if *status == http::StatusCode::MISDIRECTED_REQUEST {
                    targets.note_misplaced(key, now);
                } else if targets.is_on_trial(key) {
                    targets.note_down(key, now);
                } else {
                    targets.note_refusal(key, now);
                }
                self.excluded.push(key);
            }
            AttemptError::Lost(_) | AttemptError::TimedOut => self.count_run(route),
        }
    }

    /// Counts an attempt that may have run, unless its first engine has failed.
    // An engine further on that has failed does not undo the run on the first one.
    pub(super) fn count_run(&mut self, route: &LiveRoute) {
        self.may_have_run = true;
        let runs = self.runs_on(route);
        self.runs += runs;
        if runs > 0 {
            self.avoided.push(route.hops()[0].key);
        }
    }

    /// 1 where the first engine of a route lives, else 0.
    fn runs_on(&self, route: &LiveRoute) -> u32 {
        let first = route.hops()[0].key;
        let failed = self.shared.targets().has_failed(first, self.shared.now());
        u32::from(!failed)
    }
}
