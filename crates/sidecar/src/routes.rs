//! The route table: finds the route of a request by method and path. A table is immutable. It is built once for each
//! configuration version, and a new version replaces the complete table.
//!
//! If several routes match a request, the first one in the settings wins. In a configuration that changes while the
//! sidecar runs, routes have no order, and the route with the most specific pattern wins. A lookup costs one hash of
//! the path and one descent in a trie, at most as deep as the path is long, independent of the number of routes.

use crate::route_slots::Slot;
use havenplank::interface::{RouteClass, RouteClassId};
use havenplank_configuration::snapshot::Snapshot;
use havenplank_configuration::version::Version;
use havenplank_settings::{BackupMode, RouteClassSettings};
use patricia_tree::StringPatriciaMap;
use std::collections::HashMap;
use std::rc::Rc;

/// One version of a route. It is kept as long as a route table or a request that began under it needs it.
#[derive(Debug)]
pub struct Route {
    /// The name.
    pub name: String,
    /// The rules for requests of the route, on which the router's decisions depend.
    pub rules: RouteClass,
    /// Whether and when requests are announced to backups.
    pub backup: BackupMode,
    slot: Slot,
}

impl Route {
    /// Returns the index of the route in the engine. It identifies this version as long as the value exists.
    pub fn route_class(&self) -> RouteClassId {
        self.slot.route_class()
    }
}

/// The position of a route in the table.
type Order = u32;

/// Orders the matching patterns: the lowest rank wins. Of equally specific patterns the one of the earlier route wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    /// Lower for a more specific pattern; 0 for all patterns if only the order counts.
    specificity: u32,
    order: Order,
}

/// The rule that decides between several matching patterns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Precedence {
    /// The route that is first in the settings wins.
    Order,
    /// An exact path wins over a prefix, and a longer prefix over a shorter one.
    Specificity,
}

impl Precedence {
    fn rank(self, pattern: &str, order: Order) -> Rank {
        let specificity = match (self, pattern.strip_suffix('*')) {
            (Precedence::Order, _) | (Precedence::Specificity, None) => 0,
            (Precedence::Specificity, Some(prefix)) => u32::MAX - prefix.len() as u32,
        };
        Rank { specificity, order }
    }
}

/// The first route with a certain pattern: for each method, and for all methods.
#[derive(Debug, Default)]
struct Candidates {
    any_method: Option<Rank>,
    by_method: HashMap<String, Rank>,
}

impl Candidates {
    fn add(&mut self, methods: &[String], rank: Rank) {
        if methods.is_empty() {
            self.any_method.get_or_insert(rank);
        }
        for method in methods {
            self.by_method.entry(method.clone()).or_insert(rank);
        }
    }

    fn first(&self, method: &str) -> Option<Rank> {
        let named = self.by_method.get(method).copied();
        named.into_iter().chain(self.any_method).min()
    }
}

/// The known tenants.
#[derive(Debug)]
enum Tenants {
    /// The tenants of the settings: the index by name.
    Listed(HashMap<String, usize>),
    /// The tenants of a configuration version.
    Configured(Snapshot),
}

/// A tenant that the configuration knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownTenant {
    /// The index in the settings. `None` for a tenant of a configuration that changes while the sidecar runs: such
    /// tenants have no influence on decisions.
    pub index: Option<usize>,
}

/// All routes and tenants of one configuration.
#[derive(Debug)]
pub struct RouteTable {
    routes: Vec<Rc<Route>>,
    by_name: HashMap<String, Order>,
    exact_paths: HashMap<String, Candidates>,
    prefixes: StringPatriciaMap<Candidates>,
    tenants: Tenants,
}

impl RouteTable {
    /// Builds a table of the routes and tenants of the settings. `slots` holds the slot of each route.
    pub fn from_settings(
        route_classes: &[RouteClassSettings],
        slots: Vec<Slot>,
        tenants: &[String],
    ) -> RouteTable {
        let mut listed = HashMap::new();
        for (index, name) in tenants.iter().enumerate() {
            listed.entry(name.clone()).or_insert(index);
        }
        RouteTable::build(
            route_classes,
            slots,
            Precedence::Order,
            Tenants::Listed(listed),
        )
    }

