//! Decisions about one relayed request: may it run, may it be sent once more, what is its final
//! word, which events of a stream are passed on.
//!
//! A relayed request is opaque: it is passed to an endpoint as it came, and the endpoint's answer
//! is passed back as it came.

mod attempts;
mod budget;
mod events;
mod go_on;
mod limits;
#[cfg(test)]
mod limits_tests;
mod pool;
#[cfg(test)]
mod pool_tests;
mod refusal;
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
pub use budget::{BudgetShare, RepeatPurpose, RetryBudget};
pub use events::{EventSplitter, SplitError, WholeEvents};
pub(crate) use go_on::Lack;
pub use limits::{AttemptLimit, GivenUp};
pub(crate) use pool::part_of_need;
pub use pool::{Lender, RepeatAmount, RepeatLoan};
pub use refusal::{FinalWord, Outlook, RefusalCause};
pub use run_times::RunTimes;
pub(crate) use silence::{ANSWER_LIMIT_MS, ASKED_AT_MS, AnswerBook, NoAnswer, PROMPT_MS};
pub use stall::{StallStep, StallWatch};
