//! Exit codes of every binary, by name.

use std::process::{ExitCode, Termination};

/// How a process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[repr(u8)]
pub enum Exit {
    /// All that was asked is done.
    Success = 0,
    /// A fault without a code of its own.
    Fault = 1,
    /// The command line cannot be used.
    Usage = 2,
    /// The settings file is missing or has faults; nothing was started.
    BadSettings = 3,
    /// The document has faults; nothing was changed.
    BadDocument = 4,
    /// Another change was accepted first; nothing was changed.
    Conflict = 5,
    /// The key is missing, unknown, or its role does not allow the call.
    NotAllowed = 6,
    /// No control, or not the platform behind it, could be reached.
    Unavailable = 7,
    /// The process was told to stop at once and cut off requests in flight.
    Forced = 8,
    /// The document was accepted, but some instance has not confirmed it in time.
    NotInForce = 9,
    /// What was asked for does not exist.
    NotFound = 10,
}

impl Exit {
    /// Every way to end, in the order of the codes.
    pub const ALL: [Self; 11] = [
        Self::Success,
        Self::Fault,
        Self::Usage,
        Self::BadSettings,
        Self::BadDocument,
        Self::Conflict,
        Self::NotAllowed,
        Self::Unavailable,
        Self::Forced,
        Self::NotInForce,
        Self::NotFound,
    ];

    /// The number that the operating system sees.
    pub fn code(self) -> u8 {
        self as u8
    }

    /// The name that messages and `--json` use.
    pub fn name(self) -> &'static str {
        match self {
            Self::Success => "success",
            Self::Fault => "fault",
            Self::Usage => "usage",
            Self::BadSettings => "bad-settings",
            Self::BadDocument => "bad-document",
            Self::Conflict => "conflict",
            Self::NotAllowed => "not-allowed",
            Self::Unavailable => "unavailable",
            Self::Forced => "forced",
            Self::NotInForce => "not-in-force",
            Self::NotFound => "not-found",
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit.code())
    }
}

impl Termination for Exit {
    fn report(self) -> ExitCode {
        self.into()
    }
}
