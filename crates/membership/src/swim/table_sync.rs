//! Copies of the member table: whole after a join, part by part; later one part now and then.

use super::dissemination::Budget;
use super::Membership;
use crate::member::{Member, MemberId};
use crate::message::Message;
use crate::Nanos;
use std::net::SocketAddr;

/// Periods between two requests for a part of a table.
const REFRESH_PERIODS: u64 = 10;
/// Members whose whole tables are fetched at once; of further ones the first part alone.
const MAX_FETCHES: usize = 64;

impl Membership {
    /// Now and then asks a random member for the part of its table behind a random name, so that all of the table comes
    /// round. The rest behind that part would cost more the larger the fleet is.
    pub(super) fn refresh_table(&mut self) {
        if !self.periods.is_multiple_of(REFRESH_PERIODS) {
            return;
        }
        // A fetch that lost a message ends here.
        self.fetching_from.clear();
        let begin = self.draw_contacts(1, None).pop();
        let after = begin.map(|contact| contact.id.name).unwrap_or_default();
        if let Some(source) = self.draw_contacts(1, None).pop() {
            self.send(source.id, source.address, Message::TableRequest { after });
        }
    }

    /// Begins to fetch a member's whole table.
    pub(super) fn fetch_table(&mut self, source: &MemberId, address: SocketAddr) {
        if self.fetching_from.len() < MAX_FETCHES {
            self.fetching_from.insert(source.clone());
        }
        let after = String::new();
        self.send(source.clone(), address, Message::TableRequest { after });
    }

    /// Applies a part of a member's table and asks for the next one, if the whole table is being fetched.
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

    /// Sends as many living members behind a name as fit into a datagram.
    pub(super) fn send_table(&mut self, to: &MemberId, after: &str) {
        let Some(address) = self.address_of(&to.name) else {
            return;
        };
        let mut budget = Budget::new(&self.me.id, to, 0);
        let mut members = Vec::new();
        let mut rest = self.members.alive_after(after).peekable();
        while let Some((member, _)) = rest.next_if(|(_, size)| budget.take(*size)) {
            members.push(member.clone());
        }
        let more = rest.peek().is_some() && !members.is_empty();
        drop(rest);
        self.send(to.clone(), address, Message::Table { members, more });
    }
}
