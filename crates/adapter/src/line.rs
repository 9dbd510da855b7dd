//! One line of the wire, read field by field, with plain complaints on what is malformed.

use serde_json::{Map, Value};

pub struct Line {
    pub number: u64,
    pub verb: String,
    pub fields: Map<String, Value>,
}

impl Line {
    pub fn read(number: u64, text: &[u8]) -> Result<Line, String> {
        let value: Value = serde_json::from_slice(text)
            .map_err(|e| format!("line {number}: not a JSON object ({e})"))?;
        let Value::Object(fields) = value else {
            return Err(format!("line {number}: not a JSON object"));
        };
        let verb = match fields.get("verb") {
            Some(Value::String(verb)) => verb.clone(),
            Some(_) => return Err(format!("line {number}: field verb: not text")),
            None => return Err(format!("line {number}: field verb: missing")),
        };
        Ok(Line {
            number,
            verb,
            fields,
        })
    }

    pub fn complain(&self, field: &str, what: &str) -> String {
        format!("line {}: {}: field {field}: {what}", self.number, self.verb)
    }

    pub fn of(&self) -> Fields<'_> {
        Fields {
            line: self,
            path: String::new(),
            map: &self.fields,
        }
    }
}

/// The fields of a line or of an object inside it, with the path to them for complaints.
pub struct Fields<'a> {
    line: &'a Line,
    path: String,
    map: &'a Map<String, Value>,
}

fn present(value: Option<&Value>) -> Option<&Value> {
    value.filter(|value| !value.is_null())
}

impl<'a> Fields<'a> {
    pub fn complain(&self, field: &str, what: &str) -> String {
        self.line.complain(&format!("{}{field}", self.path), what)
    }

    fn want<T>(
        &self,
        field: &str,
        read: impl Fn(&'a Value) -> Option<T>,
        what: &str,
    ) -> Result<T, String> {
        let value = present(self.map.get(field)).ok_or_else(|| self.complain(field, "missing"))?;
        read(value).ok_or_else(|| self.complain(field, what))
    }

    fn may<T>(
        &self,
        field: &str,
        read: impl Fn(&'a Value) -> Option<T>,
        what: &str,
    ) -> Result<Option<T>, String> {
        match present(self.map.get(field)) {
            None => Ok(None),
            Some(value) => read(value)
                .map(Some)
                .ok_or_else(|| self.complain(field, what)),
        }
    }

    pub fn whole(&self, field: &str) -> Result<u64, String> {
        self.want(field, Value::as_u64, "not a whole number")
    }

    pub fn whole_or(&self, field: &str, other: u64) -> Result<u64, String> {
        Ok(self
            .may(field, Value::as_u64, "not a whole number")?
            .unwrap_or(other))
    }

    pub fn maybe_whole(&self, field: &str) -> Result<Option<u64>, String> {
        self.may(field, Value::as_u64, "not a whole number")
    }

    pub fn number(&self, field: &str) -> Result<f64, String> {
        self.want(field, Value::as_f64, "not a number")
    }

    pub fn number_or(&self, field: &str, other: f64) -> Result<f64, String> {
        Ok(self
            .may(field, Value::as_f64, "not a number")?
            .unwrap_or(other))
    }

    pub fn text(&self, field: &str) -> Result<&'a str, String> {
        self.want(field, Value::as_str, "not text")
    }

    pub fn maybe_text(&self, field: &str) -> Result<Option<&'a str>, String> {
        self.may(field, Value::as_str, "not text")
    }

    /// Text, or none where it is absent or 0.
    pub fn maybe_name(&self, field: &str) -> Result<Option<&'a str>, String> {
        match self.map.get(field) {
            Some(Value::Number(number)) if number.as_u64() == Some(0) => Ok(None),
            _ => self.maybe_text(field),
        }
    }

    pub fn flag(&self, field: &str) -> Result<bool, String> {
        Ok(self
            .may(field, Value::as_bool, "not true or false")?
            .unwrap_or(false))
    }

    pub fn object(&self, field: &str) -> Result<Fields<'a>, String> {
        let map = self.want(field, Value::as_object, "not an object")?;
        Ok(Fields {
            line: self.line,
            path: format!("{}{field}.", self.path),
            map,
        })
    }

    pub fn maybe_has(&self, field: &str) -> bool {
        present(self.map.get(field)).is_some()
    }

    pub fn maybe_numbers(&self, field: &str) -> Result<Option<Vec<f64>>, String> {
        let read = |value: &'a Value| value.as_array()?.iter().map(Value::as_f64).collect();
        self.may(field, read, "not a row of numbers")
    }

    pub fn numbers(&self, field: &str) -> Result<Vec<f64>, String> {
        self.maybe_numbers(field)?
            .ok_or_else(|| self.complain(field, "missing"))
    }

    pub fn words(&self, field: &str) -> Result<Vec<String>, String> {
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

    pub fn objects(&self, field: &str) -> Result<Vec<Fields<'a>>, String> {
        let rows = self.want(field, Value::as_array, "not a row of objects")?;
        let object = |(n, row): (usize, &'a Value)| {
            let path = format!("{}{field}[{n}]", self.path);
            match row.as_object() {
                Some(map) => Ok(Fields {
                    line: self.line,
                    path: path + ".",
                    map,
                }),
                None => Err(self.line.complain(&path, "not an object")),
            }
        };
        rows.iter().enumerate().map(object).collect()
    }

    /// The position of a name among those the settings gave.
    pub fn named(&self, field: &str, names: &[String]) -> Result<usize, String> {
        let name = self.text(field)?;
        names
            .iter()
            .position(|known| known == name)
            .ok_or_else(|| self.complain(field, "a name not in the settings"))
    }
}
