//! The calls of one script by kind: which must stand there, which only once, and which not beside another.

use crate::reader::{FieldReader, Problem, RecordCall};

/// Kinds that a script calls for at most once.
const ONCE: [&str; 12] = [
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
/// Kinds without which there is no site.
const NEEDED: [&str; 6] = ["sidecar", "pods", "exposure", "votes", "nodes", "desk"];

/// What may not stand beside `configuration(...)`, and what takes its place.
struct Replaced {
    kind: &'static str,
    /// `None` for the whole call.
    field: Option<&'static str>,
    expected: &'static str,
}

const REPLACED_BY_CONFIGURATION: [Replaced; 3] = [
    Replaced {
        kind: "path_group",
        field: None,
        expected: "route(...) in the script of `havenplank distribute`, as configuration(...) brings routes",
    },
    Replaced {
        kind: "sidecar",
        field: Some("customers"),
        expected: "tenant(...) in the script of `havenplank distribute`, as configuration(...) brings tenants",
    },
    Replaced {
        kind: "trace",
        field: Some("folder"),
        expected: "no trace beside configuration(...), as a trace holds one set of routes",
    },
];

/// The calls of one script and the problems found in them so far.
pub(super) struct Calls<'a> {
    file: &'a str,
    rows: &'a [RecordCall],
    problems: &'a mut Vec<Problem>,
}

impl<'a> Calls<'a> {
    pub(super) fn new(
        file: &'a str,
        rows: &'a [RecordCall],
        problems: &'a mut Vec<Problem>,
    ) -> Calls<'a> {
        Calls {
            file,
            rows,
            problems,
        }
    }

    /// Returns whether the script has a call of this kind.
    pub(super) fn has(&self, kind: &str) -> bool {
        self.rows.iter().any(|row| row.kind == kind)
    }

    /// Reports calls that stand twice, are missing, or may not stand beside `configuration(...)`.
    pub(super) fn check_kinds(&mut self) {
        for kind in ONCE {
            self.refuse_repeats(kind);
        }
        let is_configured = self.has("configuration");
        if is_configured {
            REPLACED_BY_CONFIGURATION
                .iter()
                .for_each(|replaced| self.refuse_replaced(replaced));
        }
        let routes = (!is_configured).then_some("path_group");
        for kind in NEEDED.into_iter().chain(routes) {
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

    /// Reads the first call of a kind. One that does not stand there is read as a call without fields; where it is needed,
    /// its missing fields are not reported, as the call itself was.
    pub(super) fn read<T>(
        &mut self,
        kind: &'static str,
        read: impl FnOnce(&mut FieldReader) -> T,
    ) -> T {
        let row = self.rows.iter().find(|row| row.kind == kind);
        let blank = RecordCall {
            kind,
            file: self.file.to_string(),
            line: 0,
            fields: Default::default(),
        };
        let mut unreported = Vec::new();
        let problems = if row.is_some() || !NEEDED.contains(&kind) {
            &mut *self.problems
        } else {
            &mut unreported
        };
        let mut reader = FieldReader::new(row.unwrap_or(&blank), problems);
        let value = read(&mut reader);
        reader.finish();
        value
    }

    /// Reads the first call of a kind where there is one.
    pub(super) fn read_if_called<T>(
        &mut self,
        kind: &'static str,
        read: impl FnOnce(&mut FieldReader) -> T,
    ) -> Option<T> {
        self.has(kind).then(|| self.read(kind, read))
    }

    /// Reads all calls of a kind, in the order of the script.
    pub(super) fn read_each<T>(
        &mut self,
        kind: &str,
        mut read: impl FnMut(&mut FieldReader) -> T,
    ) -> Vec<T> {
        let mut values = Vec::new();
        for row in self.rows.iter().filter(|row| row.kind == kind) {
            let mut reader = FieldReader::new(row, self.problems);
            values.push(read(&mut reader));
            reader.finish();
        }
        values
    }

    fn refuse_repeats(&mut self, kind: &str) {
        for row in self.rows.iter().filter(|row| row.kind == kind).skip(1) {
            let field = kind.to_string();
            self.report(row.file.clone(), row.line, field, "a second one", "it once");
        }
    }

    fn refuse_replaced(&mut self, replaced: &Replaced) {
        let Replaced {
            kind,
            field,
            expected,
        } = replaced;
        let stands = |row: &&RecordCall| {
            row.kind == *kind && field.is_none_or(|field| row.fields.contains_key(field))
        };
        for row in self.rows.iter().filter(stands) {
            let shown = field.map_or(kind.to_string(), |field| format!("{kind}.{field}"));
            let found = "found beside configuration(...)";
            self.report(row.file.clone(), row.line, shown, found, *expected);
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
