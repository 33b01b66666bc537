//! Finds where the requests on a caller's connection end, so that each is read only once the one before it is answered.
//!
//! The HTTP service parses as many requests as it gets, keeps them all and answers those without a response body whether
//! their caller reads or not. A caller that sends many requests ahead would take memory without limit.

/// The part of the next request up to which bytes may be handed to the HTTP service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestBoundary {
    Head(HeadScan),
    /// The head is complete, and does not tell what follows it; the HTTP service does once the request has begun.
    AfterHead,
    /// The body has this many bytes left.
    Body(u64),
    Chunks(ChunkScan),
    /// All that follows belongs to the request.
    UntilClose,
    /// The request is complete.
    End,
}

/// How the end of a request's body is marked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum BodyFraming {
    #[default]
    None,
    Length(u64),
    Chunked,
    /// It ends with the connection.
    UntilClose,
}

/// Finds the empty line at the end of a head, and the framing of the body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct HeadScan {
    /// Whether anything but empty lines has arrived. The HTTP service skips those before a request.
    has_begun: bool,
    /// The beginning of the present line.
    line: [u8; MAX_SCANNED_LINE_BYTES],
    /// Length of the present line, of which the beginning is kept.
    line_bytes: usize,
    framing: BodyFraming,
}

/// Length up to which a line of a head may frame the body: a name and a number.
const MAX_SCANNED_LINE_BYTES: usize = 48;

/// Finds the end of a chunked body, as the HTTP service does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ChunkScan {
    /// In the size of a chunk.
    Size(u64),
    /// Behind the size of a chunk, in the same line.
    Extension(u64),
    /// The chunk and its line end have this many bytes left.
    Data(u64),
    /// At the beginning of a line behind the last chunk: of a trailer, or the empty one that ends the body.
    TrailerStart,
    Trailer,
    /// Behind the carriage return of a trailer.
    TrailerCr,
    /// Behind the carriage return of the empty line.
    EndCr,
    End,
}

/// Size of a line end.
const LINE_END_BYTES: u64 = 2;

impl RequestBoundary {
    /// The boundary of a request of which nothing has arrived.
    pub(super) const START: Self = Self::Head(HeadScan::START);

    /// What follows the head of a request whose body has this framing.
    pub(super) fn after_head(framing: BodyFraming) -> Self {
        match framing {
            BodyFraming::None | BodyFraming::Length(0) => Self::End,
            BodyFraming::Length(length) => Self::Body(length),
            BodyFraming::Chunked => Self::Chunks(ChunkScan::Size(0)),
            BodyFraming::UntilClose => Self::UntilClose,
        }
    }

    /// What follows a head in which this framing was found. One without it may have another meaning to the service.
    fn after_scanned_head(framing: BodyFraming) -> Self {
        match framing {
            BodyFraming::Length(1..) | BodyFraming::Chunked => Self::after_head(framing),
            BodyFraming::None | BodyFraming::Length(0) | BodyFraming::UntilClose => Self::AfterHead,
        }
    }

    /// Advances by the bytes that belong to this part of the request, and returns their number.
    pub(super) fn advance(&mut self, bytes: &[u8]) -> usize {
        match self {
            Self::AfterHead | Self::End => 0,
            Self::UntilClose => bytes.len(),
            Self::Body(left) => {
                let taken = take(left, bytes);
                if *left == 0 {
                    *self = Self::End;
                }
                taken
            }
            Self::Head(scan) => {
                let end = bytes.iter().position(|byte| scan.is_end(*byte));
                if end.is_some() {
                    *self = Self::after_scanned_head(scan.framing);
                }
                end.map_or(bytes.len(), |at| at + 1)
            }
            Self::Chunks(scan) => {
                let (taken, is_end) = scan.advance(bytes);
                if is_end {
                    *self = Self::End;
                }
                taken
            }
        }
    }
}

/// Takes as many bytes as are left. Returns their number.
fn take(left: &mut u64, bytes: &[u8]) -> usize {
    let taken = usize::try_from(*left).map_or(bytes.len(), |left| left.min(bytes.len()));
    *left -= taken as u64;
    taken
}

impl HeadScan {
    const START: Self = Self {
        has_begun: false,
        line: [0; MAX_SCANNED_LINE_BYTES],
        line_bytes: 0,
        framing: BodyFraming::None,
    };

    /// Reads the next byte. Returns whether the head ends with it.
    fn is_end(&mut self, byte: u8) -> bool {
        if byte != b'\n' {
            if let Some(kept) = self.line.get_mut(self.line_bytes) {
                *kept = byte;
            }
            self.line_bytes += 1;
            return false;
        }
        let line = self.line.get(..self.line_bytes);
        let is_empty = matches!(line, Some(b"" | b"\r"));
        if let Some(framing) = line.and_then(framing_in) {
            self.framing = framing;
        }
        self.line_bytes = 0;
        let is_end = is_empty && self.has_begun;
        self.has_begun |= !is_empty;
        is_end
    }
}

/// The framing of the body, if this line of a head states it.
fn framing_in(line: &[u8]) -> Option<BodyFraming> {
    let (name, value) = std::str::from_utf8(line).ok()?.split_once(':')?;
    if name.eq_ignore_ascii_case("content-length") {
        value.trim().parse().ok().map(BodyFraming::Length)
    } else if name.eq_ignore_ascii_case("transfer-encoding") {
        let is_chunked = value.trim().eq_ignore_ascii_case("chunked");
        is_chunked.then_some(BodyFraming::Chunked)
    } else {
        None
    }
}

impl ChunkScan {
    /// Advances by the bytes that belong to the body. Returns their number, and whether the body ends with them.
    fn advance(&mut self, bytes: &[u8]) -> (usize, bool) {
        let mut taken = 0;
        while taken < bytes.len() {
            taken += self.step(&bytes[taken..]);
            if *self == Self::End {
                return (taken, true);
            }
        }
        (taken, false)
    }

    /// Reads the next byte of a line, or all bytes of a chunk. Returns their number.
    fn step(&mut self, bytes: &[u8]) -> usize {
        let byte = bytes[0];
        let (next, taken) = match *self {
            Self::Size(size) | Self::Extension(size) if byte == b'\n' => {
                (Self::behind_size(size), 1)
            }
            Self::Extension(size) => (Self::Extension(size), 1),
            Self::Size(size) => {
                let digit = char::from(byte).to_digit(16).map(u64::from);
                let size_after = |digit| Self::Size(size.saturating_mul(16).saturating_add(digit));
                (digit.map_or(Self::Extension(size), size_after), 1)
            }
            Self::Data(mut left) => {
                let taken = take(&mut left, bytes);
                let next = if left == 0 {
                    Self::Size(0)
                } else {
                    Self::Data(left)
                };
                (next, taken)
            }
            Self::TrailerStart if byte == b'\r' => (Self::EndCr, 1),
            Self::Trailer if byte == b'\r' => (Self::TrailerCr, 1),
            Self::TrailerStart | Self::Trailer => (Self::Trailer, 1),
            Self::TrailerCr => (Self::TrailerStart, 1),
            Self::EndCr | Self::End => (Self::End, 1),
        };
        *self = next;
        taken
    }

    /// What follows the line with the size of a chunk; the last one has none.
    fn behind_size(size: u64) -> Self {
        match size {
            0 => Self::TrailerStart,
            _ => Self::Data(size.saturating_add(LINE_END_BYTES)),
        }
    }
}
