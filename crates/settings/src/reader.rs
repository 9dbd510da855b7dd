//! Reads the fields of one record of the script and keeps every mistake instead of stopping at the first.

use havenplank::interface::Nanos;
use serde_json::{Map, Value};
use std::collections::BTreeSet;
use std::fmt;
use std::ops::RangeInclusive;

/// The longest value that a problem shows whole.
const MAX_SHOWN_BYTES: usize = 60;
const ELLIPSIS: &str = "...";
/// The longest span, in nanoseconds: no wait is longer.
const DAY: Nanos = 86_400_000_000_000;

/// One mistake: where it stands, what was found there and what was expected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The file, as it was named.
    pub file: String,
    /// Counted from 1; 0 where the mistake has no line, as with a record that is missing.
    pub line: usize,
    /// `record.field`, or the record alone.
    pub field: String,
    /// What stands there.
    pub found: String,
    /// What may stand there.
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

/// All mistakes of a script, in the order of its lines.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
pub struct Problems(pub Vec<Problem>);

/// A call of a record function in the script, as it stands there.
#[derive(Clone, Debug)]
pub struct RecordCall {
    /// The name of the function.
    pub kind: &'static str,
    /// The file in which the call stands.
    pub file: String,
    /// Its line, counted from 1.
    pub line: usize,
    /// The named arguments.
    pub fields: Map<String, Value>,
}

/// Hands out the fields of a row. A field that is missing or wrong yields a stand-in value and a problem, so
/// that the rest is still read; `finish` complains of fields nobody asked for.
pub struct FieldReader<'a> {
    row: &'a RecordCall,
    asked: BTreeSet<&'static str>,
    problems: &'a mut Vec<Problem>,
}

