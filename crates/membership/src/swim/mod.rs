//! SWIM with the extensions of Lifeguard: which members are alive. No I/O; time and a random seed are arguments.
//!
//! In each protocol period one member is pinged (`probe`), through others where it does not answer
//! (`indirect_probe`). Who stays silent is suspected and counts as dead unless it refutes that in time
//! (`suspicion`, `incarnation`). Updates ride on pings and their answers (`dissemination`, `updates`); whole
//! tables travel after a join alone (`table_sync`). A stranger has to answer a number drawn for it (`join`). Who
//! notices that it is slow itself waits longer before it blames others (`local_health`).
//!
//! All of it is best effort: it holds while enough members can reach each other (docs/membership.md).

mod dissemination;
mod incarnation;
mod indirect_probe;
mod join;
mod local_health;
mod member_table;
mod probe;
mod receive;
mod rules;
mod suspicion;
mod table_sync;
mod timers;
mod update_queue;
mod updates;

pub use crate::event::MemberEvent;
pub use crate::message::Message;
pub use member_table::ChangedMembers;
pub use rules::Rules;

use crate::member::{Member, MemberId, MemberState};
use crate::Nanos;
use local_health::LocalHealth;
use member_table::MemberTable;
use oorandom::Rand64;
use probe::{Probe, ProbeOrder};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use timers::{Timer, Timers};
use update_queue::UpdateQueue;

/// Answers of strangers and for other members that are waited for at once; beyond it a new one is not asked for.
const MAX_PENDING_ACKS: usize = 64;
/// Periods after which such an answer is not waited for any more.
const PENDING_ACK_PERIODS: Nanos = 4;
/// Members that a leave is sent to, at least.
const MIN_LEAVE_MESSAGES: usize = 3;

/// What the caller has to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send this message to this address.
    Send {
        /// Its receiver; an empty name where only the address is known.
        to: MemberId,
        /// Where the receiver is reached.
        address: SocketAddr,
        /// The message.
        message: Message,
    },
    /// The membership changed.
    Event(MemberEvent),
    /// Drop what is kept for this name.
    Forget(String),
}

/// An answer that is waited for, other than that of the current probe.
#[derive(Clone)]
enum PendingAck {
    /// Of a stranger that was challenged.
    Join(MemberId),
    /// Of a target that was pinged for another member, whose own ping had this nonce.
    Relay {
        requester: MemberId,
        requested_nonce: u64,
    },
}

/// A member and where it is reached.
struct Contact {
    id: MemberId,
    address: SocketAddr,
}

impl Contact {
    fn of(member: &Member) -> Contact {
        Contact {
            id: member.id.clone(),
            address: member.address,
        }
    }
}

/// The membership as one member sees it.
pub struct Membership {
    rules: Rules,
    me: Member,
    /// Dead members among them; [`Rules::max_members`] bounds it.
    members: MemberTable,
    /// Addresses from the settings.
    seeds: Vec<SocketAddr>,
    probe_order: ProbeOrder,
    probe: Option<Probe>,
    /// By nonce, at most [`MAX_PENDING_ACKS`]; removed with the answer or [`PENDING_ACK_PERIODS`] later.
    pending_acks: BTreeMap<u64, PendingAck>,
    /// Members whose whole table is being fetched, part by part.
    fetching_from: BTreeSet<MemberId>,
    updates: UpdateQueue,
    timers: Timers,
    /// Protocol periods since the start.
    periods: u64,
    health: LocalHealth,
    random: Rand64,
    effects: VecDeque<Effect>,
    /// Joins rejected because the table was full.
    pub rejected_joins: u64,
}

impl Membership {
    /// Makes a membership of one. `me` begins as alive and without refutations; `seeds` are addresses of members to
    /// begin with; `seed` draws nonces and the order of probes.
    pub fn new(
        now: Nanos,
        seed: u64,
        me: Member,
        seeds: Vec<SocketAddr>,
        rules: Rules,
    ) -> Membership {
        let mut random = Rand64::new(u128::from(seed));
        let mut timers = Timers::default();
        // Scattered, lest all that start together probe together.
        let first_period = now + random.rand_range(0..rules.period.max(1));
        timers.schedule(first_period, Timer::ProtocolPeriod);
        Membership {
            me: Member {
                refutations: 0,
                state: MemberState::Alive,
                ..me
            },
            members: MemberTable::new(rules.max_members),
            rules,
            seeds,
            probe_order: ProbeOrder::default(),
            probe: None,
            pending_acks: BTreeMap::new(),
            fetching_from: BTreeSet::new(),
            updates: UpdateQueue::default(),
            timers,
            periods: 0,
            health: LocalHealth::default(),
            random,
            effects: VecDeque::new(),
            rejected_joins: 0,
        }
    }

