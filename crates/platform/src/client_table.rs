//! The open client connections, bounded by the descriptor budget.

use crate::client_connection::ClientConnection;
use crate::connection_slots::{
    eviction_candidate, idle_candidate, silent_candidate, Activity, ConnectionId, ConnectionState,
    DescriptorBudget,
};
use crate::counters::increment;
use crate::in_flight_ids::InFlightIds;
use crate::sent_ids::SentIds;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Instant;

/// Numbers of connections by what they are doing, and what they hold.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct ActivityCounts {
    /// Connections on which no complete request has been read yet.
    pub(crate) silent: usize,
    /// Those of them that have received the first bytes of a request.
    pub(crate) silent_reading: usize,
    /// Connections that have sent a request and have received the first bytes of a further one.
    pub(crate) reading_further: usize,
    /// Connections whose request has been read and whose response is not fully written yet.
    pub(crate) responding: usize,
    /// Bytes that were read while a request was in flight and that the HTTP server has not consumed.
    pub(crate) read_ahead_bytes: usize,
    /// Bytes of requests whose head or body is not complete, as passed to the HTTP server.
    pub(crate) partial_request_bytes: usize,
}

impl ActivityCounts {
    fn count(&mut self, client: &ClientConnection) {
        let state = client.state();
        let is_reading = matches!(state.activity, Activity::Reading { .. });
        let has_begun = client.stream.request_began().is_some();
        self.responding += usize::from(matches!(state.activity, Activity::Responding { .. }));
        self.reading_further += usize::from(state.has_requested && is_reading);
        self.silent += usize::from(!state.has_requested);
        self.read_ahead_bytes += client.stream.read_ahead_bytes();
        self.partial_request_bytes += client.stream.partial_request_bytes();
        self.silent_reading += usize::from(!state.has_requested && has_begun);
    }
}

/// The open client connections, and the ids of their requests.
pub(crate) struct ClientTable {
    budget: DescriptorBudget,
    /// Bounded by the budget; an entry is removed when its connection closes.
    connections: RefCell<HashMap<ConnectionId, Rc<ClientConnection>>>,
    next_id: Cell<ConnectionId>,
    pub(crate) in_flight_ids: InFlightIds,
    pub(crate) sent_ids: SentIds,
    /// Requests rejected as invalid since the process started.
    pub(crate) invalid_requests: Cell<u64>,
    /// Requests rejected for want of memory since the process started.
    pub(crate) rejected_for_memory: Cell<u64>,
    /// Requests that ended because their client closed its connection, since the process started.
    pub(crate) closed_early: Cell<u64>,
    /// Requests that ended because their client sent too much behind them, since the process started.
    pub(crate) sent_too_much: Cell<u64>,
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
            sent_ids: SentIds::default(),
            invalid_requests: Cell::new(0),
            rejected_for_memory: Cell::new(0),
            closed_early: Cell::new(0),
            sent_too_much: Cell::new(0),
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

    /// Counts the connections by what they are doing.
    pub(crate) fn activity_counts(&self) -> ActivityCounts {
        let mut counts = ActivityCounts::default();
        for client in self.connections.borrow().values() {
            counts.count(client);
        }
        counts
    }

    /// Closes the longest idle connection if those that have sent a request reach their budget.
    pub(crate) fn close_surplus_idle(&self) {
        self.close_chosen(|states| idle_candidate(states, self.budget));
    }

    /// Closes the connection that is first in the order of eviction. Returns false if none may be closed.
    pub(crate) fn evict_one(&self) -> bool {
        self.close_chosen(|states| eviction_candidate(states, Instant::now()))
    }

    /// Closes the oldest connection of a client that has sent no complete request for a while. Returns false if there is
    /// none.
    pub(crate) fn evict_silent(&self) -> bool {
        self.close_chosen(|states| silent_candidate(states, Instant::now()))
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
