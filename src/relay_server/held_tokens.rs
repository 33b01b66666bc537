//! The tokens that a running stream holds at the engines of its chain.

use std::rc::Rc;

use super::adapter::Adapter;
use super::node::Node;
use crate::fleet::Chain;

/// Counts a stream's tokens at the engines of its chain while it runs.
pub(super) struct HeldTokens<A>
where
    A: Adapter,
{
    node: Rc<Node<A>>,
    chain: Chain,
    tokens: u64,
}

impl<A> HeldTokens<A>
where
    A: Adapter,
{
    /// Counts them from now on.
    pub(super) fn begin(node: &Rc<Node<A>>, chain: Chain, tokens: u64) -> Self {
        node.hold_tokens(&chain, tokens, true);
        Self {
            node: Rc::clone(node),
            chain,
            tokens,
        }
    }

    /// The present chain.
    pub(super) fn chain(&self) -> &Chain {
        &self.chain
    }

    /// Counts them at another chain from now on.
    pub(super) fn change(&mut self, chain: Chain) {
        self.node.hold_tokens(&self.chain, self.tokens, false);
        self.node.hold_tokens(&chain, self.tokens, true);
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
