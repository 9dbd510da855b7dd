//! The claim of a request on its correlation id, held while the request is in flight.

use crate::client_connection::ClientConnection;
use crate::in_flight_ids::{may_take_over, EarlierRequest, IdConflict, IdHolder};
use crate::shell::Shell;
use havenplank::interface::{Idempotency, RequestId};
use havenplank_sidecar::client_stream::Departure;
use havenplank_sidecar::headers::detached_copy_of_value;
use hyper::header::HeaderValue;
use std::rc::Rc;

/// A claim on a correlation id; dropping it releases the id.
pub(crate) struct IdClaim {
    shell: Rc<Shell>,
    client: Rc<ClientConnection>,
    id: HeaderValue,
}

impl IdClaim {
    /// Claims an id. An earlier request with the same id whose client has closed is ended and replaced, unless it may have
    /// run and must not run twice. That also holds for an earlier request that has ended.
    ///
    /// # Errors
    /// Fails where the earlier request keeps the id; see [`may_take_over`].
    pub(crate) fn new(
        shell: &Rc<Shell>,
        client: &Rc<ClientConnection>,
        id: &HeaderValue,
        idempotency: Idempotency,
    ) -> Result<IdClaim, IdConflict> {
        let earlier = shell.clients.in_flight_ids.holder(id);
        may_take_over(earlier_request(shell, id, earlier.as_ref()), idempotency)?;
        if let Some(earlier) = earlier {
            earlier.client.abort();
            if let Some(request) = earlier.request {
                shell.cancel_request(request);
            }
        }
        let id = detached_copy_of_value(id);
        let ids = &shell.clients.in_flight_ids;
        ids.insert(id.clone(), client.clone());
        Ok(IdClaim {
            shell: shell.clone(),
            client: client.clone(),
            id,
        })
    }

    /// Returns the id.
    pub(crate) fn id(&self) -> &HeaderValue {
        &self.id
    }

    /// Records which dispatched request holds the id.
    pub(crate) fn set_request(&self, request: RequestId) {
        let ids = &self.shell.clients.in_flight_ids;
        ids.set_request(&self.id, request);
    }
}

impl Drop for IdClaim {
    fn drop(&mut self) {
        let ids = &self.shell.clients.in_flight_ids;
        ids.release(&self.id, &self.client);
    }
}

/// Describes the earlier requests with this id: the one in flight, if any, and those that have ended.
fn earlier_request(
    shell: &Shell,
    id: &HeaderValue,
    in_flight: Option<&IdHolder>,
) -> EarlierRequest {
    let was_forwarded = |request| shell.was_forwarded(request);
    let request = in_flight.and_then(|earlier| earlier.request);
    EarlierRequest {
        is_client_gone: in_flight.is_none_or(has_client_left),
        may_have_run: request.is_some_and(was_forwarded) || shell.clients.sent_ids.contains(id),
    }
}

/// Returns whether the client of an earlier request has left. Bytes behind a request that is still being read are its
/// own, so only the close itself is looked for then.
fn has_client_left(earlier: &IdHolder) -> bool {
    let stream = &earlier.client.stream;
    match earlier.request {
        Some(_) => stream.look_for_departure() == Some(Departure::Closed),
        None => stream.is_closed(),
    }
}
