//! When tokens left an engine: `GET /standin/emissions`.

use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};

use fescueshore::ids::RequestId;
use serde::{Deserialize, Serialize};

use crate::standin::unix_us;

/// Tokens remembered.
const REMEMBERED: usize = 1_024;

/// One token that was written to whoever opened its stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Emission {
    /// The request that the stream answers.
    pub request: RequestId,
    /// Position of the token.
    pub position: u32,
    /// When it was written.
    pub at_unix_us: u64,
}

/// The last tokens written.
#[derive(Debug, Default)]
pub(crate) struct Emissions(Mutex<VecDeque<Emission>>);

impl Emissions {
    /// Notes a token written now.
    pub(crate) fn note(&self, request: &RequestId, position: u32) {
        let mut kept = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if kept.len() == REMEMBERED {
            kept.pop_front();
        }
        kept.push_back(Emission {
            request: request.clone(),
            position,
            at_unix_us: unix_us(),
        });
    }

    /// The tokens remembered, oldest first.
    pub(crate) fn list(&self) -> Vec<Emission> {
        let kept = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        kept.iter().cloned().collect()
    }
}
