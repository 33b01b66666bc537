//! The tokens that a running stream holds at the engines of its chain.

use std::rc::Rc;

use super::adapter::Adapter;
use super::node::Node;
use crate::fleet::{Chain, LastHeard};

/// Counts a stream's tokens at the engines of its chain while it runs.
pub(super) struct HeldTokens<A>
where
    A: Adapter,
{
    node: Rc<Node<A>>,
    chain: Chain,
    tokens: u64,
    /// Where it is noted that an event has come, for each stage.
    heard: Vec<LastHeard>,
}

impl<A> HeldTokens<A>
where
    A: Adapter,
{
    /// Counts them from now on.
    pub(super) fn start(node: &Rc<Node<A>>, chain: Chain, tokens: u64) -> Self {
        node.hold_tokens(&chain, tokens, true);
        Self {
            node: Rc::clone(node),
            heard: heard_of(node, &chain),
            chain,
            tokens,
        }
    }

    /// Notes that an event has come: each passes all stages, so that every engine of the chain lives.
    pub(super) fn record_event(&self, now_ms: u64) {
        for heard in &self.heard {
            heard.record(now_ms);
        }
    }

    /// The present chain.
    pub(super) fn chain(&self) -> &Chain {
        &self.chain
    }

    /// Counts them at another chain from now on.
    pub(super) fn move_to(&mut self, chain: Chain) {
        self.node.hold_tokens(&self.chain, self.tokens, false);
        self.node.hold_tokens(&chain, self.tokens, true);
        self.heard = heard_of(&self.node, &chain);
        self.chain = chain;
    }
}

impl<A> Drop for HeldTokens<A>
where
    A: Adapter,
{
    fn drop(&mut self) {
        self.node.hold_tokens(&self.chain, self.tokens, false);
    }
}

fn heard_of<A>(node: &Node<A>, chain: &Chain) -> Vec<LastHeard> {
    let fleet = node.fleet.borrow();
    let stages = chain.stages().iter();
    let known = stages.filter_map(|stage| fleet.get(&stage.endpoint));
    known.map(|known| known.last_heard.clone()).collect()
}
