//! Finds the route of a request by host and longest prefix, and the organisation by key.

use std::collections::HashMap;

use toucanshelf_core::deployment::{Deployment, Route};

/// A deployment, indexed for requests.
#[derive(Debug)]
pub struct RouteTable {
    deployment: Deployment,
    /// Routes of each host, the longest prefix first.
    hosts: HashMap<Box<str>, Vec<usize>>,
    /// Organisation of each key.
    keys: HashMap<Box<str>, usize>,
}

/// Why a request is not allowed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Denial {
    /// No route matches.
    NoRoute,
    /// The key is missing or belongs to no organisation.
    UnknownKey,
}

/// What a request is allowed.
#[derive(Clone, Copy, Debug)]
pub struct Match<'a> {
    /// The route.
    pub route: &'a Route,
    /// Organisation of the caller; none on public routes and where keys are not in use.
    pub organisation: Option<&'a str>,
}

impl RouteTable {
    /// Indexes a checked deployment.
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
            deployment,
            hosts,
            keys,
        }
    }

    /// The deployment.
    pub fn deployment(&self) -> &Deployment {
        &self.deployment
    }

    /// Route and organisation of a request.
    ///
    /// # Errors
    ///
    /// Fails when no route matches or the route needs a key that no organisation holds.
    pub fn find(&self, host: &str, path: &str, key: Option<&str>) -> Result<Match<'_>, Denial> {
        let host = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        let routes = self.hosts.get(&*host).ok_or(Denial::NoRoute)?;
        let mut routes = routes.iter().map(|i| &self.deployment.routes[*i]);
        let route = routes
            .find(|route| path.starts_with(&*route.path_prefix))
            .ok_or(Denial::NoRoute)?;
        if route.public || self.deployment.organisations.is_empty() {
            return Ok(Match {
                route,
                organisation: None,
            });
        }
        let organisation = key.and_then(|key| self.keys.get(key));
        let organisation = organisation.ok_or(Denial::UnknownKey)?;
        let organisation = Some(&*self.deployment.organisations[*organisation].name);
        Ok(Match {
            route,
            organisation,
        })
    }
}

impl Match<'_> {
    /// Service for a number drawn evenly from `0.0..1.0`.
    pub fn service(&self, draw: f64) -> &str {
        let shares = &self.route.shares;
        let total: u64 = shares.iter().map(|share| u64::from(share.weight)).sum();
        let mut left = draw * total as f64;
        for share in shares.iter().filter(|share| share.weight > 0) {
            left -= f64::from(share.weight);
            if left < 0.0 {
                return &share.service;
            }
        }
        let last = shares.iter().rev().find(|share| share.weight > 0);
        &last.expect("a checked route has a weight").service
    }
}
