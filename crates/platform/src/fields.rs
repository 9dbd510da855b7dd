//! Decodes JSON objects field by field. Errors name the object, the path to the field and what was expected.

use havenplank_adapter::error::WireError;
use havenplank_adapter::line::{Fields, Line};
use serde_json::Value;

/// Why an object was rejected.
#[derive(Debug, thiserror::Error)]
pub enum FieldError {
    /// The text is not JSON.
    #[error("{object}: not JSON ({source})")]
    NotJson {
        /// What the object is.
        object: &'static str,
        /// The error of the JSON parser, with its position.
        #[source]
        source: serde_json::Error,
    },
    /// The text is JSON, but not an object.
    #[error("{object}: expected a JSON object")]
    NotAnObject {
        /// What the object is.
        object: &'static str,
    },
    /// A field is missing or invalid.
    #[error(transparent)]
    Field(#[from] WireError),
}

/// Parses an object; `object` names it in errors.
///
/// # Errors
/// Fails if the text is not a JSON object.
pub fn parse_object(object: &'static str, text: &[u8]) -> Result<Line, FieldError> {
    let value =
        serde_json::from_slice(text).map_err(|source| FieldError::NotJson { object, source })?;
    let Value::Object(fields) = value else {
        return Err(FieldError::NotAnObject { object });
    };
    Ok(Line {
        number: 1,
        verb: object.to_string(),
        fields,
    })
}

/// Returns the error for a field with an unexpected value.
pub(crate) fn invalid(fields: &Fields, field: &str, expected: &'static str) -> FieldError {
    FieldError::Field(fields.error(field, expected))
}
