//! Matching of requests to routes by host and path, and to organisations by key.
//!
//! A route in this module is a rule of the deployment's settings that sends the requests for a host
//! and path prefix to services, which share them by weight.

use std::collections::HashMap;

use toucanshelf_core::deployment::{Deployment, Route};
use toucanshelf_core::rank::{Rank, RankTable};

/// The settings of a deployment, indexed by host and by API key.
#[derive(Debug)]
pub struct RouteTable {
    deployment: Deployment,
    /// Indices in `deployment.routes` of each host's routes, the longest path prefix first.
    hosts: HashMap<Box<str>, Vec<usize>>,
    /// Index in `deployment.organisations` of the holder of each API key.
    keys: HashMap<Box<str>, usize>,
    ranks: RankTable,
}

/// Reason why a request has no route or no organisation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MatchError {
    /// No route matches the host and path.
    NoRoute,
    /// The API key is missing or belongs to no organisation.
    UnknownKey,
}

/// The route and the organisation that were found for a request.
#[derive(Clone, Copy, Debug)]
pub struct RouteMatch<'a> {
    /// Route that the request takes.
    pub route: &'a Route,
    /// Organisation of the caller; `None` on public routes or if no organisation is configured.
    pub organisation: Option<&'a str>,
    /// Priority of the organisation; 0 is the most urgent.
    organisation_priority: Option<u8>,
    ranks: &'a RankTable,
}

impl RouteTable {
    /// Builds the table of a validated deployment.
    pub fn new(deployment: Deployment) -> Self {
        let mut hosts: HashMap<Box<str>, Vec<usize>> = HashMap::new();
        for (i, route) in deployment.routes.iter().enumerate() {
            let host = route.host.to_ascii_lowercase().into();
            hosts.entry(host).or_default().push(i);
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|i| std::cmp::Reverse(deployment.routes[*i].path_prefix.len()));
        }
        let mut keys = HashMap::new();
        for (i, organisation) in deployment.organisations.iter().enumerate() {
            keys.extend(organisation.keys.iter().map(|key| (key.clone(), i)));
        }
        Self {
            ranks: RankTable::new(&deployment),
            deployment,
            hosts,
            keys,
        }
    }

    /// Settings of the deployment that the table was built from.
    pub fn deployment(&self) -> &Deployment {
        &self.deployment
    }

    /// Finds the route and the organisation of a request.
    ///
    /// # Errors
    ///
    /// Fails when no route matches, or when the route is not public and no organisation holds
    /// `key`. Without configured organisations, every route is treated as public.
    pub fn find(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<RouteMatch<'_>, MatchError> {
        let host = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        let routes = self.hosts.get(&*host).ok_or(MatchError::NoRoute)?;
        let mut routes = routes.iter().map(|i| &self.deployment.routes[*i]);
        let route = routes
            .find(|route| path.starts_with(&*route.path_prefix))
            .ok_or(MatchError::NoRoute)?;
        if route.public || self.deployment.organisations.is_empty() {
            return Ok(RouteMatch {
                route,
                organisation: None,
                organisation_priority: None,
                ranks: &self.ranks,
            });
        }
        let organisation = key.and_then(|key| self.keys.get(key));
        let organisation = organisation.ok_or(MatchError::UnknownKey)?;
        let organisation = &self.deployment.organisations[*organisation];
        Ok(RouteMatch {
            route,
            organisation: Some(&organisation.name),
            organisation_priority: organisation.priority,
            ranks: &self.ranks,
        })
    }

    /// Returns the number of ranks of a service's requests, or 0 if the service isn't ranked.
    pub fn ranks(&self, service: &str) -> usize {
        self.ranks.ranks(service)
    }
}

impl RouteMatch<'_> {
    /// Selects one of the route's services at random, by weight.
    ///
    /// `sample` must be drawn uniformly from `0.0..1.0`.
    pub fn service(&self, sample: f64) -> &str {
        let shares = &self.route.shares;
        let total: u64 = shares.iter().map(|share| u64::from(share.weight)).sum();
        let mut remaining = sample * total as f64;
        for share in shares.iter().filter(|share| share.weight > 0) {
            remaining -= f64::from(share.weight);
            if remaining < 0.0 {
                return &share.service;
            }
        }
        let last = shares.iter().rev().find(|share| share.weight > 0);
        &last
            .expect("a validated route has a service with a positive weight")
            .service
    }

    /// Returns the rank of the request among those for `service`, one of the route's services.
    ///
    /// Returns `None` if the routes to the service don't differ in priority.
    pub fn rank(&self, service: &str) -> Option<Rank> {
        let route_priority = self.route.priority;
        self.ranks
            .rank(service, self.organisation_priority, route_priority)
    }
}
