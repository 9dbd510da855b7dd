//! One session of the wire protocol: rounds, endpoint lists and any number of instances.

use crate::decode::{self, EndpointLists, InstanceListener};
use crate::encode;
use crate::error::WireError;
use crate::line::{Fields, Line};
use crate::setup;
use crate::wire_names::{event, field};
use havenplank::interface::Nanos;
use std::collections::{BTreeMap, HashSet};
use std::io;

/// Dispatches the lines of the simulator to any number of instances, which make decisions or only record the events.
pub struct Session<L> {
    now: Nanos,
    round: u64,
    lists: EndpointLists,
    /// The instances by sidecar number; `None` for an instance that was stopped.
    pub instances: BTreeMap<u64, Option<Box<L>>>,
    /// Unknown verbs that have been reported, so that each is reported only once.
    unknown_verbs: HashSet<String>,
    /// Actions that have not been sent.
    out: String,
}

impl<L> Default for Session<L> {
    fn default() -> Session<L> {
        Session {
            now: 0,
            round: 0,
            lists: EndpointLists::new(),
            instances: BTreeMap::new(),
            unknown_verbs: HashSet::new(),
            out: String::new(),
        }
    }
}

impl<L: InstanceListener> Session<L> {
    /// Handles a line. Returns the number of the round if the line ends one.
    ///
    /// # Errors
    /// Returns an error if a field of the line is missing or invalid.
    pub fn handle_line(&mut self, line: Line) -> Result<Option<u64>, WireError> {
        let fields = line.fields();
        match line.verb.as_str() {
            event::ROUND_BEGINS => {
                self.now = fields.integer("momentNs")?;
                self.round = fields.integer(field::ROUND)?;
            }
            event::ROUND_ENDS => return Ok(Some(self.round)),
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
                    eprintln!(
                        "havenplank-adapter: line {number}: {verb}: unknown verb; line skipped"
                    );
                }
            }
        }
        Ok(None)
    }

    /// Writes the actions of a round.
    ///
    /// # Errors
    /// Returns the error of the output.
    pub fn write_actions(&mut self, round: u64, output: &mut impl io::Write) -> io::Result<()> {
        output.write_all(self.out.as_bytes())?;
        self.out.clear();
        encode::end_round(round, output)
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

    /// Delivers a line to its instance. Lines for a stopped instance are dropped.
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
        .ok_or_else(|| fields.error(field::SIDECAR, "the instance was never started"))
}
