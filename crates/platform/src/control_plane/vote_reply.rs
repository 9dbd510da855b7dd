//! Reports the results of votes to the engine.

use crate::shell::Shell;
use havenplank::interface::{Stage, VoteReceipt, VoteReply};
use std::rc::Rc;

/// Reports the result of a vote. The engine ignores further results of the same vote.
pub(super) fn report_reply(
    shell: &Rc<Shell>,
    vote: u64,
    receipt: VoteReceipt,
    stage: Option<Stage>,
) {
    let reply = VoteReply { receipt, stage };
    shell.call(|engine, now| engine.vote_answered(now, vote, reply));
}
