//! The claim of a request on its correlation id, held while the request is in flight.

use crate::client_connection::ClientConnection;
use crate::in_flight_ids::{may_take_over, EarlierRequest, IdConflict, IdHolder};
use crate::shell::Shell;
use havenplank::interface::{Idempotency, RequestId};
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
    /// Claims an id. An earlier request with the same id whose client has closed is ended and replaced.
    ///
    /// # Errors
    /// Fails where the earlier request keeps the id; see [`may_take_over`].
    pub(crate) fn new(
        shell: &Rc<Shell>,
        client: &Rc<ClientConnection>,
        id: &HeaderValue,
        idempotency: Idempotency,
    ) -> Result<IdClaim, IdConflict> {
        if let Some(earlier) = shell.clients.in_flight_ids.holder(id) {
            may_take_over(earlier_request(shell, &earlier), idempotency)?;
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

fn earlier_request(shell: &Shell, earlier: &IdHolder) -> EarlierRequest {
    let was_forwarded = |request| shell.was_forwarded(request);
    EarlierRequest {
        is_client_gone: earlier.client.stream.is_closed(),
        may_have_run: earlier.request.is_some_and(was_forwarded),
    }
}
