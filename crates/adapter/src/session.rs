//! One session of the wire: rounds, endpoint lists and any number of instances.

use crate::decode::{self, EndpointLists, InstanceListener};
use crate::encode;
use crate::error::WireError;
use crate::line::{Fields, Line};
use crate::setup;
use crate::wire_names::{event, field};
use havenplank::interface::Nanos;
use std::collections::{BTreeMap, HashSet};
use std::io;

/// The wire to any number of instances, which decide or only write down what they hear.
pub struct Session<L> {
    now: Nanos,
    turn: u64,
    lists: EndpointLists,
    /// By sidecar number; none for an instance that was stopped.
    pub instances: BTreeMap<u64, Option<Box<L>>>,
    /// Unknown verbs that were reported.
    unknown_verbs: HashSet<String>,
    /// Actions that have not been sent.
    out: String,
}

impl<L> Default for Session<L> {
    fn default() -> Session<L> {
        Session {
            now: 0,
            turn: 0,
            lists: EndpointLists::new(),
            instances: BTreeMap::new(),
            unknown_verbs: HashSet::new(),
            out: String::new(),
        }
    }
}

impl<L: InstanceListener> Session<L> {
    /// Takes one line; the number of the round where the line ends one.
    ///
    /// # Errors
    /// A line with a field that is missing or wrong.
    pub fn handle_line(&mut self, line: Line) -> Result<Option<u64>, WireError> {
        let fields = line.fields();
        match line.verb.as_str() {
            event::ROUND_BEGINS => {
                self.now = fields.integer("momentNs")?;
                self.turn = fields.integer(field::TURN)?;
            }
            event::ROUND_ENDS => return Ok(Some(self.turn)),
            event::ENDPOINT_LIST => {
                let pods = fields.objects("records")?;
                let pods = pods
                    .iter()
                    .map(decode::listed_pod)
                    .collect::<Result<_, _>>()?;
                self.lists.insert(fields.integer(field::LIST)?, pods);
            }
            event::INSTANCE_STARTED => self.start_instance(&fields)?,
            event::INSTANCE_STOPPED => *find_instance(&mut self.instances, &fields)? = None,
            verb if decode::is_for_instance(verb) => self.deliver(&line)?,
            verb => {
                if self.unknown_verbs.insert(verb.to_string()) {
                    let number = line.number;
                    eprintln!("havenplank-adapter: line {number}: {verb}: unknown verb, skipped");
                }
            }
        }
        Ok(None)
    }

    /// Writes the actions of a round.
    ///
    /// # Errors
    /// What the output says.
    pub fn write_actions(&mut self, turn: u64, output: &mut impl io::Write) -> io::Result<()> {
        output.write_all(self.out.as_bytes())?;
        self.out.clear();
        encode::end_round(turn, output)
    }

    fn start_instance(&mut self, fields: &Fields) -> Result<(), WireError> {
        let sidecar = fields.integer(field::SIDECAR)?;
        let seed = fields.integer("prng")?;
        let setup = setup::decode(&fields.object("setup")?)?;
        let mut instance = Box::new(L::create(self.now, sidecar, seed, setup));
        instance.swap_output(&mut self.out);
        instance.start();
        instance.swap_output(&mut self.out);
        self.instances.insert(sidecar, Some(instance));
        Ok(())
    }

    /// Hands a line to its instance; one that was stopped hears nothing.
    fn deliver(&mut self, line: &Line) -> Result<(), WireError> {
        let Some(instance) = find_instance(&mut self.instances, &line.fields())? else {
            return Ok(());
        };
        instance.set_time(self.now);
        instance.swap_output(&mut self.out);
        let delivered = decode::deliver(line, instance.as_mut(), &self.lists);
        instance.swap_output(&mut self.out);
        delivered
    }
}

fn find_instance<'a, L>(
    instances: &'a mut BTreeMap<u64, Option<Box<L>>>,
    fields: &Fields,
) -> Result<&'a mut Option<Box<L>>, WireError> {
    let sidecar = fields.integer(field::SIDECAR)?;
    instances
        .get_mut(&sidecar)
        .ok_or_else(|| fields.error(field::SIDECAR, "an instance never started"))
}