impl<'a> FieldReader<'a> {
    /// Returns a reader of a row that adds to these problems.
    pub fn new(row: &'a RecordCall, problems: &'a mut Vec<Problem>) -> FieldReader<'a> {
        FieldReader {
            row,
            asked: BTreeSet::new(),
            problems,
        }
    }

    /// Adds a problem of a field.
    pub fn report(&mut self, field: &str, found: impl Into<String>, expected: impl Into<String>) {
        self.problems.push(Problem {
            file: self.row.file.clone(),
            line: self.row.line,
            field: format!("{}.{field}", self.row.kind),
            found: found.into(),
            expected: expected.into(),
        });
    }

    /// Returns whether a field stands there and is not `None`.
    pub fn has(&self, field: &str) -> bool {
        self.row
            .fields
            .get(field)
            .is_some_and(|value| !value.is_null())
    }

    /// Returns whether a field stands there, and counts it as known: for one that is optional, or that has another place now
    /// and is reported as that.
    pub fn accept(&mut self, field: &'static str) -> bool {
        self.asked.insert(field);
        self.has(field)
    }

    fn value(&mut self, field: &'static str) -> Option<&'a Value> {
        self.asked.insert(field);
        self.row.fields.get(field).filter(|value| !value.is_null())
    }

    /// One field by a parser of its own; `wanted` says what it takes.
    fn take<T>(
        &mut self,
        field: &'static str,
        wanted: &str,
        parse: impl Fn(&Value) -> Option<T>,
    ) -> Option<T> {
        let Some(value) = self.value(field) else {
            self.report(field, "missing", wanted);
            return None;
        };
        let parsed = parse(value);
        if parsed.is_none() {
            let found = format!("found {}", shortened(value.to_string()));
            self.report(field, found, wanted);
        }
        parsed
    }

    /// Reads a text that is not empty.
    pub fn text(&mut self, field: &'static str) -> String {
        let full = |value: &Value| {
            value
                .as_str()
                .filter(|text| !text.is_empty())
                .map(str::to_string)
        };
        self.take(field, "a text that is not empty", full)
            .unwrap_or_default()
    }

    /// Reads a text where there is one.
    pub fn optional_text(&mut self, field: &'static str) -> Option<String> {
        self.asked.insert(field);
        self.has(field).then(|| self.text(field))
    }

    /// Reads a whole number within a range.
    pub fn integer(&mut self, field: &'static str, range: RangeInclusive<u64>) -> u64 {
        let wanted = format!("a whole number from {} to {}", range.start(), range.end());
        let within = |value: &Value| value.as_u64().filter(|n| range.contains(n));
        self.take(field, &wanted, within).unwrap_or(*range.start())
    }

    /// Reads a whole number within a range where there is one.
    pub fn optional_integer(
        &mut self,
        field: &'static str,
        range: RangeInclusive<u64>,
    ) -> Option<u64> {
        self.asked.insert(field);
        self.has(field).then(|| self.integer(field, range))
    }

    /// Reads a whole number within a range, or a default.
    pub fn integer_or(
        &mut self,
        field: &'static str,
        range: RangeInclusive<u64>,
        absent: u64,
    ) -> u64 {
        self.asked.insert(field);
        if self.has(field) {
            self.integer(field, range)
        } else {
            absent
        }
    }

    /// Reads a number within a range.
    pub fn number(&mut self, field: &'static str, range: RangeInclusive<f64>) -> f64 {
        let wanted = format!("a number from {} to {}", range.start(), range.end());
        let within = |value: &Value| value.as_f64().filter(|n| range.contains(n));
        self.take(field, &wanted, within).unwrap_or(*range.start())
    }

    /// Reads a number within a range, or a default.
    pub fn number_or(
        &mut self,
        field: &'static str,
        range: RangeInclusive<f64>,
        absent: f64,
    ) -> f64 {
        self.asked.insert(field);
        if self.has(field) {
            self.number(field, range)
        } else {
            absent
        }
    }

    /// Reads `True` or `False`, or a default.
    pub fn flag_or(&mut self, field: &'static str, absent: bool) -> bool {
        self.asked.insert(field);
        if !self.has(field) {
            return absent;
        }
        self.take(field, "True or False", Value::as_bool)
            .unwrap_or(absent)
    }

    /// Reads a span such as "250ms" or "1m 30s", in whole nanoseconds; one day at most, as no wait here is longer.
    pub fn duration(&mut self, field: &'static str) -> Nanos {
        self.duration_from(field, 0)
    }

    /// Reads a span above 0; what is missing or wrong reads as 0 all the same.
    pub fn positive_duration(&mut self, field: &'static str) -> Nanos {
        self.duration_from(field, 1)
    }

    fn duration_from(&mut self, field: &'static str, least: Nanos) -> Nanos {
        let parse = |value: &Value| {
            let span = humantime::parse_duration(value.as_str()?).ok()?;
            Nanos::try_from(span.as_nanos())
                .ok()
                .filter(|ns| (least..=DAY).contains(ns))
        };
        let above = if least > 0 { " above 0" } else { "" };
        let wanted = format!("a span{above} of a day at most, such as \"250ms\" or \"1m 30s\"");
        self.take(field, &wanted, parse).unwrap_or(0)
    }

    /// Reads a span, or a default in nanoseconds.
    pub fn duration_or(&mut self, field: &'static str, absent: Nanos) -> Nanos {
        self.asked.insert(field);
        if self.has(field) {
            self.duration(field)
        } else {
            absent
        }
    }

    /// Reads a size such as "64KiB" or a whole number of bytes within a range, or a default.
    pub fn size_or(&mut self, field: &'static str, range: RangeInclusive<u64>, absent: u64) -> u64 {
        self.asked.insert(field);
        if !self.has(field) {
            return absent;
        }
        let wanted = format!(
            "a size such as \"64KiB\", from {} to {} bytes",
            range.start(),
            range.end()
        );
        let parse = |value: &Value| {
            let written = value
                .as_str()
                .and_then(|text| text.parse::<bytesize::ByteSize>().ok());
            value
                .as_u64()
                .or(written.map(|size| size.as_u64()))
                .filter(|n| range.contains(n))
        };
        self.take(field, &wanted, parse).unwrap_or(absent)
    }

    /// Reads one of some words, as the value that stands for it.
    pub fn choice<T: Copy>(&mut self, field: &'static str, choices: &[(&str, T)]) -> Option<T> {
        let names: Vec<&str> = choices.iter().map(|(name, _)| *name).collect();
        let one = |value: &Value| {
            let name = value.as_str()?;
            choices
                .iter()
                .find(|(known, _)| *known == name)
                .map(|(_, choice)| *choice)
        };
        self.take(field, &format!("one of {}", names.join(", ")), one)
    }

    /// Reads a list of texts, one at least.
    pub fn text_list(&mut self, field: &'static str) -> Vec<String> {
        let all = |value: &Value| {
            let full = |text: &Value| {
                text.as_str()
                    .filter(|text| !text.is_empty())
                    .map(str::to_string)
            };
            value
                .as_array()?
                .iter()
                .map(full)
                .collect::<Option<Vec<_>>>()
                .filter(|all| !all.is_empty())
        };
        self.take(field, "a list of texts, one at least", all)
            .unwrap_or_default()
    }

    /// Reads a list of texts, or an empty one.
    pub fn text_list_or_empty(&mut self, field: &'static str) -> Vec<String> {
        self.asked.insert(field);
        if self.has(field) {
            self.text_list(field)
        } else {
            Vec::new()
        }
    }

    /// Reads a list of shares from 0 to 1, one at least.
    pub fn fractions(&mut self, field: &'static str) -> Vec<f64> {
        let all = |value: &Value| {
            let share = |n: &Value| n.as_f64().filter(|n| (0.0..=1.0).contains(n));
            value
                .as_array()?
                .iter()
                .map(share)
                .collect::<Option<Vec<_>>>()
                .filter(|all| !all.is_empty())
        };
        self.take(field, "a list of numbers from 0 to 1, one at least", all)
            .unwrap_or_else(|| vec![0.0])
    }

    /// Reads a field by the type's own parser, such as a socket address or a header name.
    pub fn parsed<T: std::str::FromStr>(&mut self, field: &'static str, wanted: &str) -> Option<T> {
        self.take(field, wanted, |value| value.as_str()?.parse().ok())
    }

    /// Reports the fields that nobody has asked for.
    pub fn finish(mut self) {
        let known = self.asked.iter().copied().collect::<Vec<_>>().join(", ");
        for field in self.row.fields.keys() {
            if !self.asked.contains(field.as_str()) {
                self.report(field, "no such field", format!("one of {known}"));
            }
        }
    }
}

/// Cuts off a value that is too long to be shown.
fn shortened(mut value: String) -> String {
    if value.len() <= MAX_SHOWN_BYTES {
        return value;
    }
    let longest = MAX_SHOWN_BYTES - ELLIPSIS.len();
    let end = (0..=longest).rev().find(|end| value.is_char_boundary(*end));
    value.truncate(end.unwrap_or(0));
    value.push_str(ELLIPSIS);
    value
}
