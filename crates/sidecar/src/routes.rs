//! Which route takes a request: an immutable table, built once for each configuration and swapped whole.
//!
//! The first route of the configuration whose methods and paths fit takes a request. A lookup costs one hash of the
//! path and one walk down a trie of the path's own length, however many routes there are.

use crate::slots::Slot;
use havenplank::port::{GroupId, PathGroup};
use havenplank_settings::{Group, Guard};
use patricia_tree::StringPatriciaMap;
use std::collections::HashMap;
use std::rc::Rc;

/// One version of a route, for as long as any request that began with it.
#[derive(Debug)]
pub struct Route {
    pub name: String,
    pub rules: PathGroup,
    pub guard: Guard,
    slot: Slot,
}

impl Route {
    /// Its index in the decisions, which means this version as long as the route lives.
    pub fn group(&self) -> GroupId {
        self.slot.group()
    }
}

/// Where a route stands in the configuration: lower is first.
type Order = u32;

/// The routes of one pattern: of each method, and of any, the first.
#[derive(Debug, Default)]
struct Candidates {
    any_method: Option<Order>,
    by_method: HashMap<String, Order>,
}

impl Candidates {
    fn add(&mut self, methods: &[String], order: Order) {
        if methods.is_empty() {
            self.any_method.get_or_insert(order);
        }
        for method in methods {
            self.by_method.entry(method.clone()).or_insert(order);
        }
    }

    fn first(&self, method: &str) -> Option<Order> {
        let named = self.by_method.get(method).copied();
        named.into_iter().chain(self.any_method).min()
    }
}

/// All routes of one configuration, and its tenants.
#[derive(Debug, Default)]
pub struct RouteTable {
    routes: Vec<Rc<Route>>,
    by_name: HashMap<String, Order>,
    whole_paths: HashMap<String, Candidates>,
    prefixes: StringPatriciaMap<Candidates>,
    tenants: HashMap<String, usize>,
}

impl RouteTable {
    /// Routes in the order of the configuration, with the slot of each in the decisions.
    pub fn new(groups: &[Group], slots: Vec<Slot>, tenants: &[String]) -> RouteTable {
        let mut table = RouteTable::default();
        let mut prefixes: HashMap<&str, Candidates> = HashMap::new();
        for (group, slot) in groups.iter().zip(slots) {
            let order = table.routes.len() as Order;
            for pattern in &group.paths {
                let candidates = match pattern.strip_suffix('*') {
                    None => table.whole_paths.entry(pattern.clone()).or_default(),
                    Some(prefix) => prefixes.entry(prefix).or_default(),
                };
                candidates.add(&group.methods, order);
            }
            table.by_name.entry(group.name.clone()).or_insert(order);
            let Group { name, rules, guard, .. } = group.clone();
            table.routes.push(Rc::new(Route { name, rules, guard, slot }));
        }
        table.prefixes = prefixes.into_iter().collect();
        for (index, name) in tenants.iter().enumerate() {
            table.tenants.entry(name.clone()).or_insert(index);
        }
        table
    }

    /// The first route that takes this method and path.
    pub fn find(&self, method: &str, path: &str) -> Option<&Rc<Route>> {
        let whole = self.whole_paths.get(path).and_then(|candidates| candidates.first(method));
        let prefixes = self.prefixes.common_prefix_values(path);
        let first = prefixes.filter_map(|candidates| candidates.first(method)).chain(whole).min()?;
        self.routes.get(first as usize)
    }

    pub fn named(&self, name: &str) -> Option<&Rc<Route>> {
        self.routes.get(*self.by_name.get(name)? as usize)
    }

    /// A tenant's index in the configuration.
    pub fn tenant(&self, name: &str) -> Option<usize> {
        self.tenants.get(name).copied()
    }

    pub fn len(&self) -> usize {
        self.routes.len()
    }

    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }
}
