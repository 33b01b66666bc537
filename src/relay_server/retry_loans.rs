//! Repeats that the instances of a zone lend one another, carried by their heartbeats.
//!
//! One that lacks repeats says so to its zone; the next heartbeat of each that can spare some brings
//! its part. So a loan is there two heartbeats after the need, half a second at most. What ends unused goes back
//! with the next heartbeat; if that is lost, it stays charged until no window can hold its use.

use std::net::SocketAddr;

use indexmap::IndexMap;

use super::adapter::Adapter;
use super::heartbeat::{Heartbeat, PeerPart};
use super::node::Node;
use super::peer_book::PeerBook;
use crate::ids::ServiceName;
use crate::relay::{Lender, RetryAmount, RetryLoan, RetryPurpose, share_of_need};

/// What a peer wants of this instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Want {
    /// Where the peer takes heartbeats.
    pub(super) address: SocketAddr,
    pub(super) amount: RetryAmount,
}

/// What peers want of this instance: of each need that was heard since the last heartbeat, an even
/// part among those of the zone that do not lack the same. Each need is answered once.
pub(super) fn wants(peers: &mut PeerBook, now_ms: u64) -> Vec<Want> {
    let mut askers: IndexMap<(ServiceName, RetryPurpose), usize> = IndexMap::new();
    let mut heard: usize = 0;
    for peer in peers.near_heard(now_ms) {
        heard += 1;
        for need in &peer.retry_needs {
            let key = (need.service.clone(), need.purpose);
            *askers.entry(key).or_default() += 1;
        }
    }
    let mut wants = Vec::new();
    for peer in peers.near_heard(now_ms) {
        for need in std::mem::take(&mut peer.retry_needs) {
            let same = askers[&(need.service.clone(), need.purpose)];
            // A peer may name a need twice.
            let lenders = (1 + heard).saturating_sub(same);
            wants.push(Want {
                address: peer.address,
                amount: RetryAmount {
                    milli_retries: share_of_need(need.milli_retries, lenders),
                    ..need
                },
            });
        }
    }
    wants
}

impl<A> Node<A>
where
    A: Adapter,
{
    /// Repeats that this instance lacks.
    pub(super) fn retry_needs(&self, now_ms: u64) -> Vec<RetryAmount> {
        let share = self.budget_share();
        let mut budget = self.budget.borrow_mut();
        let spare_milli = budget.spare_milli(share, now_ms);
        self.counters
            .gauge("relay.repeats.spare_milli", spare_milli);
        budget.needs(share, now_ms)
    }

    /// Lends peers what this instance can spare, and gives back what it has not used, by the address of
    /// the recipient.
    pub(super) fn answer_needs(
        &self,
        wants: Vec<Want>,
        now_ms: u64,
    ) -> IndexMap<SocketAddr, PeerPart> {
        let mut answers: IndexMap<SocketAddr, PeerPart> = IndexMap::new();
        let (addresses, amounts): (Vec<_>, Vec<_>) =
            wants.into_iter().map(|it| (it.address, it.amount)).unzip();
        let share = self.budget_share();
        let mut budget = self.budget.borrow_mut();
        let loans = budget.lend(&amounts, share, now_ms);
        self.count_milli("relay.repeats.lent_milli", &loans);
        for (address, loan) in addresses.into_iter().zip(loans) {
            if loan.amount.milli_retries > 0 {
                answers.entry(address).or_default().lent.push(loan);
            }
        }
        let peers = self.peers.borrow();
        for (lender, unused) in budget.take_expired(now_ms) {
            if let Some(address) = peers.address_of(&lender) {
                answers.entry(address).or_default().given_back.push(unused);
            }
        }
        answers
    }

    /// Takes in what a peer lends for needs that this instance told at `asked_ms`, and what it gives back.
    pub(super) fn take_loans(
        &self,
        heartbeat: &Heartbeat,
        answer: &PeerPart,
        asked_ms: u64,
        now_ms: u64,
    ) {
        if answer.lent.is_empty() && answer.given_back.is_empty() {
            return;
        }
        let lender = Lender {
            instance: heartbeat.instance.clone(),
            incarnation: heartbeat.incarnation,
        };
        let share = self.budget_share();
        let mut budget = self.budget.borrow_mut();
        budget.borrow(&answer.lent, &lender, share, asked_ms, now_ms);
        budget.reclaim(&answer.given_back);
        self.count_milli("relay.repeats.borrowed_milli", &answer.lent);
        self.count_milli("relay.repeats.taken_back_milli", &answer.given_back);
    }

    fn count_milli(&self, name: &str, loans: &[RetryLoan]) {
        if loans.is_empty() {
            return;
        }
        let milli = |it: &RetryLoan| u64::from(it.amount.milli_retries);
        self.counters.add(name, loans.iter().map(milli).sum());
    }
}
