//! Speaks the simulator's wire on standard input and output for any number of instances.

use havenplank_adapter::error::WireError;
use havenplank_adapter::instance::Instance;
use havenplank_adapter::line::Line;
use havenplank_adapter::session::Session;
use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;

/// Room for the actions of a round.
const OUTPUT_BUFFER_BYTES: usize = 1 << 16;

/// Why the adapter ended early.
#[derive(Debug, thiserror::Error)]
enum ServeError {
    #[error("reading: {0}")]
    Read(#[source] io::Error),
    #[error("writing: {0}")]
    Write(#[source] io::Error),
    #[error(transparent)]
    Wire(#[from] WireError),
}

fn main() -> ExitCode {
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("havenplank-adapter: {error}");
            ExitCode::from(1)
        }
    }
}

fn serve() -> Result<(), ServeError> {
    let mut input = io::stdin().lock();
    let mut output = BufWriter::with_capacity(OUTPUT_BUFFER_BYTES, io::stdout().lock());
    let mut session = Session::<Instance>::default();
    let mut text = Vec::new();
    let mut number = 0;
    loop {
        text.clear();
        let read = input.read_until(b'\n', &mut text);
        if read.map_err(ServeError::Read)? == 0 {
            return Ok(());
        }
        number += 1;
        if text.iter().all(u8::is_ascii_whitespace) {
            continue;
        }
        let line = Line::parse(number, &text)?;
        if let Some(turn) = session.handle_line(line)? {
            let replied = session.write_actions(turn, &mut output);
            replied
                .and_then(|()| output.flush())
                .map_err(ServeError::Write)?;
        }
    }
}
