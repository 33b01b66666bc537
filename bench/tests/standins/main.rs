//! The stand-ins as processes: what the state machines' own tests don't reach.

#[cfg(test)]
mod engines;
#[cfg(test)]
mod env;
#[cfg(test)]
mod platform;
