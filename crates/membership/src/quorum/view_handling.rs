//! Receives the views of other sidecars, and composes the view to send.

use super::view::{View, MAX_NAMES, MAX_RECORDS};
use super::voter::{ReceivedView, Voter};
use super::{Quorum, VoterRecord};
use crate::member::{MemberId, MAX_NAME_BYTES};
use crate::Nanos;

impl Quorum {
    /// Applies the view of a peer. Only as much of it is read as a view of ours may hold, even from a sender that has
    /// the key.
    ///
    /// Returns when our view is to be sent to that peer as a follow-up, if at all: after [`Rules::dispute_delay`] if
    /// the views differ, so that both sides learn whether they still do then; at once if the views agree but the one
    /// that we last sent to that peer is outdated, so that the peer learns that they agree.
    ///
    /// [`Rules::dispute_delay`]: super::Rules::dispute_delay
    pub fn receive_view(&mut self, now: Nanos, from: &MemberId, mut view: View) -> Option<Nanos> {
        self.apply_statements(now, from, &mut view);
        let voter = self
            .voters
            .get(&from.name)
            .filter(|voter| voter.record.id == *from)?;
        let misses_us = view.missing.contains(&self.me.id.name);
        let ours = self.voters.digests(&self.me);
        let differs = view.digests() != ours;
        let disagreement = differs.then(|| self.continue_disagreement(now, voter));
        let has_outdated_view = voter.sent.is_some_and(|sent| sent != ours);
        self.voters.update(&from.name, |voter| {
            voter.misses_us_at = misses_us.then_some(now);
            voter.disagreement = disagreement;
            voter.received = Some(ReceivedView { at: now, view });
        });
        if differs {
            Some(now + self.rules.dispute_delay)
        } else {
            has_outdated_view.then_some(now)
        }
    }

    /// Applies the records and eviction votes of a view, then removes them and truncates the view to what is kept.
    fn apply_statements(&mut self, now: Nanos, from: &MemberId, view: &mut View) {
        for record in view.records.drain(..).take(MAX_RECORDS) {
            self.merge(now, record);
        }
        view.missing.truncate(MAX_NAMES);
        view.missing.retain(|name| name.len() <= MAX_NAME_BYTES);
        for vote in std::mem::take(&mut view.evictions).iter().take(MAX_NAMES) {
            self.receive_eviction_vote(now, &from.name, vote);
        }
    }

    /// Returns the view to send to this peer now.
    pub fn view_for(&mut self, now: Nanos, to: &MemberId) -> View {
        let missing = self.voters_to_check().filter(|voter| !voter.is_alive);
        let missing: Vec<String> = missing.map(|voter| voter.name().to_string()).collect();
        let evictions = self.own_eviction_votes(now).take(MAX_NAMES).collect();
        let digests = self.voters.digests(&self.me);
        let records = self.next_records(to, digests.voters);
        self.voters
            .update(&to.name, |voter| voter.sent = Some(digests));
        View {
            voters_digest: digests.voters,
            alive_digest: digests.alive,
            missing_count: missing.len() as u32,
            missing: missing.into_iter().take(MAX_NAMES).collect(),
            evictions,
            records,
        }
    }

    /// Returns our own record and, unless the peer is known to have the same voters, the next part of the table.
    fn next_records(&mut self, to: &MemberId, voters_digest: u64) -> Vec<VoterRecord> {
        let received = self
            .voters
            .get(&to.name)
            .and_then(|voter| voter.received.as_ref());
        let has_same_voters =
            received.is_some_and(|received| received.view.voters_digest == voters_digest);
        let mut records = vec![self.me.clone()];
        if has_same_voters {
            return records;
        }
        let part = self
            .voters
            .after(&self.last_sent_name)
            .take(MAX_RECORDS - 1);
        records.extend(part.map(|voter: &Voter| voter.record.clone()));
        let is_last_part = records.len() < MAX_RECORDS;
        self.last_sent_name = if is_last_part {
            String::new()
        } else {
            records[MAX_RECORDS - 1].id.name.clone()
        };
        records
    }
}
