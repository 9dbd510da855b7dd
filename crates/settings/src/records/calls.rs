//! The record function calls of one script by kind: which are required, which may occur only once, and which may not be
//! combined with `configuration(...)`.

use crate::reader::{FieldReader, Problem, RecordCall};

/// Record functions that a script may call at most once.
const AT_MOST_ONCE: [&str; 12] = [
    "sidecar",
    "headers",
    "limits",
    "pods",
    "exposure",
    "votes",
    "nodes",
    "desk",
    "trace",
    "fellowship",
    "takeover",
    "configuration",
];
/// Record functions that every script has to call.
const REQUIRED: [&str; 6] = ["sidecar", "pods", "exposure", "votes", "nodes", "desk"];

/// A call or field that may not be combined with `configuration(...)`, and what replaces it.
struct Replaced {
    kind: &'static str,
    /// The field that is replaced; `None` if the entire call is replaced.
    field: Option<&'static str>,
    /// What the operator should write instead, as the problem shows it.
    expected: &'static str,
}

const REPLACED_BY_CONFIGURATION: [Replaced; 3] = [
    Replaced {
        kind: "path_group",
        field: None,
        expected: "route(...) in the script of `havenplank distribute`, from which configuration(...) gets routes",
    },
    Replaced {
        kind: "sidecar",
        field: Some("customers"),
        expected: "tenant(...) in the script of `havenplank distribute`, from which configuration(...) gets tenants",
    },
    Replaced {
        kind: "trace",
        field: Some("folder"),
        expected: "no trace folder together with configuration(...), as a trace holds one set of routes",
    },
];

/// The calls of one script and the problems found in them so far.
pub(super) struct Calls<'a> {
    file: &'a str,
    calls: &'a [RecordCall],
    problems: &'a mut Vec<Problem>,
}

impl<'a> Calls<'a> {
    pub(super) fn new(
        file: &'a str,
        calls: &'a [RecordCall],
        problems: &'a mut Vec<Problem>,
    ) -> Calls<'a> {
        Calls {
            file,
            calls,
            problems,
        }
    }

    /// Returns whether the script calls this record function.
    pub(super) fn has(&self, kind: &str) -> bool {
        self.calls.iter().any(|call| call.kind == kind)
    }

    /// Reports calls that are repeated, missing, or may not be combined with `configuration(...)`.
    pub(super) fn check_kinds(&mut self) {
        for kind in AT_MOST_ONCE {
            self.reject_repeats(kind);
        }
        let is_configured = self.has("configuration");
        if is_configured {
            REPLACED_BY_CONFIGURATION
                .iter()
                .for_each(|replaced| self.reject_replaced(replaced));
        }
        let routes = (!is_configured).then_some("path_group");
        for kind in REQUIRED.into_iter().chain(routes) {
            if !self.has(kind) {
                let expected = format!("a call of {kind}(...)");
                self.report(
                    self.file.to_string(),
                    0,
                    kind.to_string(),
                    "missing",
                    expected,
                );
            }
        }
    }

    /// Reads the first call of a kind. A missing call is read as a call without fields. If the kind is required, the
    /// problems of those fields are dropped, as `check_kinds` reports the missing call itself.
    pub(super) fn read<T>(
        &mut self,
        kind: &'static str,
        read: impl FnOnce(&mut FieldReader) -> T,
    ) -> T {
        let call = self.calls.iter().find(|call| call.kind == kind);
        let empty_call = RecordCall {
            kind,
            file: self.file.to_string(),
            line: 0,
            fields: Default::default(),
        };
        let mut dropped = Vec::new();
        let problems = if call.is_some() || !REQUIRED.contains(&kind) {
            &mut *self.problems
        } else {
            &mut dropped
        };
        let mut reader = FieldReader::new(call.unwrap_or(&empty_call), problems);
        let value = read(&mut reader);
        reader.finish();
        value
    }

    /// Reads the first call of a kind, or returns `None` if there is no such call.
    pub(super) fn read_if_called<T>(
        &mut self,
        kind: &'static str,
        read: impl FnOnce(&mut FieldReader) -> T,
    ) -> Option<T> {
        self.has(kind).then(|| self.read(kind, read))
    }

    /// Reads all calls of a kind, in script order.
    pub(super) fn read_each<T>(
        &mut self,
        kind: &str,
        mut read: impl FnMut(&mut FieldReader) -> T,
    ) -> Vec<T> {
        let mut values = Vec::new();
        for call in self.calls.iter().filter(|call| call.kind == kind) {
            let mut reader = FieldReader::new(call, self.problems);
            values.push(read(&mut reader));
            reader.finish();
        }
        values
    }

    fn reject_repeats(&mut self, kind: &str) {
        for call in self.calls.iter().filter(|call| call.kind == kind).skip(1) {
            let field = kind.to_string();
            self.report(
                call.file.clone(),
                call.line,
                field,
                "called again",
                "a single call",
            );
        }
    }

    fn reject_replaced(&mut self, replaced: &Replaced) {
        let Replaced {
            kind,
            field,
            expected,
        } = replaced;
        let is_replaced = |call: &&RecordCall| {
            call.kind == *kind && field.is_none_or(|field| call.fields.contains_key(field))
        };
        for call in self.calls.iter().filter(is_replaced) {
            let shown = field.map_or(kind.to_string(), |field| format!("{kind}.{field}"));
            let found = "found together with configuration(...)";
            self.report(call.file.clone(), call.line, shown, found, *expected);
        }
    }

    fn report(
        &mut self,
        file: String,
        line: usize,
        field: String,
        found: &str,
        expected: impl Into<String>,
    ) {
        self.problems.push(Problem {
            file,
            line,
            field,
            found: found.to_string(),
            expected: expected.into(),
        });
    }
}
