//! Incremental parser for server-sent events with bounded memory.

use thiserror::Error;

/// Error while parsing a stream of events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SseError {
    /// A line or the data of one event exceeds the limit.
    #[error("event exceeds {limit_bytes} bytes")]
    TooLong {
        /// Limit in bytes.
        limit_bytes: usize,
    },
}

/// Parses events from chunks of a stream. Chunk boundaries may fall anywhere.
#[derive(Debug)]
pub struct SseReader {
    /// Incomplete last line. Never longer than the limit.
    line: Vec<u8>,
    /// Type of the current event. Empty if not set.
    event: Vec<u8>,
    /// Data of the current event. Never longer than the limit.
    data: Vec<u8>,
    has_data: bool,
    limit_bytes: usize,
}

impl SseReader {
    /// Creates a parser that accepts lines and events of up to `limit_bytes`.
    pub fn new(limit_bytes: usize) -> Self {
        Self {
            line: Vec::new(),
            event: Vec::new(),
            data: Vec::new(),
            has_data: false,
            limit_bytes,
        }
    }

    /// Parses a chunk and calls `on_event` with the type and data of every completed event.
    pub fn push<F>(&mut self, chunk: &[u8], mut on_event: F) -> Result<(), SseError>
    where
        F: FnMut(&[u8], &[u8]),
    {
        let mut rest = chunk;
        while let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
            let (head, tail) = rest.split_at(end);
            rest = tail.get(1..).unwrap_or_default();
            if self.line.is_empty() {
                self.read_line(head, &mut on_event)?;
            } else {
                self.buffer(head)?;
                let line = std::mem::take(&mut self.line);
                self.read_line(&line, &mut on_event)?;
            }
        }
        self.buffer(rest)
    }

    fn buffer(&mut self, bytes: &[u8]) -> Result<(), SseError> {
        self.check_length(self.line.len() + bytes.len())?;
        self.line.extend_from_slice(bytes);
        Ok(())
    }

    fn read_line<F>(&mut self, line: &[u8], on_event: &mut F) -> Result<(), SseError>
    where
        F: FnMut(&[u8], &[u8]),
    {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if line.is_empty() {
            self.finish_event(on_event);
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

    fn add_data(&mut self, value: &[u8]) -> Result<(), SseError> {
        self.check_length(self.data.len() + value.len() + 1)?;
        if self.has_data {
            self.data.push(b'\n');
        }
        self.has_data = true;
        self.data.extend_from_slice(value);
        Ok(())
    }

    fn finish_event<F>(&mut self, on_event: &mut F)
    where
        F: FnMut(&[u8], &[u8]),
    {
        if self.has_data {
            on_event(&self.event, &self.data);
        }
        self.has_data = false;
        self.event.clear();
        self.data.clear();
    }

    fn check_length(&self, length: usize) -> Result<(), SseError> {
        if length > self.limit_bytes {
            return Err(SseError::TooLong {
                limit_bytes: self.limit_bytes,
            });
        }
        Ok(())
    }
}

/// Splits a `field: value` line. A line without a colon is a field without a value. A line that
/// starts with a colon is a comment and yields an empty field name.
fn split_field(line: &[u8]) -> (&[u8], &[u8]) {
    let Some(colon) = line.iter().position(|byte| *byte == b':') else {
        return (line, b"");
    };
    let (field, value) = line.split_at(colon);
    let value = value.get(1..).unwrap_or_default();
    (field, value.strip_prefix(b" ").unwrap_or(value))
}
