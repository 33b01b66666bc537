//! One running completion: a chain of engines, rebuilt under a higher epoch when it fails.
//!
//! [`Chain`] takes messages and the current time and returns effects. It alone decides which tokens
//! are sent to the caller: a token is accepted only if its epoch is the current one and its position
//! is the next expected one, so late, duplicate and out-of-order events have no effect.

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
