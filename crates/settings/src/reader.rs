//! Reads the fields of one record function call and collects all mistakes instead of stopping at the first.

use havenplank::interface::Nanos;
use serde_json::{Map, Value};
use std::collections::BTreeSet;
use std::fmt;
use std::ops::RangeInclusive;

/// The longest value that a problem quotes in full.
const MAX_SHOWN_BYTES: usize = 60;
const ELLIPSIS: &str = "...";
/// The longest duration that a field accepts: 1 day in nanoseconds, as no timeout or interval here is longer.
const MAX_DURATION: Nanos = 86_400_000_000_000;

/// A mistake in a script: its location, what was found there and what was expected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The path of the file, as given on the command line or built from a `load` statement.
    pub file: String,
    /// The line, counted from 1; 0 if the mistake has no line, as when a record is missing.
    pub line: usize,
    /// `record.field`, or the record alone if the mistake concerns all of it.
    pub field: String,
    /// What was found there.
    pub found: String,
    /// What would be valid there.
    pub expected: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let Problem {
            file,
            line,
            field,
            found,
            expected,
        } = self;
        write!(f, "{file}:{line}: {field}: {found}; expected {expected}")
    }
}

/// All mistakes of a script, ordered by line.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
pub struct Problems(pub Vec<Problem>);

/// A call of a record function in the script, with its arguments not checked yet.
#[derive(Clone, Debug)]
pub struct RecordCall {
    /// The name of the record function.
    pub kind: &'static str,
    /// The file that contains the call.
    pub file: String,
    /// The line of the call, counted from 1.
    pub line: usize,
    /// The named arguments.
    pub fields: Map<String, Value>,
}

/// Reads the fields of a call. A field that is missing or invalid yields a placeholder value and a problem, so that the
/// other fields are still checked. [`FieldReader::finish`] reports the fields that no method read.
pub struct FieldReader<'a> {
    call: &'a RecordCall,
    /// Fields that were read or accepted.
    known: BTreeSet<&'static str>,
    problems: &'a mut Vec<Problem>,
}

