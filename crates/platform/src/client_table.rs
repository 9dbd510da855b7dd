//! The clients' connections that are open, bounded by the descriptor budget.

use crate::client_connection::ClientConnection;
use crate::connection_slots::{
    eviction_candidate, idle_candidate, Activity, ConnectionId, ConnectionSlot, DescriptorBudget,
};
use crate::counters::increment;
use crate::in_flight_ids::InFlightIds;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Instant;

/// Connections on which no request was read yet.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct SilentCounts {
    /// All of them.
    pub(crate) all: usize,
    /// Those on which a request has begun.
    pub(crate) reading: usize,
}

/// The clients' connections, and the ids of their requests.
pub(crate) struct ClientTable {
    budget: DescriptorBudget,
    /// Bounded by the budget; one leaves with its connection.
    connections: RefCell<HashMap<ConnectionId, Rc<ClientConnection>>>,
    next_id: Cell<ConnectionId>,
    pub(crate) in_flight_ids: InFlightIds,
    /// Requests answered unread as invalid, since the start.
    pub(crate) invalid_requests: Cell<u64>,
    /// Connections closed for others, since the start.
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

    pub(crate) fn open(&self) -> usize {
        self.connections.borrow().len()
    }

    pub(crate) fn is_full(&self) -> bool {
        self.open() >= self.budget.clients
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

    fn slots(&self) -> Vec<(ConnectionId, ConnectionSlot)> {
        let connections = self.connections.borrow();
        let slots = connections.iter().map(|(id, client)| (*id, client.slot()));
        slots.collect()
    }

    pub(crate) fn silent(&self) -> SilentCounts {
        let connections = self.connections.borrow();
        let mut counts = SilentCounts::default();
        for client in connections.values() {
            if client.slot().has_requested {
                continue;
            }
            counts.all += 1;
            counts.reading += usize::from(client.stream.request_began().is_some());
        }
        counts
    }

    /// Returns how many connections have a request on them that is read and whose response is not written yet.
    pub(crate) fn responding(&self) -> usize {
        let connections = self.connections.borrow();
        let responding = |client: &&Rc<ClientConnection>| {
            matches!(client.slot().activity, Activity::Responding { .. })
        };
        connections.values().filter(responding).count()
    }

    /// Closes the connection idle the longest where those that sent a request exceed their budget.
    pub(crate) fn close_surplus_idle(&self) {
        self.close_chosen(|slots| idle_candidate(slots, self.budget));
    }

    /// Closes the connection that goes first; returns whether one could.
    pub(crate) fn make_room(&self) -> bool {
        self.close_chosen(|slots| eviction_candidate(slots, Instant::now()))
    }

    /// Closes the connection that is chosen to go, passing over those on which a request has just come.
    fn close_chosen(
        &self,
        choose: impl Fn(&[(ConnectionId, ConnectionSlot)]) -> Option<ConnectionId>,
    ) -> bool {
        let mut slots = self.slots();
        while let Some(chosen) = choose(&slots) {
            let client = self.connections.borrow().get(&chosen).cloned();
            let Some(client) = client.filter(|client| !client.has_unread_request()) else {
                slots.retain(|(id, _)| *id != chosen);
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
