//! What can be wrong with a line of the wire.

/// A line that the wire does not have, with the place and what was wrong there.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// The line cannot be read as JSON.
    #[error("line {line}: not a JSON object ({source})")]
    NotJson {
        /// The line's number, from 1.
        line: u64,
        /// What the JSON reader said.
        source: serde_json::Error,
    },
    /// The line is JSON, but not an object.
    #[error("line {line}: not a JSON object")]
    NotAnObject {
        /// The line's number, from 1.
        line: u64,
    },
    /// The line does not say what it is.
    #[error("line {line}: field verb: {problem}")]
    Verb {
        /// The line's number, from 1.
        line: u64,
        /// What is wrong with the verb.
        problem: &'static str,
    },
    /// A field is missing or has a wrong value.
    #[error("line {line}: {verb}: field {field}: {problem}")]
    Field {
        /// The line's number, from 1.
        line: u64,
        /// What the line is.
        verb: String,
        /// The path to the field.
        field: String,
        /// What is wrong with it.
        problem: &'static str,
    },
}
