//! Log lines on standard output, written by a thread of their own.
//!
//! A reader that takes nothing must not hold up requests: lines wait in a queue of fixed length,
//! and what does not fit is dropped and counted. The count is written with the next line that
//! fits.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;

use env_logger::Target;
use log::LevelFilter;

use super::log_lines::{TelemetryError, line_logger};
use crate::settings::{LogFormat, LogSettings};

/// Lines that wait for the writer. At 300 bytes a line this is 1.2 MB at most; the busiest
/// instance wrote 176 lines in its worst second.
const WAITING_LINES: usize = 4_096;

/// Starts the process's log as JSON lines on standard output, which never blocks the caller.
pub fn init_stdout_log(level: LevelFilter) -> Result<(), TelemetryError> {
    let settings = LogSettings {
        format: LogFormat::Json,
        level,
    };
    let queue = LineQueue::start(io::stdout());
    line_logger(&settings)
        .target(Target::Pipe(Box::new(queue)))
        .try_init()?;
    Ok(())
}

/// Takes whole lines and hands them to the writing thread.
pub(super) struct LineQueue {
    lines: SyncSender<Vec<u8>>,
    dropped: u64,
}

impl LineQueue {
    /// A queue whose lines go to `output`.
    pub(super) fn start<W>(output: W) -> Self
    where
        W: Write + Send + 'static,
    {
        let (lines, waiting) = sync_channel(WAITING_LINES);
        thread::spawn(move || write_lines(&waiting, output));
        Self { lines, dropped: 0 }
    }

    fn offer(&mut self, line: Vec<u8>) -> bool {
        match self.lines.try_send(line) {
            Ok(()) => true,
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => false,
        }
    }
}

impl Write for LineQueue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.dropped > 0 {
            let note = format!(
                "{{\"level\":\"WARN\",\"message\":\"log lines were dropped\",\"values\":{{\"lines\":{}}}}}\n",
                self.dropped
            );
            if self.offer(note.into_bytes()) {
                self.dropped = 0;
            }
        }
        if !self.offer(line.to_vec()) {
            self.dropped += 1;
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines<W>(waiting: &Receiver<Vec<u8>>, mut output: W)
where
    W: Write,
{
    while let Ok(line) = waiting.recv() {
        if output.write_all(&line).is_err() {
            // Nobody reads any more; there is nowhere left to say so.
            return;
        }
        if output.flush().is_err() {
            return;
        }
    }
}
