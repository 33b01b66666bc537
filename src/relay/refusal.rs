//! The final word on a request that has no endpoint's answer.

/// Why a request was refused before anything ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalCause {
    /// No table of routes is known yet.
    NoTable,
    /// The table is too old to trust the keys in it.
    OldTable,
    /// No endpoint of the service takes work.
    NoEndpoint,
    /// Some layer of the model has no usable holder.
    NoChain,
    /// The endpoints that were asked have no room.
    Full,
    /// The budget for repeats is used up.
    NoBudget,
    /// The process is about to end.
    Stopping,
    /// Its time ran out before it was sent.
    TooLate,
}

impl RefusalCause {
    /// Name in log lines and counters.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoTable => "no_table",
            Self::OldTable => "old_table",
            Self::NoEndpoint => "no_endpoint",
            Self::NoChain => "no_chain",
            Self::Full => "full",
            Self::NoBudget => "no_budget",
            Self::Stopping => "stopping",
            Self::TooLate => "too_late",
        }
    }

    /// When the caller may come back: as long as the cause usually lasts, at least.
    pub fn retry_after_ms(self) -> u64 {
        match self {
            // The next read of the table comes within a second of the store's return.
            Self::NoTable | Self::OldTable => 1_000,
            // An engine that lost its layers has them again after about two seconds.
            Self::NoEndpoint | Self::NoChain => 1_000,
            // A request in ten ends every few hundred milliseconds.
            Self::Full | Self::NoBudget => 500,
            // Another instance takes it at once.
            Self::Stopping | Self::TooLate => 100,
        }
    }
}

/// What the caller hears when there is no endpoint's answer to pass on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalWord {
    /// The request has not run and never will: 503 with the time to come back.
    NotRun(RefusalCause),
    /// It may have run; its answer is lost: 502.
    Unknown,
    /// Time ran out, and it may have run: 504.
    TimedOut,
}

impl FinalWord {
    /// HTTP status.
    pub fn status(self) -> u16 {
        match self {
            Self::NotRun(_) => 503,
            Self::Unknown => 502,
            Self::TimedOut => 504,
        }
    }

    /// Name in log lines and counters.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotRun(cause) => cause.name(),
            Self::Unknown => "unknown",
            Self::TimedOut => "timed_out",
        }
    }
}
