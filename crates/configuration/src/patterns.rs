//! Checks of the path patterns of routes: whether each is well formed, and whether two match the same requests.

use crate::record::Route;
use std::collections::HashMap;

/// Describes what an invalid pattern should be instead; `None` for a valid pattern.
pub(crate) fn expected_pattern(pattern: &str) -> Option<&'static str> {
    let body = pattern.strip_suffix('*').unwrap_or(pattern);
    if !pattern.starts_with('/') {
        return Some("a path that starts with /");
    }
    if body.contains('*') {
        return Some("* at the end only, where it matches any rest of the path");
    }
    if body.contains(['{', '}']) || body.contains("/:") {
        return Some(
            "a complete path, or a prefix followed by * at the end; there are no named parameters",
        );
    }
    if body.contains(['?', '#']) || body.contains(|c: char| c.is_whitespace() || c.is_control()) {
        return Some("a path alone, without query, fragment, white space or control characters");
    }
    None
}

/// A pattern that two routes have for the same method, or that one route has twice.
pub(crate) struct Conflict<'a> {
    pub pattern: &'a str,
    /// The index of the route that has the pattern first.
    pub earlier: usize,
    /// The index of the route that repeats the pattern; the same as `earlier` where one route has it twice.
    pub later: usize,
}

/// Returns all conflicts. Two different patterns never conflict, because the more specific one wins.
pub(crate) fn conflicts(routes: &[Route]) -> Vec<Conflict<'_>> {
    let mut routes_by_pattern: HashMap<&str, Vec<usize>> = HashMap::new();
    let mut found = Vec::new();
    for (later, route) in routes.iter().enumerate() {
        for pattern in &route.paths {
            let earlier_routes = routes_by_pattern.entry(pattern).or_default();
            let shared =
                |earlier: &&usize| **earlier == later || share_method(&routes[**earlier], route);
            if let Some(&earlier) = earlier_routes.iter().find(shared) {
                found.push(Conflict {
                    pattern,
                    earlier,
                    later,
                });
            }
            earlier_routes.push(later);
        }
    }
    found
}

fn share_method(one: &Route, other: &Route) -> bool {
    let any = one.methods.is_empty() || other.methods.is_empty();
    any || one
        .methods
        .iter()
        .any(|method| other.methods.contains(method))
}
