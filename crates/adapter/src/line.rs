//! One line of the wire protocol, and the typed access to its fields.

use crate::error::WireError;
use crate::wire_names::field;
use serde_json::{Map, Value};

/// A JSON object with a verb.
pub struct Line {
    /// The number of the line, counted from 1.
    pub number: u64,
    /// The kind of event or action.
    pub verb: String,
    /// All fields, including the verb.
    pub fields: Map<String, Value>,
}

impl Line {
    /// Parses a line of JSON.
    ///
    /// # Errors
    /// Returns an error if the line is not a JSON object or has no verb.
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
            Some(_) => return Err(malformed("expected a string")),
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

    /// Returns the reader of the line's fields.
    pub fn fields(&self) -> Fields<'_> {
        Fields {
            line: self,
            path: String::new(),
            map: &self.fields,
        }
    }
}

/// Reads the fields of a line or of an object inside it, and keeps the path to them for errors.
pub struct Fields<'a> {
    line: &'a Line,
    path: String,
    map: &'a Map<String, Value>,
}

fn present(value: Option<&Value>) -> Option<&Value> {
    value.filter(|value| !value.is_null())
}

impl<'a> Fields<'a> {
    /// Returns the error for an invalid field; `problem` says what is wrong or what was expected.
    pub fn error(&self, field: &str, problem: &'static str) -> WireError {
        self.line.error(&format!("{}{field}", self.path), problem)
    }

    fn required<T>(
        &self,
        field: &str,
        convert: impl Fn(&'a Value) -> Option<T>,
        problem: &'static str,
    ) -> Result<T, WireError> {
        let value = present(self.map.get(field)).ok_or_else(|| self.error(field, "missing"))?;
        convert(value).ok_or_else(|| self.error(field, problem))
    }

    fn optional<T>(
        &self,
        field: &str,
        convert: impl Fn(&'a Value) -> Option<T>,
        problem: &'static str,
    ) -> Result<Option<T>, WireError> {
        match present(self.map.get(field)) {
            None => Ok(None),
            Some(value) => convert(value)
                .map(Some)
                .ok_or_else(|| self.error(field, problem)),
        }
    }

    /// Returns a whole number.
    ///
    /// # Errors
    /// Returns an error if the field is missing or is not a whole number.
    pub fn integer(&self, field: &str) -> Result<u64, WireError> {
        self.required(field, Value::as_u64, "expected a whole number")
    }

    /// Returns a whole number, or `default` if the field is absent.
    ///
    /// # Errors
    /// Returns an error if the field is not a whole number.
    pub fn integer_or(&self, field: &str, default: u64) -> Result<u64, WireError> {
        Ok(self
            .optional(field, Value::as_u64, "expected a whole number")?
            .unwrap_or(default))
    }

    /// Returns a whole number, or `None` if the field is absent.
    ///
    /// # Errors
    /// Returns an error if the field is not a whole number.
    pub fn optional_integer(&self, field: &str) -> Result<Option<u64>, WireError> {
        self.optional(field, Value::as_u64, "expected a whole number")
    }

    /// Returns a number.
    ///
    /// # Errors
    /// Returns an error if the field is missing or is not a number.
    pub fn number(&self, field: &str) -> Result<f64, WireError> {
        self.required(field, Value::as_f64, "expected a number")
    }

    /// Returns a number, or `default` if the field is absent.
    ///
    /// # Errors
    /// Returns an error if the field is not a number.
    pub fn number_or(&self, field: &str, default: f64) -> Result<f64, WireError> {
        Ok(self
            .optional(field, Value::as_f64, "expected a number")?
            .unwrap_or(default))
    }

    /// Returns a string.
    ///
    /// # Errors
    /// Returns an error if the field is missing or is not a string.
    pub fn text(&self, field: &str) -> Result<&'a str, WireError> {
        self.required(field, Value::as_str, "expected a string")
    }

    /// Returns a string, or `None` if the field is absent.
    ///
    /// # Errors
    /// Returns an error if the field is not a string.
    pub fn optional_text(&self, field: &str) -> Result<Option<&'a str>, WireError> {
        self.optional(field, Value::as_str, "expected a string")
    }

