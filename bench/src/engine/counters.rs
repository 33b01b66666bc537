//! What an engine did: `GET /standin/counters`.

use serde::{Deserialize, Serialize};

/// Counters of one engine over all its lifetimes in this process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineCounters {
    /// Streams opened here as the first stage, rebuilt ones included.
    pub streams_opened: u64,
    /// Stages begun here, first stages included.
    pub stages_begun: u64,
    /// Tokens reported as the first stage.
    pub tokens: u64,
    /// Streams that ended whole, as the first stage.
    pub ended: u64,
    /// Streams that failed, as the first stage.
    pub failed: u64,
    /// Streams cancelled, or left by whoever opened them.
    pub cancelled: u64,
    /// Steps run: all the layers held for one position.
    pub runs: u64,
    /// Prompt tokens run.
    pub prefill_tokens: u64,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: u64,
    /// Layers that ran twice, out of order, or on an activation that had not passed exactly the
    /// layers below.
    pub layer_faults: u64,
    /// Steps refused since their position was not the next one.
    pub out_of_order: u64,
    /// Frames and calls refused for an epoch below the highest seen.
    pub stale_epochs: u64,
    /// Repeated steps answered from the last result.
    pub repeats: u64,
    /// Calls refused since the tokens they hold are not those of the answer.
    pub foreign_tokens: u64,
    /// Calls refused as overloaded.
    pub overloaded: u64,
    /// Stages that went on with the KV state of an earlier epoch.
    pub kv_reused: u64,
    /// Stages that imported KV state.
    pub kv_imported: u64,
    /// KV state asked for that was not there.
    pub kv_missing: u64,
    /// Orders taken.
    pub orders: u64,
    /// Orders taken although their fencing number was below the highest seen.
    pub stale_orders_taken: u64,
    /// Orders refused for their fencing number.
    pub stale_orders_refused: u64,
    /// Changes of what the engine holds.
    pub assignments: u64,
    /// Time spent on steps.
    pub busy_us: u64,
    /// Lifetimes in this process.
    pub lifetimes: u64,
    /// Streams running now.
    pub running: u32,
    /// Streams waiting now.
    pub waiting: u32,
}
