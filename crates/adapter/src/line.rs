//! One line of the wire, read field by field.

use crate::error::WireError;
use crate::wire_names::field;
use serde_json::{Map, Value};

/// A JSON object with a verb.
pub struct Line {
    /// Its number, from 1.
    pub number: u64,
    /// What it tells or asks for.
    pub verb: String,
    /// All its fields.
    pub fields: Map<String, Value>,
}

impl Line {
    /// Reads a line of JSON.
    ///
    /// # Errors
    /// What is no JSON object or has no verb.
    pub fn parse(number: u64, text: &[u8]) -> Result<Line, WireError> {
        let value: Value = serde_json::from_slice(text).map_err(|source| WireError::NotJson {
            line: number,
            source,
        })?;
        let Value::Object(fields) = value else {
            return Err(WireError::NotAnObject { line: number });
        };
        let malformed = |problem| WireError::Verb {
            line: number,
            problem,
        };
        let verb = match fields.get(field::VERB) {
            Some(Value::String(verb)) => verb.clone(),
            Some(_) => return Err(malformed("not text")),
            None => return Err(malformed("missing")),
        };
        Ok(Line {
            number,
            verb,
            fields,
        })
    }

    fn error(&self, field: &str, problem: &'static str) -> WireError {
        WireError::Field {
            line: self.number,
            verb: self.verb.clone(),
            field: field.to_string(),
            problem,
        }
    }

    /// Its fields, to be read.
    pub fn fields(&self) -> Fields<'_> {
        Fields {
            line: self,
            path: String::new(),
            map: &self.fields,
        }
    }
}

/// The fields of a line or of an object inside it, with the path to them for errors.
pub struct Fields<'a> {
    line: &'a Line,
    path: String,
    map: &'a Map<String, Value>,
}

fn present(value: Option<&Value>) -> Option<&Value> {
    value.filter(|value| !value.is_null())
}

impl<'a> Fields<'a> {
    /// The error that a field is malformed; `problem` says what it is not, or what was expected.
    pub fn error(&self, field: &str, problem: &'static str) -> WireError {
        self.line.error(&format!("{}{field}", self.path), problem)
    }

    fn want<T>(
        &self,
        field: &str,
        read: impl Fn(&'a Value) -> Option<T>,
        problem: &'static str,
    ) -> Result<T, WireError> {
        let value = present(self.map.get(field)).ok_or_else(|| self.error(field, "missing"))?;
        read(value).ok_or_else(|| self.error(field, problem))
    }

    fn may<T>(
        &self,
        field: &str,
        read: impl Fn(&'a Value) -> Option<T>,
        problem: &'static str,
    ) -> Result<Option<T>, WireError> {
        match present(self.map.get(field)) {
            None => Ok(None),
            Some(value) => read(value)
                .map(Some)
                .ok_or_else(|| self.error(field, problem)),
        }
    }

    /// A whole number.
    ///
    /// # Errors
    /// One that is missing or no whole number.
    pub fn integer(&self, field: &str) -> Result<u64, WireError> {
        self.want(field, Value::as_u64, "not a whole number")
    }

    /// A whole number, or another where it is absent.
    ///
    /// # Errors
    /// One that is no whole number.
    pub fn integer_or(&self, field: &str, other: u64) -> Result<u64, WireError> {
        Ok(self
            .may(field, Value::as_u64, "not a whole number")?
            .unwrap_or(other))
    }

    /// A whole number, or none where it is absent.
    ///
    /// # Errors
    /// One that is no whole number.
    pub fn optional_integer(&self, field: &str) -> Result<Option<u64>, WireError> {
        self.may(field, Value::as_u64, "not a whole number")
    }

    /// A number.
    ///
    /// # Errors
    /// One that is missing or no number.
    pub fn number(&self, field: &str) -> Result<f64, WireError> {
        self.want(field, Value::as_f64, "not a number")
    }

    /// A number, or another where it is absent.
    ///
    /// # Errors
    /// One that is no number.
    pub fn number_or(&self, field: &str, other: f64) -> Result<f64, WireError> {
        Ok(self
            .may(field, Value::as_f64, "not a number")?
            .unwrap_or(other))
    }

    /// Text.
    ///
    /// # Errors
    /// One that is missing or not text.
    pub fn text(&self, field: &str) -> Result<&'a str, WireError> {
        self.want(field, Value::as_str, "not text")
    }

    /// Text, or none where it is absent.
    ///
    /// # Errors
    /// One that is not text.
    pub fn optional_text(&self, field: &str) -> Result<Option<&'a str>, WireError> {
        self.may(field, Value::as_str, "not text")
    }

