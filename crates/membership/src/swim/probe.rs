//! Probes: each protocol period pings one member, in an order that is shuffled anew for each round.

use super::timers::Timer;
use super::{Contact, Membership};
use crate::member::{Member, MemberId};
use crate::Nanos;
use oorandom::Rand64;

/// The probe of the current period.
pub(super) struct Probe {
    pub nonce: u64,
    pub target: MemberId,
    pub is_answered: bool,
    /// The number of members asked for an indirect probe that have answered with neither an ack nor a nack.
    pub silent_relays: usize,
}

/// The order in which members are probed, shuffled anew at the end of each round. At most one entry for each known
/// member.
#[derive(Default)]
pub(super) struct ProbeOrder {
    /// The last name is probed next.
    names: Vec<String>,
}

impl ProbeOrder {
    /// Inserts a new member at a random position of the current round, so that it does not have to wait for the next
    /// round.
    pub fn insert(&mut self, random: &mut Rand64, name: &str) {
        let position = random.rand_range(0..self.names.len() as u64 + 1) as usize;
        self.names.insert(position, name.to_string());
    }

    fn pop(&mut self) -> Option<String> {
        self.names.pop()
    }

    fn shuffle(&mut self, random: &mut Rand64, mut names: Vec<String>) {
        for index in (1..names.len()).rev() {
            names.swap(index, random.rand_range(0..index as u64 + 1) as usize);
        }
        self.names = names;
    }
}

impl Membership {
    /// Ends the last probe, then begins the next one.
    pub(super) fn run_period(&mut self, now: Nanos, is_late: bool) {
        self.end_probe(now, is_late);
        self.periods += 1;
        self.send_join();
        self.refresh_table();
        if let Some(target) = self.next_probe_target() {
            self.begin_probe(now, target);
        }
        let next_period = now + self.health.stretch(self.rules.period);
        self.timers.schedule(next_period, Timer::ProtocolPeriod);
    }

    /// Suspects the target of an unanswered probe. If this timer fires late, the target is not suspected: the answer
    /// may still be unread in the socket, and this member itself is slow.
    fn end_probe(&mut self, now: Nanos, is_late: bool) {
        match self.probe.take() {
            Some(probe) if probe.is_answered => self.health.improve(),
            Some(probe) if !is_late => {
                self.health.degrade(1 + probe.silent_relays as u32);
                self.suspect(now, &probe.target);
            }
            None if !is_late => {}
            Some(_) | None => self.health.degrade(1),
        }
    }

    fn begin_probe(&mut self, now: Nanos, target: Contact) {
        let nonce = self.draw_nonce();
        self.ping(&target, nonce);
        self.probe = Some(Probe {
            nonce,
            target: target.id,
            is_answered: false,
            silent_relays: 0,
        });
        let timeout = now + self.health.stretch(self.rules.ping_timeout);
        self.timers.schedule(timeout, Timer::PingTimeout(nonce));
    }

    fn next_probe_target(&mut self) -> Option<Contact> {
        // First the rest of this round, then at most one complete new round.
        for _ in 0..2 {
            while let Some(name) = self.probe_order.pop() {
                if let Some(member) = self.get(&name).filter(|member| member.is_alive()) {
                    return Some(Contact::of(member));
                }
            }
            let names = self.members.alive_names().to_vec();
            self.probe_order.shuffle(&mut self.random, names);
        }
        None
    }

    /// Handles an answer to the probe of this period, from the target itself or forwarded by a relay. Returns false for
    /// any other answer.
    pub(super) fn answer_probe(
        &mut self,
        now: Nanos,
        nonce: u64,
        sender: Member,
        updates: Vec<Member>,
    ) -> bool {
        let Some(probe) = self.probe.as_mut().filter(|probe| probe.nonce == nonce) else {
            return false;
        };
        let is_relayed = updates
            .first()
            .is_some_and(|first| first.id == probe.target);
        if probe.target != sender.id && !is_relayed {
            return false;
        }
        probe.is_answered = true;
        let from = sender.id.clone();
        self.apply_update(now, sender, &from);
        self.apply_updates(now, updates, &from);
        true
    }
}
