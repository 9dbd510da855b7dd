//! Transfer of the member table: the complete table after a join, part by part; afterwards single parts at intervals.

use super::dissemination::Budget;
use super::Membership;
use crate::member::{Member, MemberId};
use crate::message::Message;
use crate::Nanos;
use std::net::SocketAddr;

/// Periods between two requests for a part of a table.
const REFRESH_PERIODS: u64 = 10;
/// Limit on the members whose complete tables are fetched at once; from further members only the first part is fetched.
const MAX_FETCHES: usize = 64;

impl Membership {
    /// Every [`REFRESH_PERIODS`] periods asks a random member for the part of its table after a random name, so that
    /// over time the complete table is covered. Only one part is requested, since the cost of all the following parts
    /// would grow with the fleet.
    pub(super) fn refresh_table(&mut self) {
        if !self.periods.is_multiple_of(REFRESH_PERIODS) {
            return;
        }
        // Ends each fetch of which a message was lost.
        self.fetching_from.clear();
        let start = self.draw_contacts(1, None).pop();
        let after = start.map(|contact| contact.id.name).unwrap_or_default();
        if let Some(source) = self.draw_contacts(1, None).pop() {
            self.send(source.id, source.address, Message::TableRequest { after });
        }
    }

    /// Begins to fetch a member's complete table.
    pub(super) fn fetch_table(&mut self, source: &MemberId, address: SocketAddr) {
        if self.fetching_from.len() < MAX_FETCHES {
            self.fetching_from.insert(source.clone());
        }
        let after = String::new();
        self.send(source.clone(), address, Message::TableRequest { after });
    }

    /// Applies a part of a member's table, and requests the next part if the complete table is being fetched.
    pub(super) fn receive_table(
        &mut self,
        now: Nanos,
        from: &MemberId,
        members: Vec<Member>,
        more: bool,
    ) {
        let last = members.last().map(|member| member.id.name.clone());
        self.apply_updates(now, members, from);
        if !self.fetching_from.contains(from) {
            return;
        }
        let next = last.filter(|_| more).zip(self.address_of(&from.name));
        match next {
            Some((after, address)) => {
                self.send(from.clone(), address, Message::TableRequest { after });
            }
            None => {
                self.fetching_from.remove(from);
            }
        }
    }

    /// Sends as many living members after a name as fit into a datagram.
    pub(super) fn send_table(&mut self, to: &MemberId, after: &str) {
        let Some(address) = self.address_of(&to.name) else {
            return;
        };
        let mut budget = Budget::new(&self.me.id, to, 0);
        let mut members = Vec::new();
        let mut rest = self.members.alive_after(after).peekable();
        while let Some((member, _)) = rest.next_if(|(_, size)| budget.try_use(*size)) {
            members.push(member.clone());
        }
        let more = rest.peek().is_some() && !members.is_empty();
        drop(rest);
        self.send(to.clone(), address, Message::Table { members, more });
    }
}
