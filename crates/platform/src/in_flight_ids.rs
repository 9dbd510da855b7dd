//! The correlation ids of requests in flight, and what becomes of a request whose id is in flight already.
//!
//! A client whose connection ended under a request that it takes for unread sends that request once more, and its close
//! may be noticed here after that. Tests: `tests/unit/in_flight_ids.rs`; over sockets `tests/crossings.rs`,
//! `a_request_sent_again_after_its_connection_ended_is_not_taken_for_another_clients`.

use crate::client_connection::ClientConnection;
use havenplank::interface::{Idempotency, RequestId};
use hyper::header::HeaderValue;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

/// Why an id cannot be had.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum IdConflict {
    /// The request that has it is in flight and its client waits.
    ClientWaits,
    /// The client of the request that has it has closed, and that request may have run: sent to a pod once more it
    /// could run twice.
    MayHaveRun,
}

/// What a request with an id in flight knows of the earlier one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EarlierRequest {
    /// Whether its client has closed.
    pub(crate) is_client_gone: bool,
    /// Whether an attempt may have been sent.
    pub(crate) may_have_run: bool,
}

/// Decides whether a request takes the id over from an earlier one, which then ends.
///
/// # Errors
/// The earlier client still waits; or the request is not idempotent and the earlier one may have run.
pub(crate) fn may_take_over(
    earlier: EarlierRequest,
    idempotency: Idempotency,
) -> Result<(), IdConflict> {
    if !earlier.is_client_gone {
        return Err(IdConflict::ClientWaits);
    }
    if idempotency != Idempotency::Idempotent && earlier.may_have_run {
        return Err(IdConflict::MayHaveRun);
    }
    Ok(())
}

/// Who sent the id of a request in flight, and the request once it is dispatched.
#[derive(Clone)]
pub(crate) struct IdHolder {
    pub(crate) client: Rc<ClientConnection>,
    pub(crate) request: Option<RequestId>,
}

/// Ids of requests in flight: one a client at most, so that the clients' bound holds.
#[derive(Default)]
pub(crate) struct InFlightIds {
    holders: RefCell<HashMap<HeaderValue, IdHolder>>,
}

impl InFlightIds {
    pub(crate) fn holder(&self, id: &HeaderValue) -> Option<IdHolder> {
        self.holders.borrow().get(id).cloned()
    }

    /// Gives the id to a client, whoever had it.
    pub(crate) fn insert(&self, id: HeaderValue, client: Rc<ClientConnection>) {
        let holder = IdHolder {
            client,
            request: None,
        };
        self.holders.borrow_mut().insert(id, holder);
    }

    /// Sets the request that has the id.
    pub(crate) fn set_request(&self, id: &HeaderValue, request: RequestId) {
        if let Some(holder) = self.holders.borrow_mut().get_mut(id) {
            holder.request = Some(request);
        }
    }

    /// Frees the id, unless another client has it by now.
    pub(crate) fn release(&self, id: &HeaderValue, client: &Rc<ClientConnection>) {
        let mut holders = self.holders.borrow_mut();
        let is_own = |holder: &IdHolder| Rc::ptr_eq(&holder.client, client);
        if holders.get(id).is_some_and(is_own) {
            holders.remove(id);
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/in_flight_ids.rs"]
mod tests;