impl<'a> FieldReader<'a> {
    /// Returns a reader of a call; the reader adds the problems that it finds to `problems`.
    pub fn new(call: &'a RecordCall, problems: &'a mut Vec<Problem>) -> FieldReader<'a> {
        FieldReader {
            call,
            known: BTreeSet::new(),
            problems,
        }
    }

    /// Adds a problem with a field.
    pub fn report(&mut self, field: &str, found: impl Into<String>, expected: impl Into<String>) {
        self.problems.push(Problem {
            file: self.call.file.clone(),
            line: self.call.line,
            field: format!("{}.{field}", self.call.kind),
            found: found.into(),
            expected: expected.into(),
        });
    }

    /// Returns whether a field is set to a value other than `None`.
    pub fn has(&self, field: &str) -> bool {
        self.call
            .fields
            .get(field)
            .is_some_and(|value| !value.is_null())
    }

    /// Marks a field as known and returns whether it is set. Serves optional fields, and fields that have moved to
    /// another call, for which the caller reports the new place.
    pub fn accept(&mut self, field: &'static str) -> bool {
        self.known.insert(field);
        self.has(field)
    }

    fn value(&mut self, field: &'static str) -> Option<&'a Value> {
        self.known.insert(field);
        self.call.fields.get(field).filter(|value| !value.is_null())
    }

    /// Reads a required field with `parse`; `expected` describes the valid values in problems.
    fn parse_field<T>(
        &mut self,
        field: &'static str,
        expected: &str,
        parse: impl Fn(&Value) -> Option<T>,
    ) -> Option<T> {
        let Some(value) = self.value(field) else {
            self.report(field, "missing", expected);
            return None;
        };
        let parsed = parse(value);
        if parsed.is_none() {
            let found = format!("found {}", truncated(value.to_string()));
            self.report(field, found, expected);
        }
        parsed
    }

    /// Reads a string that is not empty.
    pub fn text(&mut self, field: &'static str) -> String {
        let non_empty = |value: &Value| {
            value
                .as_str()
                .filter(|text| !text.is_empty())
                .map(str::to_string)
        };
        self.parse_field(field, "a non-empty string", non_empty)
            .unwrap_or_default()
    }

    /// Reads a string that is not empty, or returns `None` if the field is absent.
    pub fn optional_text(&mut self, field: &'static str) -> Option<String> {
        self.known.insert(field);
        self.has(field).then(|| self.text(field))
    }

    /// Reads a whole number within a range.
    pub fn integer(&mut self, field: &'static str, range: RangeInclusive<u64>) -> u64 {
        let expected = format!("a whole number from {} to {}", range.start(), range.end());
        let within = |value: &Value| value.as_u64().filter(|n| range.contains(n));
        self.parse_field(field, &expected, within)
            .unwrap_or(*range.start())
    }

    /// Reads a whole number within a range, or returns `None` if the field is absent.
    pub fn optional_integer(
        &mut self,
        field: &'static str,
        range: RangeInclusive<u64>,
    ) -> Option<u64> {
        self.known.insert(field);
        self.has(field).then(|| self.integer(field, range))
    }

    /// Reads a whole number within a range, or returns `default` if the field is absent.
    pub fn integer_or(
        &mut self,
        field: &'static str,
        range: RangeInclusive<u64>,
        default: u64,
    ) -> u64 {
        self.known.insert(field);
        if self.has(field) {
            self.integer(field, range)
        } else {
            default
        }
    }

    /// Reads a number within a range.
    pub fn number(&mut self, field: &'static str, range: RangeInclusive<f64>) -> f64 {
        let expected = format!("a number from {} to {}", range.start(), range.end());
        let within = |value: &Value| value.as_f64().filter(|n| range.contains(n));
        self.parse_field(field, &expected, within)
            .unwrap_or(*range.start())
    }

    /// Reads a number within a range, or returns `default` if the field is absent.
    pub fn number_or(
        &mut self,
        field: &'static str,
        range: RangeInclusive<f64>,
        default: f64,
    ) -> f64 {
        self.known.insert(field);
        if self.has(field) {
            self.number(field, range)
        } else {
            default
        }
    }

    /// Reads `True` or `False`, or returns `default` if the field is absent.
    pub fn flag_or(&mut self, field: &'static str, default: bool) -> bool {
        self.known.insert(field);
        if !self.has(field) {
            return default;
        }
        self.parse_field(field, "True or False", Value::as_bool)
            .unwrap_or(default)
    }

    /// Reads a duration such as "250ms" or "1m 30s" and returns it in whole nanoseconds; at most 1 day.
    pub fn duration(&mut self, field: &'static str) -> Nanos {
        self.duration_from(field, 0)
    }

    /// Reads a duration above 0. Returns 0 if the field is missing or invalid, as after any other problem.
    pub fn positive_duration(&mut self, field: &'static str) -> Nanos {
        self.duration_from(field, 1)
    }

    fn duration_from(&mut self, field: &'static str, min: Nanos) -> Nanos {
        let parse = |value: &Value| {
            let duration = humantime::parse_duration(value.as_str()?).ok()?;
            Nanos::try_from(duration.as_nanos())
                .ok()
                .filter(|ns| (min..=MAX_DURATION).contains(ns))
        };
        let above = if min > 0 { " above 0" } else { "" };
        let expected =
            format!("a duration{above} of at most 1 day, such as \"250ms\" or \"1m 30s\"");
        self.parse_field(field, &expected, parse).unwrap_or(0)
    }

    /// Reads a duration, or returns `default` (in nanoseconds) if the field is absent.
    pub fn duration_or(&mut self, field: &'static str, default: Nanos) -> Nanos {
        self.known.insert(field);
        if self.has(field) {
            self.duration(field)
        } else {
            default
        }
    }

    /// Reads a size such as "64KiB" or a whole number of bytes, within a range of bytes, or returns `default` if the
    /// field is absent.
    pub fn size_or(
        &mut self,
        field: &'static str,
        range: RangeInclusive<u64>,
        default: u64,
    ) -> u64 {
        self.known.insert(field);
        if !self.has(field) {
            return default;
        }
        let expected = format!(
            "a size such as \"64KiB\", from {} to {} bytes",
            range.start(),
            range.end()
        );
        let parse = |value: &Value| {
            let with_unit = value
                .as_str()
                .and_then(|text| text.parse::<bytesize::ByteSize>().ok());
            value
                .as_u64()
                .or(with_unit.map(|size| size.as_u64()))
                .filter(|n| range.contains(n))
        };
        self.parse_field(field, &expected, parse).unwrap_or(default)
    }

    /// Reads a keyword and returns the value that `choices` has for it.
    pub fn choice<T: Copy>(&mut self, field: &'static str, choices: &[(&str, T)]) -> Option<T> {
        let names: Vec<&str> = choices.iter().map(|(name, _)| *name).collect();
        let one = |value: &Value| {
            let name = value.as_str()?;
            choices
                .iter()
                .find(|(known, _)| *known == name)
                .map(|(_, choice)| *choice)
        };
        self.parse_field(field, &format!("one of {}", names.join(", ")), one)
    }

    /// Reads a list of at least one string; none of them may be empty.
    pub fn text_list(&mut self, field: &'static str) -> Vec<String> {
        let all = |value: &Value| {
            let non_empty = |text: &Value| {
                text.as_str()
                    .filter(|text| !text.is_empty())
                    .map(str::to_string)
            };
            value
                .as_array()?
                .iter()
                .map(non_empty)
                .collect::<Option<Vec<_>>>()
                .filter(|all| !all.is_empty())
        };
        self.parse_field(field, "a non-empty list of non-empty strings", all)
            .unwrap_or_default()
    }

    /// Reads a list of strings, or returns an empty list if the field is absent.
    pub fn text_list_or_empty(&mut self, field: &'static str) -> Vec<String> {
        self.known.insert(field);
        if self.has(field) {
            self.text_list(field)
        } else {
            Vec::new()
        }
    }

    /// Reads a list of at least one fraction from 0 to 1.
    pub fn fractions(&mut self, field: &'static str) -> Vec<f64> {
        let all = |value: &Value| {
            let fraction = |n: &Value| n.as_f64().filter(|n| (0.0..=1.0).contains(n));
            value
                .as_array()?
                .iter()
                .map(fraction)
                .collect::<Option<Vec<_>>>()
                .filter(|all| !all.is_empty())
        };
        self.parse_field(field, "a non-empty list of numbers from 0 to 1", all)
            .unwrap_or_else(|| vec![0.0])
    }

    /// Reads a string field with the `FromStr` implementation of `T`, such as that of a socket address; `expected`
    /// describes the valid values.
    pub fn parsed<T: std::str::FromStr>(
        &mut self,
        field: &'static str,
        expected: &str,
    ) -> Option<T> {
        self.parse_field(field, expected, |value| value.as_str()?.parse().ok())
    }

    /// Reports the fields of the call that were neither read nor accepted.
    pub fn finish(mut self) {
        let known = self.known.iter().copied().collect::<Vec<_>>().join(", ");
        for field in self.call.fields.keys() {
            if !self.known.contains(field.as_str()) {
                self.report(field, "no such field", format!("one of {known}"));
            }
        }
    }
}

/// Truncates a value that is too long to be quoted, at a character boundary.
fn truncated(mut value: String) -> String {
    if value.len() <= MAX_SHOWN_BYTES {
        return value;
    }
    let max_kept = MAX_SHOWN_BYTES - ELLIPSIS.len();
    let end = (0..=max_kept)
        .rev()
        .find(|end| value.is_char_boundary(*end));
    value.truncate(end.unwrap_or(0));
    value.push_str(ELLIPSIS);
    value
}