    /// Returns a string, or `None` if the field is absent or the number 0.
    ///
    /// # Errors
    /// Returns an error if the field is neither a string nor 0.
    pub fn optional_name(&self, field: &str) -> Result<Option<&'a str>, WireError> {
        match self.map.get(field) {
            Some(Value::Number(number)) if number.as_u64() == Some(0) => Ok(None),
            _ => self.optional_text(field),
        }
    }

    /// Returns a boolean, or false if the field is absent.
    ///
    /// # Errors
    /// Returns an error if the field is not a boolean.
    pub fn flag(&self, field: &str) -> Result<bool, WireError> {
        Ok(self
            .optional(field, Value::as_bool, "expected true or false")?
            .unwrap_or(false))
    }

    /// Returns the reader of a nested object.
    ///
    /// # Errors
    /// Returns an error if the field is missing or is not an object.
    pub fn object(&self, field: &str) -> Result<Fields<'a>, WireError> {
        let map = self.required(field, Value::as_object, "expected an object")?;
        Ok(Fields {
            line: self.line,
            path: format!("{}{field}.", self.path),
            map,
        })
    }

    /// Returns whether a field is present and not null.
    pub fn has(&self, field: &str) -> bool {
        present(self.map.get(field)).is_some()
    }

    /// Returns an array of numbers, or `None` if the field is absent.
    ///
    /// # Errors
    /// Returns an error if the field is not an array of numbers.
    pub fn optional_numbers(&self, field: &str) -> Result<Option<Vec<f64>>, WireError> {
        let convert = |value: &'a Value| value.as_array()?.iter().map(Value::as_f64).collect();
        self.optional(field, convert, "expected an array of numbers")
    }

    /// Returns an array of numbers.
    ///
    /// # Errors
    /// Returns an error if the field is missing or is not an array of numbers.
    pub fn numbers(&self, field: &str) -> Result<Vec<f64>, WireError> {
        self.optional_numbers(field)?
            .ok_or_else(|| self.error(field, "missing"))
    }

    /// Returns an array of strings, which is empty if the field is absent.
    ///
    /// # Errors
    /// Returns an error if the field is not an array of strings.
    pub fn text_list(&self, field: &str) -> Result<Vec<String>, WireError> {
        let convert = |value: &'a Value| {
            value
                .as_array()?
                .iter()
                .map(|v| v.as_str().map(String::from))
                .collect()
        };
        Ok(self
            .optional(field, convert, "expected an array of strings")?
            .unwrap_or_default())
    }

    /// Returns the readers of an array of objects.
    ///
    /// # Errors
    /// Returns an error if the field is missing or is not an array of objects.
    pub fn objects(&self, field: &str) -> Result<Vec<Fields<'a>>, WireError> {
        let values = self.required(field, Value::as_array, "expected an array of objects")?;
        let to_fields = |(index, value): (usize, &'a Value)| {
            let path = format!("{}{field}[{index}]", self.path);
            match value.as_object() {
                Some(map) => Ok(Fields {
                    line: self.line,
                    path: path + ".",
                    map,
                }),
                None => Err(self.line.error(&path, "expected an object")),
            }
        };
        values.iter().enumerate().map(to_fields).collect()
    }

    /// Returns the position of a name in a list of names from the settings.
    ///
    /// # Errors
    /// Returns an error if the field is missing, is not a string or is not in the list.
    pub fn position_of(&self, field: &str, names: &[String]) -> Result<usize, WireError> {
        let name = self.text(field)?;
        names
            .iter()
            .position(|known| known == name)
            .ok_or_else(|| self.error(field, "unknown name; expected one from the settings"))
    }
}
