//! The actions of an instance, read back from what the adapter said.

use crate::line::Line;
use havenplank::interface::*;

/// What an instance did, decoded: names as they stand on the wire.
pub trait Acts {
    fn forward(&mut self, sidecar: u64, hit: &str, pod: &str, time_out: Nanos);
    fn cancel(&mut self, sidecar: u64, hit: &str, nth: u32);
    fn bounce(&mut self, sidecar: u64, hit: &str, retry_after: Nanos);
    fn error(&mut self, sidecar: u64, hit: &str);
    fn vote(&mut self, sidecar: u64, build: Build, stage: usize, voice: Vote);
    fn probe(&mut self, sidecar: u64, pod: &str);
    fn ask_list(&mut self, sidecar: u64);
    fn watch_list(&mut self, sidecar: u64, on: bool);
    fn log(&mut self, sidecar: u64, text: &str);
}

/// Takes one line; the number of the batch where the line ends one.
///
/// # Errors
/// A line that the adapter would not say.
pub fn read(line: &Line, acts: &mut impl Acts) -> Result<Option<u64>, String> {
    let f = line.of();
    if line.verb == "YIELD" {
        return f.whole("turn").map(Some);
    }
    let sidecar = f.whole("sidecar")?;
    match line.verb.as_str() {
        "ATTEMPT" => acts.forward(
            sidecar,
            f.text("opId")?,
            f.text("pod")?,
            f.whole("patienceNs")?,
        ),
        "RETRACT" => acts.cancel(sidecar, f.text("opId")?, f.whole("trial")? as u32),
        "REFUSE" => acts.bounce(sidecar, f.text("opId")?, f.whole_or("waitNs", 0)?),
        "LOSE" => acts.error(sidecar, f.text("opId")?),
        "VERDICT" => {
            let voice = match f.whole("sense")? {
                0 => Vote::None,
                1 => Vote::Advance,
                2 => Vote::Hold,
                3 => Vote::RollBack,
                _ => return Err(f.complain("sense", "not 0 to 3")),
            };
            acts.vote(
                sidecar,
                f.whole("release")? as Build,
                f.whole("wave")? as usize,
                voice,
            );
        }
        "TOUCH" => acts.probe(sidecar, f.text("pod")?),
        "QUERY_ALL" => acts.ask_list(sidecar),
        "TAIL" => acts.watch_list(sidecar, f.flag("enable")?),
        "TRACE" => acts.log(sidecar, f.text("message")?),
        // Wakes are the host's own affair: what comes of them is told when they are due.
        "TIMER" => {}
        _ => return Err(f.complain("verb", "not an action of the adapter")),
    }
    Ok(None)
}
