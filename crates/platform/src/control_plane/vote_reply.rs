//! Tells the engine how a vote ended.

use crate::shell::Shell;
use havenplank::interface::{Stage, VoteReceipt, VoteReply};
use std::rc::Rc;

/// Reports what became of a vote; the engine ignores a vote whose end it knows.
pub(super) fn report_reply(
    shell: &Rc<Shell>,
    vote: u64,
    receipt: VoteReceipt,
    stage: Option<Stage>,
) {
    let reply = VoteReply { receipt, stage };
    shell.call(|engine, now| engine.vote_answered(now, vote, reply));
}
