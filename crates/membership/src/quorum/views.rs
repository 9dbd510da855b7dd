//! Takes in the views of others, and composes the view that is sent next.

use super::view::{View, MAX_NAMES, MAX_RECORDS};
use super::voter::{ReceivedView, Voter};
use super::{Quorum, VoterRecord};
use crate::member::{MemberId, MAX_NAME_BYTES};
use crate::Nanos;

impl Quorum {
    /// Takes in a peer's view. Of one that is longer than any of ours only as much is read, whoever has the key.
    ///
    /// Returns when that peer is to be sent our view out of turn, if it is: after [`Rules::dispute_delay`] where the
    /// views differ, so that both learn whether they still do; at once where they agree and what we sent it last does
    /// not, so that it learns that they do.
    ///
    /// [`Rules::dispute_delay`]: super::Rules::dispute_delay
    pub fn receive_view(&mut self, now: Nanos, from: &MemberId, mut view: View) -> Option<Nanos> {
        self.take_statements(now, from, &mut view);
        let voter = self
            .voters
            .get(&from.name)
            .filter(|voter| voter.record.id == *from)?;
        let misses_us = view.missing.contains(&self.me.id.name);
        let ours = self.voters.digests(&self.me);
        let differs = view.digests() != ours;
        let disagreement = differs.then(|| self.continue_disagreement(now, voter));
        let knows_old_view = voter.sent.is_some_and(|sent| sent != ours);
        self.voters.update(&from.name, |voter| {
            voter.misses_us_at = misses_us.then_some(now);
            voter.disagreement = disagreement;
            voter.received = Some(ReceivedView { at: now, view });
        });
        if differs {
            Some(now + self.rules.dispute_delay)
        } else {
            knows_old_view.then_some(now)
        }
    }

    /// Takes the records and eviction votes out of a view, and cuts it to what is kept.
    fn take_statements(&mut self, now: Nanos, from: &MemberId, view: &mut View) {
        for record in view.records.drain(..).take(MAX_RECORDS) {
            self.merge(now, record);
        }
        view.missing.truncate(MAX_NAMES);
        view.missing.retain(|name| name.len() <= MAX_NAME_BYTES);
        for vote in std::mem::take(&mut view.evictions).iter().take(MAX_NAMES) {
            self.receive_eviction_vote(now, &from.name, vote);
        }
    }

    /// Returns the view to send this peer now.
    pub fn view_for(&mut self, now: Nanos, to: &MemberId) -> View {
        let missing = self.notable_voters().filter(|voter| !voter.is_alive);
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

    /// Our own record, and the next part of the table for a peer that is not known to have the same voters.
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
        let part = self.voters.after(&self.sent_until).take(MAX_RECORDS - 1);
        records.extend(part.map(|voter: &Voter| voter.record.clone()));
        let is_last_part = records.len() < MAX_RECORDS;
        self.sent_until = if is_last_part {
            String::new()
        } else {
            records[MAX_RECORDS - 1].id.name.clone()
        };
        records
    }
}
