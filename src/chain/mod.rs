//! One running completion: a chain of engines, rebuilt under a higher epoch when it fails.
//!
//! [`Chain`] takes messages and the present time and returns effects. It alone decides which token
//! goes to the caller: a token counts only if its epoch is the current one and its position is
//! exactly the next, so late, repeated and out-of-order events change nothing.

mod blame;
mod machine;
mod message;
mod pace;
mod rebuild;
#[cfg(test)]
mod tests;
mod watch;

pub(crate) use machine::Chain;
pub(crate) use message::{
    ChainEffect, ChainMessage, ChainSpec, DropCause, ExpectedTiming, ProbeAnswer,
};
pub(crate) use pace::{MovingAverage, PrefillHistory, ProbeHistory};
