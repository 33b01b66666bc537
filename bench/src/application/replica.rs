//! What a replica ran, and what it answered.

use fescueshore::ids::ServiceName;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Most request ids whose answers are remembered.
const MAX_ANSWERED: usize = 200_000;

/// Counters of one replica.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ApplicationCounters {
    /// Calls that arrived, those that failed before they ran included.
    pub calls: u64,
    /// Calls answered, or whose reply was cut off, after they ran.
    #[serde(default)]
    pub replies: u64,
    /// Calls that ran.
    pub runs: u64,
    /// Runs at this replica by idempotency key.
    pub runs_by_key: IndexMap<String, u32>,
    /// Runs at this replica of a key that had run before, here or at another replica of the
    /// service in the same process.
    pub double_runs: u64,
    /// Calls answered from an earlier run, by a replica that deduplicates.
    pub deduplicated: u64,
    /// Digest of the request body behind each answer, by request id.
    pub answered: IndexMap<String, String>,
    /// Calls that failed before they ran, on demand.
    pub failed_before_run: u64,
    /// Replies cut off after their call ran, on demand.
    pub lost_replies: u64,
}

/// Body of every answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// Request id of the call that ran.
    pub request: String,
    /// SHA-256 of its body, in hex.
    pub body_digest: String,
    /// Method and path of the call.
    pub call: String,
    /// Runs of the replica up to this one.
    pub run: u64,
    /// The replica.
    pub endpoint: String,
}

/// What has run in the process, over all its replicas.
#[derive(Debug, Default)]
pub(crate) struct RunLedger {
    runs: IndexMap<(ServiceName, String), u32>,
    answers: IndexMap<(ServiceName, String), Echo>,
}

impl RunLedger {
    /// The answer of an earlier run under this key.
    pub(crate) fn answer(&self, service: &ServiceName, key: &str) -> Option<&Echo> {
        self.answers.get(&(service.clone(), key.to_owned()))
    }

    /// Notes a run; returns the runs of the key so far, this one included.
    pub(crate) fn note(&mut self, service: &ServiceName, key: &str, echo: &Echo) -> u32 {
        let id = (service.clone(), key.to_owned());
        self.answers.insert(id.clone(), echo.clone());
        let runs = self.runs.entry(id).or_default();
        *runs += 1;
        *runs
    }
}

impl ApplicationCounters {
    /// Notes a run under an idempotency key that has now run `runs` times in all.
    pub(crate) fn note_key(&mut self, key: &str, runs: u32) {
        *self.runs_by_key.entry(key.to_owned()).or_default() += 1;
        if runs > 1 {
            self.double_runs += 1;
        }
    }

    /// Notes an answer.
    pub(crate) fn note_answer(&mut self, echo: &Echo) {
        if self.answered.len() < MAX_ANSWERED {
            self.answered
                .insert(echo.request.clone(), echo.body_digest.clone());
        }
    }
}
