//! Effects of the router, encoded as actions of the wire: one JSON object a line.

use crate::wire_names::{action, field};
use serde_json::Value;
use std::fmt::{Display, Write as _};
use std::io;

/// The actions of one instance that have not been sent.
pub(crate) struct ActionWriter {
    sidecar: u64,
    pub(crate) out: String,
}

impl ActionWriter {
    pub(crate) fn new(sidecar: u64) -> ActionWriter {
        ActionWriter {
            sidecar,
            out: String::new(),
        }
    }

    /// Begins an action; it is complete once [`Action::end`] was called.
    pub(crate) fn begin(&mut self, verb: &str) -> Action<'_> {
        let action = Action { out: &mut self.out };
        action.out.push('{');
        let _ = write!(action.out, "\"{}\":\"{verb}\"", field::VERB);
        action.number(field::SIDECAR, self.sidecar)
    }
}

/// An action that is being written.
pub(crate) struct Action<'a> {
    out: &'a mut String,
}

impl Action<'_> {
    /// Adds a number, or true or false.
    pub(crate) fn number(self, name: &str, value: impl Display) -> Self {
        let _ = write!(self.out, ",\"{name}\":{value}");
        self
    }

    pub(crate) fn text(self, name: &str, value: &str) -> Self {
        self.number(name, Value::from(value))
    }

    pub(crate) fn end(self) {
        self.out.push_str("}\n");
    }
}

/// Says that all actions of a round are out.
pub(crate) fn end_round(turn: u64, output: &mut impl io::Write) -> io::Result<()> {
    let (verb, name) = (action::ROUND_DONE, field::TURN);
    writeln!(
        output,
        "{{\"{}\":\"{verb}\",\"{name}\":{turn}}}",
        field::VERB
    )
}
