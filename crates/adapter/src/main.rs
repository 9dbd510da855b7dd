//! Runs any number of instances over the simulator's wire protocol, on standard input and output.

use havenplank_adapter::error::WireError;
use havenplank_adapter::instance::Instance;
use havenplank_adapter::line::Line;
use havenplank_adapter::session::Session;
use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;

/// Size of the buffer for the actions of a round.
const OUTPUT_BUFFER_BYTES: usize = 1 << 16;

/// Why the adapter stopped before the end of its input.
#[derive(Debug, thiserror::Error)]
enum ServeError {
    #[error("cannot read standard input: {0}")]
    Read(#[source] io::Error),
    #[error("cannot write standard output: {0}")]
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
        let bytes_read = input.read_until(b'\n', &mut text);
        if bytes_read.map_err(ServeError::Read)? == 0 {
            return Ok(());
        }
        number += 1;
        if text.iter().all(u8::is_ascii_whitespace) {
            continue;
        }
        let line = Line::parse(number, &text)?;
        if let Some(round) = session.handle_line(line)? {
            let written = session.write_actions(round, &mut output);
            written
                .and_then(|()| output.flush())
                .map_err(ServeError::Write)?;
        }
    }
}
