//! Decisions about one relayed request: may it run, may it be sent once more, what is its final
//! word, which events of a stream are passed on.
//!
//! A relayed request is opaque: it is passed to an endpoint as it came, and the endpoint's answer
//! is passed back as it came.

mod attempts;
mod budget;
mod events;
mod limits;
#[cfg(test)]
mod limits_tests;
#[cfg(test)]
mod loan_tests;
mod loans;
mod refusal;
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

pub use attempts::{AttemptEnd, Attempts, NextStep};
pub use budget::{BudgetShare, RetryBudget, RetryPurpose};
pub use events::{EventSplitter, SplitError, WholeEvents};
pub use limits::{AttemptLimit, GivenUp};
pub(crate) use loans::share_of_need;
pub use loans::{Lender, RetryAmount, RetryLoan};
pub use refusal::{FinalError, RefusalCause, RetryConditions};
pub(crate) use resume::Lack;
pub use run_times::RunTimes;
pub(crate) use silence::{ANSWER_LIMIT_MS, ASKED_AT_MS, NoAnswer, PROMPT_MS, ProbeHistory};
pub use stall::{StallStep, StallWatch};
