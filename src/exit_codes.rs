//! Named exit codes shared by all binaries.

use std::process::{ExitCode, Termination};

/// Exit status of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[repr(u8)]
pub enum Exit {
    /// The command completed.
    Success = 0,
    /// An error without a more specific code.
    Fault = 1,
    /// The command line is invalid.
    Usage = 2,
    /// The settings file is missing or invalid; nothing was started.
    BadSettings = 3,
    /// The document is invalid; nothing was changed.
    BadDocument = 4,
    /// Another change was accepted first; nothing was changed.
    Conflict = 5,
    /// The key is missing or unknown, or its role does not permit the call.
    NotAllowed = 6,
    /// No control process is reachable, or the platform behind it is not.
    Unavailable = 7,
    /// The process was told to stop immediately and aborted requests in flight.
    Forced = 8,
    /// The document was accepted, but at least one instance did not confirm it in time.
    NotInForce = 9,
    /// The requested object does not exist.
    NotFound = 10,
}

impl Exit {
    /// All exit statuses, ordered by code.
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

    /// The numeric code passed to the operating system.
    pub fn code(self) -> u8 {
        self as u8
    }

    /// The name used in messages and in `--json` output.
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