    /// Text, or none where it is absent or 0.
    ///
    /// # Errors
    /// One that is neither.
    pub fn optional_name(&self, field: &str) -> Result<Option<&'a str>, WireError> {
        match self.map.get(field) {
            Some(Value::Number(number)) if number.as_u64() == Some(0) => Ok(None),
            _ => self.optional_text(field),
        }
    }

    /// True or false; false where it is absent.
    ///
    /// # Errors
    /// One that is neither.
    pub fn flag(&self, field: &str) -> Result<bool, WireError> {
        Ok(self
            .may(field, Value::as_bool, "not true or false")?
            .unwrap_or(false))
    }

    /// An object.
    ///
    /// # Errors
    /// One that is missing or no object.
    pub fn object(&self, field: &str) -> Result<Fields<'a>, WireError> {
        let map = self.want(field, Value::as_object, "not an object")?;
        Ok(Fields {
            line: self.line,
            path: format!("{}{field}.", self.path),
            map,
        })
    }

    /// Whether a field is there and not null.
    pub fn has(&self, field: &str) -> bool {
        present(self.map.get(field)).is_some()
    }

    /// A row of numbers, or none where it is absent.
    ///
    /// # Errors
    /// One that is no row of numbers.
    pub fn optional_numbers(&self, field: &str) -> Result<Option<Vec<f64>>, WireError> {
        let read = |value: &'a Value| value.as_array()?.iter().map(Value::as_f64).collect();
        self.may(field, read, "not a row of numbers")
    }

    /// A row of numbers.
    ///
    /// # Errors
    /// One that is missing or no row of numbers.
    pub fn numbers(&self, field: &str) -> Result<Vec<f64>, WireError> {
        self.optional_numbers(field)?
            .ok_or_else(|| self.error(field, "missing"))
    }

    /// A row of names; empty where it is absent.
    ///
    /// # Errors
    /// One that is no row of names.
    pub fn text_list(&self, field: &str) -> Result<Vec<String>, WireError> {
        let read = |value: &'a Value| {
            value
                .as_array()?
                .iter()
                .map(|v| v.as_str().map(String::from))
                .collect()
        };
        Ok(self
            .may(field, read, "not a row of names")?
            .unwrap_or_default())
    }

    /// A row of objects.
    ///
    /// # Errors
    /// One that is missing or no row of objects.
    pub fn objects(&self, field: &str) -> Result<Vec<Fields<'a>>, WireError> {
        let rows = self.want(field, Value::as_array, "not a row of objects")?;
        let object = |(n, row): (usize, &'a Value)| {
            let path = format!("{}{field}[{n}]", self.path);
            match row.as_object() {
                Some(map) => Ok(Fields {
                    line: self.line,
                    path: path + ".",
                    map,
                }),
                None => Err(self.line.error(&path, "not an object")),
            }
        };
        rows.iter().enumerate().map(object).collect()
    }

    /// The position of a name among those the settings gave.
    ///
    /// # Errors
    /// One that is missing, not text or not among them.
    pub fn position_of(&self, field: &str, names: &[String]) -> Result<usize, WireError> {
        let name = self.text(field)?;
        names
            .iter()
            .position(|known| known == name)
            .ok_or_else(|| self.error(field, "a name not in the settings"))
    }
}
