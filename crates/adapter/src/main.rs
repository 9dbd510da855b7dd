//! Speaks the simulator's wire on standard input and output for any number of instances.

use havenplank_adapter::door::{Instance, Wire};
use havenplank_adapter::line::Line;
use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(complaint) => {
            eprintln!("havenplank-adapter: {complaint}");
            ExitCode::from(1)
        }
    }
}

fn serve() -> Result<(), String> {
    let mut input = io::stdin().lock();
    let mut output = BufWriter::with_capacity(1 << 16, io::stdout().lock());
    let mut wire = Wire::<Instance>::default();
    let mut text = Vec::new();
    let mut number = 0u64;
    loop {
        text.clear();
        if input
            .read_until(b'\n', &mut text)
            .map_err(|e| format!("reading: {e}"))?
            == 0
        {
            return Ok(());
        }
        number += 1;
        if text.iter().all(u8::is_ascii_whitespace) {
            continue;
        }
        let done = Line::read(number, &text).and_then(|line| wire.line(line))?;
        if let Some(turn) = done {
            wire.reply(turn, &mut output)
                .and_then(|()| output.flush())
                .map_err(|e| format!("writing: {e}"))?;
        }
    }
}
