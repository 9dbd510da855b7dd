//! Path patterns of routes: which are well formed, and which two would take the same requests.

use crate::record::Route;
use std::collections::HashMap;

/// Why a text is no pattern, with the way out; `None` for a good one.
pub(crate) fn complaint(pattern: &str) -> Option<&'static str> {
    let body = pattern.strip_suffix('*').unwrap_or(pattern);
    if !pattern.starts_with('/') {
        return Some("a path that starts with /");
    }
    if body.contains('*') {
        return Some("* at the end only, where it stands for any rest of the path");
    }
    if body.contains(['{', '}']) || body.contains("/:") {
        return Some(
            "a whole path, or the start of one before a * at the end; there are no named parts",
        );
    }
    if body.contains(['?', '#']) || body.contains(|c: char| c.is_whitespace() || c.is_control()) {
        return Some("a path alone, without query, fragment, blanks or control characters");
    }
    None
}

/// A pattern of a route that an earlier route, or the same one, has too, for a method of both.
pub(crate) struct Conflict<'a> {
    pub pattern: &'a str,
    pub earlier: usize,
    pub later: usize,
}

/// All conflicts. Two different patterns have none: the more specific one wins.
pub(crate) fn conflicts(routes: &[Route]) -> Vec<Conflict<'_>> {
    let mut owners: HashMap<&str, Vec<usize>> = HashMap::new();
    let mut found = Vec::new();
    for (later, route) in routes.iter().enumerate() {
        for pattern in &route.paths {
            let owners = owners.entry(pattern).or_default();
            let shared =
                |earlier: &&usize| **earlier == later || share_method(&routes[**earlier], route);
            if let Some(&earlier) = owners.iter().find(shared) {
                found.push(Conflict {
                    pattern,
                    earlier,
                    later,
                });
            }
            owners.push(later);
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
