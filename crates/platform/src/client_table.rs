//! The open client connections, bounded by the descriptor budget.

use crate::client_connection::ClientConnection;
use crate::connection_slots::{
    eviction_candidate, idle_candidate, Activity, ConnectionId, ConnectionState, DescriptorBudget,
};
use crate::counters::increment;
use crate::in_flight_ids::InFlightIds;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Instant;

/// Numbers of connections on which no complete request has been read yet.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct SilentCounts {
    /// All such connections.
    pub(crate) all: usize,
    /// Those that have received the first bytes of a request.
    pub(crate) reading: usize,
}

/// The open client connections and the ids of their requests in flight.
pub(crate) struct ClientTable {
    budget: DescriptorBudget,
    /// Bounded by the budget; an entry is removed when its connection closes.
    connections: RefCell<HashMap<ConnectionId, Rc<ClientConnection>>>,
    next_id: Cell<ConnectionId>,
    pub(crate) in_flight_ids: InFlightIds,
    /// Requests rejected as invalid since the process started.
    pub(crate) invalid_requests: Cell<u64>,
    /// Connections closed to make room for others since the process started.
    pub(crate) evicted: Cell<u64>,
}

impl ClientTable {
    pub(crate) fn new(budget: DescriptorBudget) -> ClientTable {
        ClientTable {
            budget,
            connections: RefCell::default(),
            next_id: Cell::new(0),
            in_flight_ids: InFlightIds::default(),
            invalid_requests: Cell::new(0),
            evicted: Cell::new(0),
        }
    }

    pub(crate) fn open_count(&self) -> usize {
        self.connections.borrow().len()
    }

    pub(crate) fn is_full(&self) -> bool {
        self.open_count() >= self.budget.clients
    }

    /// Adds a connection and returns its id.
    pub(crate) fn insert(&self, client: Rc<ClientConnection>) -> ConnectionId {
        let id = self.next_id.replace(self.next_id.get() + 1);
        self.connections.borrow_mut().insert(id, client);
        id
    }

    pub(crate) fn remove(&self, id: ConnectionId) {
        self.connections.borrow_mut().remove(&id);
    }

    fn states(&self) -> Vec<(ConnectionId, ConnectionState)> {
        let connections = self.connections.borrow();
        let states = connections.iter().map(|(id, client)| (*id, client.state()));
        states.collect()
    }

    pub(crate) fn silent_counts(&self) -> SilentCounts {
        let connections = self.connections.borrow();
        let mut counts = SilentCounts::default();
        for client in connections.values() {
            if client.state().has_requested {
                continue;
            }
            counts.all += 1;
            counts.reading += usize::from(client.stream.request_began().is_some());
        }
        counts
    }

    /// Returns the number of connections whose request has been read and whose response is not fully written yet.
    pub(crate) fn responding_count(&self) -> usize {
        let connections = self.connections.borrow();
        let responding = |client: &&Rc<ClientConnection>| {
            matches!(client.state().activity, Activity::Responding { .. })
        };
        connections.values().filter(responding).count()
    }

    /// Closes the longest idle connection if those that have sent a request reach their budget.
    pub(crate) fn close_surplus_idle(&self) {
        self.close_chosen(|states| idle_candidate(states, self.budget));
    }

    /// Closes the connection that is first in the order of eviction. Returns false if none may be closed.
    pub(crate) fn evict_one(&self) -> bool {
        self.close_chosen(|states| eviction_candidate(states, Instant::now()))
    }

    /// Closes the connection that `choose` returns, skipping those on which a request has just arrived.
    fn close_chosen(
        &self,
        choose: impl Fn(&[(ConnectionId, ConnectionState)]) -> Option<ConnectionId>,
    ) -> bool {
        let mut states = self.states();
        while let Some(chosen) = choose(&states) {
            let client = self.connections.borrow().get(&chosen).cloned();
            let Some(client) = client.filter(|client| !client.has_unread_request()) else {
                states.retain(|(id, _)| *id != chosen);
                continue;
            };
            self.remove(chosen);
            client.abort();
            increment(&self.evicted);
            return true;
        }
        false
    }
}