    /// Builds a table of the routes and tenants of a snapshot. The routes are given as [`routes_of`] returns them;
    /// `slots` holds the slot of each route.
    pub fn from_snapshot(
        snapshot: Snapshot,
        route_classes: &[RouteClassSettings],
        slots: Vec<Slot>,
    ) -> RouteTable {
        RouteTable::build(
            route_classes,
            slots,
            Precedence::Specificity,
            Tenants::Configured(snapshot),
        )
    }

    fn build(
        route_classes: &[RouteClassSettings],
        slots: Vec<Slot>,
        precedence: Precedence,
        tenants: Tenants,
    ) -> RouteTable {
        let (mut routes, mut by_name) = (Vec::with_capacity(route_classes.len()), HashMap::new());
        let mut exact_paths: HashMap<String, Candidates> = HashMap::new();
        let mut prefixes: HashMap<&str, Candidates> = HashMap::new();
        for (route_class, slot) in route_classes.iter().zip(slots) {
            let order = routes.len() as Order;
            for pattern in &route_class.paths {
                let candidates = match pattern.strip_suffix('*') {
                    None => exact_paths.entry(pattern.clone()).or_default(),
                    Some(prefix) => prefixes.entry(prefix).or_default(),
                };
                candidates.add(&route_class.methods, precedence.rank(pattern, order));
            }
            by_name.entry(route_class.name.clone()).or_insert(order);
            let RouteClassSettings {
                name,
                rules,
                backup,
                ..
            } = route_class;
            routes.push(Rc::new(Route {
                name: name.clone(),
                rules: *rules,
                backup: *backup,
                slot,
            }));
        }
        RouteTable {
            routes,
            by_name,
            exact_paths,
            prefixes: prefixes.into_iter().collect(),
            tenants,
        }
    }

    /// Returns the route of a request with this method and path.
    pub fn find(&self, method: &str, path: &str) -> Option<&Rc<Route>> {
        let exact = self
            .exact_paths
            .get(path)
            .and_then(|candidates| candidates.first(method));
        let prefixes = self.prefixes.common_prefix_values(path);
        let first = prefixes
            .filter_map(|candidates| candidates.first(method))
            .chain(exact)
            .min()?;
        self.routes.get(first.order as usize)
    }

    /// Returns the route with this name.
    pub fn find_by_name(&self, name: &str) -> Option<&Rc<Route>> {
        self.routes.get(*self.by_name.get(name)? as usize)
    }

    /// Returns the tenant with this name.
    pub fn tenant(&self, name: &str) -> Option<KnownTenant> {
        match &self.tenants {
            Tenants::Listed(listed) => listed.get(name).map(|index| KnownTenant {
                index: Some(*index),
            }),
            Tenants::Configured(snapshot) => {
                snapshot.tenant(name).map(|_| KnownTenant { index: None })
            }
        }
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// Returns whether the table has no routes.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }

    /// Returns whether the sidecar gets its routes from a configuration and has not received any version yet.
    pub fn awaits_configuration(&self) -> bool {
        matches!(&self.tenants, Tenants::Configured(snapshot) if snapshot.version() == Version::NONE)
    }
}

/// Returns the routes of a snapshot, sorted by name.
pub fn routes_of(snapshot: &Snapshot) -> Vec<RouteClassSettings> {
    let mut routes: Vec<RouteClassSettings> = snapshot
        .routes()
        .map(|route| RouteClassSettings {
            name: route.name.clone(),
            methods: route.methods.clone(),
            paths: route.paths.clone(),
            rules: route.rules.into(),
            backup: route.rules.backup,
        })
        .collect();
    routes.sort_by(|one, other| one.name.cmp(&other.name));
    routes
}
