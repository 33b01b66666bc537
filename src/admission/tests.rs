use indexmap::IndexMap;
use proptest::prelude::*;

use super::*;
use crate::document::{Account, Priority, ServiceKind};
use crate::outcome::{Outcome, RefusalCode};

const SERVICE: &str = "menu-mind";

/// An [`Admission`] for one service; callers are numbered in order of arrival.
struct Harness {
    admission: Admission,
    service: ServiceName,
    account_of: IndexMap<CallerId, &'static str>,
    last_id: u64,
    now_ms: u64,
}

impl Harness {
    fn new(accounts: &[(&'static str, f64, Priority)]) -> Self {
        let accounts = accounts.iter().map(|&(name, weight, priority)| {
            let key_digests = Vec::new();
            (
                AccountId::from(name),
                Account {
                    weight,
                    priority,
                    key_digests,
                },
            )
        });
        let document = Document {
            service: SERVICE.into(),
            kind: ServiceKind::Application,
            accounts: accounts.collect(),
            operators: IndexMap::new(),
            non_idempotent: Vec::new(),
            leaving: Vec::new(),
            engines_check_fence: true,
        };
        let mut admission = Admission::new(7);
        admission.set_accounts(&IndexMap::from([(SERVICE.into(), document)]));
        Self {
            admission,
            service: SERVICE.into(),
            account_of: IndexMap::new(),
            last_id: 0,
            now_ms: 0,
        }
    }

    fn equal(names: &[&'static str]) -> Self {
        let accounts: Vec<_> = names
            .iter()
            .map(|&name| (name, 1.0, Priority::Standard))
            .collect();
        Self::new(&accounts)
    }

    fn offer_until(
        &mut self,
        account: &'static str,
        cost_tokens: u32,
        deadline_ms: Option<u64>,
    ) -> Result<CallerId, Refusal> {
        self.last_id += 1;
        let caller = CallerId(self.last_id);
        let request = QueueRequest {
            caller,
            service: &self.service,
            account: &account.into(),
            cost_tokens,
            deadline: deadline_ms.map(|at_ms| Deadline { at_ms }),
        };
        self.admission.enqueue(request, self.now_ms)?;
        self.account_of.insert(caller, account);
        Ok(caller)
    }

    fn offer(&mut self, account: &'static str, cost_tokens: u32) -> CallerId {
        self.offer_until(account, cost_tokens, None).unwrap()
    }

    fn next(&mut self) -> Option<CallerId> {
        self.admission.dequeue(&self.service, self.now_ms)
    }

    /// Serves one request to completion and returns its account.
    fn serve(&mut self, tokens: u32) -> &'static str {
        let caller = self.next().unwrap();
        let account = self.account_of[&caller];
        self.admission
            .charge(&self.service, &account.into(), tokens, self.now_ms);
        self.admission.remove(caller, self.now_ms);
        account
    }

    /// Serves `rounds` requests of `tokens` each while every account stays backlogged, and returns
    /// the number served per account.
    fn contend(&mut self, names: &[&'static str], tokens: u32, rounds: usize) -> Vec<usize> {
        for &name in names {
            self.offer(name, tokens);
        }
        let mut served = vec![0; names.len()];
        for _ in 0..rounds {
            let name = self.serve(tokens);
            self.offer(name, tokens);
            served[names.iter().position(|&other| other == name).unwrap()] += 1;
        }
        served
    }

    /// Sets the shares of the accounts, in the order of the document.
    fn set_shares(&mut self, shares: &[f64]) {
        let accounts = ["grill-chain", "lac-bistro"].iter().zip(shares);
        let shares = accounts.map(|(&account, &tokens_per_s)| AccountShare {
            service: self.service.clone(),
            account: account.into(),
            tokens_per_s,
            entitled_tokens_per_s: tokens_per_s,
        });
        let shares: Vec<AccountShare> = shares.collect();
        self.admission.set_shares(&shares, self.now_ms);
    }

    /// Drains 100 tokens per second for `s` seconds while `account` is backlogged.
    fn drain_100_a_second(&mut self, account: &'static str, s: u64) {
        let (running, waiting) = (self.offer(account, 1), self.offer(account, 1));
        assert_eq!(self.next(), Some(running));
        for _ in 0..s * 10 {
            self.now_ms += 100;
            self.admission
                .charge(&self.service, &account.into(), 10, self.now_ms);
        }
        self.admission.remove(waiting, self.now_ms);
        self.admission.remove(running, self.now_ms);
    }
}

#[test]
fn a_flood_does_not_delay_another_account() {
    let mut harness = Harness::equal(&["grill-chain", "lac-bistro"]);
    for _ in 0..400 {
        harness.offer("grill-chain", 100);
    }
    for _ in 0..5 {
        harness.serve(100);
    }
    harness.offer("lac-bistro", 100);
    assert_eq!(harness.serve(100), "lac-bistro");
}

#[test]
fn waiting_accounts_share_by_weight() {
    let (standard, names) = (Priority::Standard, ["grill-chain", "lac-bistro"]);
    let mut harness = Harness::new(&[(names[0], 6.0, standard), (names[1], 2.0, standard)]);
    assert_eq!(harness.contend(&names, 50, 400), [300, 100]);
}

#[test]
fn a_class_goes_first_and_starves_none() {
    let names = ["lac-bistro", "grill-chain"];
    let mut harness = Harness::new(&[
        (names[0], 1.0, Priority::Batch),
        (names[1], 1.0, Priority::Interactive),
    ]);
    harness.offer(names[0], 50);
    harness.offer(names[1], 50);
    assert_eq!(harness.serve(50), "grill-chain");
    harness.serve(50);
    assert_eq!(harness.contend(&names, 50, 400), [200, 200]);
}

#[test]
fn a_low_priority_account_is_not_starved_by_many_others() {
    let (interactive, standard) = (Priority::Interactive, Priority::Standard);
    let names = ["large", "a", "b", "c", "d", "e", "batch"];
    let mut harness = Harness::new(&[
        (names[0], 6.0, interactive),
        (names[1], 1.0, interactive),
        (names[2], 1.0, interactive),
        (names[3], 4.0, standard),
        (names[4], 4.0, standard),
        (names[5], 4.0, standard),
        (names[6], 1.0, Priority::Batch),
    ]);
    for name in names {
        harness.offer(name, 40);
        harness.offer(name, 40);
    }
    let mut served: IndexMap<&str, u32> = IndexMap::new();
    // One round of 21 requests, the sum of the weights, takes 0.21 s.
    for _ in 0..21 * 10 {
        harness.now_ms += 10;
        let name = harness.serve(40);
        harness.offer(name, 40);
        *served.entry(name).or_default() += 1;
    }
    assert!(served["batch"] >= 8, "{served:?}");
    assert!(served["large"] <= 66, "{served:?}");
}

#[test]
fn an_idle_account_accumulates_no_credit() {
    let names = ["grill-chain", "lac-bistro"];
    let mut harness = Harness::equal(&names);
    harness.contend(&names[..1], 50, 1_000);
    let served = harness.contend(&names, 50, 100);
    assert!(served[1].abs_diff(50) <= 1, "{served:?}");
}

#[test]
fn a_long_stream_accumulates_no_credit_while_nothing_else_waits() {
    let names = ["grill-chain", "lac-bistro"];
    let mut harness = Harness::equal(&names);
    harness.offer(names[1], 10);
    harness.next().unwrap();
    harness.contend(&names[..1], 50, 1_000);
    let served = harness.contend(&names, 50, 100);
    assert!(served[1].abs_diff(50) <= 1, "{served:?}");
}

#[test]
fn what_was_spent_at_a_small_share_does_not_weigh_more_at_a_large_one() {
    let names = ["grill-chain", "lac-bistro"];
    let mut harness = Harness::equal(&names);
    harness.set_shares(&[1.0, 99.0]);
    harness.offer(names[0], 1_000);
    assert_eq!(harness.serve(1_000), names[0]);
    harness.set_shares(&[50.0, 50.0]);
    // Being 1,000 tokens ahead, it waits for 20 requests of the other account, not for 200.
    let served = harness.contend(&names, 50, 100);
    assert!(served[0].abs_diff(40) <= 2, "{served:?}");
}

#[test]
fn long_prompts_are_charged() {
    let names = ["grill-chain", "lac-bistro"];
    let mut harness = Harness::equal(&names);
    let mut served = [0_u32, 0];
    for _ in 0..2 {
        harness.offer(names[0], 1_000);
        harness.offer(names[1], 100);
    }
    for _ in 0..440 {
        let caller = harness.next().unwrap();
        let account = harness.account_of[&caller];
        let long = account == names[0];
        let (prompt, index) = if long { (990, 0) } else { (90, 1) };
        harness
            .admission
            .charge_prompt(&harness.service, &account.into(), prompt, 0);
        harness
            .admission
            .charge(&harness.service, &account.into(), 10, 0);
        harness.admission.remove(caller, 0);
        harness.offer(account, prompt + 10);
        served[index] += 1;
    }
    assert!(served[0].abs_diff(40) <= 2, "{served:?}");
}

#[test]
fn cancelled_streams_are_charged_only_for_tokens_spent() {
    let names = ["grill-chain", "lac-bistro"];
    let mut harness = Harness::equal(&names);
    let (mut spent, mut streams) = ([0_u32, 0], 0_u32);
    for &name in &names {
        harness.offer(name, 200);
    }
    for _ in 0..600 {
        let caller = harness.next().unwrap();
        let account = harness.account_of[&caller];
        let index = usize::from(account == names[1]);
        // The first account cancels half of its streams early.
        streams += 1 - index as u32;
        let cancelled = index == 0 && streams.is_multiple_of(2);
        let tokens = if cancelled { 20 } else { 200 };
        harness
            .admission
            .charge(&harness.service, &account.into(), tokens, 0);
        harness.admission.remove(caller, 0);
        harness.offer(account, 200);
        spent[index] += tokens;
    }
    let ratio = f64::from(spent[0]) / f64::from(spent[1]);
    assert!((0.95..1.05).contains(&ratio), "{spent:?}");
}

#[test]
fn a_request_put_back_goes_first_again() {
    let mut harness = Harness::equal(&["grill-chain"]);
    let first = harness.offer("grill-chain", 10);
    harness.offer("grill-chain", 10);
    assert_eq!(harness.next(), Some(first));
    harness.admission.requeue_front(first, 0);
    assert_eq!(harness.admission.queued(&harness.service), 2);
    assert_eq!(harness.next(), Some(first));
}

#[test]
fn a_deadline_that_cannot_be_met_is_refused_at_once() {
    let mut harness = Harness::equal(&["grill-chain"]);
    harness.drain_100_a_second("grill-chain", 10);
    harness.offer("grill-chain", 400);
    let deadline_ms = harness.now_ms + 2_000;
    let refusal = harness
        .offer_until("grill-chain", 10, Some(deadline_ms))
        .unwrap_err();
    assert_eq!(refusal.code, RefusalCode::DeadlineTooShort);
    assert_eq!(refusal.outcome, Outcome::NotRun);
    assert!(
        refusal
            .retry_after_ms
            .is_some_and(|ms| (2_800..5_500).contains(&ms))
    );
    harness
        .offer_until("grill-chain", 10, Some(deadline_ms + 60_000))
        .unwrap();
}

#[test]
fn a_waiting_request_is_refused_as_soon_as_it_is_known_to_be_late() {
    let mut harness = Harness::equal(&["grill-chain", "lac-bistro"]);
    harness.drain_100_a_second("grill-chain", 10);
    let deadline_ms = harness.now_ms + 4_000;
    harness.offer("grill-chain", 250);
    let late = harness
        .offer_until("grill-chain", 10, Some(deadline_ms))
        .unwrap();
    assert_eq!(harness.admission.expire(harness.now_ms), []);
    // Another account arrives and takes half of the rate from now on.
    for _ in 0..6 {
        harness.offer("lac-bistro", 100);
    }
    harness.now_ms += 1_000;
    let refused = harness.admission.expire(harness.now_ms);
    assert_eq!(
        refused
            .iter()
            .map(|(caller, _)| *caller)
            .collect::<Vec<_>>(),
        [late]
    );
    assert!(harness.now_ms < deadline_ms);
}

#[test]
fn retry_delays_grow_with_the_backlog_and_have_jitter() {
    let mut harness = Harness::equal(&["grill-chain"]);
    harness.drain_100_a_second("grill-chain", 10);
    let account = AccountId::from("grill-chain");
    let mut after = || {
        harness
            .admission
            .retry_after_ms(&harness.service, &account, harness.now_ms)
    };
    let (first, second) = (after(), after());
    assert!(first >= 200 && first != second);
    harness.offer("grill-chain", 900);
    let account = AccountId::from("grill-chain");
    let behind_ms = harness
        .admission
        .retry_after_ms(&harness.service, &account, harness.now_ms);
    assert!((6_700..12_000).contains(&behind_ms), "{behind_ms}");
}

#[test]
fn an_outage_does_not_count_as_a_slow_service() {
    let mut harness = Harness::equal(&["grill-chain"]);
    harness.drain_100_a_second("grill-chain", 10);
    // Requests are queued and none is running.
    harness.offer("grill-chain", 100);
    for _ in 0..200 {
        harness.now_ms += 100;
        harness.admission.expire(harness.now_ms);
    }
    harness.offer("grill-chain", 100);
    let deadline_ms = harness.now_ms + 5_000;
    harness
        .offer_until("grill-chain", 100, Some(deadline_ms))
        .unwrap();
}

#[test]
fn one_request_at_a_time_of_very_different_costs() {
    let names = ["bardo-bakery", "ariana-diner", "lac-bistro"];
    let costs = [208, 6, 1];
    let classes = [Priority::Batch, Priority::Interactive, Priority::Batch];
    let accounts: Vec<_> = (0..3).map(|at| (names[at], 1.0, classes[at])).collect();
    let mut harness = Harness::new(&accounts);
    let mut spent = [0_u32; 3];
    for (name, cost) in names.iter().zip(costs) {
        harness.offer(name, cost);
    }
    for _ in 0..2_000 {
        let caller = harness.next().unwrap();
        let index = names
            .iter()
            .position(|name| *name == harness.account_of[&caller]);
        let index = index.unwrap();
        let account = AccountId::from(names[index]);
        harness
            .admission
            .charge(&harness.service, &account, costs[index], 0);
        harness.admission.remove(caller, 0);
        harness.offer(names[index], costs[index]);
        spent[index] += costs[index];
    }
    assert!(spent[0].abs_diff(spent[2]) <= 215, "{spent:?}");
}

#[test]
fn queues_are_bounded() {
    let mut harness = Harness::equal(&["grill-chain"]);
    for _ in 0..overload::MAX_ACCOUNT_QUEUE {
        harness.offer("grill-chain", 1);
    }
    let refusal = harness.offer_until("grill-chain", 1, None).unwrap_err();
    assert_eq!(refusal.code, RefusalCode::AccountOverloaded);
}

#[test]
fn retries_are_a_tenth_of_what_is_admitted() {
    let mut harness = Harness::equal(&["grill-chain"]);
    let account = AccountId::from("grill-chain");
    let mut retries = 0;
    for _ in 0..1_000 {
        harness.offer("grill-chain", 1);
        harness.serve(1);
        while retries < 2_000 && harness.admission.allow_retry(&harness.service, &account, 0) {
            retries += 1;
        }
    }
    assert!((100..=110).contains(&retries), "{retries}");
}

#[test]
fn demand_counts_what_waits() {
    let mut harness = Harness::equal(&["grill-chain"]);
    harness.drain_100_a_second("grill-chain", 10);
    harness.offer("grill-chain", 500);
    let demand = &harness.admission.demands(harness.now_ms)[0];
    assert!(demand.wanted_tokens_per_s > 500.0);
    assert!(
        (90.0..110.0).contains(&demand.spent_tokens_per_s),
        "{demand:?}"
    );
}

proptest! {
    #[test]
    fn spending_follows_weights_for_any_costs(
        weights in proptest::collection::vec(1_u32..10, 2..6),
        costs in proptest::collection::vec(1_u32..400, 6),
    ) {
        const NAMES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];
        let accounts: Vec<_> = weights
            .iter()
            .zip(NAMES)
            .zip([Priority::Batch, Priority::Interactive].into_iter().cycle())
            .map(|((&weight, name), priority)| (name, f64::from(weight), priority))
            .collect();
        let mut harness = Harness::new(&accounts);
        let mut spent = vec![0.0; weights.len()];
        for (index, (name, ..)) in accounts.iter().enumerate() {
            harness.offer(name, costs[index]);
        }
        for _ in 0..600 {
            let caller = harness.next().unwrap();
            let name = harness.account_of[&caller];
            let index = NAMES.iter().position(|&other| other == name).unwrap();
            harness.admission.charge(&harness.service, &name.into(), costs[index], 0);
            harness.admission.remove(caller, 0);
            harness.offer(name, costs[index]);
            spent[index] += f64::from(costs[index]) / f64::from(weights[index]);
        }
        let (least, most) = spent.iter().fold((f64::MAX, 0.0), |(least, most): (f64, f64), &level| {
            (least.min(level), most.max(level))
        });
        // Virtual times differ by at most the sum of one request of each account.
        let slack: f64 = costs.iter().map(|&cost| f64::from(cost)).sum();
        prop_assert!(most - least <= slack, "{spent:?}");
    }

    #[test]
    fn each_request_leaves_the_queue_once(steps in proptest::collection::vec(0_u8..6, 0..300)) {
        let mut harness = Harness::equal(&["a", "b"]);
        let mut waiting: Vec<CallerId> = Vec::new();
        let mut running: Vec<CallerId> = Vec::new();
        for step in steps {
            harness.now_ms += 40;
            match step {
                0 => waiting.extend(harness.offer_until("a", 30, None).ok()),
                1 => waiting.extend(harness.offer_until("b", 70, Some(harness.now_ms + 900)).ok()),
                2 => if let Some(caller) = harness.next() {
                    let at = waiting.iter().position(|&other| other == caller);
                    running.push(waiting.swap_remove(at.expect("popped twice")));
                },
                3 => if let Some(caller) = running.pop() {
                    harness.admission.requeue_front(caller, harness.now_ms);
                    waiting.push(caller);
                },
                4 => if let Some(caller) = running.pop().or_else(|| waiting.pop()) {
                    harness.admission.charge(&harness.service, &"a".into(), 30, harness.now_ms);
                    harness.admission.remove(caller, harness.now_ms);
                },
                _ => for (caller, refusal) in harness.admission.expire(harness.now_ms) {
                    prop_assert_eq!(refusal.outcome, Outcome::NotRun);
                    let at = waiting.iter().position(|&other| other == caller);
                    waiting.swap_remove(at.expect("refused twice"));
                },
            }
            prop_assert_eq!(harness.admission.queued(&harness.service), waiting.len());
        }
    }
}
