//! Probes: in each protocol period one member is pinged, in an order that is shuffled anew each round.

use super::timers::Timer;
use super::{Contact, Membership};
use crate::member::{Member, MemberId};
use crate::Nanos;
use oorandom::Rand64;

/// The probe of this period.
pub(super) struct Probe {
    pub nonce: u64,
    pub target: MemberId,
    pub is_answered: bool,
    /// Members asked for an indirect probe that have said nothing at all, neither yes nor no.
    pub silent_relays: usize,
}

/// The order in which members are probed; shuffled anew when it is through. At most one entry for each known member.
#[derive(Default)]
pub(super) struct ProbeOrder {
    /// The last one is next.
    names: Vec<String>,
}

impl ProbeOrder {
    /// Enters a new member at a random place of this round, so that it need not wait for the next.
    pub fn insert(&mut self, random: &mut Rand64, name: &str) {
        let place = random.rand_range(0..self.names.len() as u64 + 1) as usize;
        self.names.insert(place, name.to_string());
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
        self.invite_strangers();
        self.refresh_table();
        if let Some(target) = self.next_probe_target() {
            self.begin_probe(now, target);
        }
        let next_period = now + self.health.stretch(self.rules.period);
        self.timers.schedule(next_period, Timer::ProtocolPeriod);
    }

    /// Suspects the target of an unanswered probe. Where this timer comes late, the answer may lie unread in the socket,
    /// and we are slow ourselves.
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
        // The rest of this round, then at most a whole new one.
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

    /// Handles an answer to the probe of this period: the target's own, or one that a relay passes on. Returns false for
    /// any other.
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
