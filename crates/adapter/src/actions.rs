//! The actions of an instance, read back from what the adapter said.

use crate::error::WireError;
use crate::line::Line;
use crate::wire_names::{self, action, field};
use havenplank::interface::{Build, Nanos, Vote};

/// What an instance did, decoded: names as they stand on the wire.
pub trait ActionListener {
    /// It sent an attempt of a request.
    fn attempt(&mut self, sidecar: u64, request: &str, pod: &str, timeout: Nanos);
    /// It cancelled an attempt of a request, counted from 0.
    fn cancel(&mut self, sidecar: u64, request: &str, attempt: u32);
    /// It rejected a request.
    fn reject(&mut self, sidecar: u64, request: &str, retry_after: Nanos);
    /// It answered a request with an error.
    fn fail(&mut self, sidecar: u64, request: &str);
    /// It cast a vote.
    fn vote(&mut self, sidecar: u64, build: Build, stage: usize, vote: Vote);
    /// It sent a health check.
    fn health_check(&mut self, sidecar: u64, pod: &str);
    /// It asked for the endpoint list.
    fn poll_endpoints(&mut self, sidecar: u64);
    /// It began or ended the watch on the endpoint list.
    fn watch_endpoints(&mut self, sidecar: u64, on: bool);
    /// It wrote to the log.
    fn log(&mut self, sidecar: u64, text: &str);
}

/// Takes one line; the number of the round where the line ends one.
///
/// # Errors
/// A line that the adapter would not say.
pub fn decode(line: &Line, listener: &mut impl ActionListener) -> Result<Option<u64>, WireError> {
    let f = line.fields();
    if line.verb == action::ROUND_DONE {
        return f.integer(field::TURN).map(Some);
    }
    let sidecar = f.integer(field::SIDECAR)?;
    match line.verb.as_str() {
        action::ATTEMPT => {
            let (request, pod) = (f.text(field::REQUEST)?, f.text(field::POD)?);
            listener.attempt(sidecar, request, pod, f.integer(field::TIMEOUT)?);
        }
        action::CANCEL => {
            let request = f.text(field::REQUEST)?;
            listener.cancel(sidecar, request, f.integer(field::ATTEMPT)? as u32);
        }
        action::REJECT => {
            let request = f.text(field::REQUEST)?;
            listener.reject(sidecar, request, f.integer_or(field::RETRY_AFTER, 0)?);
        }
        action::FAIL => listener.fail(sidecar, f.text(field::REQUEST)?),
        action::VOTE => {
            let vote = wire_names::vote(f.integer(field::VOTE)?)
                .ok_or_else(|| f.error(field::VOTE, "not 0 to 3"))?;
            let build = f.integer(field::BUILD)? as Build;
            listener.vote(sidecar, build, f.integer(field::STAGE)? as usize, vote);
        }
        action::HEALTH_CHECK => listener.health_check(sidecar, f.text(field::POD)?),
        action::POLL_ENDPOINTS => listener.poll_endpoints(sidecar),
        action::WATCH_ENDPOINTS => listener.watch_endpoints(sidecar, f.flag(field::WATCH)?),
        action::LOG => listener.log(sidecar, f.text(field::LOG_TEXT)?),
        // Timers are the host's own affair: what comes of them is told when they are due.
        action::SET_TIMER => {}
        _ => return Err(f.error(field::VERB, "not an action of the adapter")),
    }
    Ok(None)
}
