//! Errors in a line of the wire protocol.

/// A line that does not conform to the wire protocol, with the location and the problem.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// The line is not valid JSON.
    #[error("line {line}: not a JSON object ({source})")]
    NotJson {
        /// The line's number, from 1.
        line: u64,
        /// The error of the JSON parser.
        source: serde_json::Error,
    },
    /// The line is JSON, but not an object.
    #[error("line {line}: not a JSON object")]
    NotAnObject {
        /// The line's number, from 1.
        line: u64,
    },
    /// The line has no valid verb.
    #[error("line {line}: field verb: {problem}")]
    Verb {
        /// The line's number, from 1.
        line: u64,
        /// What is wrong with the verb.
        problem: &'static str,
    },
    /// A field is missing or has an invalid value.
    #[error("line {line}: {verb}: field {field}: {problem}")]
    Field {
        /// The line's number, from 1.
        line: u64,
        /// The verb of the line.
        verb: String,
        /// The path to the field.
        field: String,
        /// What is wrong with the field.
        problem: &'static str,
    },
}
