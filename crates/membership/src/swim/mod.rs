//! SWIM with the extensions of Lifeguard: decides which members are alive. No I/O; the time and a random seed are
//! arguments.
//!
//! Each protocol period pings one member (`probe`), and if it does not answer, pings it through other members
//! (`indirect_probe`). A member that answers neither is suspected, and counts as dead unless it refutes the suspicion
//! in time (`suspicion`, `incarnation`). Updates are piggybacked on pings and their answers (`dissemination`,
//! `updates`); a complete table is fetched only after a join (`table_sync`). A non-member has to answer a ping with a
//! nonce that was drawn for it (`join`). A member that notices that it is slow itself waits longer before it suspects
//! others (`local_health`).
//!
//! All of it is best effort: it works while enough members can reach each other (docs/membership.md).

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

/// Limit on the pending answers of challenged non-members and of targets pinged for other members; above it no more
/// such pings are sent.
const MAX_PENDING_ACKS: usize = 64;
/// Periods after which such an answer is no longer expected.
const PENDING_ACK_PERIODS: Nanos = 4;
/// The least number of members that are notified of a leave.
const MIN_LEAVE_MESSAGES: usize = 3;

/// An action that the caller has to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Sends this message to this address.
    Send {
        /// The receiver; its name is empty if only the address is known.
        to: MemberId,
        /// The address of the receiver.
        address: SocketAddr,
        /// The message.
        message: Message,
    },
    /// The membership changed.
    Event(MemberEvent),
    /// Drops what is kept for the member of this name.
    Forget(String),
}

/// An expected answer, other than that to the current probe.
#[derive(Clone)]
enum PendingAck {
    /// The answer of a non-member that was challenged.
    Join(MemberId),
    /// The answer of a target that was pinged for another member, and the nonce of the ping of that member.
    Relay {
        requester: MemberId,
        requester_nonce: u64,
    },
}

/// A member and its address.
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
    /// Includes dead members; [`Rules::max_members`] bounds it.
    members: MemberTable,
    /// The addresses of members through which this one joins, from the settings.
    seed_addresses: Vec<SocketAddr>,
    probe_order: ProbeOrder,
    probe: Option<Probe>,
    /// By nonce; at most [`MAX_PENDING_ACKS`] entries. An entry is removed with the answer, or [`PENDING_ACK_PERIODS`]
    /// later.
    pending_acks: BTreeMap<u64, PendingAck>,
    /// Members whose complete table is being fetched, one part after the other.
    fetching_from: BTreeSet<MemberId>,
    updates: UpdateQueue,
    timers: Timers,
    /// Protocol periods since the start.
    periods: u64,
    health: LocalHealth,
    random: Rand64,
    effects: VecDeque<Effect>,
    /// How often a new member was rejected because the table was full.
    pub rejected_joins: u64,
}

impl Membership {
    /// Makes a membership whose only member is this one. `me` begins as alive and without refutations; `seed_addresses`
    /// are the addresses through which it joins; `random_seed` determines the nonces and the order of probes.
    pub fn new(
        now: Nanos,
        random_seed: u64,
        me: Member,
        seed_addresses: Vec<SocketAddr>,
        rules: Rules,
    ) -> Membership {
        let mut random = Rand64::new(u128::from(random_seed));
        let mut timers = Timers::default();
        // A random delay, so that members that start together do not all probe at the same time.
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
            seed_addresses,
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

    /// Returns the living members, ordered by name; they include suspected members but not this one.
    pub fn alive(&self) -> impl Iterator<Item = &Member> {
        self.members.alive()
    }

    /// Returns the first living member after this name; after the last name, the first member of all.
    pub fn alive_after(&self, name: &str) -> Option<&Member> {
        let mut next = self
            .members
            .alive_after(name)
            .chain(self.members.alive_after(""));
        next.next().map(|(member, _)| member)
    }

    /// Returns the member of this name, even if it is dead and not forgotten yet.
    pub fn get(&self, name: &str) -> Option<&Member> {
        self.members.get(name).map(|known| &known.member)
    }

    /// Whether this incarnation is known and alive.
    pub fn is_alive(&self, id: &MemberId) -> bool {
        self.get(&id.name)
            .is_some_and(|member| member.id == *id && member.is_alive())
    }

    /// Returns the members that changed since the last call.
    pub fn take_changed_members(&mut self) -> ChangedMembers {
        self.members.take_changed_members()
    }

    /// Returns the number of table rows visited so far: a measure of work that is the same on every machine.
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

    /// Runs the timers that are due. If a timer fires late, no member is suspected, since its answer may still be
    /// unread in the socket.
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

    /// Tells some members that this one is leaving; they pass the update on.
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

    /// Sends a ping with the updates that are selected for the receiver.
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

    /// Draws up to `count` different living members at random, leaving out `excluded`.
    fn draw_contacts(&mut self, count: usize, excluded: Option<&MemberId>) -> Vec<Contact> {
        let excluded = excluded.map(|id| id.name.as_str());
        let drawn = self.members.draw(&mut self.random, count, excluded);
        drawn.into_iter().map(Contact::of).collect()
    }

    fn address_of(&self, name: &str) -> Option<SocketAddr> {
        self.get(name).map(|member| member.address)
    }
}
