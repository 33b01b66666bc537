//! Accounts for the tokens that a running stream holds on the engines of its chain.

use std::rc::Rc;

use super::adapter::Adapter;
use super::node::Node;
use crate::fleet::{Chain, LastHeard, UnreadPrompt};

/// Adds a stream's tokens to the load of its chain's engines until it is dropped, and its prompt to what
/// they still have to read until an event arrives.
pub(super) struct HeldTokens<A>
where
    A: Adapter,
{
    node: Rc<Node<A>>,
    chain: Chain,
    tokens: u64,
    unread: UnreadPrompt,
    /// One per stage, for recording that an event has arrived.
    heard: Vec<LastHeard>,
}

impl<A> HeldTokens<A>
where
    A: Adapter,
{
    pub(super) fn start(node: &Rc<Node<A>>, chain: Chain, tokens: u64, prompt_tokens: u64) -> Self {
        node.hold_tokens(&chain, tokens, true);
        let unread = UnreadPrompt::sent(&mut node.fleet.borrow_mut(), &chain, prompt_tokens);
        Self {
            node: Rc::clone(node),
            heard: heard_of(node, &chain),
            chain,
            tokens,
            unread,
        }
    }

    /// Records an event of the stream. Events pass through all stages, so each shows that every engine of
    /// the chain is alive and has read the prompt.
    pub(super) fn record_event(&mut self, now_ms: u64) {
        if self.unread.is_pending() {
            self.unread.read(&mut self.node.fleet.borrow_mut());
        }
        for heard in &self.heard {
            heard.record(now_ms);
        }
    }

    pub(super) fn chain(&self) -> &Chain {
        &self.chain
    }

    /// Moves the tokens to the engines of another chain.
    pub(super) fn move_to(&mut self, chain: Chain) {
        self.node.hold_tokens(&self.chain, self.tokens, false);
        self.node.hold_tokens(&chain, self.tokens, true);
        let mut fleet = self.node.fleet.borrow_mut();
        self.unread.moved(&mut fleet, &self.chain, &chain);
        drop(fleet);
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
        self.unread.read(&mut self.node.fleet.borrow_mut());
    }
}

fn heard_of<A>(node: &Node<A>, chain: &Chain) -> Vec<LastHeard> {
    let fleet = node.fleet.borrow();
    let stages = chain.stages().iter();
    let known = stages.filter_map(|stage| fleet.get(&stage.endpoint));
    known.map(|known| known.last_heard.clone()).collect()
}
