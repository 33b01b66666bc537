//! Server-sent events, read piece by piece in bounded memory.

use thiserror::Error;

/// Why a stream of events cannot be read on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SseFault {
    /// A line, or the data of one event, is longer than the limit.
    #[error("an event is longer than {limit_bytes} bytes")]
    TooLong {
        /// The limit.
        limit_bytes: usize,
    },
}

/// Reads events from pieces of a stream, however they are cut.
#[derive(Debug)]
pub struct SseReader {
    /// Start of a line whose end has not come yet; never longer than the limit.
    line: Vec<u8>,
    /// Type of the event being read; empty for none.
    event: Vec<u8>,
    /// Data of the event being read; never longer than the limit.
    data: Vec<u8>,
    has_data: bool,
    limit_bytes: usize,
}

impl SseReader {
    /// A reader that accepts lines and events up to a limit.
    pub fn new(limit_bytes: usize) -> Self {
        Self {
            line: Vec::new(),
            event: Vec::new(),
            data: Vec::new(),
            has_data: false,
            limit_bytes,
        }
    }

    /// Reads a piece; calls `each` with type and data of every event that is whole.
    pub fn push<F>(&mut self, piece: &[u8], mut each: F) -> Result<(), SseFault>
    where
        F: FnMut(&[u8], &[u8]),
    {
        let mut rest = piece;
        while let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
            let (head, tail) = rest.split_at(end);
            rest = tail.get(1..).unwrap_or_default();
            if self.line.is_empty() {
                self.read_line(head, &mut each)?;
            } else {
                self.keep(head)?;
                let line = std::mem::take(&mut self.line);
                self.read_line(&line, &mut each)?;
            }
        }
        self.keep(rest)
    }

    fn keep(&mut self, bytes: &[u8]) -> Result<(), SseFault> {
        self.check_length(self.line.len() + bytes.len())?;
        self.line.extend_from_slice(bytes);
        Ok(())
    }

    fn read_line<F>(&mut self, line: &[u8], each: &mut F) -> Result<(), SseFault>
    where
        F: FnMut(&[u8], &[u8]),
    {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if line.is_empty() {
            self.finish_event(each);
            return Ok(());
        }
        let (field, value) = split_field(line);
        match field {
            b"data" => self.add_data(value),
            b"event" => {
                self.check_length(value.len())?;
                self.event = value.to_vec();
                Ok(())
            }
            _ => Ok(()),
        }
    }

    fn add_data(&mut self, value: &[u8]) -> Result<(), SseFault> {
        self.check_length(self.data.len() + value.len() + 1)?;
        if self.has_data {
            self.data.push(b'\n');
        }
        self.has_data = true;
        self.data.extend_from_slice(value);
        Ok(())
    }

    fn finish_event<F>(&mut self, each: &mut F)
    where
        F: FnMut(&[u8], &[u8]),
    {
        if self.has_data {
            each(&self.event, &self.data);
        }
        self.has_data = false;
        self.event.clear();
        self.data.clear();
    }

    fn check_length(&self, length: usize) -> Result<(), SseFault> {
        if length > self.limit_bytes {
            return Err(SseFault::TooLong {
                limit_bytes: self.limit_bytes,
            });
        }
        Ok(())
    }
}

/// Splits `field: value`; a line without colon is a field without value, and one that begins with
/// a colon is a comment.
fn split_field(line: &[u8]) -> (&[u8], &[u8]) {
    let Some(colon) = line.iter().position(|byte| *byte == b':') else {
        return (line, b"");
    };
    let (field, value) = line.split_at(colon);
    let value = value.get(1..).unwrap_or_default();
    (field, value.strip_prefix(b" ").unwrap_or(value))
}
