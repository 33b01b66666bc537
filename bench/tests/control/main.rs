//! Tests of the control with real processes.

#[cfg(test)]
mod cost;
#[cfg(test)]
mod env;
#[cfg(test)]
mod rollout;
