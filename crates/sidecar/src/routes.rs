//! Which route takes a request: an immutable table, built once for each configuration and replaced as one.
//!
//! Of the routes whose methods and paths fit, the first of the settings takes a request; in a configuration that changes
//! while running order means nothing, and the most specific pattern does. A lookup costs one hash of the path and one
//! walk down a trie of the path's own length, however many routes there are.

use crate::route_slots::Slot;
use havenplank::interface::{RouteClass, RouteClassId};
use havenplank_configuration::snapshot::Snapshot;
use havenplank_configuration::version::Version;
use havenplank_settings::{BackupMode, RouteClassSettings};
use patricia_tree::StringPatriciaMap;
use std::collections::HashMap;
use std::rc::Rc;

/// One version of a route, for as long as any request that began with it.
#[derive(Debug)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// Its rules in the decisions.
    pub rules: RouteClass,
    /// Whether and when backups know of its requests.
    pub backup: BackupMode,
    slot: Slot,
}

impl Route {
    /// Returns its index in the decisions, which means this version as long as the route lives.
    pub fn route_class(&self) -> RouteClassId {
        self.slot.route_class()
    }
}

/// Where a route stands in the table.
type Order = u32;

/// Which of two patterns that fit wins: the lower. Of equal patterns the route that stands first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    specificity: u32,
    order: Order,
}

/// What decides between patterns that fit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Precedence {
    Order,
    /// An exact path before a prefix, a longer prefix before a shorter one.
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

/// The routes of one pattern: of each method, and of any, the first.
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

/// Who the tenants are.
#[derive(Debug)]
enum Tenants {
    /// By name, the index in the settings.
    ListedEndpoint(HashMap<String, usize>),
    Configured(Snapshot),
}

/// A tenant that the configuration knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownTenant {
    /// Its index in the settings; `None` where tenants change while running, as nothing is decided by it.
    pub index: Option<usize>,
}

/// All routes of one configuration, and its tenants.
#[derive(Debug)]
pub struct RouteTable {
    routes: Vec<Rc<Route>>,
    by_name: HashMap<String, Order>,
    exact_paths: HashMap<String, Candidates>,
    prefixes: StringPatriciaMap<Candidates>,
    tenants: Tenants,
}

impl RouteTable {
    /// Builds a table of the routes and tenants of the settings, with the slot of each route in the decisions.
    pub fn from_settings(
        groups: &[RouteClassSettings],
        slots: Vec<Slot>,
        tenants: &[String],
    ) -> RouteTable {
        let mut listed = HashMap::new();
        for (index, name) in tenants.iter().enumerate() {
            listed.entry(name.clone()).or_insert(index);
        }
        RouteTable::build(
            groups,
            slots,
            Precedence::Order,
            Tenants::ListedEndpoint(listed),
        )
    }

    /// Builds a table of the routes of a snapshot, as [`routes_of`] returns them, and of its tenants.
    pub fn from_snapshot(
        snapshot: Snapshot,
        groups: &[RouteClassSettings],
        slots: Vec<Slot>,
    ) -> RouteTable {
        RouteTable::build(
            groups,
            slots,
            Precedence::Specificity,
            Tenants::Configured(snapshot),
        )
    }

    fn build(
        groups: &[RouteClassSettings],
        slots: Vec<Slot>,
        precedence: Precedence,
        tenants: Tenants,
    ) -> RouteTable {
        let (mut routes, mut by_name) = (Vec::with_capacity(groups.len()), HashMap::new());
        let mut exact_paths: HashMap<String, Candidates> = HashMap::new();
        let mut prefixes: HashMap<&str, Candidates> = HashMap::new();
        for (group, slot) in groups.iter().zip(slots) {
            let order = routes.len() as Order;
            for pattern in &group.paths {
                let candidates = match pattern.strip_suffix('*') {
                    None => exact_paths.entry(pattern.clone()).or_default(),
                    Some(prefix) => prefixes.entry(prefix).or_default(),
                };
                candidates.add(&group.methods, precedence.rank(pattern, order));
            }
            by_name.entry(group.name.clone()).or_insert(order);
            let RouteClassSettings {
                name,
                rules,
                backup,
                ..
            } = group;
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

    /// Returns the route that takes this method and path.
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

    /// Returns the route of this name.
    pub fn find_by_name(&self, name: &str) -> Option<&Rc<Route>> {
        self.routes.get(*self.by_name.get(name)? as usize)
    }

    /// Returns the tenant of this name.
    pub fn tenant(&self, name: &str) -> Option<KnownTenant> {
        match &self.tenants {
            Tenants::ListedEndpoint(listed) => listed.get(name).map(|index| KnownTenant {
                index: Some(*index),
            }),
            Tenants::Configured(snapshot) => {
                snapshot.tenant(name).map(|_| KnownTenant { index: None })
            }
        }
    }

    /// Returns how many routes there are.
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// Returns whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }

    /// Returns whether routes come from a configuration of which no version has come yet.
    pub fn awaits_configuration(&self) -> bool {
        matches!(&self.tenants, Tenants::Configured(snapshot) if snapshot.version() == Version::NONE)
    }
}

/// Returns the routes of a snapshot, by name.
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