    /// Returns this member itself.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Returns the members that are alive, suspected ones among them, by name; not this one.
    pub fn alive(&self) -> impl Iterator<Item = &Member> {
        self.members.alive()
    }

    /// Returns the living member that follows this name; behind the last one, the first.
    pub fn alive_after(&self, name: &str) -> Option<&Member> {
        let mut next = self
            .members
            .alive_after(name)
            .chain(self.members.alive_after(""));
        next.next().map(|(member, _)| member)
    }

    /// Returns the member of this name, also a dead one that is not forgotten yet.
    pub fn get(&self, name: &str) -> Option<&Member> {
        self.members.get(name).map(|known| &known.member)
    }

    /// Whether this incarnation is known and not dead.
    pub fn is_alive(&self, id: &MemberId) -> bool {
        self.get(&id.name)
            .is_some_and(|member| member.id == *id && member.is_alive())
    }

    /// Returns the members that changed since this was last asked.
    pub fn take_changed_members(&mut self) -> ChangedMembers {
        self.members.take_changed_members()
    }

    /// Returns the rows of the table visited so far: a measure of work that is the same on every machine.
    pub fn rows_visited(&self) -> u64 {
        self.members.rows_visited()
    }

    /// Returns Lifeguard's local health score: 0 is healthy, 8 is the slowest.
    pub fn health_score(&self) -> u32 {
        self.health.score()
    }

    /// Returns the next effect to carry out, if any.
    pub fn next_effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// Returns when [`Membership::wake`] is due next.
    pub fn next_wake(&self) -> Option<Nanos> {
        self.timers.next_due()
    }

    /// Does what is due by now. Where a timer comes late, nobody is blamed for an answer that may lie unread.
    pub fn wake(&mut self, now: Nanos) {
        while let Some(fired) = self.timers.pop_due(now) {
            let is_late = now - fired.due > self.rules.ping_timeout;
            match fired.timer {
                Timer::ProtocolPeriod => self.run_period(now, is_late),
                Timer::PingTimeout(nonce) => self.probe_indirectly(nonce, is_late),
                Timer::SuspicionTimeout { id, refutations } => {
                    self.end_suspicion(now, id, refutations, is_late);
                }
                Timer::RelayTimeout(nonce) => self.send_nack(nonce),
                Timer::PendingAckExpiry(nonce) => {
                    self.pending_acks.remove(&nonce);
                }
                Timer::DeadExpiry(name) => self.forget_dead(now, &name),
            }
        }
    }

    /// Tells some members that this one leaves; they pass it on.
    pub fn leave(&mut self) {
        self.me.state = MemberState::Left;
        let receivers = self.rules.indirect_probes.max(MIN_LEAVE_MESSAGES);
        for contact in self.draw_contacts(receivers, None) {
            let message = Message::Table {
                members: vec![self.me.clone()],
                more: false,
            };
            self.send(contact.id, contact.address, message);
        }
    }

    /// Sends a ping with the updates that are due.
    fn ping(&mut self, to: &Contact, nonce: u64) {
        let updates = self.select_updates(&to.id);
        let ping = Message::Ping {
            nonce,
            sender: self.me.clone(),
            updates,
        };
        self.send(to.id.clone(), to.address, ping);
    }

    fn send(&mut self, to: MemberId, address: SocketAddr, message: Message) {
        self.effects.push_back(Effect::Send {
            to,
            address,
            message,
        });
    }

    fn notify(&mut self, event: MemberEvent) {
        self.effects.push_back(Effect::Event(event));
    }

    fn draw_nonce(&mut self) -> u64 {
        self.random.rand_u64()
    }

    /// Draws so many living members at random, each once, leaving one out.
    fn draw_contacts(&mut self, count: usize, without: Option<&MemberId>) -> Vec<Contact> {
        let without = without.map(|id| id.name.as_str());
        let drawn = self.members.draw(&mut self.random, count, without);
        drawn.into_iter().map(Contact::of).collect()
    }

    fn address_of(&self, name: &str) -> Option<SocketAddr> {
        self.get(name).map(|member| member.address)
    }
}
