//! Decisions about one relayed request: whether it may run, whether it may be sent again, what its
//! final error is, and which events of a stream are forwarded.
//!
//! A relayed request is opaque: it is forwarded to an endpoint unchanged, and so is the endpoint's
//! response.

mod attempts;
mod budget;
#[cfg(test)]
mod chain_charge_tests;
mod delegation;
#[cfg(test)]
mod delegation_tests;
mod events;
mod limits;
#[cfg(test)]
mod limits_tests;
#[cfg(test)]
mod loan_tests;
mod loans;
mod refusal;
#[cfg(test)]
mod reserve_tests;
mod resume;
mod run_times;
mod silence;
#[cfg(test)]
mod silence_tests;
mod stall;
#[cfg(test)]
mod stall_tests;
#[cfg(test)]
mod tests;
#[cfg(test)]
mod unsent_tests;
mod window;

pub use attempts::{AttemptOutcome, Attempts, NextStep};
pub use budget::{BudgetShare, RetryBudget, RetryClass, RetryId, RetryPurpose};
pub use delegation::DelegationHistory;
pub use events::{CompleteEvents, EventSplitter, SplitError};
pub use limits::{AttemptLimit, RelayFailure};
pub(crate) use loans::share_of_need;
pub use loans::{Lender, RetryAmount, RetryLoan};
pub use refusal::{FinalError, RefusalCause, RetryConditions};
pub(crate) use resume::ResumeBlocker;
pub use run_times::RunTimes;
pub(crate) use silence::{
    PROBE_OFFSETS_MS, PROBE_TIMEOUT_MS, PROMPT_REPLY_MS, ProbeHistory, SilenceCause,
};
pub use stall::{StallAction, StallDetector};
pub use window::BudgetUsage;
pub(crate) use window::MAX_ARRIVAL_DELAY_MS;
