//! Decodes the actions of an instance from the lines that the adapter wrote.

use crate::error::WireError;
use crate::line::Line;
use crate::wire_names::{self, action, field};
use havenplank::interface::{Build, Nanos, Vote};

/// Receives the decoded actions of instances. Requests and pods are identified by their names on the wire.
pub trait ActionListener {
    /// The instance sent an attempt of a request.
    fn attempt(&mut self, sidecar: u64, request: &str, pod: &str, timeout: Nanos);
    /// The instance cancelled an attempt of a request; attempts are counted from 0.
    fn cancel(&mut self, sidecar: u64, request: &str, attempt: u32);
    /// The instance rejected a request.
    fn reject(&mut self, sidecar: u64, request: &str, retry_after: Nanos);
    /// The instance answered a request with an error.
    fn fail(&mut self, sidecar: u64, request: &str);
    /// The instance cast a vote.
    fn vote(&mut self, sidecar: u64, build: Build, stage: usize, vote: Vote);
    /// The instance sent a health check.
    fn health_check(&mut self, sidecar: u64, pod: &str);
    /// The instance requested the endpoint list.
    fn poll_endpoints(&mut self, sidecar: u64);
    /// The instance started or ended the watch on the endpoint list.
    fn watch_endpoints(&mut self, sidecar: u64, on: bool);
    /// The instance wrote a line to the log.
    fn log(&mut self, sidecar: u64, text: &str);
}

/// Decodes a line and calls the listener. Returns the number of the round if the line ends one.
///
/// # Errors
/// Returns an error for a line that the adapter would not write.
pub fn decode(line: &Line, listener: &mut impl ActionListener) -> Result<Option<u64>, WireError> {
    let fields = line.fields();
    if line.verb == action::ROUND_DONE {
        return fields.integer(field::ROUND).map(Some);
    }
    let sidecar = fields.integer(field::SIDECAR)?;
    match line.verb.as_str() {
        action::ATTEMPT => {
            let (request, pod) = (fields.text(field::REQUEST)?, fields.text(field::POD)?);
            listener.attempt(sidecar, request, pod, fields.integer(field::TIMEOUT)?);
        }
        action::CANCEL => {
            let request = fields.text(field::REQUEST)?;
            listener.cancel(sidecar, request, fields.integer(field::ATTEMPT)? as u32);
        }
        action::REJECT => {
            let request = fields.text(field::REQUEST)?;
            listener.reject(sidecar, request, fields.integer_or(field::RETRY_AFTER, 0)?);
        }
        action::FAIL => listener.fail(sidecar, fields.text(field::REQUEST)?),
        action::VOTE => {
            let vote = wire_names::vote(fields.integer(field::VOTE)?)
                .ok_or_else(|| fields.error(field::VOTE, "expected a code from 0 to 3"))?;
            let build = fields.integer(field::BUILD)? as Build;
            listener.vote(sidecar, build, fields.integer(field::STAGE)? as usize, vote);
        }
        action::HEALTH_CHECK => listener.health_check(sidecar, fields.text(field::POD)?),
        action::POLL_ENDPOINTS => listener.poll_endpoints(sidecar),
        action::WATCH_ENDPOINTS => listener.watch_endpoints(sidecar, fields.flag(field::WATCH)?),
        action::LOG => listener.log(sidecar, fields.text(field::LOG_TEXT)?),
        // Setting a timer is internal to the instance; its effects follow when it fires.
        action::SET_TIMER => {}
        _ => return Err(fields.error(field::VERB, "unknown action")),
    }
    Ok(None)
}
