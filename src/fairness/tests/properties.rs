use indexmap::IndexMap;
use proptest::prelude::*;

use super::super::*;
use crate::ids::{AccountId, InstanceId};

const TOLERANCE: f64 = 1e-6;

fn claims() -> impl Strategy<Value = Vec<ShareClaim>> {
    let claim = (0.1..10.0_f64, 0.0..1_000.0_f64);
    let claim = claim.prop_map(|(weight, demand)| ShareClaim { weight, demand });
    proptest::collection::vec(claim, 0..12)
}

#[test]
fn unmet_claims_share_by_weight() {
    let claims = [(1.0, 10.0), (1.0, 100.0), (3.0, 100.0)]
        .map(|(weight, demand)| ShareClaim { weight, demand });
    assert_eq!(max_min(90.0, &claims), vec![10.0, 20.0, 60.0]);
}

#[test]
fn useless_claims_get_nothing() {
    let claims = [
        (0.0, 5.0),
        (1.0, f64::NAN),
        (f64::NAN, 5.0),
        (-1.0, 5.0),
        (1.0, 5.0),
    ]
    .map(|(weight, demand)| ShareClaim { weight, demand });
    assert_eq!(max_min(10.0, &claims), vec![0.0, 0.0, 0.0, 0.0, 5.0]);
    assert_eq!(max_min(f64::NAN, &claims[4..]), vec![0.0]);
}

proptest! {
    #[test]
    fn shares_are_feasible_and_use_the_capacity(capacity in 0.0..3_000.0_f64, claims in claims()) {
        let shares = max_min(capacity, &claims);
        let given: f64 = shares.iter().sum();
        let asked: f64 = claims.iter().map(|claim| claim.demand).sum();
        prop_assert!(given <= capacity + TOLERANCE);
        prop_assert!((given - asked.min(capacity)).abs() < TOLERANCE * (1.0 + capacity));
        for (share, claim) in shares.iter().zip(&claims) {
            prop_assert!(*share >= 0.0 && *share <= claim.demand + TOLERANCE);
        }
    }

    #[test]
    fn nobody_gets_more_for_its_weight_than_an_unmet_claim(
        capacity in 0.0..3_000.0_f64,
        claims in claims(),
    ) {
        let shares = max_min(capacity, &claims);
        for (unmet, claim) in shares.iter().zip(&claims) {
            if *unmet < claim.demand - TOLERANCE {
                for (other, rival) in shares.iter().zip(&claims) {
                    prop_assert!(other / rival.weight <= unmet / claim.weight + TOLERANCE);
                }
            }
        }
    }

    #[test]
    fn shares_do_not_depend_on_the_order(
        capacity in 0.0..3_000.0_f64,
        claims in claims(),
        offset in 0..12_usize,
    ) {
        let mut rotated = claims.clone();
        let offset = offset % claims.len().max(1);
        rotated.rotate_left(offset);
        let mut shares = max_min(capacity, &claims);
        shares.rotate_left(offset);
        for (share, other) in shares.iter().zip(max_min(capacity, &rotated)) {
            prop_assert!((share - other).abs() < TOLERANCE);
        }
    }

    #[test]
    fn every_node_finds_the_same_split(
        capacity in 1.0..3_000.0_f64,
        demands in proptest::collection::vec((0..4_u8, 0..4_u8, 0.0..500.0_f64), 0..20),
    ) {
        let names: Vec<AccountId> = (0..4).map(|n| format!("account-{n}").into()).collect();
        let weights: IndexMap<AccountId, f64> = names.iter().cloned().zip([1.0, 2.0, 5.0, 1.0]).collect();
        let mut demands: Vec<EntryDemand> = demands
            .into_iter()
            .map(|(entry, account, wanted_tokens_per_s)| EntryDemand {
                entry: InstanceId::from(format!("entry-{entry}")),
                account: names[usize::from(account)].clone(),
                wanted_tokens_per_s,
            })
            .collect();
        let shares = divide_capacity(capacity, &weights, &demands);
        demands.reverse();
        prop_assert_eq!(&shares, &divide_capacity(capacity, &weights, &demands));
        let given: f64 = shares.iter().map(|share| share.tokens_per_s).sum();
        let due = if shares.is_empty() { 0.0 } else { capacity };
        prop_assert!((given - due).abs() < TOLERANCE * (1.0 + capacity));
    }

    #[test]
    fn pieces_are_assigned_once_in_proportion_to_shares(wanted in proptest::collection::vec(0.0..900.0_f64, 1..16)) {
        let entry = |at: usize| InstanceId::from(format!("entry-{at:02}"));
        let mut shares: Vec<EntryShare> = wanted
            .iter()
            .enumerate()
            .map(|(at, &tokens_per_s)| EntryShare {
                entry: entry(at),
                account: "grill-chain".into(),
                tokens_per_s,
                entitled_tokens_per_s: tokens_per_s,
            })
            .collect();
        let mut entries: Vec<InstanceId> = (0..wanted.len()).map(entry).collect();
        let pieces = assign_entry_pieces(&shares, &entries);
        let mut next = 0;
        for at in 0..wanted.len() {
            let range = pieces[&entry(at)];
            prop_assert_eq!(range.first, next);
            next = range.end;
        }
        prop_assert_eq!(next, PIECE_COUNT);
        let equal = wanted.iter().sum::<f64>() / wanted.len() as f64;
        for (one, other) in (1..wanted.len()).map(|at| (at - 1, at)) {
            if wanted[one] >= equal && wanted[other] >= equal {
                let length = |at| f64::from(pieces[&entry(at)].end - pieces[&entry(at)].first);
                let ratio = wanted[one] / wanted[other] * length(other);
                prop_assert!((length(one) - ratio).abs() <= 2.0 + 2.0 * wanted[one] / wanted[other]);
            }
        }
        shares.reverse();
        entries.reverse();
        prop_assert_eq!(pieces, assign_entry_pieces(&shares, &entries));
    }
}
