//! Suspicion: how long a member that does not answer may refute before it counts as dead.

use super::member_table::KnownMember;
use super::timers::Timer;
use super::Membership;
use crate::member::{Member, MemberId, MemberState};
use crate::Nanos;

/// The shortest suspicion, in protocol periods for each tenfold of the number of members.
const MIN_PERIODS_PER_TENFOLD: f64 = 5.0;
/// How many times longer a member is suspected if no other member confirms the suspicion.
const MAX_TIMEOUT_FACTOR: f64 = 6.0;
/// Limit on the members whose independent suspicions shorten the timeout; further ones have no effect.
const MAX_CONFIRMATIONS: usize = 3;

/// Whether this update is a further suspicion, by another member, of the same incarnation after the same number of
/// refutations, and within [`MAX_CONFIRMATIONS`].
pub(super) fn confirms_suspicion(update: &Member, known: &KnownMember) -> bool {
    let (MemberState::Suspected(by), MemberState::Suspected(_)) =
        (&update.state, &known.member.state)
    else {
        return false;
    };
    update.refutations == known.member.refutations
        && known.suspected_by.len() < MAX_CONFIRMATIONS
        && !known.suspected_by.contains(by)
}

impl Membership {
    /// Suspects a member that did not answer our own probe.
    pub(super) fn suspect(&mut self, now: Nanos, id: &MemberId) {
        let Some(known) = self.get(&id.name).filter(|member| member.id == *id) else {
            return;
        };
        let update = Member {
            state: MemberState::Suspected(self.me.id.name.clone()),
            ..known.clone()
        };
        let source = self.me.id.clone();
        self.apply_update(now, update, &source);
    }

    /// Counts one more member that suspects the same member. The update is passed on unchanged, so that other members
    /// can count it.
    pub(super) fn confirm_suspicion(&mut self, now: Nanos, update: Member) {
        let (id, refutations) = (update.id, update.refutations);
        self.members.update(&id.name, |known| {
            if let MemberState::Suspected(by) = &update.state {
                known.suspected_by.insert(by.clone());
            }
            known.member.state = update.state;
        });
        self.updates.restart(&id.name);
        self.schedule_suspicion_timeout(now, id, refutations);
    }

    /// Schedules the end of a suspicion, sooner with each confirmation. Earlier timers stay scheduled; the first one
    /// that fires while the suspicion still holds ends it.
    pub(super) fn schedule_suspicion_timeout(
        &mut self,
        now: Nanos,
        id: MemberId,
        refutations: u32,
    ) {
        let Some(known) = self.members.get(&id.name) else {
            return;
        };
        let confirmations = known.suspected_by.len().saturating_sub(1);
        let timeout = self.suspicion_timeout(confirmations);
        let due = (known.suspected_at + timeout).max(now);
        self.timers
            .schedule(due, Timer::SuspicionTimeout { id, refutations });
    }

    /// Returns Lifeguard's timeout, which falls from the longest to the shortest with the logarithm of the number of
    /// confirmations.
    fn suspicion_timeout(&self, confirmations: usize) -> Nanos {
        let members = self.members.count_alive() as f64 + 1.0;
        let tenfolds = members.log10().max(1.0);
        let shortest = MIN_PERIODS_PER_TENFOLD * tenfolds * self.rules.period as f64;
        let longest = MAX_TIMEOUT_FACTOR * shortest;
        let possible_confirmations = MAX_CONFIRMATIONS.min((members as usize).saturating_sub(2));
        let shortened_by = if possible_confirmations == 0 {
            1.0
        } else {
            (confirmations as f64 + 1.0).ln() / (possible_confirmations as f64 + 1.0).ln()
        };
        (longest - (longest - shortest) * shortened_by).max(shortest) as Nanos
    }

    /// Declares a member dead that has not refuted the suspicion. If this timer fires late, a refutation may still be
    /// unread in the socket, so the member gets one more period.
    pub(super) fn end_suspicion(
        &mut self,
        now: Nanos,
        id: MemberId,
        refutations: u32,
        is_late: bool,
    ) {
        let known = self.get(&id.name);
        let Some(suspected) = known.filter(|member| {
            member.id == id && member.refutations == refutations && member.is_suspected()
        }) else {
            return;
        };
        if is_late {
            let due = now + self.rules.period;
            let timer = Timer::SuspicionTimeout { id, refutations };
            return self.timers.schedule(due, timer);
        }
        let dead = Member {
            state: MemberState::Dead,
            ..suspected.clone()
        };
        let source = self.me.id.clone();
        self.apply_update(now, dead, &source);
    }
}
