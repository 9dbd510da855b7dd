//! The correlation ids of requests in flight, and the decision about a request whose id is already in flight.
//!
//! A client whose connection ended during a request resends that request if it believes that the request was not read.
//! The sidecar may read the second request before it notices that the first connection was closed. Tests:
//! `tests/unit/in_flight_ids.rs`; over sockets `tests/races.rs`,
//! `a_request_resent_after_its_connection_ended_is_not_rejected_as_a_duplicate_id`.

use crate::client_connection::ClientConnection;
use havenplank::interface::{Idempotency, RequestId};
use hyper::header::HeaderValue;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

/// Why a request cannot have its correlation id.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum IdConflict {
    /// The request that holds the id is in flight and its client still waits.
    ClientWaiting,
    /// The request that holds the id has ended or its client has closed, and it may have run: sending it to a pod again
    /// could run it twice.
    MayHaveRun,
}

/// What is known about the earlier request with the same id, in flight or ended; of a new id, that its request cannot
/// have run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EarlierRequest {
    /// Whether its client has closed, or its request has ended.
    pub(crate) is_client_gone: bool,
    /// Whether an attempt of the request may have been sent.
    pub(crate) may_have_run: bool,
}

/// Decides whether a request takes over the id of an earlier one, which is then ended.
///
/// # Errors
/// Fails if the earlier client still waits, or if the request is not idempotent and the earlier one may have run.
pub(crate) fn may_take_over(
    earlier: EarlierRequest,
    idempotency: Idempotency,
) -> Result<(), IdConflict> {
    if !earlier.is_client_gone {
        return Err(IdConflict::ClientWaiting);
    }
    if idempotency != Idempotency::Idempotent && earlier.may_have_run {
        return Err(IdConflict::MayHaveRun);
    }
    Ok(())
}

/// The client whose request holds an id, and the request once it is dispatched.
#[derive(Clone)]
pub(crate) struct IdHolder {
    pub(crate) client: Rc<ClientConnection>,
    pub(crate) request: Option<RequestId>,
}

/// The ids of requests in flight. There is at most one for each client connection, so the number of ids is bounded.
#[derive(Default)]
pub(crate) struct InFlightIds {
    holders: RefCell<HashMap<HeaderValue, IdHolder>>,
}

impl InFlightIds {
    pub(crate) fn holder(&self, id: &HeaderValue) -> Option<IdHolder> {
        self.holders.borrow().get(id).cloned()
    }

    /// Assigns the id to a client, replacing any other holder.
    pub(crate) fn insert(&self, id: HeaderValue, client: Rc<ClientConnection>) {
        let holder = IdHolder {
            client,
            request: None,
        };
        self.holders.borrow_mut().insert(id, holder);
    }

    /// Sets the dispatched request that holds the id.
    pub(crate) fn set_request(&self, id: &HeaderValue, request: RequestId) {
        if let Some(holder) = self.holders.borrow_mut().get_mut(id) {
            holder.request = Some(request);
        }
    }

    /// Releases the id, unless another client holds it by now.
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
