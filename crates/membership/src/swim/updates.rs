//! Applies updates about other members to the member table, and reports what changed.

use super::member_table::KnownMember;
use super::suspicion::confirms_suspicion;
use super::timers::Timer;
use super::{Effect, Membership};
use crate::event::MemberEvent;
use crate::member::{Member, MemberId, MemberState, MAX_NAME_BYTES};
use crate::Nanos;
use std::cmp::Ordering;
use std::collections::BTreeSet;

impl Membership {
    /// Applies updates that were received from one member.
    pub(super) fn apply_updates(&mut self, now: Nanos, updates: Vec<Member>, source: &MemberId) {
        for update in updates {
            self.apply_update(now, update, source);
        }
    }

    /// Applies one update. An update that is not newer than what is known has no effect.
    pub(super) fn apply_update(&mut self, now: Nanos, update: Member, source: &MemberId) {
        let name = &update.id.name;
        if *name == self.me.id.name {
            return self.refute(&update);
        }
        if name.is_empty() || name.len() > MAX_NAME_BYTES {
            return;
        }
        let Some(known) = self.members.get(name) else {
            if update.is_alive() && self.make_room() {
                self.insert(now, update);
            }
            return;
        };
        match update.id.incarnation.cmp(&known.member.id.incarnation) {
            Ordering::Less => {}
            Ordering::Greater => {
                let replaced = known.member.clone();
                self.replace_incarnation(now, update, replaced);
            }
            Ordering::Equal if confirms_suspicion(&update, known) => {
                self.confirm_suspicion(now, update);
            }
            Ordering::Equal if update.overrides(&known.member) => {
                let before = known.member.clone();
                self.override_known(now, &before, update, source);
            }
            Ordering::Equal => {}
        }
    }

    /// Replaces the known incarnation of a member by a later one.
    fn replace_incarnation(&mut self, now: Nanos, update: Member, replaced: Member) {
        if replaced.is_alive() {
            self.notify(MemberEvent::Lost(replaced.id));
        }
        self.insert(now, update);
    }

    /// Applies an update that overrides what is known of the same incarnation.
    fn override_known(&mut self, now: Nanos, before: &Member, update: Member, source: &MemberId) {
        // Only the member itself may change its address.
        let address = if *source == update.id {
            update.address
        } else {
            before.address
        };
        let after = Member { address, ..update };
        self.store(now, after.clone(), before.is_alive());
        self.updates.restart(&after.id.name);
        if before.is_alive() && !after.is_alive() {
            self.schedule_dead_expiry(now, &after.id.name);
        }
        self.report_change(now, before, after);
    }

    fn store(&mut self, now: Nanos, member: Member, was_alive: bool) {
        let name = member.id.name.clone();
        self.members.update(&name, |known| {
            if was_alive != member.is_alive() {
                known.status_since = now;
            }
            known.suspected_by.clear();
            if let MemberState::Suspected(by) = &member.state {
                known.suspected_by.insert(by.clone());
                known.suspected_at = now;
            }
            known.member = member;
        });
    }

    fn report_change(&mut self, now: Nanos, before: &Member, after: Member) {
        let (id, was_alive) = (after.id, before.is_alive());
        match after.state {
            MemberState::Alive if !was_alive => self.notify(MemberEvent::Joined(id)),
            MemberState::Alive if before.is_suspected() => self.notify(MemberEvent::Refuted(id)),
            MemberState::Suspected(_) => {
                self.notify(MemberEvent::Suspected(id.clone()));
                self.schedule_suspicion_timeout(now, id, after.refutations);
            }
            MemberState::Dead if was_alive => self.notify(MemberEvent::Lost(id)),
            MemberState::Left if was_alive => self.notify(MemberEvent::Left(id)),
            MemberState::Alive | MemberState::Dead | MemberState::Left => {}
        }
    }

    /// Adds a new member, or a new incarnation of a known one.
    fn insert(&mut self, now: Nanos, member: Member) {
        let (id, refutations) = (member.id.clone(), member.refutations);
        let (is_alive, is_suspected) = (member.is_alive(), member.is_suspected());
        let suspected_by = match &member.state {
            MemberState::Suspected(by) => BTreeSet::from([by.clone()]),
            _ => BTreeSet::new(),
        };
        self.members.insert(KnownMember {
            member,
            status_since: now,
            suspected_by,
            suspected_at: now,
        });
        self.updates.restart(&id.name);
        if is_alive {
            self.probe_order.insert(&mut self.random, &id.name);
            self.notify(MemberEvent::Joined(id.clone()));
        } else {
            self.schedule_dead_expiry(now, &id.name);
        }
        if is_suspected {
            self.schedule_suspicion_timeout(now, id, refutations);
        }
    }

    /// Whether one more member fits. If the table is full, the member that has been dead longest is removed.
    fn make_room(&mut self) -> bool {
        if self.members.len() < self.rules.max_members {
            return true;
        }
        let longest_dead = self
            .members
            .dead()
            .min_by_key(|known| known.status_since)
            .map(|known| known.member.id.name.clone());
        match longest_dead {
            Some(name) => {
                self.remove(&name);
                true
            }
            None => {
                self.rejected_joins += 1;
                false
            }
        }
    }

    fn remove(&mut self, name: &str) {
        if self.members.remove(name) {
            self.effects.push_back(Effect::Forget(name.to_string()));
        }
    }

    fn schedule_dead_expiry(&mut self, now: Nanos, name: &str) {
        let due = now + self.rules.dead_retention;
        self.timers
            .schedule(due, Timer::DeadExpiry(name.to_string()));
    }

    /// Forgets a dead member, unless it has been alive again in the meantime.
    pub(super) fn forget_dead(&mut self, now: Nanos, name: &str) {
        let retention = self.rules.dead_retention;
        let is_expired = |known: &KnownMember| {
            !known.member.is_alive() && now.saturating_sub(known.status_since) >= retention
        };
        if self.members.get(name).is_some_and(is_expired) {
            self.remove(name);
        }
    }
}
