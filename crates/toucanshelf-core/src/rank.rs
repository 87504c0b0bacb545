//! Order of the requests of one service by urgency.
//!
//! A request has two priorities: that of the caller's organisation, which is compared first, and
//! that of its route. Equally urgent requests of one service have the same rank.

use std::collections::{BTreeSet, HashMap};

use crate::deployment::Deployment;

/// Number of ranks that [`Rank`] can express.
const MAX_RANKS: usize = u8::MAX as usize + 1;
/// Priority of all organisations if the deployment states none.
const DEFAULT_ORGANISATION_PRIORITY: u8 = 0;

/// Position of a request in the order of its service's requests; 0 is the most urgent.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Rank(pub u8);

/// Ranks of the requests of a deployment's services.
///
/// The ranks of a service number the pairs of an organisation's priority and a priority of the
/// service's routes. Pairs after the 256th share the last rank.
#[derive(Clone, Debug)]
pub struct RankTable {
    /// Distinct priorities of the organisations in ascending order, at least one.
    organisation_priorities: Box<[u8]>,
    /// Distinct priorities of the routes to each service in ascending order, at least two.
    ///
    /// Services whose routes all have the same priority are left out.
    route_priorities: HashMap<Box<str>, Box<[u8]>>,
}

impl RankTable {
    /// Builds the table for the routes and organisations of a deployment.
    pub fn new(deployment: &Deployment) -> Self {
        let organisations = deployment.organisations.iter();
        let mut organisation_priorities: BTreeSet<_> = organisations
            .filter_map(|organisation| organisation.priority)
            .collect();
        if organisation_priorities.is_empty() {
            organisation_priorities.insert(DEFAULT_ORGANISATION_PRIORITY);
        }
        let mut route_priorities: HashMap<&str, BTreeSet<u8>> = HashMap::new();
        for route in &deployment.routes {
            for share in route.shares.iter().filter(|share| share.weight > 0) {
                let priorities = route_priorities.entry(&share.service).or_default();
                priorities.insert(route.priority);
            }
        }
        route_priorities.retain(|_, priorities| priorities.len() > 1);
        let route_priorities = route_priorities.into_iter();
        Self {
            organisation_priorities: organisation_priorities.into_iter().collect(),
            route_priorities: route_priorities
                .map(|(service, priorities)| (service.into(), priorities.into_iter().collect()))
                .collect(),
        }
    }

    /// Returns the rank of a request for `service` by its two priorities.
    ///
    /// A request without an organisation, or whose organisation has no priority, counts as one of
    /// the least urgent organisation. Returns `None` if the service isn't ranked, because its
    /// routes don't differ in priority, or if the priorities aren't those of the deployment.
    pub fn rank(
        &self,
        service: &str,
        organisation_priority: Option<u8>,
        route_priority: u8,
    ) -> Option<Rank> {
        let route_priorities = self.route_priorities.get(service)?;
        let organisation = match organisation_priority {
            Some(priority) => self.organisation_priorities.binary_search(&priority).ok()?,
            None => self.organisation_priorities.len() - 1,
        };
        let route = route_priorities.binary_search(&route_priority).ok()?;
        let rank = organisation * route_priorities.len() + route;
        Some(Rank(u8::try_from(rank).unwrap_or(u8::MAX)))
    }

    /// Returns the number of ranks of a service, or 0 if it isn't ranked.
    pub fn ranks(&self, service: &str) -> usize {
        let route_priorities = self.route_priorities.get(service);
        route_priorities.map_or(0, |priorities| {
            (self.organisation_priorities.len() * priorities.len()).min(MAX_RANKS)
        })
    }
}
