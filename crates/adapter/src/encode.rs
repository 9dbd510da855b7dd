//! Encodes the router's effects as actions of the wire protocol: one JSON object per line.

use crate::wire_names::{action, field};
use serde_json::Value;
use std::fmt::{Display, Write as _};
use std::io;

/// The actions of one instance that have not been sent.
pub(crate) struct ActionWriter {
    sidecar: u64,
    /// The encoded lines.
    pub(crate) out: String,
}

impl ActionWriter {
    pub(crate) fn new(sidecar: u64) -> ActionWriter {
        ActionWriter {
            sidecar,
            out: String::new(),
        }
    }

    /// Starts an action; the caller completes it with [`Action::end`].
    pub(crate) fn begin(&mut self, verb: &str) -> Action<'_> {
        let action = Action { out: &mut self.out };
        action.out.push('{');
        let _ = write!(action.out, "\"{}\":\"{verb}\"", field::VERB);
        action.json_value(field::SIDECAR, self.sidecar)
    }
}

/// An action that is being written.
pub(crate) struct Action<'a> {
    out: &'a mut String,
}

impl Action<'_> {
    /// Adds a field whose value is valid JSON when formatted: a number, a boolean or encoded JSON.
    pub(crate) fn json_value(self, name: &str, value: impl Display) -> Self {
        let _ = write!(self.out, ",\"{name}\":{value}");
        self
    }

    /// Adds a field whose value is a string.
    pub(crate) fn text(self, name: &str, value: &str) -> Self {
        self.json_value(name, Value::from(value))
    }

    /// Completes the action.
    pub(crate) fn end(self) {
        self.out.push_str("}\n");
    }
}

/// Writes the line that marks the end of a round's actions.
pub(crate) fn end_round(round: u64, output: &mut impl io::Write) -> io::Result<()> {
    let (verb, name) = (action::ROUND_DONE, field::ROUND);
    writeln!(
        output,
        "{{\"{}\":\"{verb}\",\"{name}\":{round}}}",
        field::VERB
    )
}
